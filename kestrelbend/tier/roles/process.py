"""What every process of the tier has: settings, disk, connections, heartbeats and its part of the shards.

Roles derive from `TierProcess` and add what they serve.  All state is touched from the event loop's thread;
only the journal's writer is a thread of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from ..budgets.shards import SHARD_PREFIX
from ..membership.control_choice import ControlChoice
from ..membership.directory import DirectoryView
from ..membership.messages import (
    ContactRequest,
    ContactReply,
    Directory,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Member,
    ShardReport,
    Subscribe,
)
from ..membership.placement import CONFIGURATION_SHARD, address_of
from ..membership.owner_contact import ConfirmedReplica, in_contact, is_current
from ..protocol.codec import decode, encode
from ..protocol.peer_connection import PeerConnection
from ..protocol.peer_connections import PeerConnections
from ..replication.host import ShardHost
from ..replication.messages import (
    AppendEntries,
    AppendReply,
    ReadIndexReply,
    ReadIndexRequest,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
)
from ..replication.replica import Timing
from ..storage.identity import DataDirectory
from .control_reports import ControlReports
from .environment import Environment, SystemEnvironment
from .settings import Settings, SettingsError

CONTROL_PORT = 0  # offsets into the free ports of a machine
GATEWAY_PORT = 1
STORE_PORT = 2
TICK_S = 0.02
IDLE_TICK_S = 0.05  # of a process without replicas
HEARTBEAT_S = 0.25
SETTINGS_CHECK_S = 1.0
MAX_CONTROL_CONNECTIONS = 8
JOURNAL_CLOSE_S = 0.5
REPLICA_MESSAGES = (
    RequestVote,
    VoteReply,
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    ReadIndexRequest,
    ReadIndexReply,
)


class TierProcess:
    """A process of the tier; `run` serves until SIGTERM."""

    role = ""
    port_offset = 0
    max_control_connections: int | None = MAX_CONTROL_CONNECTIONS  # beside the seeds; None: all
    holds_replicas = False  # whether the role uses the machine's disk

    def __init__(self, settings: Settings, settings_path: str, environment: Environment | None = None):
        self.settings = settings
        self.environment = environment or SystemEnvironment()
        self._settings_path = settings_path
        self._settings_changed = self.environment.settings_changed_at(settings_path)
        self.log = logbook.Logger(f"kestrelbend.{self.role}")
        self.now = self.environment.now
        self.incarnation = self.environment.new_incarnation()
        self.address = f"{settings.ip}:{settings.port_range[0] + self.port_offset}"
        self.directory = DirectoryView()
        self.leaving = False
        self.stopping = asyncio.Event()
        self.served_enough = asyncio.Event()  # ends the listeners of the role
        self._heartbeat_sequence = 0
        self._control_choice = ControlChoice(self.address, settings.zone, self.now())
        self._tasks: set[asyncio.Task] = set()
        self.journal = None
        self.replica_id = ""
        self.host: ShardHost | None = None
        if settings.data_dir and self.holds_replicas:
            self._open_disk()
        self.member = self._member()
        self.connections = PeerConnections(
            Hello(self.address, self.replica_id, self.incarnation),
            self.log,
            self._on_message,
            self._on_peer,
            self.on_lost,
        )
        self._reports = ControlReports(self._control_choice, self.connections, self.directory.forget)

    # Beginning

    def _open_disk(self) -> None:
        folder = DataDirectory.open(
            self.settings.data_dir,
            self.settings.bootstrap,
            self.environment.disk(),
            self.environment.new_disk_identity,
        )
        self.replica_id = f"{self.address}#{folder.identity}"
        capacity = int(self.settings.disk_mb * 1_000_000)
        self.journal = self.environment.journal(folder.journal_directory, capacity, self._written)
        records = [decode(data) for data in self.journal.load()]
        self.host = ShardHost(
            identity=self.replica_id,
            first_ticket=self.incarnation,
            timing=Timing(),
            journal=self.journal,
            encode=encode,
            send=self._send_to_replica,
            machine_for=self.machine_for,
            hosts=self.hosts_shard,
            on_applied=self.on_applied,
            announces_commits=lambda shard: shard == CONFIGURATION_SHARD,  # nobody reads budgets at followers
        )
        self.host.load(records)
        self.journal.start()

    def _member(self) -> Member:
        settings = self.settings
        return Member(
            node=settings.node,
            role=self.role,
            address=self.address,
            control_address=settings.listen_control,
            zone=settings.zone,
            replica=self.replica_id,
            serves_control="control" in settings.serves,
            serves_storage="storage" in settings.serves,
            serves_front="front" in settings.serves,
            incarnation=self.incarnation,
        )

    def seed_addresses(self) -> list[str]:
        """The internal addresses of the control processes that the settings name."""
        port = self.settings.port_range[0] + CONTROL_PORT
        return [f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.settings.seeds]

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine beside the others; the task is kept until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # For the roles

    def machine_for(self, shard: str):
        """An empty state machine for a shard."""
        raise NotImplementedError

    def hosts_shard(self, shard: str) -> bool:
        """Whether a replica of the shard may begin here on its owner's word."""
        return shard.startswith(SHARD_PREFIX)

    def on_applied(self, shard: str) -> None:
        """Commands of a shard were applied."""

    def on_peer(self, connection: PeerConnection) -> None:
        """An outgoing connection stands: control nodes are asked for their streams."""
        self._subscribe(self.now())

    def on_lost(self, connection: PeerConnection) -> None:
        """A connection ended."""
        self._reports.lost(connection)
        if connection.outgoing and connection.address:
            self.directory.forget(connection.address)

    def config_version(self) -> int:
        """The version of the configuration that this process serves by."""
        return 0

    def on_message(self, connection: PeerConnection, message, sequence: int) -> None:
        """A message that is the role's own."""

    async def start(self) -> None:
        """Starts what the role serves."""

    async def stop(self) -> None:
        """Ends what the role serves, losing nothing."""

    def on_tick(self, now: float) -> None:
        """Called about every `TICK_S`, or every `IDLE_TICK_S`."""

    def on_heartbeat(self, now: float) -> None:
        """Called about every `HEARTBEAT_S`."""

    # Connections

    def control_addresses(self) -> list[str]:
        """The directory's control nodes, nearest first and not too many, and the settings' seeds."""
        seeds = self.seed_addresses()
        ordered = self._control_choice.order(self.directory.members, seeds)
        return list(dict.fromkeys(ordered[: self.max_control_connections] + seeds))

    def _subscribe(self, now: float) -> None:
        """Asks control nodes for their streams, as far as they are wanted now."""
        self._reports.subscribe(
            self.control_addresses(),
            lambda complete: Subscribe(self.member, self.config_version(), complete),
            now,
        )

    def wanted_connections(self) -> set[str]:
        """Addresses to keep connections to."""
        wanted = set(self.control_addresses())
        if self.host is not None:
            for shard in self.host.shards():
                replica = self.host.replica(shard)
                wanted.update(address_of(voter) for voter in replica.voters)
            for placed in self.directory.placements.values():
                if self.replica_id in placed.voters:
                    wanted.update(address_of(voter) for voter in placed.voters)
        return wanted

    def _send_to_replica(self, receiver: str, message) -> None:
        address = address_of(receiver)
        connection = self.connections.to(address)
        if connection is None:
            self.connections.add(address)
        elif connection.peer.replica == receiver:
            connection.send(message)

    def _on_peer(self, connection: PeerConnection) -> None:
        """A new outgoing connection stands: what replicas sent over older ones may be lost."""
        if self.host is not None and connection.peer.replica:
            self.host.reconnected(connection.peer.replica)
        self.on_peer(connection)

    def _on_message(self, connection: PeerConnection, message, sequence: int) -> None:
        if isinstance(message, REPLICA_MESSAGES):
            if self.host is not None:
                self.host.receive(message, self.now())
        elif isinstance(message, Directory):
            self.directory.take(connection.address, message)
            self.on_directory()
        elif isinstance(message, HeartbeatAck):
            self._reports.answered(connection, message)
        elif isinstance(message, ContactRequest):
            connection.send(self.contact_reply(message.ticket))
        else:
            self.on_message(connection, message, sequence)

    def _written(self, tickets: list[int]) -> None:
        self.host.written(tickets, self.now())

    def on_directory(self) -> None:
        """A control node told who is there: replicas placed here begin, connections follow."""
        self.follow_placements()
        self.connections.keep(self.wanted_connections())

    def follow_placements(self) -> None:
        """Opens founded replicas, and tells the owners among them which voters are wanted."""
        if self.host is None:
            return
        now = self.now()
        for placed in self.directory.placements.values():
            replica = self.host.replica(placed.shard)
            if replica is None and self._belongs_here(placed):
                replica = self.host.open(placed.shard, placed.founders, now)
            if replica is not None:
                replica.set_target(placed.voters, placed.number)

    def _belongs_here(self, placed) -> bool:
        return self.replica_id in placed.founders or placed.shard in self.host.stored_shards()

    # Time

    async def _tick_loop(self) -> None:
        heartbeat_at = settings_at = 0.0
        pause = IDLE_TICK_S if self.host is None else TICK_S
        while True:
            now = self.now()
            if self.host is not None:
                self.host.tick(now)
            self.on_tick(now)
            if now >= heartbeat_at:
                heartbeat_at = now + HEARTBEAT_S
                self.report(now)
                self.on_heartbeat(now)
                self.connections.keep(self.wanted_connections())
            if now >= settings_at:
                settings_at = now + SETTINGS_CHECK_S
                self._follow_settings()
            await asyncio.sleep(pause)

    def shard_reports(self) -> tuple[ShardReport, ...]:
        """This process's replicas, as heartbeats tell of them."""
        if self.host is None:
            return ()
        now = self.now()
        reports = []
        for shard in self.host.shards():
            replica = self.host.replica(shard)
            reports.append(
                ShardReport(
                    shard=shard,
                    replica=self.replica_id,
                    epoch=replica.term,
                    owner=replica.leader,
                    voters=tuple(replica.voters),
                    applied_index=replica.applied_index,
                    commit_index=replica.commit_index,
                    committed_voters=replica.committed_voters,
                    placement_number=replica.committed_placement_number,
                    stable=replica.is_stable(now),
                )
            )
        return tuple(reports)

    def contact_reply(self, ticket: int) -> ContactReply:
        """What a gateway may believe of this process's replicas now."""
        return ContactReply(
            ticket=ticket,
            in_contact=self._has_standing(CONFIGURATION_SHARD, in_contact),
            version=self.config_version() if self._has_standing(CONFIGURATION_SHARD, is_current) else 0,
            owned=tuple(
                shard for shard in self._budget_shards_owned() if self._has_standing(shard, in_contact)
            ),
        )

    def _has_standing(self, shard: str, standing: Callable[[ConfirmedReplica, float], bool]) -> bool:
        replica = None if self.host is None else self.host.replica(shard)
        return replica is not None and standing(replica, self.now())

    def _budget_shards_owned(self) -> list[str]:
        if self.host is None:
            return []
        shards = [shard for shard in self.host.shards() if shard != CONFIGURATION_SHARD]
        return [shard for shard in shards if self.host.replica(shard).is_leader]

    def heartbeat(self) -> Heartbeat:
        """What this process tells the control nodes that it chose."""
        self._heartbeat_sequence += 1
        return Heartbeat(
            self.member, self._heartbeat_sequence, self.config_version(), self.leaving, self.shard_reports()
        )

    def report(self, now: float) -> None:
        """Tells control nodes that this process runs, and has them stream what it needs."""
        self._subscribe(now)
        self._reports.report(self.control_addresses(), self.heartbeat(), now)

    def _follow_settings(self) -> None:
        changed = self.environment.settings_changed_at(self._settings_path)
        if changed == self._settings_changed:
            return
        self._settings_changed = changed
        try:
            self.settings = self.environment.read_settings(self._settings_path)
        except SettingsError as fault:
            self.log.error("settings kept as they were: {}", fault)
            return
        self.connections.keep(self.wanted_connections())

    # Life

    async def run(self) -> None:
        """Serves until SIGTERM and the end of what is under way."""
        loop = asyncio.get_running_loop()
        self.environment.on_signals(self.stopping.set, self._follow_settings)
        await self.connections.listen()
        self.connections.keep(self.wanted_connections())
        if self.host is not None:
            self.open_replicas()
        await self.start()
        ticking = loop.create_task(self._tick_loop())
        ticking.add_done_callback(self._must_not_end)
        self.log.info("{} serves at {} as {}", self.role, self.address, self.replica_id or "no replica")
        await self.stopping.wait()
        self.log.info("{} leaves", self.role)
        self.leaving = True
        await self.stop()
        ticking.remove_done_callback(self._must_not_end)
        ticking.cancel()
        await self.connections.close()
        if self.journal is not None:
            await self.environment.close_journal(self.journal, JOURNAL_CLOSE_S)

    def open_replicas(self) -> None:
        """Opens the replicas that the disk holds."""
        for shard in self.host.stored_shards():
            if shard != CONFIGURATION_SHARD:
                self.host.open(shard, (), self.now())

    async def hand_over(self, within: float) -> None:
        """Hands every shard owned here to another replica, waiting for it a little."""
        if self.host is None:
            return
        now = self.now()
        for shard in self.host.shards():
            self.host.replica(shard).transfer(now)
            self.host.flush(shard)
        ends = now + within
        while self.now() < ends and self._owns_any():
            await asyncio.sleep(TICK_S)

    def _owns_any(self) -> bool:
        return any(self.host.replica(shard).is_leader for shard in self.host.shards())

    def _must_not_end(self, task: asyncio.Task) -> None:
        """A loop that ends is a broken invariant: the process must not go on without it."""
        if not task.cancelled() and task.exception() is not None:
            logbook.Logger("kestrelbend").critical("a loop ended: {!r}", task.exception())
            self.environment.abort()
