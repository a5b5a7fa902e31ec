"""Selection of a backend: least credits in flight times mean answer time over weight."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Invocation, Result
from ..routing.pool import Pool
from .attempts import AttemptRules
from .context import Context
from .credits import INITIAL_MEAN, Credits
from .ejection import OutlierEjection
from .slow_start import SlowStart
from .state import BackendState

MIN_JITTER = 0.9  # scores are multiplied by 0.9 to 1.1 at random
JITTER_SPAN = 0.2
DRAWN_DIVISOR = 10  # for one that warms up and was drawn: its draw already holds it to its share
TRIED_FACTOR = 100  # for a backend that this invocation was sent to
LOST_ZONE_FACTOR = 10  # for one in the zone of a backend that could not be reached


def has_credit(backend: BackendState) -> bool:
    """A part of a credit still counts as one."""
    return backend.in_flight < 1.0 or backend.in_flight < backend.capacity


@dataclass(slots=True, eq=False)
class BackendSelection:
    """Picks the backend of one delivery."""

    context: Context
    pool: Pool
    credits: Credits
    rules: AttemptRules
    slow_start: SlowStart
    ejection: OutlierEjection

    def pick(self, inv: Invocation) -> BackendState | None:
        """The backend with the lowest score that may take it; None while there is none."""
        if not self.credits.available() or not self.rules.may_deliver(inv):
            return None
        self.slow_start.selections += 1
        tried = {d.backend for d in inv.deliveries}
        lost_zones = {d.backend.zone for d in inv.deliveries if d.result is Result.UNREACHABLE}
        usual = self.credits.latencies.mean(INITIAL_MEAN)
        random, rules = self.context.random, self.rules
        best, lowest = None, math.inf
        for backend in self.pool.candidates(random):
            in_flight = backend.in_flight
            if in_flight >= 1.0 and in_flight >= backend.capacity or not rules.may_deliver_to(inv, backend):
                continue
            score = (in_flight + 1) * backend.latencies.mean(usual) / backend.weight
            score *= MIN_JITTER + JITTER_SPAN * random.random()
            if backend.failure_rates:
                score /= 1 - self.ejection.excess_failure_rate(backend, inv)
            if backend.slow_start.drawn and self.slow_start.is_warming_up(backend):
                score /= DRAWN_DIVISOR
            if backend in tried:
                score *= TRIED_FACTOR
            elif backend.zone in lost_zones:  # a zone may be lost as a whole
                score *= LOST_ZONE_FACTOR
            if score < lowest:
                best, lowest = backend, score
        return best or self._beyond_pool(inv)

    def _beyond_pool(self, inv: Invocation) -> BackendState | None:
        """No member can take it: the first of all backends in this gateway's order that can."""
        for backend in self.pool.order:
            if backend.ejected_until > self.context.now or not self.rules.may_deliver_to(inv, backend):
                continue
            if has_credit(backend):
                return backend
        return None
