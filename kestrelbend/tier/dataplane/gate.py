"""Lets requests in: all of them in calm times, the most worthwhile first while a service is overloaded.

A program that was served before is worth more than a new one, since what was done for it would be lost; one
whose time is over is worth the least.  Each standing may use its own share of the limit, so that what is
worth more finds room.  Invariant: a request waits here for less than a quarter of its objective.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import OrderedDict
from collections.abc import Callable

from . import ports
from .admission import Admission, Rank
from .client import OwnAnswer
from .exchange import FINISH_MS, PROGRAM, Exchange
from .limit import Limits

HOLD_SHARE = 0.2  # of its objective that a request waits here at most
LESS_URGENT_SHARE = 0.85  # of the limit, for routes that are not of the highest priority
PROGRAMS_KNOWN = 4096
RETRY_AFTER_S = 0.12
RETRY_SPREAD_S = 0.2


class Standing(enum.IntEnum):
    """How worthwhile a request is in an overload; the lowest goes first."""

    USUAL = 0  # no program's, or of one that was served before
    NEW = 1
    LATE = 2  # its program's time is over


SHARES = {Standing.USUAL: 1.0, Standing.NEW: 0.75, Standing.LATE: 0.5}


class Gate:
    """Counts what is in flight for each service and holds it to the limit."""

    def __init__(
        self,
        limits: Limits,
        admission: Admission,
        backends: ports.Backends,
        gateways: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._admission = admission
        self._backends = backends
        self._gateways = gateways
        self._rng = rng
        self._known: OrderedDict[bytes, None] = OrderedDict()

    def rank(self, exchange: Exchange) -> Rank:
        """The request's place among those that wait."""
        finish_at = exchange.begun + _finish_s(exchange)
        return Rank(self._standing(exchange), exchange.route.priority, finish_at)

    async def enter(self, exchange: Exchange) -> OwnAnswer | None:
        """Waits to be let in; the refusal where that takes too long.  One that is let in must `leave`."""
        service = exchange.service.name
        rank = self.rank(exchange)
        share = SHARES[rank.standing] * (LESS_URGENT_SHARE if rank.priority > 0 else 1.0)
        let_in = self._limits.admits(service, share) and not self._admission.must_wait(service, rank)
        until = exchange.begun + exchange.route.slo_ms / 1000 * HOLD_SHARE
        while not let_in:
            waiting = await self._admission.wait(service, rank, min(until, exchange.deadline))
            let_in = self._limits.admits(service, share)
            if not waiting and not let_in:
                return self.refusal()
        self._limits.begin(service)
        return None

    def leave(self, exchange: Exchange) -> None:
        """The request is over."""
        self._limits.end(exchange.service.name)
        self._admission.freed(exchange.service.name)

    def refusal(self) -> OwnAnswer:
        """Nothing ran; when to come back."""
        retry_after_s = RETRY_AFTER_S + self._rng.random() * RETRY_SPREAD_S
        return OwnAnswer(503, "no backend has room for the request", retry_after_s)

    def answered(self, exchange: Exchange, seconds: float) -> None:
        """The first part of an answer came after this time."""
        self._remember(exchange)
        self._limits.answered(
            exchange.service.name,
            exchange.route.name,
            seconds,
            exchange.route.slo_ms / 1000,
            lambda: self._fair(exchange),
            asyncio.get_running_loop().time(),
        )

    def full(self, exchange: Exchange) -> None:
        """All backends of the request's service turned it away."""
        now = asyncio.get_running_loop().time()
        self._limits.full(exchange.service.name, self._fair(exchange), now)

    def limited(self, service: str) -> bool:
        """Whether the service counts as overloaded."""
        return self._limits.limited(service)

    def _fair(self, exchange: Exchange) -> float:
        service = exchange.service
        slots = sum(backend.slots or service.slots for backend in self._backends.of(service.name))
        return slots / max(1, self._gateways())

    def _standing(self, exchange: Exchange) -> Standing:
        program = exchange.fields.get(PROGRAM)
        if program is None:
            return Standing.USUAL
        if _finish_s(exchange) <= 0:
            return Standing.LATE
        return Standing.USUAL if program in self._known else Standing.NEW

    def _remember(self, exchange: Exchange) -> None:
        program = exchange.fields.get(PROGRAM)
        if program is None:
            return
        self._known[program] = None
        self._known.move_to_end(program)
        if len(self._known) > PROGRAMS_KNOWN:
            self._known.popitem(last=False)


def _finish_s(exchange: Exchange) -> float:
    """Seconds in which the whole, of which the request is a part, should be over."""
    try:
        return float(exchange.fields[FINISH_MS]) / 1000
    except (KeyError, ValueError):
        return exchange.deadline - exchange.begun
