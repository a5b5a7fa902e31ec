"""The control process: the configuration's shard, the operator's API, backends' heartbeats, the directory.

Every control node answers everything: orders go on to the shard's owner, news of backends to the other
control nodes.  The owner of the configuration's shard also decides who should hold which shard.
"""

from __future__ import annotations

import asyncio

import attrs

from ..budgets.messages import BudgetRequest
from ..budgets.shard_service import BudgetShards
from ..configuration.messages import ConfigOrder, ConfigOutcome, OrderKind, ReadReply, ReadRequest
from ..configuration.operator_api import OperatorApi
from ..configuration.placements import encode_placement
from ..configuration.shard_service import NOT_OWNER, ConfigurationMachine, ConfigurationService
from ..configuration.stream import ConfigStream
from ..dataplane.server import Listener
from ..discovery.exchange import BackendExchange
from ..discovery.messages import Backend, BackendAck, BackendState, BackendUpdate
from ..discovery.registry import BackendRegistry, BeatRejected
from ..membership.messages import (
    ConfigAck,
    Directory,
    Heartbeat,
    MemberSummary,
    ShardPlacement,
    ShardReport,
    Subscribe,
)
from ..membership.placement import (
    CONFIGURATION_SHARD,
    SPARE_S,
    budget_shards,
    candidates,
    found_budget_shards,
    group_size,
    next_voters,
)
from ..membership.placement_changes import due_placements
from ..membership.status import ShardsWanted, status
from ..membership.table import MemberTable, merge
from ..protocol.codec import encode
from ..protocol.links import Link
from .process import CONTROL_PORT, TierProcess

HAND_OVER_S = 1.0
LEAVING_S = SPARE_S + 0.1  # a process that leaves counts as silent for this long
FOUNDING_WAIT_S = 2.5  # for stores to come before budgets are founded on what is there
NOT_FOUND = 404
TOO_FEW = 409
NOT_NOW = 503
OK = 200
BAD_REQUEST = 400


class ControlProcess(TierProcess):
    """One control process."""

    role = "control"
    port_offset = CONTROL_PORT
    holds_replicas = True
    most_control_links = None  # the registry must reach every other control node

    def __init__(self, settings, settings_path, environment=None):
        self.budgets = BudgetShards()
        super().__init__(settings, settings_path, environment)
        self.budgets.attach(self.host, self.now)
        self.members = MemberTable()
        self.registry = BackendRegistry()
        self._streamed = 0  # the registry's number that subscribers were brought to
        self.exchange = BackendExchange(self.address, self.registry.all, self._peer_links)
        self.config_stream = ConfigStream()
        self.configuration: ConfigurationService | None = None
        self._directory_links: dict[Link, Directory | None] = {}
        self._told: Directory | None = None
        self._summary_at = self.now()
        self._owner_since = 0.0
        self._in_touch_since = self.now()
        self._proposing = False
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
            founders = tuple(f"{address}#first" for address in self.seed_addresses())
        self.host.open(CONFIGURATION_SHARD, founders, self.now())
        self.configuration = ConfigurationService(
            self.host, self.links, self.now, self.config_stream.until_acknowledged
        )
        super().open_replicas()

    def on_applied(self, shard):
        """A new version goes to the gateways at once."""
        if shard == CONFIGURATION_SHARD and self.configuration is not None:
            self._stream_configuration()

    def _stream_configuration(self) -> None:
        state = self.configuration.state
        if state.version:
            current = self.configuration.replica.in_touch(self.now())
            self.config_stream.stream(state.version, state.body, current)

    def config_version(self):
        """The version applied here."""
        return self.configuration.state.version if self.configuration else 0

    # Links

    def _peer_links(self) -> list[Link]:
        """Connections to the other control nodes that stand."""
        addresses = set(self.control_addresses())
        links = [self.links.to(address) for address in addresses]
        return [link for link in links if link is not None]

    def on_peer(self, link):
        """Another control node gets all that is known of backends; it has no need of other streams."""
        if link.address in self.control_addresses():
            self.exchange.tell_peer_everything(link)

    def on_lost(self, link):
        """Ends the streams of a connection."""
        super().on_lost(link)
        self.exchange.lost(link)
        self.config_stream.lost(link)
        self._directory_links.pop(link, None)

    def on_message(self, link, message, sequence):
        """What others say to a control node."""
        if isinstance(message, Heartbeat):
            self.members.heard(message, self.now())
        elif isinstance(message, MemberSummary):
            merge(self.members, message.beats, self.now())
        elif isinstance(message, Subscribe):
            self._subscribe(link, message)
        elif isinstance(message, ConfigAck):
            self.config_stream.take_ack(link, message.version)
        elif isinstance(message, BackendAck):
            self.exchange.take_ack(link, message)
        elif isinstance(message, BackendUpdate):
            self._merge_backends(message.backends)
            self.exchange.acknowledge_news(link, sequence, message)
        elif isinstance(message, ConfigOrder):
            self._answer(link, sequence, self._decide(message))
        elif isinstance(message, ReadRequest):
            self._answer(link, sequence, self._read_here())
        elif isinstance(message, BudgetRequest):
            self.budgets.request(message, lambda reply: link.reply(sequence, reply))

    def _answer(self, link, sequence, answering) -> None:
        async def answer():
            link.reply(sequence, await answering)

        self.spawn(answer())

    async def _decide(self, order: ConfigOrder) -> ConfigOutcome:
        if not self.configuration.replica.is_owner:
            return NOT_OWNER
        return await self.configuration.decide(order)

    async def _read_here(self) -> ReadReply:
        return await self.configuration.read_here()

    def _subscribe(self, link: Link, message: Subscribe) -> None:
        self._directory_links[link] = None
        if message.member.serves_front:
            self.config_stream.subscribe(link, message.config_version)
            self.exchange.subscribe(link)
            self._stream_configuration()
        self._send_directory()

    def _merge_backends(self, backends) -> None:
        now = self.now()
        for backend in backends:
            self.registry.merge(backend, now)
        self.exchange.stream(self._registry_changes())

    def _registry_changes(self) -> list[Backend]:
        """What has changed in the registry since this was last asked."""
        changes = self.registry.changes_since(self._streamed)
        self._streamed = changes.number
        return list(changes.backends)

    # Time

    def on_tick(self, now):
        """Gateways that wait for a current version get it as soon as this replica is in touch."""
        self._stream_configuration()

    def on_heartbeat(self, now):
        """Tells the other monitors and all subscribers who is there, and places shards."""
        self.members.heard(self.heartbeat(), now)
        self.members.forget_old(now)
        beats = self.members.heard_since(self._summary_at)
        self._summary_at = now
        if beats:
            summary = MemberSummary(self.address, tuple(beats))
            for link in self._peer_links():
                link.send(summary)
        self._refresh_directory(now)
        self._send_directory()
        self._place_shards(now)
        self._presume_silent_gone(now)

    def _presume_silent_gone(self, now: float) -> None:
        if not self.configuration.replica.in_touch(now):
            self._in_touch_since = now
        beat_interval = self.settings.heartbeat_ms / 1000
        self.registry.expired(now, beat_interval, self._in_touch_since)
        self.exchange.stream(self._registry_changes())

    def _own_directory(self, now: float) -> Directory:
        state = self.configuration.state
        reports = sorted(self.members.reports().values(), key=lambda report: report.shard)
        return Directory(
            version=self.configuration.replica.applied_index,
            members=tuple(self.members.members(now)),
            placements=state.placements,
            owners=tuple(without_progress(report) for report in reports),
            retiring=state.retiring,
        )

    def _refresh_directory(self, now: float) -> None:
        """Keeps the directory that was told last for as long as it says the same."""
        directory = self._own_directory(now)
        if directory != self._told:
            self._told = directory
            self.directory.take(self.address, directory)
        self.on_directory()

    def _send_directory(self) -> None:
        """Brings all subscribers to the directory; one encoding serves all."""
        if self._told is None:
            return
        encoded = None
        for link, sent in list(self._directory_links.items()):
            if sent is not self._told:
                encoded = encoded or encode(self._told)
                link.send_encoded(encoded)
                self._directory_links[link] = self._told

    # Placement, by the owner of the configuration's shard

    def _place_shards(self, now: float) -> None:
        replica = self.configuration.replica
        if not replica.is_owner:
            self._owner_since = now
            return
        self._place_configuration(now)
        if self._proposing or now - self._owner_since < 0.5:
            return
        orders = [self._placement_order(placed) for placed in self._due_placements(now)]
        if orders:
            self._proposing = True
            self.spawn(self._order_placements(orders))

    def _place_configuration(self, now: float) -> None:
        replica = self.configuration.replica
        available = candidates(self.members.staying(now), (), stores_first=False)
        replica.set_learners([candidate.replica for candidate in available])
        voters = next_voters(
            tuple(replica.voters),
            group_size(self.settings.tolerate_nodes),
            available,
            lambda voter: self._silence(voter, now),
        )
        replica.set_target(voters)

    def _silence(self, replica_id: str, now: float) -> float:
        """For how long a replica has been away.

        One that was never heard of here may still be starting, as may this process; one that leaves may come
        back, but a spare need not wait for that.
        """
        silence = min(self.members.silence(replica_id, now), now - self._owner_since)
        return max(silence, LEAVING_S) if self.members.is_leaving(replica_id) else silence

    def _due_placements(self, now: float) -> list[ShardPlacement]:
        state = self.configuration.state
        available = candidates(self.members.staying(now), state.retiring, stores_first=True)
        size = group_size(self.settings.tolerate_nodes)
        placed_shards = {placed.shard for placed in state.placements}
        if not placed_shards.issuperset(budget_shards()):
            stores = [candidate for candidate in available if candidate.preference == 0]
            too_early = len(stores) < size and now - self._owner_since < FOUNDING_WAIT_S
            if too_early or not available:
                return []
            return found_budget_shards(placed_shards, size, available)
        return due_placements(
            state.placements,
            size,
            available,
            self.members,
            state.retiring,
            now,
            lambda replica_id: self._silence(replica_id, now),
        )

    @staticmethod
    def _placement_order(placed) -> ConfigOrder:
        return ConfigOrder(OrderKind.PLACEMENT, 0, encode_placement(placed))

    async def _order_placements(self, orders) -> None:
        try:
            for order in orders:
                await self.configuration.decide(order)
        finally:
            self._proposing = False

    # The operator's API, see configuration.ports

    async def order(self, order: ConfigOrder) -> ConfigOutcome:
        """An order on the configuration."""
        return await self.configuration.order(order)

    async def read(self) -> ReadReply:
        """The newest configuration."""
        return await self.configuration.read()

    async def beat(self, identity: str, report: dict) -> int:
        """A backend's heartbeat: known here and, where it matters, everywhere before it is acknowledged."""
        return await self._taken(self.registry.beat(identity, report, self.now()))

    async def leave(self, identity: str) -> int:
        """A backend has ended."""
        return await self._taken(self.registry.leave(identity, self.now()))

    async def _taken(self, outcome: Backend | BeatRejected) -> int:
        if isinstance(outcome, BeatRejected):
            return BAD_REQUEST
        changes = self._registry_changes()
        if any(backend.state != BackendState.READY for backend in changes):
            await self.exchange.tell_all(changes)
        else:
            self.exchange.stream(changes)
            self.exchange.tell_peers(changes)
        return OK

    async def retire_start(self, node: str, deadline_s: float) -> int:
        """Begins to empty a store."""
        now = self.now()
        live = self.members.members(now)
        if not any(member.node == node and member.serves_storage for member in live):
            return NOT_FOUND
        emptied = {*self.configuration.state.retiring, node}
        left = candidates(live, emptied, stores_first=True)
        if len(left) < group_size(self.settings.tolerate_nodes):
            return TOO_FEW
        outcome = await self.configuration.order(ConfigOrder(OrderKind.RETIRE, 0, node.encode()))
        return outcome.status or NOT_NOW

    async def retire_state(self, node: str) -> str | None:
        """`running` until no shard has a voter on the node."""
        if node not in self.configuration.state.retiring:
            return None
        now = self.now()
        holders = {voter for report in self.members.reports().values() for voter in report.voters}
        wanted = {voter for placed in self.configuration.state.placements for voter in placed.voters}
        for member in self.members.members(now, within=60.0):
            if member.node == node and member.replica in holders | wanted:
                return "running"
        return "complete"

    def status(self) -> dict:
        """What is known here of the whole tier."""
        now = self.now()
        state = self.configuration.state
        return status(
            self.member,
            self.configuration.replica.in_touch(now),
            state.version,
            self.members,
            ShardsWanted(state.placements, state.retiring),
            self.registry.all(),
            now,
        )

    def beat_url(self) -> str | None:
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
        await self.hand_over(HAND_OVER_S)
        self.served_enough.set()
        await asyncio.wait([self._serving], timeout=1.5)


def without_progress(report: ShardReport) -> ShardReport:
    """A report as the directory tells it: what changes with each command is left out."""
    return attrs.evolve(report, applied_index=0, commit_index=0)
