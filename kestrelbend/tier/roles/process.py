"""What every process of the tier has: settings, disk, connections, heartbeats and its part of the shards.

Roles derive from `TierProcess` and add what they serve.  All state is touched from the event loop's thread;
only the journal's writer is a thread of its own.

Start, in `__init__` and `run`:

    settings -> disk and replicas' records (`LocalShards.open`) -> listen -> outgoing connections
    -> replicas opened (`open_replicas`) -> what the role serves (`start`) -> ticks, heartbeats

Stop, at SIGTERM or SIGINT:

    heartbeats say `leaving` -> the role's `stop` (hands over, finishes what runs) -> no more ticks
    -> connections closed -> the journal writes what waits, for a bounded time
    -> the tasks left over are cancelled
"""

from __future__ import annotations

import asyncio
import typing
from collections.abc import Coroutine
from typing import Any, ClassVar, TypeVar

import logbook

from ..budgets.shards import SHARD_PREFIX
from ..membership.control_choice import ControlChoice
from ..membership.directory import DirectoryView
from ..membership.messages import (
    ContactRequest,
    Directory,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Member,
    Subscribe,
)
from ..membership.placement import address_of
from ..protocol.peer_connection import PeerConnection
from ..protocol.peer_connections import PeerConnections
from ..replication.interfaces import StateMachine
from ..replication.messages import ReplicaId, ReplicaMessage, ShardId
from .addresses import internal_address, seed_addresses
from .background_tasks import BackgroundTasks
from .control_reports import ControlReports
from .environment import Environment, SystemEnvironment
from .local_shards import LocalShards
from .settings import Settings
from .settings_file import SettingsFile
from .ticker import TickActions, Ticker

TICK_INTERVAL_S = 0.02
IDLE_TICK_INTERVAL_S = 0.05  # of a process without replicas
MAX_CONTROL_CONNECTIONS = 8
T = TypeVar("T")
REPLICA_MESSAGES = typing.get_args(ReplicaMessage)


class TierProcess:
    """A process of the tier; `run` serves until SIGTERM.

    Raises the storage's errors where the disk can't be used.
    """

    role: ClassVar[str] = ""
    port_offset: ClassVar[int] = 0
    max_control_connections: ClassVar[int | None] = MAX_CONTROL_CONNECTIONS  # beside the seeds; None: all
    holds_replicas: ClassVar[bool] = False  # whether the role uses the machine's disk

    def __init__(
        self, settings: Settings, settings_path: str, environment: Environment | None = None
    ) -> None:
        self.settings = settings
        self.environment = environment or SystemEnvironment()
        self.log = logbook.Logger(f"kestrelbend.{self.role}")
        self._settings_file = SettingsFile(settings_path, self.environment, self.log)
        self.now = self.environment.now
        self.incarnation = self.environment.new_incarnation()
        self.address = internal_address(settings, self.port_offset)
        self.directory = DirectoryView()
        self.leaving = False
        self.stopping = asyncio.Event()
        self.served_enough = asyncio.Event()  # ends the listeners of the role
        self._tasks = BackgroundTasks()
        self._heartbeat_sequence = 0
        self._control_choice = ControlChoice(self.address, settings.zone, self.now())
        self.shards = LocalShards(self.now)
        if settings.data_dir and self.holds_replicas:
            self.shards.open(settings, self.address, self.incarnation, self.environment, self)
        self.host = self.shards.host  # None for a process without a disk
        self.replica_id = self.shards.replica_id
        self.member = self._member()
        self.connections = PeerConnections(
            Hello(self.address, self.replica_id, self.incarnation),
            self.log,
            self._on_message,
            self._on_peer,
            self.on_lost,
        )
        self._reports = ControlReports(self._control_choice, self.connections, self.directory.forget)

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

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Runs a coroutine beside the others; the task is kept until it ends."""
        return self._tasks.spawn(coroutine)

    # For the roles

    def machine_for(self, shard: ShardId) -> StateMachine:
        """An empty state machine for a shard."""
        raise NotImplementedError

    def hosts_shard(self, shard: ShardId) -> bool:
        """Whether a replica of the shard may begin here on its owner's request."""
        return shard.startswith(SHARD_PREFIX)

    def on_applied(self, shard: ShardId) -> None:
        """Commands of a shard were applied."""

    def on_peer(self, connection: PeerConnection) -> None:
        """An outgoing connection stands: control nodes are asked for their streams."""
        self._subscribe_to_control_nodes(self.now())

    def on_lost(self, connection: PeerConnection) -> None:
        """A connection ended."""
        self._reports.lost(connection)
        if connection.outgoing and connection.address:
            self.directory.forget(connection.address)

    def config_version(self) -> int:
        """The version of the configuration that this process serves by."""
        return 0

    def on_message(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        """A message that is the role's own."""

    async def until_served_enough(self) -> None:
        """Returns when the role's listeners are to close."""
        await self.served_enough.wait()

    async def start(self) -> None:
        """Starts what the role serves."""

    async def stop(self) -> None:
        """Ends what the role serves, losing nothing."""

    def on_tick(self, now: float) -> None:
        """Called about every `TICK_INTERVAL_S`, or every `IDLE_TICK_INTERVAL_S`."""

    def on_heartbeat(self, now: float) -> None:
        """Called about every `ticker.HEARTBEAT_INTERVAL_S`."""

    # Connections

    def control_addresses(self) -> list[str]:
        """The directory's control nodes, nearest first and not too many, and the settings' seeds."""
        seeds = seed_addresses(self.settings)
        ordered = self._control_choice.nearest_first(self.directory.members, seeds)
        return list(dict.fromkeys(ordered[: self.max_control_connections] + seeds))

    def wanted_connections(self) -> set[str]:
        """Addresses to keep connections to."""
        wanted = set(self.control_addresses())
        wanted.update(self.shards.peer_addresses(self.directory.placements.values()))
        return wanted

    def send_to_replica(self, receiver: ReplicaId, message: Any) -> None:
        """Hands a message to the process of another replica, never to another one at its address."""
        address = address_of(receiver)
        connection = self.connections.to(address)
        if connection is None:
            self.connections.add(address)
        elif connection.peer_replica == receiver:
            connection.send(message)

    def _on_peer(self, connection: PeerConnection) -> None:
        """A new outgoing connection stands: what replicas sent over older ones may be lost."""
        if self.host is not None and connection.peer_replica:
            self.host.handle_reconnection(connection.peer_replica)
        self.on_peer(connection)

    def _on_message(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        if isinstance(message, REPLICA_MESSAGES):
            if self.host is not None:
                self.host.receive(message, self.now())
            return
        match message:
            case Directory():
                self.directory.merge(connection.address, message)
                self.on_directory()
            case HeartbeatAck():
                self._reports.answered(connection, message)
            case ContactRequest():
                connection.send(self.shards.contact_reply(message.ticket, self.config_version()))
            case _:
                self.on_message(connection, message, sequence)

    def on_directory(self) -> None:
        """A control node sent who is there: replicas placed here begin, connections follow."""
        self.follow_placements()
        self._follow_connections()

    def follow_placements(self) -> None:
        """Opens founded replicas, and tells the owners among them which voters are wanted."""
        self.shards.follow(self.directory.placements.values())

    def _follow_connections(self) -> None:
        self.connections.keep(self.wanted_connections())

    # Reports to control nodes

    def heartbeat(self) -> Heartbeat:
        """What this process tells the control nodes that it chose."""
        self._heartbeat_sequence += 1
        return Heartbeat(
            self.member,
            self._heartbeat_sequence,
            self.config_version(),
            self.leaving,
            self.shards.reports(),
        )

    def report(self, now: float) -> None:
        """Tells control nodes that this process runs, and has them stream what it needs."""
        self._subscribe_to_control_nodes(now)
        self._reports.report(self.control_addresses(), self.heartbeat(), now)

    def _subscribe_to_control_nodes(self, now: float) -> None:
        """Asks control nodes for their streams, as far as they are wanted now."""
        self._reports.subscribe(
            self.control_addresses(),
            lambda complete: Subscribe(self.member, self.config_version(), complete),
            now,
        )

    # Time

    def _tick(self, now: float) -> None:
        if self.host is not None:
            self.host.tick(now)
        self.on_tick(now)

    def _heartbeat(self, now: float) -> None:
        self.report(now)
        self.on_heartbeat(now)
        self._follow_connections()

    def _check_settings(self) -> None:
        changed = self._settings_file.changed()
        if changed is not None:
            self.settings = changed
            self._follow_connections()

    # Start and stop

    async def run(self) -> None:
        """Serves until SIGTERM and the end of what is in flight; raises `OSError` where it can't listen."""
        self.environment.on_signals(self.stopping.set, self._check_settings)
        await self.connections.listen()
        self._follow_connections()
        if self.host is not None:
            self.open_replicas()
        await self.start()
        ticker = self._ticker()
        ticker.start()
        self.log.info("{} serves at {} as {}", self.role, self.address, self.replica_id or "no replica")
        await self.stopping.wait()
        self.log.info("{} leaves", self.role)
        self.leaving = True
        self.report(self.now())  # at once: the process may end before its next heartbeat
        await self.stop()
        ticker.stop()
        await self.connections.close()
        await self.shards.close(self.environment)
        self._tasks.cancel()

    def open_replicas(self) -> None:
        """Opens the replicas that the disk holds."""
        self.shards.open_stored()

    def _ticker(self) -> Ticker:
        interval_s = IDLE_TICK_INTERVAL_S if self.host is None else TICK_INTERVAL_S
        actions = TickActions(self._tick, self._heartbeat, self._check_settings, self.environment.abort)
        return Ticker(interval_s, self.now, actions)
