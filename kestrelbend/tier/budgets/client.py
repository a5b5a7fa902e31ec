"""The gateway's side of budgets: asks the owner of a program's shard, and repeats until it has an answer.

Invariant: a turn is admitted only by an owner's reply that came in time.  A reservation that may have been
recorded and that nobody waits for any more is settled as not run, and a settlement is repeated until an
owner has recorded it.  So tokens that no turn uses come back, whichever machine owned the shard meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestrelbend.tier.budgets.bounds import bounded_name, bounded_reserve, bounded_settlement
from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement, Verdict
from kestrelbend.tier.budgets.route import ClientSettings
from kestrelbend.tier.budgets.shard_queue import Replicas, Send, ShardRequestQueue, unavailable_outcome
from kestrelbend.tier.budgets.shards import shard_of

MAX_TRACKED_PROGRAMS = 10_000

OwnerReachable = Callable[[str], bool]
"""Whether an owner of a shard answers or soon will; where not, a reservation is refused at once."""


class BudgetClient:
    """All of a gateway's budget calls, on the running event loop; does nothing while nobody calls."""

    def __init__(
        self,
        send: Send,
        replicas: Replicas,
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
        self._known_settled: dict[str, int] = {}  # by program, in the order of use

    async def reserve(self, reserve: Reserve, max_wait_s: float | None = None) -> ReserveOutcome:
        """Asks for a turn's tokens.

        OWNER_UNAVAILABLE if no owner answered within `max_wait_s` seconds, at once if none can be reached.
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
        """No owner of the shard can be reached: whoever waits for one gets OWNER_UNAVAILABLE now."""
        queue = self._queues.get(shard)
        if queue is not None:
            queue.fail_pending()

    def settle(self, settlement: Settlement) -> None:
        """Reports how a turn ended; returns at once."""
        settlement = bounded_settlement(settlement)
        self._queue(settlement.program).settle(settlement)

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        """Whether the tokens last seen as handed out leave too few for the turn.

        These never fall, so the owner would say the same.
        """
        return 0 < budget < self._known_settled.get(bounded_name(program), 0) + max_tokens

    @property
    def pending_settlements(self) -> int:
        """Settlements that no owner has recorded yet."""
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
