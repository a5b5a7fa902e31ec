"""The retry budget of each customer, and the advice when to come back (the source: `docs/design.md`)."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Effects, Invocation
from .context import SECOND, Context
from .counter import CounterCalls
from .credits import Credits
from .quota import Quota, counter_lifetime, counter_name

RETRY_SHARE = 0.20  # marked retries over the quota total; beyond it they are rejected
RETRY_FLOOR = 3  # the total, in seconds of the plan's rate, that must be exceeded before
RETRY_RESERVE = 0.5  # part of the burst that a retry must leave to first attempts
RETRY_AFTER_FRACTION = 0.2  # of the latency target, at least; the design starts at 1 s


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Holds marked retries to a share of their customer's use."""

    context: Context
    counter: CounterCalls
    quota: Quota
    credits: Credits

    def units_needed(self, inv: Invocation) -> float:
        """Near the limit a first attempt, with all its time before it, goes before a marked retry."""
        return inv.units + (RETRY_RESERVE * inv.customer.plan.burst if inv.retry else 0.0)

    def is_exceeded(self, inv: Invocation) -> Effects[bool]:
        """Count a marked retry; true where it is beyond the budget.

        While credits are free and nobody waits the budget spares retries, and while calls fail the counter.
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
        """Microseconds after which its client should come back: when there are units, in `seconds`, or soon
        enough to be in time; 0 where no advice may be given."""
        wait = max(int(RETRY_AFTER_FRACTION * inv.op.objective), int(seconds * SECOND))
        return wait * self.context.settings.may_advise
