"""The gateway's client for budgets: calls the owner of a program's shard and retries until it replies.

Invariant: a turn is admitted only by an owner's reply that arrived in time.  A reservation that may have been
recorded, and that no caller waits for any more, is settled as NOT_EXECUTED.  A settlement is resent until an
owner has recorded it.  So unused tokens are released, whichever machine owns the shard meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestrelbend.tier.budgets.bounds import bounded_name, bounded_reserve, bounded_settlement
from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement, Verdict
from kestrelbend.tier.budgets.route import ClientSettings
from kestrelbend.tier.budgets.shard_queue import (
    ReplicaAddresses,
    SendRequest,
    ShardRequestQueue,
    unavailable_outcome,
)
from kestrelbend.tier.budgets.shards import shard_of

MAX_TRACKED_PROGRAMS = 10_000

OwnerReachable = Callable[[str], bool]
"""Whether a shard's owner can be reached, now or soon; if not, a reservation fails at once."""


class BudgetClient:
    """All budget calls of a gateway, on the running event loop; has no task while nothing is pending."""

    def __init__(
        self,
        send: SendRequest,
        replicas: ReplicaAddresses,
        shard_count: int,
        settings: ClientSettings | None = None,
        owner_reachable: OwnerReachable = lambda shard: True,
    ) -> None:
        self._send = send
        self._replicas = replicas
        self._shard_count = shard_count
        self._settings = settings or ClientSettings()
        self._owner_reachable = owner_reachable
        self._queues: dict[str, ShardRequestQueue] = {}
        self._known_settled: dict[str, int] = {}  # by program, least recently used first

    async def reserve(self, reserve: Reserve, max_wait_s: float | None = None) -> ReserveOutcome:
        """Reserves a turn's tokens.

        The verdict is OWNER_UNAVAILABLE if no owner replied within `max_wait_s` seconds (None: the time in
        the settings); if none can be reached, it is returned at once.
        """
        timeout_s = self._settings.reserve_timeout_s if max_wait_s is None else max_wait_s
        reserve = bounded_reserve(reserve)
        if not self._owner_reachable(shard_of(reserve.program, self._shard_count)):
            return unavailable_outcome(reserve)
        outcome = await self._queue(reserve.program).reserve(reserve, timeout_s)
        if outcome.verdict != Verdict.OWNER_UNAVAILABLE:
            self._record_settled(reserve.program, outcome.settled)
        return outcome

    def fail_pending(self, shard: str) -> None:
        """Completes the shard's pending reservations with OWNER_UNAVAILABLE, as no owner can be reached."""
        queue = self._queues.get(shard)
        if queue is not None:
            queue.fail_pending()

    def settle(self, settlement: Settlement) -> None:
        """Queues the report of how a turn ended; returns at once."""
        settlement = bounded_settlement(settlement)
        self._queue(settlement.program).settle(settlement)

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        """Whether the known settled tokens alone leave fewer than `max_tokens` of the budget.

        Settled tokens never decrease, so the owner would reject the turn too.
        """
        return 0 < budget < self._known_settled.get(bounded_name(program), 0) + max_tokens

    @property
    def pending_settlements(self) -> int:
        """The number of settlements that no owner has recorded yet."""
        return sum(queue.pending_settlements for queue in self._queues.values())

    async def close(self, max_wait_s: float) -> bool:
        """Delivers the pending settlements within `max_wait_s` seconds; returns whether all were recorded."""
        queues = list(self._queues.values())
        closed = await asyncio.gather(*(queue.close(max_wait_s) for queue in queues))
        return all(closed)

    def _queue(self, program: str) -> ShardRequestQueue:
        shard = shard_of(program, self._shard_count)
        queue = self._queues.get(shard)
        if queue is None:
            queue = ShardRequestQueue(shard, self._send, self._replicas, self._settings)
            self._queues[shard] = queue
        return queue

    def _record_settled(self, program: str, settled: int) -> None:
        known = self._known_settled.pop(program, 0)
        self._known_settled[program] = max(known, settled)
        if len(self._known_settled) > MAX_TRACKED_PROGRAMS:
            del self._known_settled[next(iter(self._known_settled))]
