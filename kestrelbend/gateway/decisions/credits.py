"""Credits: how many deliveries this gateway may have in flight, at each backend and in all.

A delivery spends a credit and its answer earns it back, with a little more when it was fast and a little less
when it was slow, so that credits come to rest where one answer in five is slow.  Backends' credits are shared
over gateways.
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

INITIAL_CREDITS = 6.0  # at a backend, over all gateways
MIN_CREDITS = 1.5
MAX_CREDITS = 192.0
OVERLOAD_MEDIAN = 0.2  # of the latency target: past it all backends are pressed
COOLDOWN_MEDIAN = 0.3  # past it a gateway with less than a credit rests between deliveries
FEW_CREDITS = 4.0  # so few that chance leaves some unused
MIN_REMAINING = 0.1  # credits that count as remaining, at least
INITIAL_MEAN = 0.2  # of the latency target, before answers are known


@dataclass(slots=True, eq=False)
class Credits:
    """The gateway's credits in all, what they owe, and answer times over all backends."""

    context: Context
    pool: Pool
    slow_start: SlowStart
    backlog: Backlog
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)
    debt: float = 0.0  # what slow answers cost beyond the least credits of their backends
    cooldown_until: int = 0  # microseconds; no delivery before, while backends are pressed

    def refill_pool(self) -> None:
        """Choose the pool's members anew; new ones get their first credits."""
        self.pool.refill(self.context.now, self.slow_start.expected_capacity)
        for backend in self.pool.members:
            if not backend.capacity:
                first = MIN_CREDITS if self.slow_start.is_warming_up(backend) else INITIAL_CREDITS
                self.pool.set_capacity(backend, first / self.pool.sharing_gateways())

    def capacity(self) -> int:
        """Credits in all; a part of one still lets one invocation through."""
        if self.pool.next_return_at <= self.context.now:  # an ejected one is back
            self.refill_pool()
        remaining = max(0.0, self.pool.capacity - self.debt)
        extra = 0.0
        if self.latencies.median() <= OVERLOAD_MEDIAN:
            extra = min(2 * math.sqrt(remaining), FEW_CREDITS / max(remaining, MIN_REMAINING))
        return max(1, int(remaining + extra))

    def available(self) -> int:
        """Credits that are free now."""
        if self.context.now < self.cooldown_until:
            return 0
        return max(0, self.capacity() - self.pool.in_flight)

    def is_saturated(self) -> bool:
        """Whether invocations wait, or the next would."""
        return bool(self.backlog.waiting) or not self.available()

    def start_cooldown(self, duration: int) -> None:
        """Rest after a delivery, with less than one credit in all and pressed backends.

        It took so many microseconds; the rest is as long as the missing part of a credit would have taken.
        (Seen: hundreds of gateways with one delivery in flight each, and nothing in time.)
        """
        remaining = max(MIN_REMAINING, self.pool.capacity - self.debt)
        if remaining < 1 and not self.pool.in_flight and self.latencies.median() > COOLDOWN_MEDIAN:
            self.cooldown_until = self.context.now + int(duration * (1 / remaining - 1))

    def adjust(self, backend: BackendState, credit: float) -> None:
        """Change a backend's credits; what it cannot lose is owed by all together, and paid first."""
        gateways = self.pool.sharing_gateways()
        if credit > 0:
            paid = min(credit, self.debt)
            self.debt -= paid
            credit -= paid
        wanted = backend.capacity + credit
        self.pool.set_capacity(backend, min(MAX_CREDITS / gateways, max(MIN_CREDITS / gateways, wanted)))
        max_debt = self.pool.capacity - MIN_CREDITS / gateways * len(self.pool.members)
        if self.latencies.median() > OVERLOAD_MEDIAN:  # else it is this backend's own matter
            self.debt += max(0.0, backend.capacity - wanted)
        self.debt = min(max(0.0, max_debt), self.debt)

    def answer_interval(self, operation: Operation, in_flight: int) -> int:
        """Mean microseconds between answers with so many deliveries in flight."""
        return int(self.latencies.mean(INITIAL_MEAN) * operation.objective / in_flight)
