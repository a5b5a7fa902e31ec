"""KNOWN-RED.txt excuses what it names, and nothing else."""

import pathlib
import subprocess
import sys

import pytest

TESTS = "def test_red():\n    assert 0\n\ndef test_green():\n    pass\n"
RED, GREEN = "tests/test_it.py::test_red | a cause | 7", "tests/test_it.py::test_green | a cause | 7"


@pytest.mark.parametrize(
    "lines, passes, says",
    [
        ([RED], True, "known red: tests/test_it.py::test_red: a cause (7)"),
        (None, False, "1 failed"),
        ([RED, GREEN], False, "1 failed"),
        ([GREEN], False, "2 failed"),
        ([RED, "tests/test_it.py::test_gone | a cause | 7"], False, "names no test"),
        ([RED] * 4, False, "4 lines"),
        ([], False, "0 lines"),
        (["tests/test_it.py::test_red | a cause"], False, "not `test | cause | issue`"),
        (["tests/test_it.py::test_red | | 7"], False, "not `test | cause | issue`"),
    ],
)
def test_only_what_is_listed_may_fail_and_it_must(lines, passes, says, tmp_path):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)
    (tmp_path / "tests" / "conftest.py").write_text(
        (pathlib.Path(__file__).parent / "conftest.py").read_text()
    )
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert (ran.returncode == 0) == passes and says in ran.stdout + ran.stderr
