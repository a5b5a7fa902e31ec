"""Slow start: limits deliveries of all gateways to a backend that has just started (rule 4).

Invariant: over any overload span, the deliveries of any number of gateways that do not communicate stay below
the load that rule 4 allows for the minimum capacity that the backend has reached by then.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import GatewaySettings
from ..routing.pool import Pool
from .context import SECOND, Context
from .state import BackendState, SlowStartQuota

# Of the load that rule 4 allows, for all gateways: a span can overlap five slots, and draws vary at random.
ALLOWED_FRACTION = 0.7
DRAWN_FRACTION = 0.5  # of it, where that is under one delivery per slot and each selection draws
SLOTS_PER_SPAN = 4  # slots that an overload span is divided into
HALVING_INTERVAL = 10 * SECOND  # interval at which the counts of answers and selections are halved


@dataclass(slots=True, eq=False)
class SlowStart:
    """Answer rate of warm backends at this gateway, and the resulting limits of those that warm up."""

    context: Context
    pool: Pool
    # Counted since `counted_from`, halved at intervals.
    warm_answers: float = 0.0
    selections: float = 0.0
    counted_from: int = 0  # microseconds

    def __post_init__(self) -> None:
        self.counted_from = self.context.now

    def is_warming_up(self, backend: BackendState) -> bool:
        """Whether its latest start is less than the warm-up time ago."""
        started, now = backend.started, self.context.now
        return started is not None and now - started < self.context.settings.warm_up_time

    def expected_capacity(self, backend: BackendState) -> float:
        """Minimum fraction of its full capacity that it has reached by now."""
        settings = self.context.settings
        progress = 1.0
        if backend.started is not None and self.is_warming_up(backend):
            progress = max(0, self.context.now - backend.started) / settings.warm_up_time
        return settings.initial_capacity + (1 - settings.initial_capacity) * progress

    def record_answer(self, backend: BackendState) -> None:
        """Count an answer of a backend, unless it is warming up."""
        if self.is_warming_up(backend):
            return
        self.warm_answers += 1
        if self.context.now - self.counted_from > HALVING_INTERVAL:
            self.warm_answers /= 2
            self.selections /= 2
            self.counted_from = (self.counted_from + self.context.now) // 2

    def may_send(self, backend: BackendState) -> bool:
        """Whether a backend that is warming up may get one more delivery.

        The rate at which a warm backend answers this gateway is the gateway's share of a backend's capacity.
        A warming backend gets the same share of the capacity that it has reached: as a limit per slot or, if
        that is under one delivery, by a random draw per selection, so that the sum over all gateways holds.
        """
        # The gateways that have it in their pool share the whole limit.
        if not backend.in_pool:
            return False
        settings, now, quota = self.context.settings, self.context.now, backend.slow_start
        quarter = max(1, settings.overload_span // SLOTS_PER_SPAN)
        slot = (now - (backend.started or 0)) // quarter
        if slot != quota.slot:
            quota.slot = slot
            self._begin_slot(backend, quota, settings, quarter)
        if backend.saturated and backend.in_flight:  # it reported saturation: one delivery at a time
            return False
        if quota.probability is None:
            return quota.sent < quota.limit
        if quota.drawn_at != now:
            quota.drawn_at = now
            quota.drawn = self.context.random.random() < quota.probability
        return quota.drawn

    def _begin_slot(
        self, backend: BackendState, quota: SlowStartQuota, settings: GatewaySettings, quarter: int
    ) -> None:
        warm = sum(not self.is_warming_up(other) for other in self.pool.nominal_members())
        slots = max(SECOND, self.context.now - self.counted_from) / quarter
        expected = self.expected_capacity(backend)
        allowed = settings.overload_factor * expected * self.warm_answers / slots / max(1, warm)
        quota.sent = 0
        quota.limit = int(ALLOWED_FRACTION * allowed + self.context.random.random())
        # Before the first answers, one delivery from all gateways together.
        drawn = max(DRAWN_FRACTION * allowed, 1 / settings.gateways)
        quota.probability = None
        if ALLOWED_FRACTION * allowed < 1:
            quota.probability = drawn / max(1.0, self.selections / slots)
