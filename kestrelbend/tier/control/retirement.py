"""The emptying of storage nodes, as the operator orders it and requests its state.

Invariant: nothing is answered here but what the configuration's confirmed owner has said: a state by
committed facts, a rejection by one that has owned for long enough to have heard of every live store.
"""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.messages import ConfigOrder, ConfigOutcome, OrderKind
from ..configuration.ports import RetireOutcome, RetireState
from ..configuration.shard_service import NOT_OWNER, ConfigurationService
from ..configuration.statuses import CONFLICT, NOT_FOUND, OK
from ..membership.placement import group_size
from ..membership.table import MemberTable

ALL_STORES_HEARD_S = 2.0  # of ownership, after which every live store has been heard of
SHORT_FAULT_S = 30.0  # for which an unresponsive store counts among those that will remain

OUTCOMES = {
    OK: RetireOutcome.ACCEPTED,
    NOT_FOUND: RetireOutcome.UNKNOWN_NODE,
    CONFLICT: RetireOutcome.TOO_FEW_LEFT,
}


class Retirement:
    """Takes the orders, and says how far they have come.

    `now` gives seconds of a steady clock; `owned_for(now)` is this node's time as the owner.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        members: MemberTable,
        tolerated_nodes: int,
        now: Callable[[], float],
        owned_for: Callable[[float], float],
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._size = group_size(tolerated_nodes)
        self._now = now
        self._owned_for = owned_for
        configuration.owner_check = self.rejection

    async def start(self, node: str) -> RetireOutcome:
        """Begins to empty a store."""
        outcome = await self._configuration.order(ConfigOrder(OrderKind.RETIRE, 0, node.encode()))
        return OUTCOMES.get(outcome.status, RetireOutcome.UNAVAILABLE)

    async def state(self, node: str) -> RetireState:
        """COMPLETE once every shard is known to have left the node, by the confirmed owner's state."""
        outcome = await self._configuration.order(ConfigOrder(OrderKind.RETIRE_STATE, 0, node.encode()))
        return RetireState(outcome.reason) if outcome.status == OK else RetireState.UNAVAILABLE

    def rejection(self, order: ConfigOrder) -> ConfigOutcome | None:
        """As the owner: why a store can't be emptied, or that this can't be said yet."""
        if order.kind != OrderKind.RETIRE:
            return None
        now = self._now()
        rejection = self.rejection_by_known_members(order.body.decode(), now)
        if rejection is not None and self._owned_for(now) < ALL_STORES_HEARD_S:
            return NOT_OWNER
        return rejection

    def rejection_by_known_members(self, node: str, now: float) -> ConfigOutcome | None:
        """Why a store can't be emptied, by what has been heard until now; it may not be all."""
        state = self._configuration.state
        if not state.stores.is_store(node):
            if any(member.node == node and member.serves_storage for member in self._members.members(now)):
                return NOT_OWNER  # it is being recorded
            return ConfigOutcome(NOT_FOUND, state.version, "no store of this name was ever here")
        if len(self._remaining_without(node, now)) < self._size:
            return ConfigOutcome(CONFLICT, state.version, "too few would be left")
        return None

    def _remaining_without(self, node: str, now: float) -> set[str]:
        """The nodes that can hold replicas, now or after a short fault, without this one."""
        stores = self._configuration.state.stores
        heard = self._members.members(now, within=SHORT_FAULT_S)
        remaining = {member.node for member in heard if member.replica}
        if self._owned_for(now) < SHORT_FAULT_S:
            remaining.update(disk.node for disk in stores.disks)
        return remaining - {*stores.retiring, node}
