"""The emptying of storage nodes, as the operator orders it and asks after it."""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.messages import ConfigOrder, OrderKind
from ..configuration.ports import RetireOutcome, RetireState
from ..configuration.shard_service import ConfigurationService
from ..membership.placement import candidates, group_size
from ..membership.table import MemberTable

OK = 200
REMEMBERED_S = 60.0  # a node that was silent for longer holds nothing that is asked after


class Retirement:
    """Takes the orders, and tells how far they have come."""

    def __init__(
        self,
        configuration: ConfigurationService,
        members: MemberTable,
        tolerated_nodes: int,
        now: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._size = group_size(tolerated_nodes)
        self._now = now

    async def start(self, node: str) -> RetireOutcome:
        """Begins to empty a store."""
        live = self._members.members(self._now())
        if not any(member.node == node and member.serves_storage for member in live):
            return RetireOutcome.UNKNOWN_NODE
        emptied = {*self._configuration.state.retiring, node}
        if len(candidates(live, emptied, stores_first=True)) < self._size:
            return RetireOutcome.TOO_FEW_LEFT
        outcome = await self._configuration.order(ConfigOrder(OrderKind.RETIRE, 0, node.encode()))
        return RetireOutcome.TAKEN if outcome.status == OK else RetireOutcome.UNAVAILABLE

    async def state(self, node: str) -> RetireState:
        """RUNNING until no shard has a voter on the node."""
        state = self._configuration.state
        if node not in state.retiring:
            return RetireState.NOT_ORDERED
        holders = {voter for report in self._members.reports().values() for voter in report.voters}
        wanted = {voter for placed in state.placements for voter in placed.voters}
        for member in self._members.members(self._now(), within=REMEMBERED_S):
            if member.node == node and member.replica in holders | wanted:
                return RetireState.RUNNING
        return RetireState.COMPLETE
