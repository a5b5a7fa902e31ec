"""A machine of the model: a replica, its clock, its disk, and a state machine that lists the commands."""

from __future__ import annotations

from ..replication import Replica, Timing, replay
from ..replication.group import Voters
from ..replication.progress import NEVER
from ..replication.messages import DurableRecord, DurableState, ReplicaId, Snapshot

SHARD = "model"
TICKETS_OF_A_LIFE = 1000


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
        self.kept: list | None = None  # messages to it, while they are held up
        self.replica: Replica | None = None
        self.applied_index = 0
        self.commands: list[bytes] = []
        self.reads: dict[int, int] = {}  # tickets, each with the length of the history when it was asked
        self.heard: dict[ReplicaId, float] = {}  # by its own clock, when what it last heard of each was sent
        self.leader_since = NEVER
        self.stood_until = NEVER  # when it last went on after it had stood still
        self.committed_at: list[tuple[float, int]] = []  # by its own clock, the length of the history

    @property
    def identity(self) -> ReplicaId:
        """The replica's name, which an emptied disk doesn't keep."""
        return f"{self.name}#{self.generation}"

    def durable(self) -> DurableState:
        """What the disk holds."""
        return replay(self.records)

    def start(self, founders: Voters, timing: Timing, watches: bool) -> None:
        """A process begins from the disk; what was not synced is lost.  `watches`: its currency."""
        self.incarnation += 1
        self.unsynced = []
        self.kept = None
        self.stalled = False
        self.applied_index, self.commands, self.reads = 0, [], {}
        self.replica = Replica(
            shard=SHARD,
            identity=self.identity,
            founders=founders,
            durable=self.durable(),
            timing=timing,
            now=self.clock,
            first_ticket=self.incarnation * TICKETS_OF_A_LIFE,
        )
        self.heard = {}
        if watches:
            self.replica.watch_currency()

    def sync(self) -> int:
        """The oldest write under way is on the disk; its ticket."""
        ticket, record = self.unsynced.pop(0)
        self.records.append(record)
        return ticket

    def restore(self, snapshot: Snapshot) -> None:
        """The state machine begins again from a snapshot."""
        self.applied_index = snapshot.index
        self.commands = snapshot.state.split(b"\n") if snapshot.state else []

    def note_committed(self, length: int) -> None:
        """Remembers what was committed by now, to judge later what was read here."""
        if not self.committed_at or self.committed_at[-1][1] != length:
            self.committed_at.append((self.clock, length))

    def hear(self, sender: ReplicaId, made_at: float) -> None:
        """A message came that was sent while this clock showed `made_at`."""
        self.heard[sender] = max(made_at, self.heard.get(sender, made_at))

    def heard_since(self, moment: float) -> set[ReplicaId]:
        """Who has sent what came, since this clock showed `moment`; the replica itself always has."""
        return {sender for sender, at in self.heard.items() if at >= moment} | {self.identity}

    def committed_by(self, moment: float) -> int:
        """How much had been committed before this clock showed `moment`."""
        return max((length for at, length in self.committed_at if at < moment), default=0)
