"""A pytest plug-in: each failure reaches a file the moment it happens, and a test that hangs ends by itself.

A run that hangs or is ended prints no summary.  Under `target/test-log` (or KESTRELBEND_TEST_LOG) there are
then

* `failures.txt`: the name and the report of each test that failed, written as it fails;
* `running-PROCESS.txt`, for each process that runs tests: the test that it runs now, and the stacks of all
  threads where that test took longer than `HANGS_AFTER_S`.  The process ends then; side by side, xdist
  reports the test as failed and goes on with another process.
"""

import faulthandler
import os
import pathlib

import pytest

HANGS_AFTER_S = 300.0  # several times the longest test
DEFAULT_FOLDER = "target/test-log"
PROCESS_DIED = "???"  # xdist's phase of a test whose process ended


class FailureLog:
    """Writes the two kinds of file; one in each process that takes part in a run."""

    def __init__(self, folder, process, runs_tests):
        folder.mkdir(parents=True, exist_ok=True)
        self._failures = folder / "failures.txt"
        self._runs_tests = runs_tests
        self._running = None
        if runs_tests:
            self._running = (folder / f"running-{process}.txt").open("w")

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_protocol(self, item):
        """Names the test that runs, and watches its time."""
        self._running.seek(0)
        self._running.truncate()
        self._running.write(f"{item.nodeid}\n")
        self._running.flush()
        faulthandler.dump_traceback_later(HANGS_AFTER_S, exit=True, file=self._running)
        yield
        faulthandler.cancel_dump_traceback_later()

    def pytest_runtest_logreport(self, report):
        """Writes a failure: in the process that ran the test or, where that died, in the one that noticed."""
        if report.failed and (self._runs_tests or report.when == PROCESS_DIED):
            with self._failures.open("a") as file:
                file.write(f"{report.nodeid} ({report.when})\n{report.longreprtext}\n\n")

    def pytest_unconfigure(self):
        """The run is over: nothing is running."""
        if self._running is not None:
            self._running.close()
            os.unlink(self._running.name)


def pytest_configure(config):
    """Registers the log of this process."""
    folder = pathlib.Path(os.environ.get("KESTRELBEND_TEST_LOG", config.rootpath / DEFAULT_FOLDER))
    worker = getattr(config, "workerinput", None)
    side_by_side = worker is None and bool(config.getoption("numprocesses", None))
    if worker is None:
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.txt"):
            old.unlink()
    process = "main" if worker is None else worker["workerid"]
    config.pluginmanager.register(
        FailureLog(folder, process, not side_by_side), "failure-log-of-this-process"
    )
