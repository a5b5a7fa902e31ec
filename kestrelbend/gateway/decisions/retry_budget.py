"""Retry budgets of customers, and the Retry-After advice in rejections (see `docs/design.md`)."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Effects, Invocation
from .context import SECOND, Context
from .counter import CounterCalls
from .credits import Credits
from .quota import Quota, counter_lifetime, counter_name

RETRY_SHARE = 0.20  # marked retries over the quota total; further ones are rejected
RETRY_FLOOR = 3  # seconds of the plan's rate; the budget applies only once the total exceeds them
RETRY_RESERVE = 0.5  # fraction of the burst that a retry must leave to first attempts
RETRY_AFTER_FRACTION = 0.2  # of the latency target, minimum advice; the design starts at 1 s


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Limits marked retries to a share of their customer's usage."""

    context: Context
    counter: CounterCalls
    quota: Quota
    credits: Credits

    def units_needed(self, inv: Invocation) -> float:
        """Units that must remain; more for a marked retry, so that near the limit first attempts go first."""
        return inv.units + (RETRY_RESERVE * inv.customer.plan.burst if inv.retry else 0.0)

    def is_exceeded(self, inv: Invocation) -> Effects[bool]:
        """Count a marked retry; True if it exceeds the budget.

        While credits are free and no invocation waits, retries are not limited; while calls to the counter
        service fail as well, they are not counted either.
        """
        customer, plan, waiting = inv.customer, inv.customer.plan, self.credits.backlog.waiting
        waited = bool(waiting)
        saturated = waited or not self.credits.available()
        if not (inv.retry and plan.rate and self.counter.may_call(inv)):
            return False
        if not saturated and self.counter.call_fraction < 1:
            return False
        name = counter_name(customer, "retries", self.quota.enter_window(customer))
        reply = yield from self.counter.add(name, 1, counter_lifetime(plan))
        if not saturated or waited and not waiting:  # those that waited before the call may have gone by now
            return False
        return customer.total > RETRY_FLOOR * plan.rate and reply.total > RETRY_SHARE * customer.total

    def retry_after(self, inv: Invocation, seconds: float = 0.0) -> int:
        """Microseconds after which the client should retry: when units are available, in `seconds`, but at
        least a fraction of the latency target; 0 if rejections may not state it."""
        wait = max(int(RETRY_AFTER_FRACTION * inv.op.objective), int(seconds * SECOND))
        return wait * self.context.settings.may_advise
