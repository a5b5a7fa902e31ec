"""A simulated node of the model: a replica, its clock, its disk, and a state machine that lists the commands.

Invariant: the disk holds only synced writes; a power failure loses all others.
Hazard: a node must not keep more state over a restart than a real one would; `start` resets all but the disk.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..replication import Replica, Timing, replay
from ..replication.group import Voters
from ..replication.messages import DurableRecord, DurableState, ReplicaId, Snapshot
from ..replication.progress import NEVER

if TYPE_CHECKING:
    from .world import Message

SHARD = "model"
TICKETS_PER_INCARNATION = 1000


class Node:
    """`unsynced` holds the writes in progress; each `generation` of the disk is a new replica."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.generation = 1
        self.incarnation = 0
        self.clock = 0.0
        self.records: list[DurableRecord] = []
        self.unsynced: list[tuple[int, DurableRecord]] = []
        self.disk_stalled = False
        self.delayed_messages: list[Message] | None = None  # messages held back, None if delivered at once
        self._replica: Replica | None = None
        self.applied_index = 0
        self.commands: list[bytes] = []
        self.committed_at_read: dict[int, int] = {}  # history length at the request, by ticket of the read
        self.last_contacts: dict[ReplicaId, float] = {}  # last send time by sender, on this node's clock
        self.leader_since = NEVER
        self.resumed_at = NEVER  # when the process last resumed after a pause
        self.committed_lengths: list[tuple[float, int]] = []  # time on this clock, and history length

    @property
    def is_started(self) -> bool:
        """Whether a process was started on this node."""
        return self._replica is not None

    @property
    def replica(self) -> Replica:
        """The replica of the running process."""
        assert self._replica is not None, f"{self.name} is not started"
        return self._replica

    @property
    def identity(self) -> ReplicaId:
        """The replica's identity, which changes when the disk is emptied."""
        return f"{self.name}#{self.generation}"

    def durable(self) -> DurableState:
        """Returns the state that the disk holds."""
        return replay(self.records)

    def start(self, founders: Voters, timing: Timing, watches_freshness: bool) -> None:
        """Starts a process from the disk; unsynced writes are lost."""
        self.incarnation += 1
        self.unsynced = []
        self.delayed_messages = None
        self.disk_stalled = False
        self.applied_index = 0
        self.commands = []
        self.committed_at_read = {}
        self._replica = Replica(
            shard=SHARD,
            identity=self.identity,
            founders=founders,
            durable=self.durable(),
            timing=timing,
            now=self.clock,
            first_ticket=self.incarnation * TICKETS_PER_INCARNATION,
        )
        self.last_contacts = {}
        if watches_freshness:
            self._replica.enable_read_index_polling()

    def sync_oldest(self) -> int:
        """Completes the oldest write in progress and returns its ticket."""
        ticket, record = self.unsynced.pop(0)
        self.records.append(record)
        return ticket

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state machine's state by a snapshot."""
        self.applied_index = snapshot.index
        self.commands = snapshot.state.split(b"\n") if snapshot.state else []

    def record_committed(self, length: int) -> None:
        """Records the history's length at this time, so that later reads can be checked against it."""
        if not self.committed_lengths or self.committed_lengths[-1][1] != length:
            self.committed_lengths.append((self.clock, length))

    def record_contact(self, sender: ReplicaId, sent_at: float) -> None:
        """Records a received message that was sent when this clock showed `sent_at`."""
        self.last_contacts[sender] = max(sent_at, self.last_contacts.get(sender, sent_at))

    def contacts_since(self, clock_time: float) -> set[ReplicaId]:
        """Returns this replica and the senders of messages sent since `clock_time` on this clock."""
        return {sender for sender, at in self.last_contacts.items() if at >= clock_time} | {self.identity}

    def committed_before(self, clock_time: float) -> int:
        """Returns the history's length before `clock_time` on this clock."""
        return max((length for at, length in self.committed_lengths if at < clock_time), default=0)
