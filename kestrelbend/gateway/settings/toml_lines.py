"""Where a key of a TOML file stands, so that what is wrong can be said with its line.

The parser of the standard library does not tell lines.  This reads the text a second time and looks for heads
of tables and keys alone; a text that is no TOML is none of its business.
"""

from __future__ import annotations

import re

Path = tuple[str | int, ...]
"""Keys and, within arrays of tables, numbers from 0, from the file's top on."""

NAME = r"""(?:"[^"]*"|'[^']*'|[A-Za-z0-9_-]+)"""
TABLE = re.compile(r"\s*(\[\[|\[)\s*(.+?)\s*\]\]?\s*(?:#.*)?\Z")
KEY = re.compile(rf"\s*({NAME}(?:\s*\.\s*{NAME})*)\s*=")
PART = re.compile(r"""\s*(?:"([^"]*)"|'([^']*)'|([A-Za-z0-9_-]+))\s*(?:\.|\Z)""")
STRINGS = re.compile(
    r"""(?P<long>\"{3}(?:\\.|[^\\])*?(?:\"{3}|\Z)|'{3}.*?(?:'{3}|\Z)|\#[^\n]*)"""
    r"""|"(?:\\.|[^"\\\n])*"|'[^'\n]*'""",
    re.DOTALL,
)
SHORT_STRINGS = re.compile(r'"(?:\\.|[^"\\])*"|\'[^\']*\'')


def _blank_out(match: re.Match[str]) -> str:
    """Long strings and comments as blanks; their line ends are kept."""
    return re.sub(r"[^\n]", "_", match[0]) if match["long"] else match[0]


def _split_name(text: str) -> list[str]:
    """The parts of a dotted name, without their quotes."""
    return [next(part for part in match if part) if any(match) else "" for match in PART.findall(text)]


def find_key_lines(text: str) -> dict[Path, int]:
    """The line, from 1, that each key stands on.

    Values that go over several lines do not hide the keys behind them; keys of inline tables stand on their
    table's line.
    """
    # What stands in strings and comments must not be taken for keys or brackets; line ends are kept.
    visible = STRINGS.sub(_blank_out, text)
    found: dict[Path, int] = {(): 1}
    table: Path = ()
    entries: dict[Path, int] = {}
    depth = 0
    for number, line in enumerate(visible.split("\n"), 1):
        if depth == 0 and (head := TABLE.match(line)):
            table = _table_path(_split_name(head[2]), entries, head[1] == "[[")
            found.setdefault(table, number)
            continue
        if depth == 0 and (key := KEY.match(line)):
            path = table
            for part in _split_name(key[1]):
                path += (part,)
                found.setdefault(path, number)
            line = line[key.end() :]
        plain = SHORT_STRINGS.sub("", line)
        opened = sum(plain.count(bracket) for bracket in "[{")
        closed = sum(plain.count(bracket) for bracket in "]}")
        depth = max(0, depth + opened - closed)
    return found


def _table_path(names: list[str], entries: dict[Path, int], is_array: bool) -> Path:
    """The path of a table's head: each array of tables on the way stands for its latest entry.

    `entries` counts the entries of each array of tables, from 0; a head of an array begins the next one.
    """
    path: Path = ()
    for position, name in enumerate(names):
        path += (name,)
        if is_array and position == len(names) - 1:
            entries[path] = entries.get(path, -1) + 1
        if path in entries:
            path += (entries[path],)
    return path


def line_of(found: dict[Path, int], path: Path) -> int:
    """The line of a path, or of the nearest thing around it that has one."""
    while path and path not in found:
        path = path[:-1]
    return found[path]
