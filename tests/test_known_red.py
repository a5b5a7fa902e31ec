"""KNOWN-RED.txt excuses what it names, and nothing else."""

import pathlib
import subprocess
import sys

import pytest

GREEN_TESTS = "def test_green():\n    pass\n"
TESTS = "def test_red():\n    assert 0\n\n" + GREEN_TESTS
RED, GREEN = "tests/test_it.py::test_red | a cause | 7", "tests/test_it.py::test_green | a cause | 7"


def run(folder, tests, lines, *options):
    """The whole suite in `folder`, which is `tests` and this project's conftest; `lines` None: no list."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(tests)
    (folder / "tests" / "conftest.py").write_text((pathlib.Path(__file__).parent / "conftest.py").read_text())
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines))
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options],
        cwd=folder,
        capture_output=True,
        text=True,
    )


SIDE_BY_SIDE = ("-n", "2", "--dist", "worksteal")


@pytest.mark.parametrize("options", [(), SIDE_BY_SIDE], ids=["one process", "side by side"])
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
def test_only_what_is_listed_may_fail_and_it_must(lines, passes, says, options, tmp_path):
    ran = run(tmp_path, TESTS, lines, *options)
    assert (ran.returncode == 0) == passes and says in ran.stdout + ran.stderr


def test_without_a_list_nothing_is_excused_and_nothing_is_printed(tmp_path):
    ran = run(tmp_path, GREEN_TESTS, None)
    assert ran.returncode == 0 and "1 passed" in ran.stdout and "known red" not in ran.stdout
