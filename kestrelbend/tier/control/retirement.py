"""The emptying of storage nodes, as the operator orders it and asks after it.

Invariant: nothing is answered here but what the configuration's confirmed owner has said: a state by
committed facts, a refusal by one that has owned for long enough to have heard of every store that lives.
"""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.messages import ConfigOrder, ConfigOutcome, OrderKind
from ..configuration.ports import RetireOutcome, RetireState
from ..configuration.shard_service import NOT_OWNER, ConfigurationService
from ..configuration.statuses import CONFLICT, NOT_FOUND, OK
from ..membership.placement import group_size
from ..membership.table import MemberTable

HEARD_ALL_S = 2.0  # of ownership, after which every store that lives has been heard of
SHORT_TROUBLE_S = 30.0  # for which a silent store counts among those that will be left

OUTCOMES = {
    OK: RetireOutcome.ACCEPTED,
    NOT_FOUND: RetireOutcome.UNKNOWN_NODE,
    CONFLICT: RetireOutcome.TOO_FEW_LEFT,
}


class Retirement:
    """Takes the orders, and tells how far they have come; `owned_for` is this node's time as the owner."""

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
        configuration.owner_check = self.refusal

    async def start(self, node: str) -> RetireOutcome:
        """Begins to empty a store."""
        outcome = await self._configuration.order(ConfigOrder(OrderKind.RETIRE, 0, node.encode()))
        return OUTCOMES.get(outcome.status, RetireOutcome.UNAVAILABLE)

    async def state(self, node: str) -> RetireState:
        """COMPLETE once every shard is known to be gone from the node, by the confirmed owner's state."""
        outcome = await self._configuration.order(ConfigOrder(OrderKind.RETIRE_STATE, 0, node.encode()))
        return RetireState(outcome.reason) if outcome.status == OK else RetireState.UNAVAILABLE

    def refusal(self, order: ConfigOrder) -> ConfigOutcome | None:
        """As the owner: why a store can't be emptied, or that this can't be said yet."""
        if order.kind != OrderKind.RETIRE:
            return None
        node = order.body.decode()
        now = self._now()
        refusal = self._refusal(node, now)
        if refusal is not None and self._owned_for(now) < HEARD_ALL_S:
            return NOT_OWNER
        return refusal

    def _refusal(self, node: str, now: float) -> ConfigOutcome | None:
        state = self._configuration.state
        if not state.stores.is_store(node):
            if any(member.node == node and member.serves_storage for member in self._members.members(now)):
                return NOT_OWNER  # it is being noted
            return ConfigOutcome(NOT_FOUND, state.version, "no store of this name was ever here")
        if len(self._left_without(node, now)) < self._size:
            return ConfigOutcome(CONFLICT, state.version, "too few would be left")
        return None

    def _left_without(self, node: str, now: float) -> set[str]:
        """The nodes that can hold replicas, now or after a short trouble, once this one is gone."""
        stores = self._configuration.state.stores
        heard = self._members.members(now, within=SHORT_TROUBLE_S)
        left = {member.node for member in heard if member.replica}
        if self._owned_for(now) < SHORT_TROUBLE_S:
            left.update(disk.node for disk in stores.disks)
        return left - {*stores.retiring, node}
