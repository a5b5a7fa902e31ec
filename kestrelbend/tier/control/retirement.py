"""Retires storage nodes by order of the operator: their replicas are moved away.

Invariant: every answer comes from the confirmed owner of the configuration shard.  A state is based on
committed facts; a rejection is given only by a node that has been the owner for long enough to know every
live store.
"""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.messages import ConfigOrder, ConfigOutcome, OrderKind
from ..configuration.ports import RetireOutcome, RetireState
from ..configuration.shard_service import NOT_OWNER, ConfigurationService
from ..configuration.statuses import CONFLICT, NOT_FOUND, OK
from ..membership.fault_tolerance import Tolerance, group_size, unavoidable_excess
from ..membership.table import MemberTable

ALL_STORES_HEARD_S = 2.0  # time as the owner after which heartbeats of all live stores have arrived
SHORT_FAULT_S = 30.0  # how long an unresponsive store still counts as one that will remain

OUTCOME_BY_STATUS = {
    OK: RetireOutcome.ACCEPTED,
    NOT_FOUND: RetireOutcome.UNKNOWN_NODE,
    CONFLICT: RetireOutcome.TOO_FEW_LEFT,
}


class Retirement:
    """Accepts orders to retire storage nodes and reports their progress.

    `now` returns seconds of a monotonic clock; `owned_for(now)` is how long this node has been the owner;
    `tolerance()` is which losses must be survived, by the present settings.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        members: MemberTable,
        tolerance: Callable[[], Tolerance],
        now: Callable[[], float],
        owned_for: Callable[[float], float],
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._tolerance = tolerance
        self._now = now
        self._owned_for = owned_for
        configuration.owner_check = self.rejection

    async def start(self, node: str) -> RetireOutcome:
        """Starts to move all replicas away from a store."""
        outcome = await self._configuration.submit(ConfigOrder(OrderKind.RETIRE, 0, node.encode()))
        return OUTCOME_BY_STATUS.get(outcome.status, RetireOutcome.UNAVAILABLE)

    async def state(self, node: str) -> RetireState:
        """Returns COMPLETE once every shard has left the node according to the confirmed owner's state."""
        outcome = await self._configuration.submit(ConfigOrder(OrderKind.RETIRE_STATE, 0, node.encode()))
        return RetireState(outcome.reason) if outcome.status == OK else RetireState.UNAVAILABLE

    def rejection(self, order: ConfigOrder) -> ConfigOutcome | None:
        """Returns, at the owner, why a store cannot be retired; `NOT_OWNER` if that is not known yet."""
        if order.kind != OrderKind.RETIRE:
            return None
        now = self._now()
        rejection = self.rejection_by_known_members(order.body.decode(), now)
        if rejection is not None and self._owned_for(now) < ALL_STORES_HEARD_S:
            return NOT_OWNER
        return rejection

    def rejection_by_known_members(self, node: str, now: float) -> ConfigOutcome | None:
        """Returns why a store cannot be retired, judged by the members known so far, which may not be all."""
        state = self._configuration.state
        if not state.stores.is_store(node):
            if any(member.node == node and member.serves_storage for member in self._members.members(now)):
                return NOT_OWNER  # the store is live but not recorded yet
            return ConfigOutcome(NOT_FOUND, state.version, "no store of this name was ever here")
        if not self._may_do_without(node, now):
            return ConfigOutcome(CONFLICT, state.version, "too few would be left")
        return None

    def _may_do_without(self, node: str, now: float) -> bool:
        """Whether groups survive the same losses on the other nodes.

        What cannot be survived with this node either, as too few zones have disks, is no reason to keep it.
        """
        zones = self._zones_of_nodes(now)
        remaining = [zone for name, zone in zones.items() if name != node]
        if len(remaining) < self._tolerance().min_group_size:
            return False
        return self._excess(remaining) <= self._excess(list(zones.values()))

    def _excess(self, disk_zones: list[str]) -> int:
        """Returns the excess of the best group on disks in these zones."""
        tolerance = self._tolerance()
        return unavoidable_excess(disk_zones, group_size(tolerance, disk_zones), tolerance)

    def _zones_of_nodes(self, now: float) -> dict[str, str]:
        """Returns the zone of each node that can hold replicas, now or after a short fault.

        A node that no heartbeat has told of counts as a zone of its own.
        """
        stores = self._configuration.state.stores
        zones: dict[str, str] = {}
        if self._owned_for(now) < SHORT_FAULT_S:
            zones.update((disk.node, disk.node) for disk in stores.disks)
        recent_members = self._members.members(now, within=SHORT_FAULT_S)
        zones.update((member.node, member.zone) for member in recent_members if member.replica)
        return {node: zone for node, zone in zones.items() if node not in stores.retiring}
