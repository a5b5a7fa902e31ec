"""What waits to be written to a journal, and how much of it is written together as one group commit.

Invariant: groups are taken from the front, so records are written, and acknowledged, in the order of their
appends.  A checkpoint holds the effect of all records before it, so a group that ends in one needs no file
for the records in it.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from kestrelbend.tier.storage.checkpoint_writer import CHUNK_BYTES
from kestrelbend.tier.storage.records import Record, record_size

GROUP_BYTES = 4 * 1024 * 1024


@attrs.frozen
class PendingAppend:
    """A record that is not durable yet; `since` is the time of its append in seconds."""

    ticket: int
    record: Record
    since: float

    @property
    def size(self) -> int:
        """About its length in bytes."""
        return record_size(self.record)


@attrs.frozen
class PendingCheckpoint:
    """Records that replace all appended before."""

    records: list[Record]

    @property
    def size(self) -> int:
        """About the length of all its records in bytes."""
        return sum(record_size(record) for record in self.records)

    @property
    def is_large(self) -> bool:
        """Whether it is written in steps, so that records don't wait for all of it."""
        return self.size > CHUNK_BYTES


PendingWrite = PendingAppend | PendingCheckpoint


def next_group(queue: Sequence[PendingWrite], disk_full: bool) -> int:
    """How many from the front are written next: up to the last checkpoint, or as many as make one file.

    A large checkpoint waits until the records before it are written, unless the disk is full: then only the
    checkpoint can free it.
    """
    end = _after_last_checkpoint(queue)
    if not end:
        return _records_for_one_file(queue)
    last = queue[end - 1]
    if isinstance(last, PendingCheckpoint) and last.is_large and not disk_full:
        before = queue[: end - 1]
        return _after_last_checkpoint(before) or _records_for_one_file(before) or 1
    return end


def oldest_append(pending: Sequence[PendingWrite]) -> PendingAppend | None:
    """The record that waits longest."""
    return next((write for write in pending if isinstance(write, PendingAppend)), None)


def _after_last_checkpoint(queue: Sequence[PendingWrite]) -> int:
    for position in range(len(queue), 0, -1):
        if isinstance(queue[position - 1], PendingCheckpoint):
            return position
    return 0


def _records_for_one_file(queue: Sequence[PendingWrite]) -> int:
    length = 0
    for position, write in enumerate(queue):
        length += write.size
        if length > GROUP_BYTES:
            return max(1, position)
    return len(queue)
