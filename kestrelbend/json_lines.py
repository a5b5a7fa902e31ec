"""Files that grow by one JSON text a line, written by runs that may be killed at any moment."""

from __future__ import annotations

import os
from collections.abc import Iterable


def append_lines(path: str | os.PathLike[str], lines: Iterable[bytes]) -> None:
    """Adds lines at the end, each written out at once.

    A run that was killed may have left half a line: the first new one does not join it, and readers pass
    over it.
    """
    with open(path, "ab+") as file:
        if file.tell():
            file.seek(-1, os.SEEK_END)
            if file.read(1) != b"\n":
                file.write(b"\n")
        for line in lines:
            file.write(line + b"\n")
            file.flush()
