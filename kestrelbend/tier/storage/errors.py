"""Faults of stored state, with codes."""

from __future__ import annotations

import enum


class StorageCode(enum.StrEnum):
    """What was found."""

    HOLE = "storage.hole"  # a version is missing or torn though a later one is there
    CHECKPOINT_DAMAGED = "storage.checkpoint_damaged"
    IDENTITY_DAMAGED = "storage.identity_damaged"
    IDENTITY_MISSING = "storage.identity_missing"  # versions without the identity they belong to


class StorageCorruptedError(Exception):
    """The disk holds what no loss of power can leave: what it acknowledged may be gone.

    A replica must not go on with such a disk under its identity; as an emptied disk it is another replica.
    """

    def __init__(self, code: StorageCode, path: str) -> None:
        super().__init__(f"{code.value}: {path}")
        self.code = code
        self.path = path
