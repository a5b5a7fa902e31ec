"""Admission: whether an invocation may go on, by its plan's quota, cap, rate limit and retry budget."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Effects, Invocation
from .concurrency import ConcurrencyCaps, local_cap
from .context import Context
from .counter import CounterCalls
from .credits import Credits
from .quota import Quota
from .rate_limits import RateLimits
from .retry_budget import RetryBudget
from .sampling import CounterSampling

MIN_FREE_FRACTION = 1 / 4  # of all credits that must be free for an invocation beyond its quota


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why an invocation is not admitted, as far as it matters."""

    retry_after: int  # microseconds; 0: no advice
    beyond_quota: bool  # then its plan may let it in all the same


@dataclass(slots=True, eq=False)
class Admission:
    """Asks each part in turn; an invocation goes on when all agree."""

    context: Context
    limits: RateLimits
    counter: CounterCalls
    quota: Quota
    caps: ConcurrencyCaps
    budget: RetryBudget
    sampling: CounterSampling
    credits: Credits

    def admit(self, inv: Invocation) -> Effects[int | None]:
        """None admits it; else the microseconds after which its client should come back."""
        rejection = yield from self._rejection(inv)
        if rejection is None or rejection.beyond_quota and self._is_profitable_beyond_quota(inv):
            return None
        return rejection.retry_after

    def _is_profitable_beyond_quota(self, inv: Invocation) -> bool:
        """Where the plan earns more by it than it costs, and enough is free."""
        plan = inv.customer.plan
        if plan.excess_value <= plan.excess_cost or self.credits.backlog.waiting:
            return False
        return self.credits.available() > self.credits.capacity() * MIN_FREE_FRACTION

    def _beyond_quota(self, inv: Invocation, seconds: float = 0.0) -> Rejection:
        return Rejection(self.budget.retry_after(inv, seconds), True)

    def _rejection(self, inv: Invocation) -> Effects[Rejection | None]:
        """Why it may not go on, None where it may.

        In turn: rate limit; sampling alone, where that acts; the latest total; the cap; the call; the retry
        budget.
        """
        customer, plan = inv.customer, inv.customer.plan
        if plan.limit_rate and (missing := inv.units - self.limits.available(customer)) > 0:
            seconds = missing * customer.spread / plan.limit_rate
            return Rejection(self.budget.retry_after(inv, seconds), False)
        self.quota.observe_request(inv)
        if self.counter.call_fraction < 1 and self.quota.has_many_gateways(customer):
            fits = yield from self.sampling.admits(inv)
            return None if fits else self._beyond_quota(inv)
        short = self.quota.shortage(customer, self.budget.units_needed(inv))
        if short > 0:
            return self._beyond_quota(inv, short / plan.rate)
        spared = inv.retry and self.context.random.random() >= self.counter.call_fraction
        if plan.max_in_flight and (spared or (yield from self.caps.wait_for_slot(inv))):
            return self._beyond_quota(inv)
        rejection = yield from self._count(inv)
        if rejection is not None:
            return rejection
        if (yield from self.budget.is_exceeded(inv)):
            yield from self.quota.refund(inv)
            return Rejection(self.budget.retry_after(inv), False)
        return None

    def _count(self, inv: Invocation) -> Effects[Rejection | None]:
        """Count it at the counter service where the total matters, else by what was last seen."""
        customer, plan = inv.customer, inv.customer.plan
        units = 0.0
        if plan.rate:
            units = math.ceil(inv.units) if plan.max_in_flight else inv.units
        inv.counted = units
        inv.window = self.quota.enter_window(customer)
        if self._needs_total(inv) and self.counter.may_call(inv):
            customer.calls_in_flight += 1
            yield from self.quota.report(customer, units, 1)
            customer.calls_in_flight -= 1
            return (yield from self._check_total(inv))
        if plan.max_in_flight and customer.in_flight >= local_cap(customer):
            inv.counted = None  # no total: keep to a part of the cap
            return self._beyond_quota(inv)
        self.quota.count_locally(customer, units, 1)  # no call: admitted, but so that a flood still ends
        return None

    def _needs_total(self, inv: Invocation) -> bool:
        """A crowded counter rejects calls blindly; spare it those for whom the total matters least."""
        customer, plan = inv.customer, inv.customer.plan
        if self.context.now < customer.no_call_before:
            return False
        if plan.max_in_flight:
            return True
        if not plan.rate:
            return False
        remaining = customer.remaining
        return remaining is None or remaining - inv.units < self.counter.call_fraction * plan.burst

    def _check_total(self, inv: Invocation) -> Effects[Rejection | None]:
        customer = inv.customer
        if self.quota.shortage(customer, 0.0) > 0:
            yield from self.quota.refund(inv)
            return self._beyond_quota(inv, self.quota.shortage(customer, 0.0) / customer.plan.rate)
        if self.caps.is_exceeded(customer):
            self.caps.postpone_calls(inv)
            yield from self.quota.refund(inv)
            return self._beyond_quota(inv)
        return None
