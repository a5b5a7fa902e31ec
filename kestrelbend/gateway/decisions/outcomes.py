"""Updates credits, answer times, backend health and customers' usage when a delivery ends."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Delivery, Effects, Result, Wake
from ..routing.pool import Pool
from .background import BackgroundTasks
from .context import SECOND, Context
from .credits import Credits
from .ejection import OutlierEjection
from .quota import Quota
from .sampling import CounterSampling
from .slow_start import SlowStart

SLOW_FRACTION = 0.32  # of the latency target; a slower answer reduces the backend's credits
FAST_GAIN = 0.1  # credits; one quarter of SLOW_LOSS, so that one answer in five may be slow
SLOW_LOSS = 0.4
ERROR_LOSS = 0.7
IDLE_FRACTION = 0.5  # of all credits; while more are free, fast answers add none


@dataclass(slots=True, eq=False)
class Outcomes:
    """Processes ended deliveries for all state except their invocation."""

    context: Context
    pool: Pool
    credits: Credits
    slow_start: SlowStart
    ejection: OutlierEjection
    quota: Quota
    sampling: CounterSampling
    background: BackgroundTasks

    def ended(
        self, delivery: Delivery, load: dict[str, float] | None, actual: float, used: float | None
    ) -> Effects[None]:
        """A delivery ended: return its credit, update the backend's health, wake waiting invocations.

        `load`: the backend's report; `actual`: units actually used, 0 if not stated; `used`: the customer's
        usage at all gateways in a recent period, as a fraction of its rate.
        """
        backend, inv, result = delivery.backend, delivery.inv, delivery.result
        customer, target = inv.customer, inv.op.objective
        self.background.load_reported(backend, load)
        if used is not None and customer.plan.rate:
            demand = used * customer.plan.rate / customer.admitted_fraction()
            self.sampling.update_demand(customer, demand, self.context.settings.usage_period / SECOND)
        if not delivery.overdue:
            self.pool.return_credit(backend)
        assert result is not None  # set by the host before the call
        known_rate = self.ejection.record(backend, inv, result)
        if result is Result.SUCCEEDED:
            self._succeeded(delivery, delivery.duration / target)
            self.quota.correct(inv, actual)
            yield from self.ejection.add_evidence(backend, result, known_rate)
        elif not delivery.overdue and result not in (Result.CANCELLED, Result.VOID):
            self.credits.adjust(backend, -ERROR_LOSS * (1 - known_rate))
            if result is not Result.REJECTED:
                yield from self.ejection.add_evidence(backend, result, known_rate)
        self.credits.start_cooldown(min(delivery.duration, target))
        yield from self.wake_waiting()

    def _succeeded(self, delivery: Delivery, fraction: float) -> None:
        """Process a success; `fraction`: its answer time over the latency target."""
        backend, credits = delivery.backend, self.credits
        backend.latencies.add(fraction)
        credits.latencies.add(fraction)
        self.slow_start.record_answer(backend)
        if fraction > SLOW_FRACTION:
            if not delivery.overdue:
                credits.adjust(backend, -SLOW_LOSS)
        elif (
            backend.in_flight + 2 > backend.capacity
            and credits.available() < IDLE_FRACTION * credits.capacity() + 1
        ):
            credits.adjust(backend, FAST_GAIN)

    def mark_overdue(self, delivery: Delivery) -> Effects[None]:
        """Return the credit of a delivery past its latency target, with the loss of a slow answer: else long
        requests or an unresponsive backend hold all credits until the clients give up."""
        backend = delivery.backend
        delivery.overdue = True
        self.pool.return_credit(backend)
        self.credits.adjust(backend, -SLOW_LOSS)
        self.credits.start_cooldown(delivery.inv.op.objective)
        known_rate = self.ejection.record(backend, delivery.inv, Result.TIMED_OUT)
        yield from self.ejection.add_evidence(backend, Result.TIMED_OUT, known_rate)
        yield from self.wake_waiting()

    def wake_waiting(self) -> Effects[None]:
        """Resume as many waiting invocations as there are free credits."""
        for waiter in self.credits.backlog.waiting[: self.credits.available()]:
            yield Wake(waiter)
