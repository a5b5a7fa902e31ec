"""Places shards on replicas: decided by the owner of the configuration shard, committed to that shard.

One pass of the placer, at each heartbeat:

    not the owner ------------------------------> nothing
    owner ---> set learners and target voters of the configuration shard's own group: control nodes, and
               stores where these are too few
          ---> after `FIRST_HEARTBEATS_S`, and while no earlier orders are being committed:
               record unknown disks, then due placements, then shards that have left retiring nodes

Invariant: only the owner proposes a placement of a budget shard, and the placement takes effect once it is
committed; every disk that it names is recorded before.  The first placement of the budget shards needs enough
disks for a complete group, and waits for a while for stores in enough zones.  All times are seconds of this
node's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from ..configuration.messages import ConfigOrder, OrderKind
from ..configuration.placements import encode_placement
from ..configuration.shard_service import NOT_OWNER, ConfigurationService
from ..membership.fault_tolerance import Tolerance, group_size
from ..membership.messages import ShardPlacement
from ..membership.placement import (
    LAST_RESORT,
    PREFERRED,
    SPARE_TIMEOUT_S,
    Candidate,
    Spread,
    budget_candidates,
    budget_shards,
    can_form_group,
    configuration_candidates,
    configuration_voters,
    control_replicas,
    initial_budget_placements,
    zones_of_replicas,
)
from ..membership.placement_changes import due_placements
from ..membership.table import RETENTION_S, MemberTable
from .store_facts import due_emptied_orders, unknown_disk_orders

LEAVING_ABSENCE_S = SPARE_TIMEOUT_S + 0.1  # minimum absence counted for a leaving process
STORE_JOIN_WAIT_S = 2.5  # how long the first placement of budget shards waits for stores that suffice
FIRST_HEARTBEATS_S = 0.5  # how long a new owner waits for heartbeats before it proposes orders

Spawn = Callable[[Coroutine[Any, Any, None]], object]
"""Starts a coroutine as a concurrent task."""


class ShardPlacer:
    """Updates shard placements while this node owns the configuration shard.

    `tolerance()` returns which losses must be survived, by the present settings.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        members: MemberTable,
        tolerance: Callable[[], Tolerance],
        spawn: Spawn,
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._tolerance = tolerance
        self._spawn = spawn
        self._owner_since = 0.0
        self._owned_epoch: int | None = None
        self._proposing = False  # whether orders of an earlier pass are being committed

    def spread(self, now: float) -> Spread:
        """Returns how voters are to be spread: by the present settings, over all disks known here."""
        return Spread(self._tolerance(), zones_of_replicas(self._members.members(now, RETENTION_S)))

    def group_size(self, now: float) -> int:
        """Returns how many voters each group needs, by the present settings and the disks known here."""
        retiring = self._configuration.state.retiring
        members = self._members.members(now, RETENTION_S)
        zones = [member.zone for member in members if member.replica and member.node not in retiring]
        return group_size(self._tolerance(), zones)

    def run(self, now: float) -> None:
        """Runs one pass."""
        self._record_ownership(now)
        if self._owned_epoch is None:
            return
        self._place_configuration(now)
        if self._proposing or self.owned_for(now) < FIRST_HEARTBEATS_S:
            return
        orders = self._due_orders(now)
        if orders:
            self._proposing = True
            self._spawn(self._submit_orders(orders))

    def owned_for(self, now: float) -> float:
        """Returns how long this node has owned the configuration shard; 0 if it does not."""
        replica = self._configuration.replica
        still_owner = replica.is_leader and replica.term == self._owned_epoch
        return now - self._owner_since if still_owner else 0.0

    def _record_ownership(self, now: float) -> None:
        replica = self._configuration.replica
        epoch = replica.term if replica.is_leader else None
        if epoch != self._owned_epoch:
            self._owned_epoch = epoch
            self._owner_since = now

    def _due_orders(self, now: float) -> list[ConfigOrder]:
        """Returns the orders due now; disks come first, as a placement needs its voters' nodes recorded."""
        state = self._configuration.state
        disks = unknown_disk_orders(state, self._members.members(now))
        placements = [self._placement_order(placement) for placement in self._due_placements(now)]
        return disks + placements + due_emptied_orders(state, self._members.reports())

    def _place_configuration(self, now: float) -> None:
        """Sets the learners and the target voters of the configuration shard's own group.

        A leaving voter is replaced at once by any candidate, as its state is small: the successor of a
        control node may have replaced a store already.  A target is set only once all earlier entries are
        applied here: nodes that are being retired and disks are known by them.
        """
        replica = self._configuration.replica
        stores = self._configuration.state.stores
        replica.set_learners(control_replicas(self._members.staying(now)))
        if not replica.has_committed_in_term:
            return
        leaving = [voter for voter in replica.voters if self._members.is_leaving(voter)]
        retiring = [voter for voter in replica.voters if stores.is_on_retiring_node(voter)]
        voters = configuration_voters(
            replica.voters,
            self.group_size(now),
            self._configuration_candidates(now),
            lambda voter: self._absence(voter, now),
            leaving + retiring,
            stores.is_storage_disk,
            self.spread(now),
        )
        replica.set_target(voters, term=replica.term)

    def _configuration_candidates(self, now: float) -> list[Candidate]:
        """Returns the live disks that may hold the configuration; a store only once its disk is recorded."""
        stores = self._configuration.state.stores
        found = configuration_candidates(self._members.staying(now), stores.retiring)
        return [
            candidate
            for candidate in found
            if candidate.preference < LAST_RESORT or stores.is_recorded(candidate.replica)
        ]

    def _absence(self, replica_id: str, now: float) -> float:
        """Returns for how many seconds a replica has been absent.

        No absence is counted from before this ownership: a replica without a heartbeat here may still be
        starting, as may this process.  A leaving replica may come back, but a spare need not wait for that.
        """
        absence = min(self._members.heartbeat_age(replica_id, now), self.owned_for(now))
        return max(absence, LEAVING_ABSENCE_S) if self._members.is_leaving(replica_id) else absence

    def _due_placements(self, now: float) -> list[ShardPlacement]:
        state = self._configuration.state
        available = budget_candidates(self._members.staying(now), state.retiring)
        size, spread = self.group_size(now), self.spread(now)
        placed_shards = {placement.shard for placement in state.placements}
        if not placed_shards.issuperset(budget_shards()):
            stores = [candidate for candidate in available if candidate.preference == PREFERRED]
            if not can_form_group(size, stores, spread) and self.owned_for(now) < STORE_JOIN_WAIT_S:
                return []
            return initial_budget_placements(placed_shards, size, available, spread)
        return due_placements(
            state.placements,
            size,
            available,
            self._members,
            state.retiring,
            now,
            lambda replica_id: self._absence(replica_id, now),
            state.stores.is_storage_disk,
            spread,
        )

    @staticmethod
    def _placement_order(placement: ShardPlacement) -> ConfigOrder:
        return ConfigOrder(OrderKind.PLACEMENT, 0, encode_placement(placement))

    async def _submit_orders(self, orders: list[ConfigOrder]) -> None:
        """Submits orders one after the other, as each depends on the earlier ones."""
        try:
            for order in orders:
                outcome = await self._configuration.decide(order)
                if outcome == NOT_OWNER:
                    return
        finally:
            self._proposing = False
