"""Tests the files that a test run leaves when a test fails, hangs or crashes its process."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PARALLEL = ("-n", "1")
PREAMBLE = "import os, time\nfrom tests import failure_log\nfailure_log.TEST_TIMEOUT_S = 1.0\n"


@pytest.fixture
def run(tmp_path):
    """Runs a test file with the plug-in; returns the exit code and the texts of the log files by name."""

    def run_source(source, *options):
        (tmp_path / "test_it.py").write_text(PREAMBLE + source)
        (tmp_path / "pytest.ini").write_text("[pytest]\n")
        log = tmp_path / "log"
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "tests.failure_log"]
        environment = {**os.environ, "KESTRELBEND_TEST_LOG": str(log), "PYTHONPATH": str(ROOT)}
        completed = subprocess.run(
            [*command, *options, str(tmp_path)],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            check=False,
        )
        return completed.returncode, {path.name: path.read_text() for path in log.iterdir()}

    return run_source


@pytest.mark.parametrize("options", [(), PARALLEL], ids=["one process", "parallel"])
def test_a_failure_is_written_with_its_report_before_the_next_test_runs(run, options):
    next_test = "def test_next():\n    assert 'why it fails' in open('log/failures.txt').read()\n"
    code, files = run(f"def test_red():\n    assert 0, 'why it fails'\n\n{next_test}", *options)
    assert code == 1 and list(files) == ["failures.txt"]
    assert files["failures.txt"].count("test_it.py::test_red (call)") == 1
    assert "test_next" not in files["failures.txt"]


def test_a_hanging_test_is_ended_and_its_name_and_all_stacks_are_written(run):
    code, files = run("def test_hangs():\n    time.sleep(60)\n")
    assert code == 1 and "test_hangs" in files["running-main.txt"].splitlines()[0]
    assert "in test_hangs" in files["running-main.txt"]


@pytest.mark.parametrize("action", ["time.sleep(60)", "os._exit(3)"], ids=["hangs", "crashes"])
def test_a_parallel_run_reports_a_test_whose_process_ended_as_failed(run, action):
    code, files = run(f"def test_ends():\n    {action}\n\ndef test_green():\n    pass\n", *PARALLEL)
    assert code == 1 and files["failures.txt"].count("test_it.py::test_ends (???)") == 1


def test_a_run_without_failures_leaves_no_log_files(run):
    assert run("def test_green():\n    pass\n") == (0, {})
