"""The replicas of one process: their messages, their disk and their state machines.

The replicas themselves are pure; here they meet the links and the journal.  Invariant: a state machine has
applied exactly the committed entries up to its replica's `applied_index`, in order.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Protocol

import attrs

from ..storage.records import DeferredRecord, Record
from .durable import apply_record
from .messages import (
    AppendEntries,
    DurableRecord,
    DurableState,
    Entry,
    EntryKind,
    ReplicaId,
    ShardId,
    SnapshotChunk,
)
from .replica import Replica, Timing

COMPACT_ENTRIES = 2000
COMPACT_BYTES = 16 << 20
IMAGE_STEPS_A_TICK = 4
DEFERRED_RECORD_BYTES = 256 * 1024  # from which on a record is made by the journal's thread


class SnapshotImage(Protocol):
    """A state machine's state at one moment, on its way to bytes."""

    def advance(self) -> bytes | None:
        """A step of a few milliseconds; the whole state with the last one."""


class StateMachine(Protocol):
    """What a shard's committed commands are applied to."""

    def apply(self, command: bytes) -> object:
        """Applies one command; deterministic.  The outcome goes to the proposer, if it is here."""

    def begin_snapshot(self) -> SnapshotImage:
        """The state as it is now, to be saved in steps while commands go on being applied."""

    def snapshot(self) -> bytes:
        """The whole state at once."""

    def restore(self, state: bytes) -> None:
        """Replaces the state by a snapshot's."""


class Journal(Protocol):
    """The process's disk, see `storage.journal`."""

    wants_checkpoint: bool

    def append(self, ticket: int, record: Record) -> None:
        """Takes a record to be written; its ticket comes back once it is durable."""

    def checkpoint(self, records: list[Record]) -> None:
        """Replaces all records so far by these."""


Outcome = Callable[[object | None], None]


@attrs.define(eq=False)
class HostedReplica:
    """A replica and what belongs to it."""

    replica: Replica
    machine: StateMachine
    waiting: dict[int, tuple[int, Outcome]] = attrs.field(factory=dict)
    confirming: dict[int, Callable[[bool], None]] = attrs.field(factory=dict)
    image: SnapshotImage | None = None  # under way, of the state after `image_index`
    image_index: int = 0
    applied_bytes: int = 0  # since the last image was begun


class ShardHost:
    """All replicas of a process.

    `first_ticket` rises with each life of the process, see `read_index`.  `send(replica_id, message)` hands a
    message to the process of another replica; `machine_for(shard)` makes an empty state machine;
    `announces_commits(shard)`: the leader tells what is committed at once, not only with the next entries or
    round;
    `on_applied(shard)` is called after commands were applied.
    """

    def __init__(
        self,
        *,
        identity: ReplicaId,
        first_ticket: int,
        timing: Timing,
        journal: Journal,
        encode: Callable[[DurableRecord], bytes],
        send: Callable[[ReplicaId, object], None],
        machine_for: Callable[[ShardId], StateMachine],
        hosts: Callable[[ShardId], bool],
        on_applied: Callable[[ShardId], None] = lambda shard: None,
        announces_commits: Callable[[ShardId], bool] = lambda shard: True,
    ):
        self.identity = identity
        self._first_ticket = first_ticket
        self._timing = timing
        self._journal = journal
        self._encode = encode
        self._send = send
        self._machine_for = machine_for
        self._hosts = hosts
        self._on_applied = on_applied
        self._announces_commits = announces_commits
        self._hosted: dict[ShardId, HostedReplica] = {}
        self._durable: dict[ShardId, DurableState] = {}
        self._tickets: dict[int, tuple[HostedReplica, int]] = {}
        self._next_ticket = 1

    # What is here

    def load(self, records: list[DurableRecord]) -> None:
        """Replays the disk's records, oldest first; replicas are opened from it afterwards."""
        for record in records:
            if record.replica == self.identity:
                state = self._durable.setdefault(record.shard, DurableState())
                apply_record(state, record)

    def stored_shards(self) -> list[ShardId]:
        """Shards that the disk holds a replica of."""
        return list(self._durable)

    def shards(self) -> list[ShardId]:
        """Shards with a replica here."""
        return list(self._hosted)

    def replica(self, shard: ShardId) -> Replica | None:
        """The replica of a shard, if there is one here."""
        hosted = self._hosted.get(shard)
        return None if hosted is None else hosted.replica

    def machine(self, shard: ShardId) -> StateMachine | None:
        """The state machine of a shard, if there is one here."""
        hosted = self._hosted.get(shard)
        return None if hosted is None else hosted.machine

    def open(self, shard: ShardId, founders: tuple[ReplicaId, ...], now: float) -> Replica:
        """The replica of a shard, begun from the disk where it isn't here yet."""
        hosted = self._hosted.get(shard)
        if hosted is not None:
            return hosted.replica
        replica = Replica(
            shard=shard,
            identity=self.identity,
            founders=founders,
            durable=self._durable.get(shard) or DurableState(),
            timing=self._timing,
            now=now,
            first_ticket=self._first_ticket,
            announces_commits=self._announces_commits(shard),
        )
        hosted = HostedReplica(replica, self._machine_for(shard))
        self._hosted[shard] = hosted
        self._work(hosted)
        return replica

    # What happens

    def receive(self, message, now: float) -> None:
        """A message from another replica; a leader's word begins a replica where none is here."""
        hosted = self._hosted.get(message.shard)
        if hosted is None:
            if not isinstance(message, AppendEntries | SnapshotChunk) or not self._hosts(message.shard):
                return
            self.open(message.shard, (), now)
            hosted = self._hosted[message.shard]
        hosted.replica.receive(message, now)
        self._work(hosted)

    def reconnected(self, replica: ReplicaId) -> None:
        """A new connection to another replica's process stands."""
        for hosted in self._hosted.values():
            hosted.replica.reconnected(replica)
            self._work(hosted)

    def tick(self, now: float) -> None:
        """Time went on."""
        for hosted in list(self._hosted.values()):
            hosted.replica.tick(now)
            self._work(hosted)
        self._advance_image()
        self._checkpoint_when_large()

    def written(self, tickets: list[int], now: float) -> None:
        """The journal has made these records durable."""
        touched: dict[int, HostedReplica] = {}
        for ticket in tickets:
            hosted, own_ticket = self._tickets.pop(ticket)
            hosted.replica.written(own_ticket, now)
            touched[id(hosted)] = hosted
        for hosted in touched.values():
            self._work(hosted)

    # What is asked

    def propose(self, shard: ShardId, command: bytes, outcome: Outcome, now: float) -> bool:
        """Proposes a command; `outcome` gets the state machine's, None where it may or may not count."""
        hosted = self._hosted.get(shard)
        if hosted is None:
            return False
        index = hosted.replica.propose(command, now)
        if index is None:
            return False
        hosted.waiting[index] = (hosted.replica.term, outcome)
        return True

    def confirm(self, shard: ShardId, outcome: Callable[[bool], None], now: float) -> bool:
        """Calls back with True once the state here is the newest there is; False where that can't be said."""
        hosted = self._hosted.get(shard)
        if hosted is None:
            return False
        ticket = hosted.replica.confirm(now)
        if ticket is None:
            return False
        hosted.confirming[ticket] = outcome
        self._work(hosted)
        return True

    def flush(self, shard: ShardId) -> None:
        """Sends and writes what proposals have left to do; several proposals share one write."""
        hosted = self._hosted.get(shard)
        if hosted is not None:
            self._work(hosted)

    # What comes of it

    def _work(self, hosted: HostedReplica) -> None:
        effects = hosted.replica.take()
        for own_ticket, record in effects.writes:
            ticket = self._next_ticket
            self._next_ticket += 1
            self._tickets[ticket] = (hosted, own_ticket)
            self._journal.append(ticket, self._journal_record(record))
        for receiver, message in effects.sends:
            self._send(receiver, message)
        if effects.restore is not None:
            hosted.image = None
            hosted.applied_bytes = 0
            hosted.machine.restore(effects.restore.state)
            self._fail_waiting(hosted)
        for entry in effects.applied:
            self._apply(hosted, entry)
        for ticket in effects.confirmed:
            self._confirmed(hosted, ticket, True)
        for ticket in effects.lost:
            self._confirmed(hosted, ticket, False)
        if hosted.waiting and not hosted.replica.is_leader:
            self._fail_waiting(hosted)
        if effects.applied or effects.restore is not None:
            self._on_applied(hosted.replica.shard)

    def _apply(self, hosted: HostedReplica, entry: Entry) -> None:
        outcome = None
        if entry.kind == EntryKind.COMMAND:
            outcome = hosted.machine.apply(entry.data)
        self._begin_image_when_due(hosted, entry)
        waiting = hosted.waiting.pop(entry.index, None)
        if waiting is None:
            return
        term, callback = waiting
        callback(outcome if term == entry.term else None)

    def _fail_waiting(self, hosted: HostedReplica) -> None:
        waiting, hosted.waiting = hosted.waiting, {}
        for _, callback in waiting.values():
            callback(None)

    def _confirmed(self, hosted: HostedReplica, ticket: int, sure: bool) -> None:
        callback = hosted.confirming.pop(ticket, None)
        if callback is not None:
            callback(sure)

    def _begin_image_when_due(self, hosted: HostedReplica, entry: Entry) -> None:
        """Begins a snapshot after the entry, at the same indexes on all replicas unless entries are large.

        Replicas with the same snapshots can go on with each other's transfers.
        """
        hosted.applied_bytes += len(entry.data)
        due = entry.index % COMPACT_ENTRIES == 0 or hosted.applied_bytes >= COMPACT_BYTES
        if due and hosted.image is None:
            hosted.image = hosted.machine.begin_snapshot()
            hosted.image_index = entry.index
            hosted.applied_bytes = 0

    def _advance_image(self) -> None:
        """Some steps of one snapshot; the others wait for it."""
        hosted = next((hosted for hosted in self._hosted.values() if hosted.image is not None), None)
        if hosted is None:
            return
        for _ in range(IMAGE_STEPS_A_TICK):
            state = hosted.image.advance()
            if state is not None:
                hosted.image = None
                hosted.replica.compact(hosted.image_index, state)
                self._work(hosted)
                return

    def _journal_record(self, record: DurableRecord) -> Record:
        """The record's bytes, or the means to make them where there are many."""
        size = sum(len(entry.data) for entry in record.entries)
        if record.snapshot is not None:
            size += len(record.snapshot.state)
        if size < DEFERRED_RECORD_BYTES:
            return self._encode(record)
        return DeferredRecord(size, functools.partial(self._encode, record))

    def _checkpoint_when_large(self) -> None:
        if not self._journal.wants_checkpoint:
            return
        records = [hosted.replica.durable_record() for hosted in self._hosted.values()]
        for shard, state in self._durable.items():
            if shard not in self._hosted:
                records.append(record_of(shard, self.identity, state))
        self._journal.checkpoint([self._journal_record(record) for record in records])


def record_of(shard: ShardId, replica: ReplicaId, state: DurableState) -> DurableRecord:
    """All that the disk holds of a replica that is not open, in one record."""
    return DurableRecord(shard, replica, state.term, state.voted_for, tuple(state.entries), state.snapshot)
