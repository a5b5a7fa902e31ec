"""File names of a journal: a number of twelve digits and a suffix for the kind of file.

`000000000007.versions` is segment 7.  `000000000007.checkpoint` replaces the segments below 7;
`000000000007.checkpoint.new` is a checkpoint that is still being written.  The names must not change, since
disks written by earlier releases use them.
"""

from __future__ import annotations

SEGMENT_SUFFIX = ".versions"
CHECKPOINT_SUFFIX = ".checkpoint"
TEMPORARY_SUFFIX = ".new"


def segment_path(directory: str, number: int) -> str:
    """Returns the path of a segment."""
    return f"{directory}/{number:012d}{SEGMENT_SUFFIX}"


def checkpoint_path(directory: str, number: int) -> str:
    """Returns the path of a complete checkpoint; `number` is the first segment that it does not replace."""
    return f"{directory}/{number:012d}{CHECKPOINT_SUFFIX}"


def file_numbers(names: list[str], suffix: str) -> set[int]:
    """Returns the numbers of the files with this suffix."""
    stems = (name.removesuffix(suffix) for name in names if name.endswith(suffix))
    return {int(stem) for stem in stems if stem.isdigit()}


def is_obsolete(name: str, first: int) -> bool:
    """Returns whether a file is older than segment `first`, or an unfinished checkpoint."""
    if name.endswith(TEMPORARY_SUFFIX):
        return True
    stem = name.partition(".")[0]
    return stem.isdigit() and int(stem) < first
