"""Admission control: quota, concurrency cap, hard rate limit and retry budget of an invocation's plan."""

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

MIN_FREE_FRACTION = 1 / 4  # fraction of all credits that must be free to admit an invocation beyond its quota


@dataclass(frozen=True, slots=True)
class Rejection:
    """The reason for a rejection, as far as the caller needs it."""

    retry_after: int  # microseconds; 0: not stated to the client
    beyond_quota: bool  # the plan may still admit it for a charge


@dataclass(slots=True, eq=False)
class Admission:
    """Applies every check in turn; an invocation is admitted if all of them pass."""

    context: Context
    limits: RateLimits
    counter: CounterCalls
    quota: Quota
    caps: ConcurrencyCaps
    budget: RetryBudget
    sampling: CounterSampling
    credits: Credits

    def admit(self, inv: Invocation) -> Effects[int | None]:
        """None if admitted, else the microseconds after which the client should retry (0: not stated)."""
        rejection = yield from self._rejection(inv)
        if rejection is None or rejection.beyond_quota and self._is_profitable_beyond_quota(inv):
            return None
        return rejection.retry_after

    def _is_profitable_beyond_quota(self, inv: Invocation) -> bool:
        """Whether the plan earns more by it than it costs, and enough credits are free."""
        plan = inv.customer.plan
        if plan.excess_value <= plan.excess_cost or self.credits.backlog.waiting:
            return False
        return self.credits.available() > self.credits.capacity() * MIN_FREE_FRACTION

    def _beyond_quota(self, inv: Invocation, seconds: float = 0.0) -> Rejection:
        return Rejection(self.budget.retry_after(inv, seconds), True)

    def _rejection(self, inv: Invocation) -> Effects[Rejection | None]:
        """The reason to reject the invocation, None to admit it.

        Checks, in this order: hard rate limit; sampling, which replaces the rest where it applies; the latest
        total; the concurrency cap; a counter call; the retry budget.
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
        skip_call = inv.retry and self.context.random.random() >= self.counter.call_fraction
        if plan.max_in_flight and (skip_call or (yield from self.caps.wait_for_slot(inv))):
            return self._beyond_quota(inv)
        rejection = yield from self._count(inv)
        if rejection is not None:
            return rejection
        if (yield from self.budget.is_exceeded(inv)):
            yield from self.quota.refund(inv)
            return Rejection(self.budget.retry_after(inv), False)
        return None

    def _count(self, inv: Invocation) -> Effects[Rejection | None]:
        """Count the units at the counter service if the total is needed, else locally by the latest total."""
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
            inv.counted = None  # without a total this gateway keeps to its part of the cap
            return self._beyond_quota(inv)
        # Admitted without a call, but counted, so that a flood is still stopped.
        self.quota.count_locally(customer, units, 1)
        return None

    def _needs_total(self, inv: Invocation) -> bool:
        """Whether to call: an overloaded counter rejects at random, so less important calls are left out."""
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
