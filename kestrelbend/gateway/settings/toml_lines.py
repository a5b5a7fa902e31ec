"""Finds the lines of the keys in a TOML file, for error messages.

The parser in the standard library does not provide line numbers.  This module scans the text a second time,
only for table headers and keys.  It expects text that the parser has accepted.
"""

from __future__ import annotations

import re

Path = tuple[str | int, ...]
"""The keys from the top of the file down; an entry of an array of tables is a number, from 0."""

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
    """Replaces the text of a multi-line string or a comment by underscores, except line ends."""
    return re.sub(r"[^\n]", "_", match[0]) if match["long"] else match[0]


def _split_name(text: str) -> list[str]:
    """Splits a dotted name into its parts, without quotes."""
    return [next(part for part in match if part) if any(match) else "" for match in PART.findall(text)]


def find_key_lines(text: str) -> dict[Path, int]:
    """Returns the line, from 1, of each key.

    Handles values that span several lines.  Keys inside inline tables are not listed; `line_of` returns the
    line of their table.
    """
    # The text of strings and comments must not be mistaken for keys or brackets; line ends are kept.
    visible = STRINGS.sub(_blank_out, text)
    lines: dict[Path, int] = {(): 1}
    table: Path = ()
    entry_counts: dict[Path, int] = {}
    depth = 0
    for number, line in enumerate(visible.split("\n"), 1):
        if depth == 0 and (header := TABLE.match(line)):
            table = _table_path(_split_name(header[2]), entry_counts, header[1] == "[[")
            lines.setdefault(table, number)
            continue
        if depth == 0 and (key_match := KEY.match(line)):
            path = table
            for part in _split_name(key_match[1]):
                path += (part,)
                lines.setdefault(path, number)
            line = line[key_match.end() :]
        plain = SHORT_STRINGS.sub("", line)
        opened = sum(plain.count(bracket) for bracket in "[{")
        closed = sum(plain.count(bracket) for bracket in "]}")
        depth = max(0, depth + opened - closed)
    return lines


def _table_path(names: list[str], entry_counts: dict[Path, int], is_array: bool) -> Path:
    """Returns the path of a table header, with the current entry's number after each array of tables.

    `entry_counts` holds the number of the current entry of each array of tables, from 0; the header of an
    array of tables starts the next entry.
    """
    path: Path = ()
    for position, name in enumerate(names):
        path += (name,)
        if is_array and position == len(names) - 1:
            entry_counts[path] = entry_counts.get(path, -1) + 1
        if path in entry_counts:
            path += (entry_counts[path],)
    return path


def line_of(lines: dict[Path, int], path: Path) -> int:
    """Returns the line of a path, or of its nearest ancestor that has one."""
    while path and path not in lines:
        path = path[:-1]
    return lines[path]
