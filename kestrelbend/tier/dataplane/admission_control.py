"""Admission control: admits every request unless its service is overloaded, then by priority class.

    request ──below its share of the limit, none more urgent waits──────────> in flight ──release──┐
       └──else──> waiting queue, by rank ──woken, and below its share──────> in flight            │
                    │      ^                                                                       │
                    │      └───────────────wakes the most urgent──────────────────────────────────┘
                    └──a fifth of its latency target, or its deadline, is over──> 503, not run

`concurrency_limit` computes the limit from the latencies and rejections recorded here; there is no limit
while the service is not overloaded.

A program that was served before takes precedence over a new one, since rejecting it would waste the work
already done for it; one whose completion time has passed comes last.  Each class may use its own share of the
limit, which leaves capacity to the classes above it.  Invariant: a request waits here for less than a quarter
of its latency target.
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

MAX_WAIT_SHARE = 0.2  # maximum wait as a share of the latency target
LESS_URGENT_SHARE = 0.85  # factor on the share of the limit for routes below the highest priority
MAX_PROGRAMS_REMEMBERED = 4096
RETRY_AFTER_S = 0.12
RETRY_SPREAD_S = 0.2


class AdmissionClass(enum.IntEnum):
    """The priority class of a request during an overload; lower values first."""

    REGULAR = 0  # belongs to no program or to one that was served before
    NEW_PROGRAM = 1
    OVERDUE = 2  # its program should have finished already


LIMIT_SHARES: dict[int, float] = {
    AdmissionClass.REGULAR: 1.0,
    AdmissionClass.NEW_PROGRAM: 0.75,
    AdmissionClass.OVERDUE: 0.5,
}


class AdmissionControl:
    """Counts the requests in flight for each service and enforces the concurrency limit."""

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
        """The request's order among those that wait."""
        finish_at = exchange.received_at + _finish_s(exchange)
        return Rank(self._admission_class(exchange), exchange.route.priority, finish_at)

    async def admit(self, exchange: Exchange) -> LocalResponse | None:
        """Waits for admission; returns the rejection if that takes too long.  Nothing is sent meanwhile.

        None means that the request is admitted; the caller must call `release` for it exactly once.
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
        """Ends an admitted request and wakes the most urgent request that waits for the same service."""
        self._limits.end(exchange.service.name)
        self._waiting.wake_next(exchange.service.name)

    def rejection(self) -> LocalResponse:
        """A 503 with a randomized Retry-After.  Only for requests that did not run."""
        retry_after_s = RETRY_AFTER_S + self._rng.random() * RETRY_SPREAD_S
        return LocalResponse(503, "no backend has room for the request", retry_after_s)

    def record_response(self, exchange: Exchange, seconds: float) -> None:
        """Records that the first part of a response arrived `seconds` after its attempt began."""
        self._remember(exchange)
        route = exchange.route
        sample = ResponseLatency(exchange.service.name, route.name, seconds, route.slo_ms / 1000)
        now = asyncio.get_running_loop().time()
        self._limits.record_response(sample, lambda: self._fair_share(exchange), now)

    def record_saturation(self, exchange: Exchange) -> None:
        """Records that all backends of the request's service rejected it."""
        now = asyncio.get_running_loop().time()
        self._limits.record_saturation(exchange.service.name, self._fair_share(exchange), now)

    def is_limited(self, service: str) -> bool:
        """Whether the service currently has a concurrency limit, that is, counts as overloaded."""
        return self._limits.is_limited(service)

    def _fair_share(self, exchange: Exchange) -> float:
        """This gateway's equal share of the service's slots."""
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
    """Seconds within which the request's program should finish; the time to the deadline if not given."""
    try:
        return float(exchange.fields[FINISH_MS]) / 1000
    except (KeyError, ValueError):
        return exchange.deadline - exchange.received_at
