"""The replicas of one process, connected to its network connections, its journal and their state machines.

The replicas do no I/O.  Invariant: effects are processed in one order: writes are passed to the journal,
then messages are sent, then commands are applied and callers answered.
Hazard: a call into a replica whose effects nobody drains; every method here that may change a replica
ends with `_process_effects`, except `propose`, whose caller ends a batch of proposals with `flush`.
"""

from __future__ import annotations

from collections.abc import Callable

from .hosted import HostedReplica
from .interfaces import Journal, OutcomeCallback, StateMachine
from .messages import AppendEntries, DurableRecord, ReplicaId, ReplicaMessage, ShardId, SnapshotChunk
from .replica import Replica
from .replica_disk import ReplicaDisk
from .timing import Timing


class ShardHost:
    """All replicas of a process; times are seconds of the process's monotonic clock.

    `first_ticket` increases with each incarnation of the process, see `read_index`.
    `send(replica_id, message)` hands a message to the process of another replica.
    `create_state_machine(shard)` returns an empty state machine.
    `may_host(shard)`: whether a leader's message may open a replica of the shard here.
    `announces_commits(shard)`: whether a leader sends a new commit index at once instead of with the next
    entries or heartbeat round.
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
        send: Callable[[ReplicaId, ReplicaMessage], None],
        create_state_machine: Callable[[ShardId], StateMachine],
        may_host: Callable[[ShardId], bool],
        on_applied: Callable[[ShardId], None] = lambda shard: None,
        announces_commits: Callable[[ShardId], bool] = lambda shard: True,
    ) -> None:
        self.identity = identity
        self._first_ticket = first_ticket
        self._timing = timing
        self._send = send
        self._create_state_machine = create_state_machine
        self._may_host = may_host
        self._on_applied = on_applied
        self._announces_commits = announces_commits
        self._disk = ReplicaDisk(identity, journal, encode)
        self._hosted: dict[ShardId, HostedReplica] = {}

    # State

    def load(self, records: list[DurableRecord]) -> None:
        """Replays the disk's records, oldest first; replicas opened afterwards start from them."""
        self._disk.load(records)

    def stored_shards(self) -> list[ShardId]:
        """The shards of which the disk holds a replica."""
        return self._disk.shards()

    def shards(self) -> list[ShardId]:
        """The shards with an open replica."""
        return list(self._hosted)

    def replica(self, shard: ShardId) -> Replica | None:
        """The open replica of a shard, or None."""
        hosted = self._hosted.get(shard)
        return None if hosted is None else hosted.replica

    def state_machine(self, shard: ShardId) -> StateMachine | None:
        """The state machine of a shard's open replica, or None."""
        hosted = self._hosted.get(shard)
        return None if hosted is None else hosted.state_machine

    def open(self, shard: ShardId, founders: tuple[ReplicaId, ...], now: float) -> Replica:
        """Returns the replica of a shard, opening it from the disk if it isn't open yet."""
        hosted = self._hosted.get(shard)
        if hosted is not None:
            return hosted.replica
        replica = Replica(
            shard=shard,
            identity=self.identity,
            founders=founders,
            durable=self._disk.state(shard),
            timing=self._timing,
            now=now,
            first_ticket=self._first_ticket,
            announces_commits=self._announces_commits(shard),
        )
        hosted = HostedReplica(replica, self._create_state_machine(shard))
        self._hosted[shard] = hosted
        self._process_effects(hosted)
        return replica

    # Events

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """Handles a message from another replica; a leader's message may open a replica of its shard."""
        hosted = self._hosted.get(message.shard)
        if hosted is None:
            if not isinstance(message, AppendEntries | SnapshotChunk) or not self._may_host(message.shard):
                return
            self.open(message.shard, (), now)
            hosted = self._hosted[message.shard]
        hosted.replica.receive(message, now)
        self._process_effects(hosted)

    def handle_reconnection(self, replica: ReplicaId) -> None:
        """A new connection to another replica's process is open: earlier messages may be lost."""
        for hosted in self._hosted.values():
            hosted.replica.handle_reconnection(replica)
            self._process_effects(hosted)

    def tick(self, now: float) -> None:
        """Does what is due at this time; called about every 20 ms."""
        for hosted in list(self._hosted.values()):
            hosted.replica.tick(now)
            self._process_effects(hosted)
        self._advance_snapshot()
        self._disk.checkpoint_if_due(self._hosted.values())

    def complete_writes(self, tickets: list[int], now: float) -> None:
        """The journal has made the records with these tickets durable."""
        affected: dict[int, HostedReplica] = {}
        for journal_ticket in tickets:
            write = self._disk.end_write(journal_ticket)
            write.hosted.replica.complete_write(write.ticket, now)
            affected[id(write.hosted)] = write.hosted
        for hosted in affected.values():
            self._process_effects(hosted)

    # Requests

    def propose(self, shard: ShardId, command: bytes, outcome: OutcomeCallback, now: float) -> bool:
        """Proposes a command; `outcome` gets the state machine's, or None if the result is unknown."""
        hosted = self._hosted.get(shard)
        return hosted is not None and hosted.propose(command, outcome, now)

    def confirm_read(self, shard: ShardId, outcome: Callable[[bool], None], now: float) -> bool:
        """Calls back with True once the state here is confirmed as current, False if that is impossible."""
        hosted = self._hosted.get(shard)
        if hosted is None or not hosted.confirm_read(outcome, now):
            return False
        self._process_effects(hosted)
        return True

    def flush(self, shard: ShardId) -> None:
        """Processes the effects of proposals; several proposals share one write."""
        hosted = self._hosted.get(shard)
        if hosted is not None:
            self._process_effects(hosted)

    # Effects

    def _process_effects(self, hosted: HostedReplica) -> None:
        effects = hosted.replica.drain_effects()
        for ticket, record in effects.writes:
            self._disk.write(hosted, ticket, record)
        for receiver, message in effects.sends:
            self._send(receiver, message)
        hosted.apply_effects(effects)
        if effects.applied or effects.restore is not None:
            self._on_applied(hosted.replica.shard)

    def _advance_snapshot(self) -> None:
        """Runs some steps of one pending snapshot; others wait for it to complete."""
        for hosted in self._hosted.values():
            if hosted.is_taking_snapshot:
                if hosted.advance_snapshot():
                    self._process_effects(hosted)
                return
