"""What a run leaves on disk when a test fails, hangs, or takes its process down."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SIDE_BY_SIDE = ("-n", "1")
PREAMBLE = "import os, time\nfrom tests import failure_log\nfailure_log.HANGS_AFTER_S = 1.0\n"


@pytest.fixture
def run(tmp_path):
    """Runs a test file of one test with the plug-in; the exit code and the log's files by their names."""

    def run_text(test, *options):
        (tmp_path / "test_it.py").write_text(PREAMBLE + test)
        (tmp_path / "pytest.ini").write_text("[pytest]\n")
        log = tmp_path / "log"
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "tests.failure_log"]
        environment = {**os.environ, "KESTRELBEND_TEST_LOG": str(log), "PYTHONPATH": str(ROOT)}
        ran = subprocess.run(
            [*command, *options, str(tmp_path)],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            check=False,
        )
        return ran.returncode, {path.name: path.read_text() for path in log.iterdir()}

    return run_text


@pytest.mark.parametrize("options", [(), SIDE_BY_SIDE], ids=["one process", "side by side"])
def test_a_failure_is_written_with_its_report_before_the_run_ends(run, options):
    seen_by_the_next = "def test_next():\n    assert 'why it fails' in open('log/failures.txt').read()\n"
    code, files = run(f"def test_red():\n    assert 0, 'why it fails'\n\n{seen_by_the_next}", *options)
    assert code == 1 and list(files) == ["failures.txt"]
    assert files["failures.txt"].count("test_it.py::test_red (call)") == 1
    assert "test_next" not in files["failures.txt"]


def test_a_test_that_hangs_ends_and_leaves_its_name_and_all_stacks(run):
    code, files = run("def test_hangs():\n    time.sleep(60)\n")
    assert code == 1 and "test_hangs" in files["running-main.txt"].splitlines()[0]
    assert "in test_hangs" in files["running-main.txt"]


@pytest.mark.parametrize("end", ["time.sleep(60)", "os._exit(3)"], ids=["hangs", "dies"])
def test_side_by_side_what_takes_its_process_down_is_a_failure_with_its_name(run, end):
    code, files = run(f"def test_ends():\n    {end}\n\ndef test_green():\n    pass\n", *SIDE_BY_SIDE)
    assert code == 1 and files["failures.txt"].count("test_it.py::test_ends (???)") == 1


def test_a_run_without_failures_leaves_nothing(run):
    assert run("def test_green():\n    pass\n") == (0, {})
