"""Admission control: all requests while a service is not overloaded, else the most valuable first.

    request ──below its share of the limit, none more urgent waits──────────> in flight ──release──┐
       └──else──> waiting queue, by rank ──woken, and below its share──────> in flight            │
                    │      ^                                                                       │
                    │      └───────────────wakes the most urgent──────────────────────────────────┘
                    └──a fifth of its latency target, or its deadline, is over──> 503, not run

The limit is `concurrency_limit`'s, by the latencies and rejections that are recorded here; there is none
while the service is not overloaded.

A program that was served before has a higher value than a new one, since what was done for it would be lost;
one whose time is over has the least.  Each class may use its own share of the limit, so that what has a
higher value finds capacity.  Invariant: a request waits here for less than a quarter of its latency target.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import OrderedDict
from collections.abc import Callable

from . import ports
from .client import LocalResponse
from .concurrency_limit import ConcurrencyLimits, ResponseLatency
from .exchange import FINISH_MS, PROGRAM, Exchange
from .waiting_queue import Rank, WaitingQueues

MAX_WAIT_SHARE = 0.2  # of its latency target that a request waits here
LESS_URGENT_SHARE = 0.85  # of the limit, for routes that are not of the highest priority
MAX_PROGRAMS_REMEMBERED = 4096
RETRY_AFTER_S = 0.12
RETRY_SPREAD_S = 0.2


class AdmissionClass(enum.IntEnum):
    """The value of a request in an overload; the lowest number goes first."""

    REGULAR = 0  # no program's, or of one that was served before
    NEW_PROGRAM = 1
    OVERDUE = 2  # its program's time is over


LIMIT_SHARES: dict[int, float] = {
    AdmissionClass.REGULAR: 1.0,
    AdmissionClass.NEW_PROGRAM: 0.75,
    AdmissionClass.OVERDUE: 0.5,
}


class AdmissionControl:
    """Counts what is in flight for each service and holds it to the limit."""

    def __init__(
        self,
        limits: ConcurrencyLimits,
        waiting: WaitingQueues,
        backends: ports.Backends,
        gateways: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._waiting = waiting
        self._backends = backends
        self._gateways = gateways
        self._rng = rng
        self._served_programs: OrderedDict[bytes, None] = OrderedDict()

    def rank(self, exchange: Exchange) -> Rank:
        """The request's place among those that wait."""
        finish_at = exchange.received_at + _finish_s(exchange)
        return Rank(self._admission_class(exchange), exchange.route.priority, finish_at)

    async def admit(self, exchange: Exchange) -> LocalResponse | None:
        """Waits to be admitted; the rejection where that takes too long, and then nothing of it was sent.

        None: it is admitted, and must be given to `release` exactly once, however it ends.
        """
        service = exchange.service.name
        rank = self.rank(exchange)
        share = LIMIT_SHARES[rank.admission_class]
        if rank.priority > 0:
            share *= LESS_URGENT_SHARE
        admitted = self._limits.admits(service, share) and not self._waiting.must_wait(service, rank)
        until = exchange.received_at + exchange.route.slo_ms / 1000 * MAX_WAIT_SHARE
        while not admitted:
            may_try = await self._waiting.wait(service, rank, min(until, exchange.deadline))
            admitted = self._limits.admits(service, share)
            if not may_try and not admitted:
                return self.rejection()
        self._limits.begin(service)
        return None

    def release(self, exchange: Exchange) -> None:
        """An admitted request is over; the most urgent that waits for its service may try."""
        self._limits.end(exchange.service.name)
        self._waiting.wake_next(exchange.service.name)

    def rejection(self) -> LocalResponse:
        """A 503 that says when to come back, spread at random.  Only for requests that did not run."""
        retry_after_s = RETRY_AFTER_S + self._rng.random() * RETRY_SPREAD_S
        return LocalResponse(503, "no backend has room for the request", retry_after_s)

    def record_response(self, exchange: Exchange, seconds: float) -> None:
        """The first part of an answer came `seconds` after its attempt began."""
        self._remember(exchange)
        route = exchange.route
        sample = ResponseLatency(exchange.service.name, route.name, seconds, route.slo_ms / 1000)
        now = asyncio.get_running_loop().time()
        self._limits.record_response(sample, lambda: self._fair_share(exchange), now)

    def record_saturation(self, exchange: Exchange) -> None:
        """All backends of the request's service rejected it."""
        now = asyncio.get_running_loop().time()
        self._limits.record_saturation(exchange.service.name, self._fair_share(exchange), now)

    def is_limited(self, service: str) -> bool:
        """Whether the service counts as overloaded."""
        return self._limits.is_limited(service)

    def _fair_share(self, exchange: Exchange) -> float:
        """This gateway's part of the service's slots."""
        service = exchange.service
        slots = sum(backend.slots or service.slots for backend in self._backends.of(service.name))
        return slots / max(1, self._gateways())

    def _admission_class(self, exchange: Exchange) -> AdmissionClass:
        program = exchange.fields.get(PROGRAM)
        if program is None:
            return AdmissionClass.REGULAR
        if _finish_s(exchange) <= 0:
            return AdmissionClass.OVERDUE
        return AdmissionClass.REGULAR if program in self._served_programs else AdmissionClass.NEW_PROGRAM

    def _remember(self, exchange: Exchange) -> None:
        program = exchange.fields.get(PROGRAM)
        if program is None:
            return
        self._served_programs[program] = None
        self._served_programs.move_to_end(program)
        if len(self._served_programs) > MAX_PROGRAMS_REMEMBERED:
            self._served_programs.popitem(last=False)


def _finish_s(exchange: Exchange) -> float:
    """Seconds in which the program, of which the request is a part, should be over."""
    try:
        return float(exchange.fields[FINISH_MS]) / 1000
    except (KeyError, ValueError):
        return exchange.deadline - exchange.received_at
