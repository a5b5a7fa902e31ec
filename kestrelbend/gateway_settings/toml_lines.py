"""Where a key of a TOML file stands, so that what is wrong can be said with its line."""

from __future__ import annotations

import re

NAME = r"""(?:"[^"]*"|'[^']*'|[A-Za-z0-9_-]+)"""
TABLE = re.compile(r"\s*(\[\[|\[)\s*(.+?)\s*\]\]?\s*(?:#.*)?\Z")
KEY = re.compile(rf"\s*({NAME}(?:\s*\.\s*{NAME})*)\s*=")
PART = re.compile(r"""\s*(?:"([^"]*)"|'([^']*)'|([A-Za-z0-9_-]+))\s*(?:\.|\Z)""")
STRINGS = re.compile(
    r"""(?P<long>\"{3}(?:\\.|[^\\])*?(?:\"{3}|\Z)|'{3}.*?(?:'{3}|\Z)|\#[^\n]*)"""
    r"""|"(?:\\.|[^"\\\n])*"|'[^'\n]*'""",
    re.DOTALL,
)


def hide(match):
    """Long strings and comments as blanks; their line ends are kept."""
    return re.sub(r"[^\n]", "_", match[0]) if match["long"] else match[0]


def parts(text):
    return [next(p for p in match if p) if any(match) else "" for match in PART.findall(text)]


def key_lines(text):
    """By path (a tuple of keys and, within arrays of tables, numbers), the line it is on, from 1.  Values
    that go over several lines do not hide the keys behind them; keys of inline tables stand on their table's
    line."""
    # What stands in strings and comments must not be taken for keys or brackets; line ends are kept.
    bare = STRINGS.sub(hide, text)
    found, table, counts, depth = {(): 1}, (), {}, 0
    for number, line in enumerate(bare.split("\n"), 1):
        if depth == 0 and (head := TABLE.match(line)):
            table = resolve(parts(head[2]), counts, head[1] == "[[")
            found.setdefault(table, number)
            continue
        if depth == 0 and (key := KEY.match(line)):
            path = table
            for part in parts(key[1]):
                path += (part,)
                found.setdefault(path, number)
            line = line[key.end() :]
        plain = re.sub(r'"(?:\\.|[^"\\])*"|\'[^\']*\'', "", line)
        depth = max(0, depth + sum(plain.count(c) for c in "[{") - sum(plain.count(c) for c in "]}"))
    return found


def resolve(names, counts, another):
    """The path of a table's head: each array of tables on the way stands for its latest entry."""
    path = ()
    for at, name in enumerate(names):
        path += (name,)
        if another and at == len(names) - 1:
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            path += (counts[path],)
    return path


def line_of(found, path):
    """The line of a path, or of the nearest thing around it that has one."""
    while path and path not in found:
        path = path[:-1]
    return found[path]
