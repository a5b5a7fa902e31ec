"""The gateway process: serves clients by the data plane.

Control nodes stream the configuration, the backends and the directory; stores are asked for budgets.

    ready = a configuration confirmed as the newest + every budget shard placed + a complete update of the
            backends + contact with the control nodes and with the owners of the budgets (`gateway_contact`)

Start: the listeners open at once, requests wait for the first readiness (`dataplane.lifecycle`).
Stop: not ready any more -> the platform has had the time to notice -> no new connections, what runs is
finished -> settlements are brought to their owners.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ..budgets.names import ReservationNameGenerator
from ..dataplane.app import build_data_plane
from ..dataplane.lifecycle import Lifecycle
from ..dataplane.network import TcpNetwork
from ..dataplane.ports import Dependencies, Limits
from ..dataplane.ready import ReadyApplication
from ..discovery.messages import BackendUpdate
from ..discovery.view import BackendView
from ..http_server.body_budget import BodyBudget
from ..http_server.server import Listener
from ..membership.messages import ConfigUpdate, ContactReply, ContactRequest
from ..membership.placement import address_of, budget_shards
from ..protocol.peer_connection import PeerConnection
from .addresses import GATEWAY_PORT
from .environment import Environment
from .gateway_backends import GatewayBackends
from .gateway_budgets import GatewayBudgets
from .gateway_configuration import GatewayConfiguration
from .gateway_contact import GatewayContact
from .process import TierProcess
from .routing_state import RoutingState
from .serving_limits import body_bytes, client_limits, health_check_limits
from .settings import Settings

BODY_COPIES = 2  # the body itself, and what waits to be sent to a backend
DRAIN_NOTICE_S = 2.6  # the platform's two misses of readiness, and a little


class GatewayProcess(TierProcess):
    """One gateway."""

    role = "gateway"
    port_offset = GATEWAY_PORT

    def __init__(
        self, settings: Settings, settings_path: str, environment: Environment | None = None
    ) -> None:
        super().__init__(settings, settings_path, environment)
        self.routing = RoutingState()
        self.view = BackendView()
        self.lifecycle = Lifecycle()
        self.contact = GatewayContact(settings.ip)
        self.configuration = GatewayConfiguration(
            self.routing, self.connections, self.control_addresses, self.now
        )
        self.backends = GatewayBackends(self.view, self.now)
        self.budgets = GatewayBudgets(
            ReservationNameGenerator(settings.ip, self.incarnation),
            self.directory,
            self.connections,
            self.contact,
            self.now,
        )
        self._serving: asyncio.Task[None] | None = None
        dependencies = Dependencies(
            self.routing,
            self.backends,
            self.budgets,
            TcpNetwork(),
            settings.zone,
            gateways=self._gateways,
            may_refuse=self.may_refuse,
            bodies=BodyBudget(self._body_bytes, BODY_COPIES),
        )
        self.data_plane = build_data_plane(dependencies, self.lifecycle)

    def _gateways(self) -> int:
        return max(1, sum(member.serves_front for member in self.directory.members))

    def may_refuse(self) -> bool:
        """Whether the statuses of `dataplane.app.BY_CONFIGURATION` may be given.

        They may while the configuration in force was the newest lately.
        """
        return self.contact.may_refuse(self.routing.version, self.now())

    # Streams

    def config_version(self) -> int:
        """The version that requests are handled by."""
        return self.routing.version

    def on_message(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        """What control nodes stream."""
        match message:
            case ConfigUpdate():
                self.configuration.take(connection, message)
            case BackendUpdate():
                self.backends.take(connection, message)
            case ContactReply():
                self.contact.take(connection.address, message)

    def on_directory(self) -> None:
        """Budgets can be asked for once every shard is placed."""
        super().on_directory()
        self.budgets.follow_directory()

    def wanted_connections(self) -> set[str]:
        """Control nodes, and all that may own a budget shard."""
        wanted = super().wanted_connections()
        for shard in self.directory.placements:
            wanted.update(address_of(voter) for voter in self.directory.voters_of(shard))
        return wanted

    # Time

    def on_tick(self, now: float) -> None:
        """Readiness follows what is known and who is in contact; nothing waits for those that are not."""
        self.contact.tick(now)
        self.configuration.fetch_due(now)
        self.lifecycle.set_ready(self._is_equipped(now))
        self.budgets.fail_unreachable(now)

    def on_heartbeat(self, now: float) -> None:
        """Asks who is in contact, and forgets backends that are unresponsive."""
        self._ask_for_contact(now)
        self.backends.refresh_due(now, self.settings.heartbeat_ms / 1000)

    def _ask_for_contact(self, now: float) -> None:
        replicas = {shard: self.budgets.addresses(shard) for shard in budget_shards()}
        self.contact.follow(self.control_addresses(), replicas)
        for address, ticket in self.contact.due_requests(now).items():
            connection = self.connections.to(address)
            if connection is not None:
                connection.send(ContactRequest(ticket))

    def _is_equipped(self, now: float) -> bool:
        """Whether there is all that requests are served by."""
        table = self.routing.current()
        if table is None or not self.configuration.is_current:
            return False
        if self.budgets.client is None or not self.backends.is_notified:
            return False
        return self.contact.serves(now) and self.backends.suffice(table.services, now)

    # Start and stop

    async def start(self) -> None:
        """Serves clients, and the platform's health check of readiness."""
        clients = Listener(
            self.data_plane,
            self.settings.listen_clients,
            self.until_served_enough,
            self.data_plane.stop_accepting,
            client_limits(self.settings),
        )
        ready = Listener(
            ReadyApplication(self.lifecycle),
            self.settings.listen_ready,
            self.until_served_enough,
            connection_limits=health_check_limits(self.settings),
        )
        self._serving = self.spawn(self.environment.serve([clients, ready], limits=self._limits))

    def _limits(self) -> Limits | None:
        table = self.routing.current()
        return None if table is None else table.limits

    def _body_bytes(self) -> int:
        limits = self._limits()
        return body_bytes(self.settings, 0 if limits is None else limits.max_body_bytes, BODY_COPIES)

    async def stop(self) -> None:
        """Takes no new connections, finishes what runs, and brings the settlements home."""
        self.lifecycle.drain()
        grace_s = self.settings.bounds.grace_s
        await asyncio.sleep(min(DRAIN_NOTICE_S, grace_s / 3))
        self.served_enough.set()
        if self._serving is not None:
            await asyncio.wait([self._serving], timeout=self.settings.bounds.grace_s / 2)
        await self.budgets.close()
