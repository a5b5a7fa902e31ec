"""Who should hold which shard: decided by the owner of the configuration's shard, kept as entries of it.

One pass of the placer, at each heartbeat:

    not the owner ------------------------------> nothing
    owner ---> learners and voters of the configuration's own group
          ---> after `FIRST_HEARTBEATS_S`, and while no earlier orders are being committed:
               unknown disks, then due placements, then what is proved to be emptied

Invariant: a placement of a budget shard is proposed by nobody but the owner, and counts once it is committed;
every disk that it names is recorded before.  The budgets are founded on a complete group or not at all.
All times are this node's steady clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from ..configuration.messages import ConfigOrder, OrderKind
from ..configuration.placements import encode_placement
from ..configuration.shard_service import NOT_OWNER, ConfigurationService
from ..membership.messages import ShardPlacement
from ..membership.placement import (
    PREFERRED,
    SPARE_TIMEOUT_S,
    budget_shards,
    candidates,
    group_size,
    initial_budget_placements,
    next_voters,
)
from ..membership.placement_changes import due_placements
from ..membership.table import MemberTable
from .store_facts import due_emptied_orders, unknown_disk_orders

LEAVING_ABSENCE_S = SPARE_TIMEOUT_S + 0.1  # a process that leaves counts as absent for at least this long
STORE_JOIN_WAIT_S = 2.5  # for stores to come before budgets are founded on what is there
FIRST_HEARTBEATS_S = 0.5  # for heartbeats to come in, from the beginning of an ownership

Spawn = Callable[[Coroutine[Any, Any, None]], object]
"""Runs a coroutine beside the others."""


class ShardPlacer:
    """Moves the shards to where they should be, while the configuration's shard is owned here."""

    def __init__(
        self,
        configuration: ConfigurationService,
        members: MemberTable,
        tolerated_nodes: int,
        spawn: Spawn,
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._size = group_size(tolerated_nodes)
        self._spawn = spawn
        self._owner_since = 0.0
        self._owned_epoch: int | None = None
        self._proposing = False  # orders of an earlier pass are being committed

    def run(self, now: float) -> None:
        """Takes the steps that are due now."""
        self._record_ownership(now)
        if self._owned_epoch is None:
            return
        self._place_configuration(now)
        if self._proposing or self.owned_for(now) < FIRST_HEARTBEATS_S:
            return
        orders = self._due_orders(now)
        if orders:
            self._proposing = True
            self._spawn(self._decide_all(orders))

    def owned_for(self, now: float) -> float:
        """For how long the configuration's shard has been owned here; 0 where it isn't."""
        replica = self._configuration.replica
        is_same = replica.is_leader and replica.term == self._owned_epoch
        return now - self._owner_since if is_same else 0.0

    def _record_ownership(self, now: float) -> None:
        replica = self._configuration.replica
        epoch = replica.term if replica.is_leader else None
        if epoch != self._owned_epoch:
            self._owned_epoch = epoch
            self._owner_since = now

    def _due_orders(self, now: float) -> list[ConfigOrder]:
        """Disks first: a placement counts on its voters' nodes being known."""
        state = self._configuration.state
        disks = unknown_disk_orders(state, self._members.members(now))
        placements = [self._placement_order(placed) for placed in self._due_placements(now)]
        return disks + placements + due_emptied_orders(state, self._members.reports())

    def _place_configuration(self, now: float) -> None:
        """Sets the learners of the configuration's own group, and the voters that it moves towards."""
        replica = self._configuration.replica
        stores = self._configuration.state.stores
        learners = candidates(self._members.staying(now), (), stores_first=False)
        replica.set_learners(tuple(candidate.replica for candidate in learners))
        available = candidates(self._members.staying(now), stores.retiring, stores_first=False)
        voters = next_voters(
            tuple(replica.voters),
            self._size,
            available,
            lambda voter: self._absence(voter, now),
            [voter for voter in replica.voters if stores.must_be_emptied(voter)],
        )
        replica.set_target(voters, term=replica.term)

    def _absence(self, replica_id: str, now: float) -> float:
        """For how long a replica has been away.

        One that was never heard of here may still be starting, as may this process; one that leaves may come
        back, but a spare need not wait for that.
        """
        absence = min(self._members.heartbeat_age(replica_id, now), self.owned_for(now))
        return max(absence, LEAVING_ABSENCE_S) if self._members.is_leaving(replica_id) else absence

    def _due_placements(self, now: float) -> list[ShardPlacement]:
        state = self._configuration.state
        available = candidates(self._members.staying(now), state.retiring, stores_first=True)
        placed_shards = {placed.shard for placed in state.placements}
        if not placed_shards.issuperset(budget_shards()):
            stores = [candidate for candidate in available if candidate.preference == PREFERRED]
            if len(stores) < self._size and self.owned_for(now) < STORE_JOIN_WAIT_S:
                return []
            return initial_budget_placements(placed_shards, self._size, available)
        return due_placements(
            state.placements,
            self._size,
            available,
            self._members,
            state.retiring,
            now,
            lambda replica_id: self._absence(replica_id, now),
        )

    @staticmethod
    def _placement_order(placed: ShardPlacement) -> ConfigOrder:
        return ConfigOrder(OrderKind.PLACEMENT, 0, encode_placement(placed))

    async def _decide_all(self, orders: list[ConfigOrder]) -> None:
        """One after the other: each counts on those before it."""
        try:
            for order in orders:
                outcome = await self._configuration.decide(order)
                if outcome == NOT_OWNER:
                    return
        finally:
            self._proposing = False
