"""Backend selection: lowest deliveries in flight times mean answer time, divided by weight."""

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
DRAWN_DIVISOR = 10  # for a warming backend picked by its random draw, which already limits its share
TRIED_FACTOR = 100  # for a backend that this invocation was already sent to
UNREACHABLE_ZONE_FACTOR = 10  # for a backend in the zone of one that was unreachable


def has_credit(backend: BackendState) -> bool:
    """Whether a backend has a free credit; a fraction of a credit counts as one."""
    return backend.in_flight < 1.0 or backend.in_flight < backend.capacity


@dataclass(slots=True, eq=False)
class BackendSelection:
    """Chooses the backend for each delivery."""

    context: Context
    pool: Pool
    credits: Credits
    rules: AttemptRules
    slow_start: SlowStart
    ejection: OutlierEjection

    def pick(self, inv: Invocation) -> BackendState | None:
        """The eligible backend with the lowest score; None if there is none."""
        if not self.credits.available() or not self.rules.may_deliver(inv):
            return None
        self.slow_start.selections += 1
        tried = {d.backend for d in inv.deliveries}
        unreachable_zones = {d.backend.zone for d in inv.deliveries if d.result is Result.UNREACHABLE}
        default_mean = self.credits.latencies.mean(INITIAL_MEAN)
        random, rules = self.context.random, self.rules
        best, lowest = None, math.inf
        for backend in self.pool.candidates(random):
            in_flight = backend.in_flight
            if in_flight >= 1.0 and in_flight >= backend.capacity or not rules.may_deliver_to(inv, backend):
                continue
            score = (in_flight + 1) * backend.latencies.mean(default_mean) / backend.weight
            score *= MIN_JITTER + JITTER_SPAN * random.random()
            if backend.failure_rates:
                score /= 1 - self.ejection.excess_failure_rate(backend, inv)
            if backend.slow_start.drawn and self.slow_start.is_warming_up(backend):
                score /= DRAWN_DIVISOR
            if backend in tried:
                score *= TRIED_FACTOR
            elif backend.zone in unreachable_zones:  # the whole zone may be unreachable
                score *= UNREACHABLE_ZONE_FACTOR
            if score < lowest:
                best, lowest = backend, score
        return best or self._beyond_pool(inv)

    def _beyond_pool(self, inv: Invocation) -> BackendState | None:
        """The first eligible backend in this gateway's order, for when no pool member is eligible."""
        for backend in self.pool.order:
            if backend.ejected_until > self.context.now or not self.rules.may_deliver_to(inv, backend):
                continue
            if has_credit(backend):
                return backend
        return None
