"""The control process: the configuration's shard, the operator's API, backends' heartbeats, the directory.

Every control node answers everything: orders go on to the shard's owner, news of backends to the other
control nodes.  The owner of the configuration's shard also decides who should hold which shard.
What it serves stands in `tier/control/`, a part a module.
"""

from __future__ import annotations

import asyncio

from ..budgets.messages import BudgetRequest
from ..budgets.shard_service import BudgetShards
from ..configuration.messages import ConfigOrder, ConfigOutcome, ReadReply, ReadRequest
from ..configuration.operator_api import OperatorApi
from ..configuration.ports import ReportOutcome, RetireOutcome, RetireState
from ..configuration.shard_service import (
    FORWARD_TIMEOUT_S,
    NOT_OWNER,
    ConfigurationMachine,
    ConfigurationService,
)
from ..configuration.stream import ConfigStream
from ..control.backend_reports import BackendReports
from ..control.directory_stream import DirectoryStream
from ..control.member_summaries import MemberSummaries
from ..control.shard_placer import ShardPlacer
from ..control.retirement import Retirement
from ..dataplane.server import Listener
from ..discovery.exchange import BackendExchange
from ..discovery.messages import BackendAck, BackendUpdate
from ..discovery.registry import BackendRegistry
from ..membership.messages import (
    ConfigAck,
    ConfigFetch,
    ConfigUpdate,
    Heartbeat,
    HeartbeatAck,
    MemberSummary,
    Subscribe,
)
from ..membership.placement import CONFIGURATION_SHARD, address_of
from ..membership.contact_period import ContactPeriod
from ..membership.owner_contact import in_contact, is_current
from ..membership.status import ShardsWanted, status
from ..membership.table import LIVE_S, MemberTable
from ..protocol.peer_connection import PeerConnection
from ..replication.group import has_quorum
from .addresses import CONTROL_PORT, seed_addresses
from .process import TierProcess

HAND_OVER_S = 1.0


class ControlProcess(TierProcess):
    """One control process."""

    role = "control"
    port_offset = CONTROL_PORT
    holds_replicas = True
    max_control_connections = None  # the registry must reach every other control node

    def __init__(self, settings, settings_path, environment=None):
        self.budgets = BudgetShards()
        super().__init__(settings, settings_path, environment)
        self.budgets.attach(self.host, self.now)
        self.members = MemberTable()
        self._summaries = MemberSummaries(self.address, self.members)
        self.registry = BackendRegistry()
        self.exchange = BackendExchange(self.address, self.registry.all, self._peer_connections)
        self.backend_reports = BackendReports(
            self.registry, self.exchange, self.now, self._may_acknowledge_leaving
        )
        self.config_stream = ConfigStream()
        self.directory_stream = DirectoryStream(self.members)
        self.configuration = ConfigurationService(
            self.host,
            self.connections,
            self.now,
            self.config_stream.until_acknowledged,
            self.environment.run_off_loop,
        )
        tolerated_nodes = settings.tolerate_nodes
        self._placer = ShardPlacer(self.configuration, self.members, tolerated_nodes, self.spawn)
        self.retirement = Retirement(
            self.configuration, self.members, tolerated_nodes, self.now, self._placer.owned_for
        )
        self._contact = ContactPeriod(self.now())
        self._serving: asyncio.Task | None = None

    # The shards

    def machine_for(self, shard):
        """The configuration's state, or a budget table where stores are too few."""
        if shard == CONFIGURATION_SHARD:
            return ConfigurationMachine()
        return self.budgets.machine_for(shard)

    def hosts_shard(self, shard):
        """Control nodes hold the configuration, too."""
        return shard == CONFIGURATION_SHARD or super().hosts_shard(shard)

    def open_replicas(self):
        """The configuration's replica is always here; seeds found it at the first start."""
        founders = ()
        if self.settings.bootstrap:
            founders = tuple(f"{address}#first" for address in seed_addresses(self.settings))
        self.host.open(CONFIGURATION_SHARD, founders, self.now()).watch_currency()
        super().open_replicas()

    def on_applied(self, shard):
        """A new version goes to the gateways at once."""
        if shard == CONFIGURATION_SHARD and self.configuration.is_open:
            self._stream_configuration()

    def _stream_configuration(self) -> None:
        state = self.configuration.state
        if state.version:
            current = is_current(self.configuration.replica, self.now())
            self.config_stream.stream(state.version, state.body, current)

    def config_version(self):
        """The version applied here."""
        return self.configuration.state.version if self.configuration.is_open else 0

    # Connections

    def _peer_connections(self) -> list[PeerConnection]:
        """Connections to the other control nodes that stand."""
        addresses = dict.fromkeys(self.control_addresses())
        connections = [self.connections.to(address) for address in addresses]
        return [connection for connection in connections if connection is not None]

    def _may_acknowledge_leaving(self, holders: set[str]) -> bool:
        """In contact, and with the control nodes `holders` a majority of the configuration's voters."""
        replica = self.configuration.replica
        known = holders | {self.address}
        held = has_quorum(replica.voters, lambda voter: address_of(voter) in known)
        return held and in_contact(replica, self.now())

    def on_peer(self, connection):
        """Another control node gets all that is known of backends; it has no need of other streams."""
        if connection.address in self.control_addresses():
            self.exchange.send_complete(connection)

    def on_lost(self, connection):
        """Ends the streams of a connection."""
        super().on_lost(connection)
        self._summaries.lost(connection)
        self.exchange.lost(connection)
        self.config_stream.lost(connection)
        self.directory_stream.lost(connection)

    def on_message(self, connection, message, sequence):
        """What others say to a control node."""
        if isinstance(message, Heartbeat):
            self.members.record_heartbeat(message, self.now())
            connection.send(HeartbeatAck(message.sequence, self._is_stable()))
        elif isinstance(message, MemberSummary):
            self._summaries.take(message, self.now())
        elif isinstance(message, Subscribe):
            self._accept_subscription(connection, message)
        elif isinstance(message, ConfigAck):
            self.config_stream.acknowledged(connection, message.version)
        elif isinstance(message, ConfigFetch):
            self._send_newer_configuration(connection, message.version)
        elif isinstance(message, BackendAck):
            self.exchange.acknowledged(connection, message)
        elif isinstance(message, BackendUpdate):
            self.backend_reports.merge(message.backends)
            self.exchange.acknowledge(connection, sequence, message)
        elif isinstance(message, ConfigOrder):
            self._answer(connection, sequence, self._decide(message))
        elif isinstance(message, ReadRequest):
            self._answer(connection, sequence, self.configuration.read_here())
        elif isinstance(message, BudgetRequest):
            self.budgets.request(message, lambda reply: connection.reply(sequence, reply))

    def _answer(self, connection, sequence, answering) -> None:
        async def answer():
            connection.reply(sequence, await answering)

        self.spawn(answer())

    async def _decide(self, order: ConfigOrder) -> ConfigOutcome:
        if not self.configuration.replica.is_leader:
            return NOT_OWNER
        return await self.configuration.decide(order, FORWARD_TIMEOUT_S)

    def _accept_subscription(self, connection: PeerConnection, message: Subscribe) -> None:
        if message.member.serves_front:
            self.config_stream.subscribe(connection, message.config_version, message.complete)
            self.exchange.subscribe(connection, message.complete)
            self._stream_configuration()
        if message.complete:
            self.directory_stream.subscribe(connection)
        else:
            self.directory_stream.lost(connection)

    def _send_newer_configuration(self, connection: PeerConnection, held: int) -> None:
        state = self.configuration.state
        if state.version > held:
            current = is_current(self.configuration.replica, self.now())
            connection.send(ConfigUpdate(state.version, current, state.body))

    def _is_stable(self) -> bool:
        """Whether whoever is live can be expected to have been heard of here."""
        now = self.now()
        return in_contact(self.configuration.replica, now) and self._contact.seconds(now) > LIVE_S

    # Time

    def report(self, now):
        """Control nodes report to each other by their summaries."""
        self.members.record_heartbeat(self.heartbeat(), now)
        self._summaries.send(self._peer_connections(), now)

    def on_tick(self, now):
        """Gateways that wait for a current version get it as soon as this replica is current."""
        self._stream_configuration()

    def on_heartbeat(self, now):
        """Tells all subscribers who is there, places shards, and spreads what can wait about backends."""
        self._contact.observe(in_contact(self.configuration.replica, now), now)
        self.members.forget_old(now)
        self._refresh_directory(now)
        self.directory_stream.send()
        self._placer.run(now)
        self.backend_reports.publish_pending_changes()
        heartbeat_interval_s = self.settings.heartbeat_ms / 1000
        self.backend_reports.expire_unresponsive(self._contact.seconds(now), heartbeat_interval_s)

    def _refresh_directory(self, now: float) -> None:
        directory = self.directory_stream.refresh(self.configuration, self._contact.seconds(now), now)
        if directory is not None:
            self.directory.take(self.address, directory)
        self.on_directory()

    # The operator's API, see configuration.ports

    async def order(self, order: ConfigOrder) -> ConfigOutcome:
        """An order on the configuration."""
        return await self.configuration.order(order)

    async def read(self) -> ReadReply:
        """The newest configuration."""
        return await self.configuration.read()

    async def backend_heartbeat(self, identity: str, report: dict) -> ReportOutcome:
        """A backend's heartbeat."""
        return await self.backend_reports.heartbeat(identity, report)

    async def leave(self, identity: str) -> ReportOutcome:
        """A backend has ended."""
        return await self.backend_reports.leave(identity)

    async def retire_start(self, node: str, deadline_s: float) -> RetireOutcome:
        """Begins to empty a store."""
        return await self.retirement.start(node)

    async def retire_state(self, node: str) -> RetireState:
        """How far the emptying of a store has come."""
        return await self.retirement.state(node)

    def status(self) -> dict:
        """What is known here of the whole tier."""
        now = self.now()
        state = self.configuration.state
        return status(
            self.member,
            in_contact(self.configuration.replica, now),
            state.version,
            self.members,
            ShardsWanted(state.placements, state.retiring),
            self.registry.all(),
            now,
        )

    def heartbeat_url(self) -> str | None:
        """Backends go on calling whom they called."""
        return None

    # Life

    async def start(self):
        """Serves the operator's API."""
        self._serving = self.spawn(
            self.environment.serve([Listener(OperatorApi(self), self.settings.listen_control, self._served)])
        )

    async def _served(self) -> None:
        await self.served_enough.wait()

    async def stop(self):
        """Hands over the shards owned here, then ends the API."""
        await self.shards.hand_over(HAND_OVER_S)
        self.served_enough.set()
        await asyncio.wait([self._serving], timeout=1.5)
