"""The gateway process: serves clients by the data plane, told by control nodes, asking stores for budgets."""

from __future__ import annotations

import asyncio

from ..budgets.client import BudgetClient
from ..budgets.names import ReservationNames
from ..budgets.messages import BudgetReply, BudgetRequest, Reserve, ReserveOutcome, Settlement, Verdict
from ..configuration.announced_versions import AnnouncedVersions
from ..configuration.document import read_accepted
from ..configuration.routing import RoutingTable
from ..dataplane.app import assemble
from ..dataplane.life import Life
from ..dataplane.network import TcpNetwork
from ..dataplane.ready import ReadyApplication
from ..dataplane.server import Listener
from ..discovery.messages import BackendAck, BackendUpdate
from ..discovery.view import BackendView
from ..membership.messages import ConfigAck, ConfigFetch, ConfigUpdate, ContactReply, ContactRequest
from ..membership.placement import BUDGET_SHARDS, address_of, budget_shards
from .addresses import GATEWAY_PORT
from .gateway_contact import GatewayContact, Standing
from .process import TierProcess

BUDGET_REPLY_S = 0.35
SETTLED_BACKENDS_S = 3.0  # after this a gateway serves though some service has no backend yet
VIEW_CHECK_S = 1.0
LEAVE_S = 2.6  # the platform's two misses of readiness, and a little
SETTLE_S = 0.8


class RoutingState:
    """The routing table in force; `take` never goes back."""

    def __init__(self):
        self._table: RoutingTable | None = None

    def current(self) -> RoutingTable | None:
        """The newest table, None before the first configuration."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return 0 if self._table is None else self._table.version

    def take(self, version: int, body: bytes) -> None:
        """Puts a newer version in force."""
        if version > self.version:
            self._table = RoutingTable.from_document(version, read_accepted(body).values)


class GatewayProcess(TierProcess):
    """One gateway."""

    role = "gateway"
    port_offset = GATEWAY_PORT

    def __init__(self, settings, settings_path, environment=None):
        super().__init__(settings, settings_path, environment)
        self.routing = RoutingState()
        self._announced = AnnouncedVersions()
        self.view = BackendView()
        self.life = Life()
        self.budget_client: BudgetClient | None = None
        self._reservation_names = ReservationNames(settings.ip, self.incarnation)
        self._current = False
        self._backends_notified_at: float | None = None
        self.contact = GatewayContact(settings.ip)
        self._view_checked = 0.0
        self._serving: asyncio.Task | None = None
        self.data_plane = assemble(
            self.routing,
            self,
            self,
            TcpNetwork(),
            settings.zone,
            self.life,
            gateways=self._gateways,
            may_refuse=self.may_refuse,
        )

    def _gateways(self) -> int:
        return max(1, sum(member.serves_front for member in self.directory.members))

    # Streams

    def config_version(self):
        """The version that requests are handled by."""
        return self.routing.version

    def on_message(self, connection, message, sequence):
        """What control nodes stream."""
        if isinstance(message, ConfigUpdate):
            self._take_configuration(connection, message)
        elif isinstance(message, BackendUpdate):
            self._take_backends(connection, message)
        elif isinstance(message, ContactReply):
            self.contact.take(connection.address, message)

    def _take_configuration(self, connection, update: ConfigUpdate) -> None:
        before = self.routing.version
        if update.body:
            self.routing.take(update.version, update.body)
        if self.routing.version < update.version:
            self._announced.record(connection.address, update.version, self.now())
            return
        if update.current:
            self._current = True
        if self.routing.version > before:
            self._acknowledge_configuration()
        else:
            connection.send(ConfigAck(self.routing.version))

    def _acknowledge_configuration(self) -> None:
        """Each control node that streams or announces here may have an order that waits for this."""
        for address in self.control_addresses():
            connection = self.connections.to(address)
            if connection is not None:
                connection.send(ConfigAck(self.routing.version))

    def _fetch_configuration(self, now: float) -> None:
        """Asks for a version that was announced and has not come."""
        address = self._announced.next_to_ask(self.routing.version, now)
        connection = None if address is None else self.connections.to(address)
        if connection is not None:
            connection.send(ConfigFetch(self.routing.version))

    def _take_backends(self, connection, update: BackendUpdate) -> None:
        now = self.now()
        self.view.merge(update, now)
        if update.complete and self._backends_notified_at is None:
            self._backends_notified_at = now
        connection.send(BackendAck(update.sender, update.number))

    def on_directory(self):
        """Budgets can be asked for once every shard is placed: a program always meets the same one."""
        super().on_directory()
        placed = self.directory.placements
        if self.budget_client is None and all(shard in placed for shard in budget_shards()):
            self.budget_client = BudgetClient(
                self._send_budget, self._budget_addresses, BUDGET_SHARDS, may_wait=self._may_wait
            )

    def wanted_connections(self):
        """Control nodes, and all that may own a budget shard."""
        wanted = super().wanted_connections()
        for shard in self.directory.placements:
            wanted.update(address_of(voter) for voter in self.directory.voters_of(shard))
        return wanted

    # Budgets

    def _budget_addresses(self, shard: str) -> list[str]:
        owner = self.directory.owner_of(shard)
        voters = self.directory.voters_of(shard)
        ordered = ([owner] if owner else []) + [voter for voter in voters if voter != owner]
        return [address_of(voter) for voter in ordered]

    async def _send_budget(self, address: str, request: BudgetRequest) -> BudgetReply | None:
        connection = self.connections.to(address)
        if connection is None:
            return None
        requested_at = self.now()
        reply = await connection.request(request, BUDGET_REPLY_S)
        if not isinstance(reply, BudgetReply):
            return None
        self.contact.replied(address, request.shard, reply.owner, requested_at)
        return reply

    def _may_wait(self, shard: str) -> bool:
        """Whether an owner of the shard answers, or soon will."""
        return self.contact.shard(shard, self.now()) is not Standing.LOST

    def reservation_name(self, request_id: str) -> str:
        """A name that no other try has, even where a client gives two requests one id."""
        return self._reservation_names.next()

    async def reserve(self, service: str, command: Reserve) -> ReserveOutcome:
        """A turn's tokens at the owner of its program's shard."""
        if self.budget_client is None:
            return ReserveOutcome(command.reservation, Verdict.NO_ANSWER, 0, 0, 0)
        return await self.budget_client.reserve(command)

    def settle(self, service: str, command: Settlement) -> None:
        """How a turn ended."""
        self.budget_client.settle(command)

    def spent_locally(self, program: str, most: int, budget: int) -> bool:
        """Whether the last total seen already refuses the turn."""
        return self.budget_client is not None and self.budget_client.spent_locally(program, most, budget)

    def may_refuse(self) -> bool:
        """Whether 401, 403 and 404 may be given by the configuration in force: it was the newest lately."""
        return self.contact.may_refuse(self.routing.version, self.now())

    # Backends

    def of(self, service: str):
        """The ready backends of a service."""
        return self.view.ready(service)

    def mark_departed(self, identity: str) -> None:
        """Another backend answered in this one's place."""
        self.view.mark_departed(identity, self.now())

    # Time

    def on_tick(self, now):
        """Readiness follows what is known and who is in contact; nothing waits for those that are not."""
        self.contact.tick(now)
        self._fetch_configuration(now)
        self.life.set_ready(self._equipped(now))
        if self.budget_client is not None:
            for shard in self.contact.lost_shards(now):
                self.budget_client.fail_pending(shard)

    def on_heartbeat(self, now):
        """Asks who is in contact, and forgets backends that are silent."""
        self._ask_for_contact(now)
        if now - self._view_checked >= VIEW_CHECK_S:
            self._view_checked = now
            self.view.refresh(now, self.settings.heartbeat_ms / 1000)

    def _ask_for_contact(self, now: float) -> None:
        replicas = {shard: self._budget_addresses(shard) for shard in budget_shards()}
        self.contact.follow(self.control_addresses(), replicas)
        for address, ticket in self.contact.due_requests(now).items():
            connection = self.connections.to(address)
            if connection is not None:
                connection.send(ContactRequest(ticket))

    def _equipped(self, now: float) -> bool:
        if not self._current or self.budget_client is None or self._backends_notified_at is None:
            return False
        if not self.contact.serves(now):
            return False
        if now - self._backends_notified_at > SETTLED_BACKENDS_S:
            return True
        table = self.routing.current()
        return all(self.view.ready(service) for service in table.services)

    # Life

    async def start(self):
        """Serves clients and the platform's question of readiness."""
        self._serving = self.spawn(
            self.environment.serve(
                [
                    Listener(
                        self.data_plane,
                        self.settings.listen_clients,
                        self._served,
                        self.data_plane.close_intake,
                    ),
                    Listener(ReadyApplication(self.life), self.settings.listen_ready, self._served),
                ],
                limits=self._limits,
            )
        )

    def _limits(self):
        table = self.routing.current()
        return None if table is None else table.limits

    async def _served(self) -> None:
        await self.served_enough.wait()

    async def stop(self):
        """Takes no new connections, finishes what runs, and brings the settlements home."""
        self.life.drain()
        await asyncio.sleep(min(LEAVE_S, self.settings.bounds.grace_s / 3))
        self.served_enough.set()
        await asyncio.wait([self._serving], timeout=self.settings.bounds.grace_s / 2)
        if self.budget_client is not None:
            await self.budget_client.close(SETTLE_S)
