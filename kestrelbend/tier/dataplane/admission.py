"""The order in which requests wait: for the limit of their service, or for backends that were full.

Invariants: while requests wait, no request that is not more urgent overtakes them; each wait ends by the time
that its caller gives, and what waits gets its tries in the order of rank.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools

import attrs

TICK_S = 0.015  # an eighth of what waits tries again in this time, besides those that follow an end
SHARE_A_TICK = 8
MOST_WAITING = 256  # of one service; beyond that, requests are refused at once


@attrs.frozen(order=True)
class Rank:
    """Lower is more urgent: the standing, the route's priority, when the whole should be over."""

    standing: int
    priority: int
    finish_at: float


@attrs.define(order=True)
class _Waiting:
    rank: Rank
    number: int
    turn: asyncio.Future = attrs.field(order=False)


class Admission:
    """One queue a service; empty as long as nothing is full."""

    def __init__(self) -> None:
        self._queues: dict[str, list[_Waiting]] = {}
        self._numbers = itertools.count()
        self._ticker: asyncio.TimerHandle | None = None

    def must_wait(self, service: str, rank: Rank) -> bool:
        """Whether a new request would overtake one that is no less urgent."""
        queue = self._queues.get(service)
        return bool(queue) and queue[0].rank <= rank

    async def wait(self, service: str, rank: Rank, until: float) -> bool:
        """Waits for the next try; False once `until` (on the loop's clock) is over or too many wait."""
        loop = asyncio.get_running_loop()
        queue = self._queues.setdefault(service, [])
        if loop.time() >= until or len(queue) >= MOST_WAITING:
            return False
        waiting = _Waiting(rank, next(self._numbers), loop.create_future())
        heapq.heappush(queue, waiting)
        if self._ticker is None:
            self._ticker = loop.call_later(TICK_S, self._tick)
        timer = loop.call_at(until, _resolve, waiting.turn, False)
        try:
            return await waiting.turn
        finally:
            timer.cancel()
            _resolve(waiting.turn, False)

    def freed(self, service: str) -> None:
        """A request of the service ended: the most urgent that waits may try."""
        queue = self._queues.get(service)
        while queue:
            waiting = heapq.heappop(queue)
            if _resolve(waiting.turn, True):
                return

    def _tick(self) -> None:
        self._ticker = None
        for service, queue in list(self._queues.items()):
            for _ in range(1 + len(queue) // SHARE_A_TICK):
                self.freed(service)
            if not self._queues[service]:
                del self._queues[service]
        if self._queues:
            self._ticker = asyncio.get_running_loop().call_later(TICK_S, self._tick)


def _resolve(turn: asyncio.Future, value: bool) -> bool:
    if turn.done():
        return False
    turn.set_result(value)
    return True
