"""The control process: the configuration's shard, the operator's API, backends' heartbeats, the directory.

Every control node answers everything: orders go on to the shard's owner, updates of backends to the other
control nodes.  The owner of the configuration's shard also decides who should hold which shard.
What it serves stands in `tier/control/`, a part a module; here the parts are joined, and messages dispatched.

Start: the configuration's replica is opened (seeds found it at the first start) -> the operator's API.
Stop: every shard owned here is handed over -> the API's listener closes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any, cast

from ..budgets.messages import BudgetRequest
from ..budgets.shard_service import BudgetShards
from ..configuration.messages import ConfigOrder, ConfigOutcome, ReadRequest
from ..configuration.operator_api import MAX_ORDER_BYTES, OperatorApi
from ..configuration.shard_ports import HostedShards
from ..configuration.shard_service import (
    FORWARD_TIMEOUT_S,
    NOT_OWNER,
    ConfigurationService,
)
from ..configuration.state_machine import ConfigurationStateMachine
from ..configuration.stream import ConfigStream
from ..control.backend_reports import BackendReports
from ..control.directory_stream import DirectoryStream
from ..control.member_summaries import MemberSummaries
from ..control.report_quorum import ControlReplicas, is_held_by_enough
from ..control.retirement import Retirement
from ..control.shard_placer import ShardPlacer
from ..control.shortfall_log import ShortfallLog, control_shortfall, group_shortfalls, voters_by_shard
from ..discovery.exchange import BackendExchange
from ..discovery.messages import BackendAck, BackendUpdate
from ..discovery.registry import BackendRegistry
from ..http_server.body_budget import BodyBudget
from ..http_server.response_budget import ResponseBudget
from ..http_server.server import Listener
from ..membership.contact_period import ContactPeriod
from ..membership.fault_tolerance import Tolerance
from ..membership.messages import (
    ConfigAck,
    ConfigFetch,
    Heartbeat,
    HeartbeatAck,
    MemberSummary,
    Subscribe,
)
from ..membership.owner_contact import in_contact
from ..membership.placement import (
    CONFIGURATION_SHARD,
    address_of,
    control_replicas,
    store_replicas,
    zones_of_replicas,
)
from ..membership.table import LIVENESS_TIMEOUT_S, RETENTION_S, MemberTable
from ..protocol.peer_connection import PeerConnection
from ..replication.host import ShardHost
from ..replication.interfaces import StateMachine
from ..replication.messages import ReplicaId, ShardId
from .addresses import CONTROL_PORT, seed_addresses
from .control_operations import ControlOperations
from .control_streams import ControlStreams
from .environment import Environment
from .layout_check import find_impossible_figures
from .process import TierProcess
from .serving_limits import body_bytes, client_limits, order_items, response_bytes
from .settings import Settings

HAND_OVER_TIMEOUT_S = 1.0
API_CLOSE_TIMEOUT_S = 1.5
BODY_COPIES = 2  # the body itself, and the order that is made of it


class ControlProcess(TierProcess):
    """One control process; its machine has a disk, since the configuration's replica is on it."""

    role = "control"
    port_offset = CONTROL_PORT
    holds_replicas = True
    max_control_connections = None  # the registry must reach every other control node

    def __init__(
        self, settings: Settings, settings_path: str, environment: Environment | None = None
    ) -> None:
        self.budgets = BudgetShards()  # before the disk is read: it makes state machines
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
            cast(HostedShards, self.host),  # outcomes of its shard are the configuration machine's
            self.connections,
            self.now,
            self.config_stream.wait_for_acks,
            self.environment.run_off_loop,
        )
        self._streams = ControlStreams(
            self.configuration, self.config_stream, self.exchange, self.directory_stream, self.now
        )
        self._placer = ShardPlacer(self.configuration, self.members, self._tolerance, self.spawn)
        self.retirement = Retirement(
            self.configuration, self.members, self._tolerance, self.now, self._placer.owned_for
        )
        self._shortfall_log = ShortfallLog(self.log)
        self._contact = ContactPeriod(self.now())
        self._serving: asyncio.Task[None] | None = None

    def _tolerance(self) -> Tolerance:
        """By the present settings, which may change while the process runs."""
        return self.settings.tolerance

    # The shards

    def machine_for(self, shard: ShardId) -> StateMachine:
        """The configuration's state, or a budget table where stores are too few."""
        if shard == CONFIGURATION_SHARD:
            return ConfigurationStateMachine()
        return self.budgets.create_state_machine(shard)

    def hosts_shard(self, shard: ShardId) -> bool:
        """Control nodes hold the configuration, too."""
        return shard == CONFIGURATION_SHARD or super().hosts_shard(shard)

    def open_replicas(self) -> None:
        """The configuration's replica is always here; seeds found it at the first start."""
        founders: tuple[ReplicaId, ...] = ()
        if self.settings.bootstrap:
            founders = tuple(f"{address}#first" for address in seed_addresses(self.settings))
        host = cast(ShardHost, self.host)
        host.open(CONFIGURATION_SHARD, founders, self.now()).enable_read_index_polling()
        super().open_replicas()

    def on_applied(self, shard: ShardId) -> None:
        """A new version goes to the gateways at once."""
        if shard == CONFIGURATION_SHARD and self.configuration.is_open:
            self._streams.stream_configuration()

    def config_version(self) -> int:
        """The version applied here."""
        return self.configuration.state.version if self.configuration.is_open else 0

    # Connections

    def control_addresses(self) -> list[str]:
        """All control nodes that this one or another one knows."""
        return list(dict.fromkeys(super().control_addresses() + self._summaries.control_addresses()))

    def _peer_connections(self) -> list[PeerConnection]:
        """Connections to the other control nodes that stand."""
        connections = [self.connections.to(address) for address in self.control_addresses()]
        return [connection for connection in connections if connection is not None]

    def _may_acknowledge_leaving(self, holders: set[str]) -> bool:
        """In contact, and enough control nodes hold the report: this one and those at `holders`."""
        known = holders | {self.address}
        held = is_held_by_enough(
            self._control_replicas(),
            lambda replica: address_of(replica) in known,
            self._tolerance(),
        )
        return held and in_contact(self.configuration.replica, self.now())

    def _control_replicas(self) -> ControlReplicas:
        now = self.now()
        voters = self.configuration.replica.voters
        stores = set(store_replicas(self.members.members(now, within=RETENTION_S)))
        live = self.members.members(now)
        return ControlReplicas(
            voting=tuple(voter for voter in voters if voter not in stores),
            live=control_replicas(live),
            zone_of=zones_of_replicas(live),
        )

    def on_peer(self, connection: PeerConnection) -> None:
        """Another control node gets all that is known of backends; it has no need of other streams."""
        if connection.address in self.control_addresses():
            self.exchange.send_complete(connection)

    def on_lost(self, connection: PeerConnection) -> None:
        """Ends the streams of a connection."""
        super().on_lost(connection)
        self._summaries.connection_lost(connection)
        self._streams.lost(connection)

    def on_message(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        """What others send to a control node."""
        match message:
            case Heartbeat():
                self.members.record_heartbeat(message, self.now())
                connection.send(HeartbeatAck(message.sequence, self._is_stable()))
            case MemberSummary():
                self._summaries.merge(connection, message, self.now())
            case Subscribe():
                self._streams.subscribe(connection, message)
            case ConfigAck():
                self.config_stream.record_ack(connection, message.version)
            case ConfigFetch():
                self._streams.send_newer_configuration(connection, message.version)
            case BackendAck():
                self.exchange.record_ack(connection, message)
            case BackendUpdate():
                self.backend_reports.merge(message.backends)
                self.exchange.reply_ack(connection, sequence, message)
            case ConfigOrder():
                self.spawn(_reply_with(connection, sequence, self._decide(message)))
            case ReadRequest():
                self.spawn(_reply_with(connection, sequence, self.configuration.read_as_owner()))
            case BudgetRequest():
                self.budgets.request(message, lambda reply: connection.reply(sequence, reply))

    async def _decide(self, order: ConfigOrder) -> ConfigOutcome:
        if not self.configuration.replica.is_leader:
            return NOT_OWNER
        return await self.configuration.decide(order, FORWARD_TIMEOUT_S)

    def _is_stable(self) -> bool:
        """Whether whoever is live can be expected to have been heard of here."""
        now = self.now()
        return (
            in_contact(self.configuration.replica, now) and self._contact.duration_s(now) > LIVENESS_TIMEOUT_S
        )

    # Time

    def report(self, now: float) -> None:
        """Control nodes report to each other by their summaries."""
        self.members.record_heartbeat(self.heartbeat(), now)
        self._summaries.send(self._peer_connections(), now)

    def on_tick(self, now: float) -> None:
        """Gateways that wait for a current version get it as soon as this replica is current."""
        self._streams.stream_configuration()

    def on_heartbeat(self, now: float) -> None:
        """Tells all subscribers who is there, places shards, and publishes what can wait about backends."""
        self._contact.observe(in_contact(self.configuration.replica, now), now)
        self.members.forget_expired(now)
        self._refresh_directory(now)
        self.directory_stream.send()
        self._placer.run(now)
        self._log_shortfalls(now)
        self.backend_reports.publish_pending_changes()
        heartbeat_interval_s = self.settings.heartbeat_ms / 1000
        self.backend_reports.expire_unresponsive(self._contact.duration_s(now), heartbeat_interval_s)

    def _log_shortfalls(self, now: float) -> None:
        replica = self.configuration.replica
        if not replica.is_leader:
            self._shortfall_log.forget()
            return
        voters = voters_by_shard(replica.voters, self.members.reports())
        size, spread = self._placer.group_size(now), self._placer.spread(now)
        known = self.members.members(now, within=RETENTION_S)
        control_zones = [member.zone for member in known if member.serves_control and member.replica]
        shortfalls = group_shortfalls(voters, size, spread)
        shortfalls |= control_shortfall(control_zones, spread.tolerance)
        self._shortfall_log.observe(shortfalls, now)

    def _refresh_directory(self, now: float) -> None:
        directory = self.directory_stream.refresh(self.configuration, self._contact.duration_s(now), now)
        if directory is not None:
            self.directory.merge(self.address, directory)
        self.on_directory()

    # Start and stop

    async def start(self) -> None:
        """Serves the operator's API."""
        for figure in find_impossible_figures(self.settings):
            self.log.warning("{}", figure)
        operations = ControlOperations(
            self.member,
            self.configuration,
            self.members,
            self.registry,
            self.backend_reports,
            self.retirement,
            self._placer,
            self.now,
        )
        bodies = BodyBudget(lambda: body_bytes(self.settings, MAX_ORDER_BYTES, BODY_COPIES), BODY_COPIES)
        responses = ResponseBudget(lambda: response_bytes(self.settings, MAX_ORDER_BYTES))
        listener = Listener(
            OperatorApi(operations, bodies, responses, lambda: order_items(self.settings)),
            self.settings.listen_control,
            self.until_served_enough,
            connection_limits=client_limits(self.settings),
        )
        self._serving = self.spawn(self.environment.serve([listener]))

    async def stop(self) -> None:
        """Hands over the shards owned here, then ends the API."""
        await self.shards.hand_over(HAND_OVER_TIMEOUT_S)
        self.served_enough.set()
        if self._serving is not None:
            await asyncio.wait([self._serving], timeout=API_CLOSE_TIMEOUT_S)


async def _reply_with(connection: PeerConnection, sequence: int, answer: Awaitable[object]) -> None:
    connection.reply(sequence, await answer)
