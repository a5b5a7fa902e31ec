"""The delivery loop of an admitted invocation: waiting, deliveries, retries and the final answer."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Cancel, Deliver, Delivery, Effects, Fail, Invocation, Pause, Throttle
from ..routing.pool import Pool
from .attempts import AttemptRules
from .context import Context
from .credits import Credits
from .outcomes import Outcomes
from .quota import usage_key
from .retry_budget import RetryBudget
from .selection import BackendSelection
from .slow_start import SlowStart
from .state import BackendState

MAX_WAIT_FRACTION = 0.2  # of the latency target, to wait for a credit
ANSWER_MARGIN_TICKS = 2  # before the client's deadline, when it gets its answer at the latest (rule 1)


@dataclass(slots=True, eq=False)
class DeliveryLoop:
    """Serves invocations.  Every send goes through `deliver`; `close` and `reject` give the final answers."""

    context: Context
    pool: Pool
    credits: Credits
    rules: AttemptRules
    selection: BackendSelection
    slow_start: SlowStart
    outcomes: Outcomes
    budget: RetryBudget

    def serve(self, inv: Invocation) -> Effects[None]:
        """Deliver and retry an invocation until it is done or its time is up."""
        target = inv.op.objective
        answer_by = inv.deadline - ANSWER_MARGIN_TICKS * self.context.settings.tick
        # Without a late value, an answer after the latency target earns nothing.
        useful_until = inv.arrived_at + target if not inv.op.late_value else answer_by
        while not inv.done:
            in_flight = [d for d in inv.deliveries if d.result is None]
            if self.context.now >= self._end(inv, answer_by, useful_until):
                yield from self.close(inv)
                break
            for d in in_flight:
                if not d.overdue and self.context.now >= d.sent_at + target:
                    yield from self.outcomes.mark_overdue(d)
            if in_flight:
                due = [d.sent_at + target for d in in_flight if not d.overdue]
                yield Pause(min(at for at in (answer_by, useful_until, *due) if at > self.context.now))
                continue
            if not self.rules.may_repeat(inv) or inv.deliveries and self.context.now >= useful_until:
                yield from self.close(inv)
                break
            backend = self.selection.pick(inv)
            if backend and (yield from self.deliver(inv, backend, answer_by)):
                continue
            wait_until = self._wait_until(inv, answer_by)
            if wait_until is None:
                yield from self.close(inv)
                break
            self.credits.backlog.join(inv)
            cooldown_until = self.credits.cooldown_until
            yield Pause(min(wait_until, cooldown_until) if cooldown_until > self.context.now else wait_until)
        yield from self._cancel_in_flight(inv)
        self.credits.backlog.leave(inv)

    @staticmethod
    def _end(inv: Invocation, answer_by: int, useful_until: int) -> int:
        """When to stop; at its customer's cap a late invocation would hold a slot that another could use."""
        at_cap = 0 < inv.customer.plan.max_in_flight <= inv.customer.total_in_flight
        return min(useful_until, answer_by) if at_cap else answer_by

    def _wait_until(self, inv: Invocation, answer_by: int) -> int | None:
        """Time in microseconds until which to wait for a credit; None if its turn is not expected by then."""
        interval = self.credits.answer_interval(inv.op, self.credits.capacity())
        wait_start = max([inv.arrived_at, *(d.sent_at + d.duration for d in inv.deliveries)])
        until = min(answer_by, wait_start + int(MAX_WAIT_FRACTION * inv.op.objective) + interval)
        position = self.credits.backlog.ahead_of(inv) + 1
        return until if self.context.now + position * interval <= until else None

    def _cancel_in_flight(self, inv: Invocation) -> Effects[None]:
        for d in inv.deliveries:
            if d.result is None and self.context.settings.may_cancel and not inv.streaming:
                yield Cancel(d)

    def deliver(self, inv: Invocation, backend: BackendState, deadline: int) -> Effects[bool]:
        """Send to a backend, if all five rules allow it; the only place that sends.  Whether it was sent."""
        if not self.rules.may_send(inv, backend):
            return False
        if not inv.deliveries:
            self._spend_units(inv)
        self.credits.backlog.leave(inv)
        self.pool.spend_credit(backend)
        backend.slow_start.sent += self.slow_start.is_warming_up(backend)
        backend.slow_start.drawn = False
        size = self.pool.wanted_size(self.context.now)
        if size is not None:
            self.pool.size = size
            self.credits.refill_pool()
        number, begin_by = len(inv.deliveries), self.rules.begin_by(inv)
        delivery = Delivery(inv, backend, self.context.now, deadline, number, begin_by)
        inv.deliveries.append(delivery)
        yield Deliver(delivery)
        return True

    def _spend_units(self, inv: Invocation) -> None:
        """Spend units of the hard rate limit, once per invocation, and share the usage with peers."""
        customer, plan = inv.customer, inv.customer.plan
        customer.limit_units -= inv.units
        if self.context.usage and plan.rate:
            self.context.usage.record_admission(usage_key(customer), plan.number, inv.units)

    def close(self, inv: Invocation) -> Effects[None]:
        """Give up: reject if nothing can have been executed or a repeat is safe, else answer an error."""
        if inv.op.repeats_anywhere or not any(d.may_have_run for d in inv.deliveries):
            yield from self.reject(inv, self.budget.retry_after(inv))
        elif not inv.done:
            yield Fail(inv)

    def reject(self, inv: Invocation, retry_after: int) -> Effects[None]:
        """Reject, unless it has its final answer; `retry_after` in microseconds, 0: not stated."""
        if not inv.done:
            yield Throttle(inv, retry_after)
