"""A machine of the model: a replica, its clock, its disk, and a state machine that lists the commands.

Invariant: the disk holds a write only once it was synced; what was not is gone with the power.
Hazard: a machine that remembers more than a real one would; `start` begins anew with the disk alone.
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
    """`unsynced` are the writes under way; a new `generation` of the disk makes another replica."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.generation = 1
        self.incarnation = 0
        self.clock = 0.0
        self.records: list[DurableRecord] = []
        self.unsynced: list[tuple[int, DurableRecord]] = []
        self.stalled = False
        self.delayed: list[Message] | None = None  # messages to it, while they are held up
        self._replica: Replica | None = None
        self.applied_index = 0
        self.commands: list[bytes] = []
        self.reads: dict[int, int] = {}  # tickets, each with the length of the history when it was asked
        self.last_contacts: dict[ReplicaId, float] = {}  # by its own clock, when the last message was sent
        self.leader_since = NEVER
        self.resumed_at = NEVER  # when it last went on after it had stood still
        self.committed_at: list[tuple[float, int]] = []  # by its own clock, the length of the history

    @property
    def is_started(self) -> bool:
        """Whether a process has begun here."""
        return self._replica is not None

    @property
    def replica(self) -> Replica:
        """The replica of the process that runs here."""
        assert self._replica is not None, f"{self.name} is not started"
        return self._replica

    @property
    def identity(self) -> ReplicaId:
        """The replica's name, which an emptied disk doesn't keep."""
        return f"{self.name}#{self.generation}"

    def durable(self) -> DurableState:
        """What the disk holds."""
        return replay(self.records)

    def start(self, founders: Voters, timing: Timing, watches_freshness: bool) -> None:
        """A process begins from the disk; what was not synced is lost."""
        self.incarnation += 1
        self.unsynced = []
        self.delayed = None
        self.stalled = False
        self.applied_index = 0
        self.commands = []
        self.reads = {}
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

    def sync(self) -> int:
        """The oldest write under way is on the disk; its ticket."""
        ticket, record = self.unsynced.pop(0)
        self.records.append(record)
        return ticket

    def restore(self, snapshot: Snapshot) -> None:
        """The state machine begins again from a snapshot."""
        self.applied_index = snapshot.index
        self.commands = snapshot.state.split(b"\n") if snapshot.state else []

    def record_committed(self, length: int) -> None:
        """Remembers what was committed by now, to judge later what was read here."""
        if not self.committed_at or self.committed_at[-1][1] != length:
            self.committed_at.append((self.clock, length))

    def record_contact(self, sender: ReplicaId, sent_at: float) -> None:
        """A message came that was sent while this clock showed `sent_at`."""
        self.last_contacts[sender] = max(sent_at, self.last_contacts.get(sender, sent_at))

    def contacts_since(self, moment: float) -> set[ReplicaId]:
        """Who has sent what came, since this clock showed `moment`; the replica itself always has."""
        return {sender for sender, at in self.last_contacts.items() if at >= moment} | {self.identity}

    def committed_by(self, moment: float) -> int:
        """How much had been committed before this clock showed `moment`."""
        return max((length for at, length in self.committed_at if at < moment), default=0)
