"""Which tests there are, and how many assertions in each file: none may go with a renaming.

python tools/test_inventory.py --write FILE   the list of a tree, as tests/fixtures/tests-before.txt holds one
python tools/test_inventory.py [--allow-new]  compares this tree with that list; exit status 1 where a test is
                                              gone or a file has fewer assertions

`docs/design/renamed-tests.md` says what is called otherwise now, in lines `old name = new name`: the path of
a file, a class, a test's function, or one whole test id where only a parameter has changed.

Hazard: assertions are counted as statements in the text; a check that a helper makes counts where it stands.
"""

from __future__ import annotations

import argparse
import ast
import subprocess
import sys
from collections import Counter
from pathlib import Path

BEFORE = Path("tests/fixtures/tests-before.txt")
RENAMED = Path("docs/design/renamed-tests.md")
CALLS = ("assert", "raises", "expectThat", "fail")  # what the names of calls that assert begin with
TEST, FILE = "test", "file"


def collected() -> list[str]:
    """The ids of all tests, as pytest finds them."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q"]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    if run.returncode != 0:
        raise SystemExit(f"pytest can't collect the tests:\n{run.stdout[-2000:]}")
    return [line for line in run.stdout.splitlines() if "::" in line]


def assertions(source: str) -> int:
    """How many statements and calls of a text assert something."""
    return sum(isinstance(node, ast.Assert) or _asserts(node) for node in ast.walk(ast.parse(source)))


def _asserts(node: ast.AST) -> bool:
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
    return name.startswith(CALLS)


def inventory() -> list[str]:
    """The lines of this tree: `test ID`, and `file PATH TESTS ASSERTIONS`."""
    ids = collected()
    tests = Counter(identity.partition("::")[0] for identity in ids)
    paths = sorted(path.as_posix() for path in Path("tests").rglob("*.py"))
    files = [f"{FILE} {path} {tests[path]} {assertions(Path(path).read_text())}" for path in paths]
    return [*(f"{TEST} {identity}" for identity in ids), *files]


def renamings(text: str) -> dict[str, str]:
    """The table's pairs; what isn't of the form `old = new` is the page's text."""
    pairs = (line.strip("`- ").split(" = ") for line in text.splitlines() if line.count(" = ") == 1)
    return {old.strip(" `"): new.strip(" `") for old, new in pairs}


def renamed(identity: str, names: dict[str, str]) -> str:
    """A test's id by today's names."""
    if identity in names:
        return names[identity]
    head, bracket, parameters = identity.partition("[")
    return "::".join(names.get(part, part) for part in head.split("::")) + bracket + parameters


def compare(before: list[str], now: list[str], names: dict[str, str]) -> tuple[list[str], list[str]]:
    """What is gone (tests, and assertions of files that are still there), and what is new."""
    expected = Counter(renamed(identity, names) for identity in _of(TEST, before))
    found = Counter(_of(TEST, now))
    gone = [f"gone: {identity}" for identity in sorted((expected - found).elements())]
    new = [f"new: {identity}" for identity in sorted((found - expected).elements())]
    counts = {path: int(count) for path, _, count in map(str.split, _of(FILE, now))}
    for path, _, count in map(str.split, _of(FILE, before)):
        path = names.get(path, path)
        if path not in counts:
            gone.append(f"file gone: {path}")
        elif counts[path] < int(count):
            gone.append(f"fewer assertions: {path} had {count}, has {counts[path]}")
    return gone, new


def _of(kind: str, lines: list[str]) -> list[str]:
    return [rest for first, _, rest in (line.partition(" ") for line in lines) if first == kind]


def main() -> int:
    """The command; see the module's text."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--write", type=Path, help="write this tree's list to a file")
    parser.add_argument("--allow-new", action="store_true", help="don't name new tests")
    options = parser.parse_args()
    now = inventory()
    if options.write is not None:
        options.write.write_text("\n".join(now) + "\n")
        return 0
    names = renamings(RENAMED.read_text()) if RENAMED.exists() else {}
    before = BEFORE.read_text().splitlines()
    gone, new = compare(before, now, names)
    print(*gone, *([] if options.allow_new else new), sep="\n")
    print(
        f"{len(_of(TEST, before))} tests before, {len(_of(TEST, now))} now; {len(gone)} gone, {len(new)} new"
    )
    return 1 if gone else 0


if __name__ == "__main__":
    sys.exit(main())
