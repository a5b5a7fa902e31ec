"""Lists all tests and the number of assertions of each file, to show that a renaming removed none.

python tools/test_inventory.py --write FILE   writes the list of this tree to a file
python tools/test_inventory.py [--allow-new]  compares this tree with tests/fixtures/tests-before.txt; exits
                                              with 1 if a test is gone or a file has fewer assertions

`docs/design/renamed-tests.md` maps old names to new ones in lines `old name = new name`: the path of a file,
a class, a test function, or a whole test id if only a parameter has changed.

Limitation: assertions are counted in the source text, so a check in a shared helper counts once, in the file
that defines the helper.
"""

from __future__ import annotations

import argparse
import ast
import subprocess
import sys
from collections import Counter
from pathlib import Path

RECORDED_INVENTORY = Path("tests/fixtures/tests-before.txt")
RENAMED_TESTS = Path("docs/design/renamed-tests.md")
ASSERTING_CALLS = ("assert", "raises", "expectThat", "fail")  # prefixes of the names of asserting calls
TEST, FILE = "test", "file"


def collect_test_ids() -> list[str]:
    """Returns the ids of all tests that pytest collects."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q"]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    if run.returncode != 0:
        raise SystemExit(f"pytest could not collect the tests:\n{run.stdout[-2000:]}")
    return [line for line in run.stdout.splitlines() if "::" in line]


def count_assertions(source: str) -> int:
    """Returns the number of assert statements and asserting calls in a source text."""
    return sum(
        isinstance(node, ast.Assert) or _is_asserting_call(node) for node in ast.walk(ast.parse(source))
    )


def _is_asserting_call(node: ast.AST) -> bool:
    if not isinstance(node, ast.Call):
        return False
    called = node.func
    name = (
        called.attr
        if isinstance(called, ast.Attribute)
        else called.id
        if isinstance(called, ast.Name)
        else ""
    )
    return name.startswith(ASSERTING_CALLS)


def inventory() -> list[str]:
    """Returns the lines for this tree: `test ID` and `file PATH TESTS ASSERTIONS`."""
    ids = collect_test_ids()
    tests = Counter(test_id.partition("::")[0] for test_id in ids)
    paths = sorted(path.as_posix() for path in Path("tests").rglob("*.py"))
    files = [f"{FILE} {path} {tests[path]} {count_assertions(Path(path).read_text())}" for path in paths]
    return [*(f"{TEST} {test_id}" for test_id in ids), *files]


def parse_renamed_tests(text: str) -> dict[str, str]:
    """Returns the pairs of old and new names; ignores lines that are not of the form `old = new`."""
    pairs = (line.strip("`- ").split(" = ") for line in text.splitlines() if line.count(" = ") == 1)
    return {old.strip(" `"): new.strip(" `") for old, new in pairs}


def current_id(test_id: str, names: dict[str, str]) -> str:
    """Returns the id of a recorded test with the current names."""
    if test_id in names:
        return names[test_id]
    head, bracket, parameters = test_id.partition("[")
    return "::".join(names.get(part, part) for part in head.split("::")) + bracket + parameters


def compare(before: list[str], now: list[str], names: dict[str, str]) -> tuple[list[str], list[str]]:
    """Returns what is gone (tests, files, assertions of files that still exist) and which tests are new."""
    expected = Counter(current_id(test_id, names) for test_id in _of_kind(TEST, before))
    found = Counter(_of_kind(TEST, now))
    gone = [f"gone: {test_id}" for test_id in sorted((expected - found).elements())]
    new = [f"new: {test_id}" for test_id in sorted((found - expected).elements())]
    counts = {path: int(count) for path, _, count in map(str.split, _of_kind(FILE, now))}
    for path, _, count in map(str.split, _of_kind(FILE, before)):
        path = names.get(path, path)
        if path not in counts:
            gone.append(f"file gone: {path}")
        elif counts[path] < int(count):
            gone.append(f"fewer assertions: {path} had {count}, has {counts[path]}")
    return gone, new


def _of_kind(kind: str, lines: list[str]) -> list[str]:
    return [rest for line_kind, _, rest in (line.partition(" ") for line in lines) if line_kind == kind]


def main() -> int:
    """Runs the command; see the module docstring."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--write", type=Path, help="write the list of this tree to a file")
    parser.add_argument("--allow-new", action="store_true", help="do not print new tests")
    options = parser.parse_args()
    now = inventory()
    if options.write is not None:
        options.write.write_text("\n".join(now) + "\n")
        return 0
    new_names = parse_renamed_tests(RENAMED_TESTS.read_text()) if RENAMED_TESTS.exists() else {}
    before = RECORDED_INVENTORY.read_text().splitlines()
    gone, new = compare(before, now, new_names)
    print(*gone, *([] if options.allow_new else new), sep="\n")
    print(
        f"{len(_of_kind(TEST, before))} tests before, {len(_of_kind(TEST, now))} now; "
        f"{len(gone)} gone, {len(new)} new"
    )
    return 1 if gone else 0


if __name__ == "__main__":
    sys.exit(main())
