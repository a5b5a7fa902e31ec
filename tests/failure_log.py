"""A pytest plug-in that writes each failure to a file at once and ends the process of a test that hangs.

A run that hangs or is killed prints no summary.  `target/test-log` (or the directory in KESTRELBEND_TEST_LOG)
then holds

* `failures.txt`: the name and the report of each failed test, written when it fails;
* `running-PROCESS.txt`, for each process that runs tests: the test that it runs now and, if that test took
  longer than `TEST_TIMEOUT_S`, the stacks of all threads.  The process then exits; in a parallel run xdist
  reports the test as failed and continues with another worker.
"""

import faulthandler
import os
import pathlib

import pytest

TEST_TIMEOUT_S = 300.0  # several times the duration of the longest test
DEFAULT_LOG_DIRECTORY = "target/test-log"
CRASHED_WORKER_PHASE = "???"  # the phase that xdist reports for a test whose worker crashed


class FailureLog:
    """Writes both kinds of file; each process of a run has one instance."""

    def __init__(self, log_directory, process, runs_tests):
        log_directory.mkdir(parents=True, exist_ok=True)
        self._failures = log_directory / "failures.txt"
        self._runs_tests = runs_tests
        self._running = None
        if runs_tests:
            self._running = (log_directory / f"running-{process}.txt").open("w")

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_protocol(self, item):
        """Records which test runs, and starts its timeout."""
        self._running.seek(0)
        self._running.truncate()
        self._running.write(f"{item.nodeid}\n")
        self._running.flush()
        faulthandler.dump_traceback_later(TEST_TIMEOUT_S, exit=True, file=self._running)
        yield
        faulthandler.cancel_dump_traceback_later()

    def pytest_runtest_logreport(self, report):
        """Writes a failure in the process that ran the test, or in the main process if a worker crashed."""
        if report.failed and (self._runs_tests or report.when == CRASHED_WORKER_PHASE):
            with self._failures.open("a") as file:
                file.write(f"{report.nodeid} ({report.when})\n{report.longreprtext}\n\n")

    def pytest_unconfigure(self):
        """Deletes the file of the running test at the end of the run."""
        if self._running is not None:
            self._running.close()
            os.unlink(self._running.name)


def pytest_configure(config):
    """Registers the failure log of this process; the main process first deletes the files of the last run."""
    log_directory = pathlib.Path(
        os.environ.get("KESTRELBEND_TEST_LOG", config.rootpath / DEFAULT_LOG_DIRECTORY)
    )
    worker = getattr(config, "workerinput", None)
    distributes_tests = worker is None and bool(config.getoption("numprocesses", None))
    if worker is None:
        log_directory.mkdir(parents=True, exist_ok=True)
        for old_log in log_directory.glob("*.txt"):
            old_log.unlink()
    process = "main" if worker is None else worker["workerid"]
    config.pluginmanager.register(
        FailureLog(log_directory, process, not distributes_tests), "failure-log-of-this-process"
    )
