"""The order in which requests wait: for the limit of their service, or for backends that were saturated.

Invariants: while requests wait, no request that is not more urgent overtakes them; each wait ends by the
time that its caller gives, and what waits gets its attempts in the order of rank.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools

import attrs

WAKE_INTERVAL_S = 0.015  # in which some of what waits may try again, besides those that follow an end
WAKE_DIVISOR = 8  # an eighth of a queue is woken in each interval
MAX_QUEUE_LENGTH = 256  # of one service; beyond that, requests are rejected at once


@attrs.frozen(order=True)
class Rank:
    """Lower is more urgent: the admission class, the route's priority, when the program should be over."""

    admission_class: int
    priority: int
    finish_at: float


@attrs.define(order=True)
class _WaitingRequest:
    """Ordered by rank, then by arrival; `may_try` is resolved with False where the wait is over."""

    rank: Rank
    sequence: int
    may_try: asyncio.Future[bool] = attrs.field(order=False)


class WaitingQueues:
    """One queue a service; empty as long as nothing is saturated."""

    def __init__(self) -> None:
        self._queues: dict[str, list[_WaitingRequest]] = {}
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def must_wait(self, service: str, rank: Rank) -> bool:
        """Whether a new request would overtake one that is no less urgent."""
        queue = self._queues.get(service)
        if not queue:
            return False
        return queue[0].rank <= rank

    async def wait(self, service: str, rank: Rank, until: float) -> bool:
        """Waits for the next attempt; False once `until` (on the loop's clock) is over or too many wait."""
        loop = asyncio.get_running_loop()
        queue = self._queues.setdefault(service, [])
        if loop.time() >= until or len(queue) >= MAX_QUEUE_LENGTH:
            return False
        waiting = _WaitingRequest(rank, next(self._sequence), loop.create_future())
        heapq.heappush(queue, waiting)
        if self._timer is None:
            self._timer = loop.call_later(WAKE_INTERVAL_S, self._wake_some)
        timeout = loop.call_at(until, _resolve, waiting.may_try, False)
        try:
            return await waiting.may_try
        finally:
            timeout.cancel()
            _resolve(waiting.may_try, False)

    def wake_next(self, service: str) -> None:
        """A request of the service ended: the most urgent that waits may try."""
        queue = self._queues.get(service)
        while queue:
            waiting = heapq.heappop(queue)
            if _resolve(waiting.may_try, True):
                return

    def _wake_some(self) -> None:
        self._timer = None
        for service, queue in list(self._queues.items()):
            for _ in range(1 + len(queue) // WAKE_DIVISOR):
                self.wake_next(service)
            if not self._queues[service]:
                del self._queues[service]
        if self._queues:
            self._timer = asyncio.get_running_loop().call_later(WAKE_INTERVAL_S, self._wake_some)


def _resolve(future: asyncio.Future[bool], value: bool) -> bool:
    """Whether the future was not done before."""
    if future.done():
        return False
    future.set_result(value)
    return True
