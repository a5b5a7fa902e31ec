"""Credits: an adaptive limit on this gateway's deliveries in flight, per backend and in total.

A delivery spends a credit and its answer returns it.  A fast answer raises the backend's credits a little, a
slow one lowers them, so that they settle where one answer in five is slow.  A backend's credits are divided
among the gateways that use it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..interface import Operation
from ..routing.pool import Pool
from .backlog import Backlog
from .context import Context
from .latency import LatencyHistogram
from .slow_start import SlowStart
from .state import BackendState

INITIAL_CREDITS = 6.0  # per backend, over all gateways
MIN_CREDITS = 1.5
MAX_CREDITS = 192.0
OVERLOAD_MEDIAN = 0.2  # of the latency target; above it all backends are taken as overloaded
COOLDOWN_MEDIAN = 0.3  # above it a gateway with less than one credit pauses between deliveries
FEW_CREDITS = 4.0  # with so few, random variation leaves some unused
MIN_REMAINING = 0.1  # lower bound on the remaining credits
INITIAL_MEAN = 0.2  # of the latency target; the mean before the first answers


@dataclass(slots=True, eq=False)
class Credits:
    """The gateway's total credits, their debt, and answer times over all backends."""

    context: Context
    pool: Pool
    slow_start: SlowStart
    backlog: Backlog
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)
    debt: float = 0.0  # credits lost by slow answers at backends already at their minimum
    cooldown_until: int = 0  # microseconds; no delivery before then

    def refill_pool(self) -> None:
        """Rebuild the pool; new members get their initial credits."""
        self.pool.refill(self.context.now, self.slow_start.expected_capacity)
        for backend in self.pool.members:
            if not backend.capacity:
                first = MIN_CREDITS if self.slow_start.is_warming_up(backend) else INITIAL_CREDITS
                self.pool.set_capacity(backend, first / self.pool.sharing_gateways())

    def capacity(self) -> int:
        """Total credits; a fraction of one still admits one invocation."""
        if self.pool.next_return_at <= self.context.now:  # an ejection has ended
            self.refill_pool()
        remaining = max(0.0, self.pool.capacity - self.debt)
        extra = 0.0
        if self.latencies.median() <= OVERLOAD_MEDIAN:
            extra = min(2 * math.sqrt(remaining), FEW_CREDITS / max(remaining, MIN_REMAINING))
        return max(1, int(remaining + extra))

    def available(self) -> int:
        """Credits that are free now; none during a cooldown."""
        if self.context.now < self.cooldown_until:
            return 0
        return max(0, self.capacity() - self.pool.in_flight)

    def is_saturated(self) -> bool:
        """Whether invocations are waiting, or the next one would have to."""
        return bool(self.backlog.waiting) or not self.available()

    def start_cooldown(self, duration: int) -> None:
        """Pause after a delivery of `duration` microseconds, with under one credit in total and all slow.

        The pause makes up for the missing fraction of a credit.  Without it, hundreds of gateways with one
        delivery in flight each kept the backends overloaded, and no answer came in time.
        """
        remaining = max(MIN_REMAINING, self.pool.capacity - self.debt)
        if remaining < 1 and not self.pool.in_flight and self.latencies.median() > COOLDOWN_MEDIAN:
            self.cooldown_until = self.context.now + int(duration * (1 / remaining - 1))

    def adjust(self, backend: BackendState, credit: float) -> None:
        """Change a backend's credits; a loss below its minimum becomes shared debt, repaid by later gains."""
        gateways = self.pool.sharing_gateways()
        if credit > 0:
            paid = min(credit, self.debt)
            self.debt -= paid
            credit -= paid
        wanted = backend.capacity + credit
        self.pool.set_capacity(backend, min(MAX_CREDITS / gateways, max(MIN_CREDITS / gateways, wanted)))
        max_debt = self.pool.capacity - MIN_CREDITS / gateways * len(self.pool.members)
        if self.latencies.median() > OVERLOAD_MEDIAN:  # else only this backend is slow
            self.debt += max(0.0, backend.capacity - wanted)
        self.debt = min(max(0.0, max_debt), self.debt)

    def answer_interval(self, operation: Operation, in_flight: int) -> int:
        """Mean microseconds between answers, with `in_flight` deliveries in flight."""
        return int(self.latencies.mean(INITIAL_MEAN) * operation.objective / in_flight)
