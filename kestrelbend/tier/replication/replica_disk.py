"""Stores the replicas of a process in its journal: replays records at the start, writes, checkpoints.

Invariant: a write is reported to its replica only once the journal has made it durable; a checkpoint
holds every replica of the disk, whether it is open in this process or not.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable

import attrs

from ..storage.records import DeferredRecord, Record
from .durable import apply_record
from .hosted import HostedReplica
from .interfaces import Journal
from .messages import DurableRecord, DurableState, ReplicaId, ShardId

DEFERRED_RECORD_BYTES = 256 * 1024  # records of this size and more are encoded by the journal's thread


@attrs.define
class PendingWrite:
    """A record that is being written, and the replica's own ticket for it."""

    hosted: HostedReplica
    ticket: int


class ReplicaDisk:
    """The journal's records of the replicas with one identity."""

    def __init__(
        self, identity: ReplicaId, journal: Journal, encode: Callable[[DurableRecord], bytes]
    ) -> None:
        self._identity = identity
        self._journal = journal
        self._encode = encode
        self._states: dict[ShardId, DurableState] = {}
        self._writes: dict[int, PendingWrite] = {}
        self._next_ticket = 1

    def load(self, records: list[DurableRecord]) -> None:
        """Replays the journal's records, oldest first; records of other identities are skipped."""
        for record in records:
            if record.replica == self._identity:
                state = self._states.setdefault(record.shard, DurableState())
                apply_record(state, record)

    def shards(self) -> list[ShardId]:
        """The shards of which the disk held a replica when the process started."""
        return list(self._states)

    def state(self, shard: ShardId) -> DurableState:
        """What the disk held of a shard's replica when the process started."""
        return self._states.get(shard) or DurableState()

    def write(self, hosted: HostedReplica, ticket: int, record: DurableRecord) -> None:
        """Passes a record to the journal; `ticket` is the replica's own."""
        journal_ticket = self._next_ticket
        self._next_ticket += 1
        self._writes[journal_ticket] = PendingWrite(hosted, ticket)
        self._journal.append(journal_ticket, self._journal_record(record))

    def end_write(self, journal_ticket: int) -> PendingWrite:
        """Removes and returns the write that the journal has made durable; called once for each write."""
        return self._writes.pop(journal_ticket)

    def checkpoint_if_due(self, hosted: Iterable[HostedReplica]) -> None:
        """Replaces all records with one for each replica if the journal asks for a checkpoint."""
        if not self._journal.wants_checkpoint:
            return
        records = [each.replica.durable_record() for each in hosted]
        open_shards = {record.shard for record in records}
        for shard, state in self._states.items():
            if shard not in open_shards:
                records.append(complete_record(shard, self._identity, state))
        self._journal.checkpoint([self._journal_record(record) for record in records])

    def _journal_record(self, record: DurableRecord) -> Record:
        """The encoded record, or a deferred one that the journal's thread encodes if it is large."""
        size = sum(len(entry.data) for entry in record.entries)
        if record.snapshot is not None:
            size += len(record.snapshot.state)
        if size < DEFERRED_RECORD_BYTES:
            return self._encode(record)
        return DeferredRecord(size, functools.partial(self._encode, record))


def complete_record(shard: ShardId, replica: ReplicaId, state: DurableState) -> DurableRecord:
    """One record with all that the disk holds of a replica that is not open."""
    return DurableRecord(shard, replica, state.term, state.voted_for, tuple(state.entries), state.snapshot)
