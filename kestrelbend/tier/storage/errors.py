"""Errors of stored state, each with a code that an operator can look up."""

from __future__ import annotations

import enum


class StorageCode(enum.StrEnum):
    """What was found on the disk at the start of a process."""

    HOLE = "storage.hole"  # a segment is missing or torn though a later one is there
    CHECKPOINT_DAMAGED = "storage.checkpoint_damaged"
    IDENTITY_DAMAGED = "storage.identity_damaged"
    IDENTITY_MISSING = "storage.identity_missing"  # segments without the identity that they belong to


class StorageError(Exception):
    """What the data directory holds can't be used; `code` says why and `path` where."""

    def __init__(self, code: StorageCode, path: str) -> None:
        super().__init__(f"{code.value}: {path}")
        self.code = code
        self.path = path


class StorageCorruptedError(StorageError):
    """The disk holds what no loss of power can leave: what it acknowledged may be gone.

    A replica must not go on with such a disk under its identity, since it may have forgotten votes and
    entries that it acknowledged.  Replace the disk, or empty the data directory: it then counts as another
    replica.
    """
