"""The replicas of one process: where they meet the connections, the disk and their state machines.

The replicas are pure.  Invariant: effects are carried out in one order: writes are handed to the journal,
then messages leave, then commands are applied and callers answered.
Hazard: a call into a replica whose effects nobody drains; every method here that may change a replica
ends with `_carry_out`, except `propose`, whose caller ends a batch of proposals by `flush`.
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

    # What is here

    def load(self, records: list[DurableRecord]) -> None:
        """Replays the disk's records, oldest first; replicas are opened from it afterwards."""
        self._disk.load(records)

    def stored_shards(self) -> list[ShardId]:
        """Shards that the disk holds a replica of."""
        return self._disk.shards()

    def shards(self) -> list[ShardId]:
        """Shards with a replica here."""
        return list(self._hosted)

    def replica(self, shard: ShardId) -> Replica | None:
        """The replica of a shard, if there is one here."""
        hosted = self._hosted.get(shard)
        return None if hosted is None else hosted.replica

    def state_machine(self, shard: ShardId) -> StateMachine | None:
        """The state machine of a shard, if there is one here."""
        hosted = self._hosted.get(shard)
        return None if hosted is None else hosted.state_machine

    def open(self, shard: ShardId, founders: tuple[ReplicaId, ...], now: float) -> Replica:
        """The replica of a shard, begun from the disk where it isn't here yet."""
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
        self._carry_out(hosted)
        return replica

    # What happens

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """A message from another replica; a leader's message begins a replica where none is here."""
        hosted = self._hosted.get(message.shard)
        if hosted is None:
            if not isinstance(message, AppendEntries | SnapshotChunk) or not self._may_host(message.shard):
                return
            self.open(message.shard, (), now)
            hosted = self._hosted[message.shard]
        hosted.replica.receive(message, now)
        self._carry_out(hosted)

    def handle_reconnection(self, replica: ReplicaId) -> None:
        """A new connection to another replica's process stands."""
        for hosted in self._hosted.values():
            hosted.replica.handle_reconnection(replica)
            self._carry_out(hosted)

    def tick(self, now: float) -> None:
        """Time went on; called about every 20 ms."""
        for hosted in list(self._hosted.values()):
            hosted.replica.tick(now)
            self._carry_out(hosted)
        self._advance_snapshot()
        self._disk.checkpoint_when_large(self._hosted.values())

    def complete_writes(self, tickets: list[int], now: float) -> None:
        """The journal has made these records durable."""
        touched: dict[int, HostedReplica] = {}
        for journal_ticket in tickets:
            write = self._disk.end_write(journal_ticket)
            write.hosted.replica.complete_write(write.ticket, now)
            touched[id(write.hosted)] = write.hosted
        for hosted in touched.values():
            self._carry_out(hosted)

    # What is asked

    def propose(self, shard: ShardId, command: bytes, outcome: OutcomeCallback, now: float) -> bool:
        """Proposes a command; `outcome` gets the state machine's, None where it may or may not count."""
        hosted = self._hosted.get(shard)
        return hosted is not None and hosted.propose(command, outcome, now)

    def confirm_read(self, shard: ShardId, outcome: Callable[[bool], None], now: float) -> bool:
        """Calls back with True once the state here is the newest there is; False where that can't be said."""
        hosted = self._hosted.get(shard)
        if hosted is None or not hosted.confirm_read(outcome, now):
            return False
        self._carry_out(hosted)
        return True

    def flush(self, shard: ShardId) -> None:
        """Sends and writes what proposals have left to do; several proposals share one write."""
        hosted = self._hosted.get(shard)
        if hosted is not None:
            self._carry_out(hosted)

    # What comes of it

    def _carry_out(self, hosted: HostedReplica) -> None:
        effects = hosted.replica.drain_effects()
        for ticket, record in effects.writes:
            self._disk.write(hosted, ticket, record)
        for receiver, message in effects.sends:
            self._send(receiver, message)
        hosted.apply_effects(effects)
        if effects.applied or effects.restore is not None:
            self._on_applied(hosted.replica.shard)

    def _advance_snapshot(self) -> None:
        """Some steps of one snapshot; the others wait for it."""
        for hosted in self._hosted.values():
            if hosted.is_taking_snapshot:
                if hosted.advance_snapshot():
                    self._carry_out(hosted)
                return
