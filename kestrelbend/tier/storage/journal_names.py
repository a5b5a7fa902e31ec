"""The names of a journal's files: a number of twelve digits and a suffix that says what the file is.

`000000000007.versions` is segment 7; `000000000007.checkpoint` replaces the segments below 7; with `.new`
behind it, it is a checkpoint that is still being written.  The names are found on disks of earlier releases
and stay.
"""

from __future__ import annotations

SEGMENT_SUFFIX = ".versions"
CHECKPOINT_SUFFIX = ".checkpoint"
TEMPORARY_SUFFIX = ".new"


def segment_path(directory: str, number: int) -> str:
    """Where a segment is written."""
    return f"{directory}/{number:012d}{SEGMENT_SUFFIX}"


def checkpoint_path(directory: str, number: int) -> str:
    """Where a complete checkpoint is found; `number` is that of the first segment that it does not hold."""
    return f"{directory}/{number:012d}{CHECKPOINT_SUFFIX}"


def numbers_of(names: list[str], suffix: str) -> set[int]:
    """The numbers of the files with this suffix."""
    stems = (name.removesuffix(suffix) for name in names if name.endswith(suffix))
    return {int(stem) for stem in stems if stem.isdigit()}


def is_obsolete(name: str, first: int) -> bool:
    """Whether a file is older than segment `first`, or a checkpoint that was not ended."""
    if name.endswith(TEMPORARY_SUFFIX):
        return True
    stem = name.partition(".")[0]
    return stem.isdigit() and int(stem) < first
