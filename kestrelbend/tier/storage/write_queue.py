"""The queue of pending writes of a journal, and how many of them form the next group commit.

Invariant: groups are taken from the front of the queue, so records are written and acknowledged in the order
in which they were appended.  A checkpoint holds the effect of all records before it, so a group that ends
with a checkpoint needs no segment for its records.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from kestrelbend.tier.storage.checkpoint_writer import CHUNK_BYTES
from kestrelbend.tier.storage.records import Record, record_size

MAX_GROUP_BYTES = 4 * 1024 * 1024


@attrs.frozen
class PendingAppend:
    """A record that is not durable yet; `appended_at` is in seconds of the journal's clock."""

    ticket: int
    record: Record
    appended_at: float

    @property
    def size(self) -> int:
        """The approximate length in bytes."""
        return record_size(self.record)


@attrs.frozen
class PendingCheckpoint:
    """Records that replace all records appended before."""

    records: list[Record]

    @property
    def size(self) -> int:
        """The approximate length of all its records in bytes."""
        return sum(record_size(record) for record in self.records)

    @property
    def is_large(self) -> bool:
        """Whether it is written in steps, so that other records don't wait for the complete checkpoint."""
        return self.size > CHUNK_BYTES


PendingWrite = PendingAppend | PendingCheckpoint


def next_group_length(queue: Sequence[PendingWrite], disk_full: bool) -> int:
    """Returns how many writes at the front form the next group.

    The group ends with the last checkpoint or, without one, holds as many records as fit in one segment.  A
    large checkpoint waits until the records before it are written, unless the disk is full: then only the
    checkpoint can free space.
    """
    end = _end_of_last_checkpoint(queue)
    if not end:
        return _records_in_one_segment(queue)
    last = queue[end - 1]
    if isinstance(last, PendingCheckpoint) and last.is_large and not disk_full:
        before = queue[: end - 1]
        return _end_of_last_checkpoint(before) or _records_in_one_segment(before) or 1
    return end


def oldest_append(pending: Sequence[PendingWrite]) -> PendingAppend | None:
    """Returns the record that has waited longest."""
    return next((write for write in pending if isinstance(write, PendingAppend)), None)


def _end_of_last_checkpoint(queue: Sequence[PendingWrite]) -> int:
    for position in range(len(queue), 0, -1):
        if isinstance(queue[position - 1], PendingCheckpoint):
            return position
    return 0


def _records_in_one_segment(queue: Sequence[PendingWrite]) -> int:
    length = 0
    for position, write in enumerate(queue):
        length += write.size
        if length > MAX_GROUP_BYTES:
            return max(1, position)
    return len(queue)
