"""Errors in stored data, each with a code that an operator can look up."""

from __future__ import annotations

import enum


class StorageCode(enum.StrEnum):
    """What a process found wrong with its data directory at startup."""

    SEGMENT_GAP = "storage.hole"  # a segment is missing or torn, but a later segment has content
    CHECKPOINT_DAMAGED = "storage.checkpoint_damaged"
    IDENTITY_DAMAGED = "storage.identity_damaged"
    IDENTITY_MISSING = "storage.identity_missing"  # the journal has files, but the identity file is missing


class StorageError(Exception):
    """The content of the data directory can't be used; `code` is the reason and `path` the file concerned."""

    def __init__(self, code: StorageCode, path: str) -> None:
        super().__init__(f"{code.value}: {path}")
        self.code = code
        self.path = path


class StorageCorruptedError(StorageError):
    """The disk is in a state that no power failure can cause: acknowledged records may be lost.

    A replica must not continue under its identity with such a disk, since it may have lost votes and entries
    that it acknowledged.  Replace the disk or empty the data directory: the replica then has a new identity.
    """
