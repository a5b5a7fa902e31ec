"""Priority queues of the requests that wait for their service's concurrency limit or for saturated backends.

Invariants: while requests wait, only a more urgent request overtakes them; each wait ends by the time that
its caller gives; waiting requests are woken in the order of their rank.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools

import attrs

WAKE_INTERVAL_S = 0.015  # wakes some waiting requests, besides those woken when another request ends
WAKE_DIVISOR = 8  # an eighth of a queue is woken in each interval
MAX_QUEUE_LENGTH = 256  # per service; beyond that, requests are rejected at once


@attrs.frozen(order=True)
class Rank:
    """Lower is more urgent: first by admission class, then the route's priority, then the finish time."""

    admission_class: int
    priority: int
    finish_at: float


@attrs.define(order=True)
class _WaitingRequest:
    """Ordered by rank, then by arrival; `may_try` is set to True when woken, to False at the timeout."""

    rank: Rank
    sequence: int
    may_try: asyncio.Future[bool] = attrs.field(order=False)


class WaitingQueues:
    """One queue per service; empty unless requests wait."""

    def __init__(self) -> None:
        self._queues: dict[str, list[_WaitingRequest]] = {}
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def must_wait(self, service: str, rank: Rank) -> bool:
        """Whether a new request would overtake one that is at least as urgent."""
        queue = self._queues.get(service)
        if not queue:
            return False
        return queue[0].rank <= rank

    async def wait(self, service: str, rank: Rank, until: float) -> bool:
        """Waits to be woken; False if `until` (on the loop's clock) has passed or the queue is full."""
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
        """Wakes the most urgent waiting request of the service."""
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
    """Sets the future's result unless it is already done; returns whether it was set."""
    if future.done():
        return False
    future.set_result(value)
    return True
