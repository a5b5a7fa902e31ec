"""Slow start: what a backend that has just started may get, by all gateways together (rule 4).

Invariant: the deliveries of any number of gateways that know nothing of each other stay, in any span, below
what the rule allows of the part of its capacity that the backend must have reached.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import GatewaySettings
from ..routing.pool import Pool
from .context import SECOND, Context
from .state import BackendState, SlowStartQuota

ALLOWED_FRACTION = (
    0.7  # of what the rule allows, for all gateways: slots of which a span meets five, and chance
)
DRAWN_FRACTION = 0.5  # where that is less than one delivery and drawn for each selection
SLOTS_PER_SPAN = 4
HALVING_INTERVAL = 10 * SECOND  # answers and selections are halved after so long


@dataclass(slots=True, eq=False)
class SlowStart:
    """The pace of warm backends here, and what those that warm up may get of it."""

    context: Context
    pool: Pool
    # Counted since `counted_from`, halved now and then.
    warm_answers: float = 0.0
    selections: float = 0.0
    counted_from: int = 0  # microseconds

    def __post_init__(self) -> None:
        self.counted_from = self.context.now

    def is_warming_up(self, backend: BackendState) -> bool:
        """Whether its latest start is not long past."""
        started, now = backend.started, self.context.now
        return started is not None and now - started < self.context.settings.warm_up_time

    def expected_capacity(self, backend: BackendState) -> float:
        """The part of its capacity that it must have reached by now."""
        settings = self.context.settings
        grown = 1.0
        if backend.started is not None and self.is_warming_up(backend):
            grown = max(0, self.context.now - backend.started) / settings.warm_up_time
        return settings.initial_capacity + (1 - settings.initial_capacity) * grown

    def record_answer(self, backend: BackendState) -> None:
        """A backend answered this gateway; warm ones set the pace."""
        if self.is_warming_up(backend):
            return
        self.warm_answers += 1
        if self.context.now - self.counted_from > HALVING_INTERVAL:
            self.warm_answers /= 2
            self.selections /= 2
            self.counted_from = (self.counted_from + self.context.now) // 2

    def may_send(self, backend: BackendState) -> bool:
        """Whether a backend that is warming up may get one more.

        What this gateway gets answered by a warm backend is its share of what that can do; one that warms up
        gets that share of the part that it must have reached: counted in each quarter span or, where that is
        less than one, drawn for each selection, so that the sum over any number of gateways holds.
        """
        if not backend.in_pool:  # others' parts would come on top of those of the gateways that keep to it
            return False
        settings, now, quota = self.context.settings, self.context.now, backend.slow_start
        quarter = max(1, settings.overload_span // SLOTS_PER_SPAN)
        slot = (now - (backend.started or 0)) // quarter
        if slot != quota.slot:
            quota.slot = slot
            self._begin_slot(backend, quota, settings, quarter)
        if backend.saturated and backend.in_flight:  # by its own report: one at a time
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
        # With nothing answered yet, one from all gateways together.
        drawn = max(DRAWN_FRACTION * allowed, 1 / settings.gateways)
        quota.probability = None
        if ALLOWED_FRACTION * allowed < 1:
            quota.probability = drawn / max(1.0, self.selections / slots)
