"""Quotas while the counter service takes fewer calls than there are invocations.

A part of the invocations is called for, each with the units of those not called for too, so that the total
stays right on average.  Acts for sets of gateways so wide that a customer's latest total is old
(`Quota.has_many_gateways`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Effects, Invocation, QuotaShare, Result, Spawn
from .concurrency import local_cap
from .context import SECOND, Context
from .counter import CounterCalls
from .credits import Credits
from .quota import Quota, counter_lifetime, counter_name, usage_key, window_length
from .state import CustomerState

SAMPLE_FRACTION = 0.1  # of the burst that a sampled call stands for, at half of the calls
UNKNOWN_CUSTOMER_FACTOR = 3.0  # so many times as often for a customer whose demand is not known
OVER_RATE_FACTOR = 2.0  # and for one whose demand is over its rate
INITIAL_DEMAND = 1.0  # of its rate, for a customer not met before
DEMAND_MEMORY = 0.6  # in times that the rate takes to fill the burst: the weight of what was known before
MIN_USAGE_SHARE = 0.01


@dataclass(slots=True, eq=False)
class CounterSampling:
    """Admits by what is known of each customer's demand."""

    context: Context
    counter: CounterCalls
    quota: Quota
    credits: Credits

    def admits(self, inv: Invocation) -> Effects[bool]:
        """Whether the customer's quota has units for it.  What is rejected stays counted, the part goes on
        that there are units for, and a marked retry needs a total."""
        customer, plan = inv.customer, inv.customer.plan
        customer.remaining = None  # it must be learned anew when all are called for again
        usage = self.context.usage if plan.rate else None
        shared = usage.quota_share(usage_key(customer), self.context.now) if usage else None
        if shared is not None:
            return (yield from self._admits_by_usage(inv, shared))
        random, fraction = self.context.random.random, customer.admitted_fraction()
        if inv.retry and (fraction < 1 or random() >= self.counter.call_fraction):
            return False
        if plan.max_in_flight and customer.in_flight >= (
            plan.max_in_flight if plan.rate else local_cap(customer)
        ):
            return False
        if random() >= fraction:
            return False
        fits = None
        if plan.rate and self.counter.may_call(inv):
            sampled = self._call_probability(inv, fraction)
            if random() < sampled:
                fits = yield from self._sample(inv, sampled * fraction, fraction)
        return bool(fits) if inv.retry else fits is not False

    def _call_probability(self, inv: Invocation, fraction: float) -> float:
        """The probability of a call for this invocation."""
        units = SAMPLE_FRACTION * (1 / self.counter.call_fraction - 1) * inv.customer.plan.burst
        if inv.retry or not units:
            return 1.0
        factor = 1.0
        if inv.customer.demand is None:
            factor = UNKNOWN_CUSTOMER_FACTOR
        elif fraction < 1:
            factor = OVER_RATE_FACTOR
        return min(1.0, factor * inv.units / units)

    def _admits_by_usage(self, inv: Invocation, shared: QuotaShare) -> Effects[bool]:
        """By what all gateways told each other recently.  The counter goes on counting, for gateways that no
        such message reaches and for when there is none."""
        customer, plan = inv.customer, inv.customer.plan
        customer.demand = plan.rate / max(shared.fraction, MIN_USAGE_SHARE)
        saturated = self.credits.is_saturated()
        if inv.retry and (shared.fraction < 1 or saturated and not shared.retries_in_budget):
            return False
        if plan.max_in_flight and customer.in_flight >= plan.max_in_flight:
            return False
        random = self.context.random.random
        if random() >= shared.fraction:
            return False
        if self.counter.may_call(inv) and random() < self.counter.call_fraction:
            yield Spawn(self._sample(inv, self.counter.call_fraction, 1.0))
        return True

    def _sample(self, inv: Invocation, sampled: float, fraction: float) -> Effects[bool | None]:
        """Count for those not called for too, and learn the customer's demand.

        `sampled`: the part of all invocations that calls like this one stand for; `fraction`: the part of the
        customer's invocations that got here.  Whether there are units for this one, None where that stays
        unknown.
        """
        context, customer, plan = self.context, inv.customer, inv.customer.plan
        added = inv.units / sampled
        window, length = self.quota.enter_window(customer), window_length(plan)
        if plan.max_in_flight:  # whole ones: deliveries in flight may stand behind the point
            added = math.floor(added + context.random.random())
        name = counter_name(customer, "units", window)
        reply = yield from self.counter.add(name, added, counter_lifetime(plan))
        if reply.result is not Result.SUCCEEDED or window != customer.window:
            return None
        if context.usage and context.usage.quota_share(usage_key(customer), context.now):
            return None
        seconds = max(1, context.now - window * length) / SECOND
        total = reply.total - added + inv.units
        self.update_demand(customer, total / seconds, seconds)
        # A customer that was short before is taken to have begun this window short.
        used, refill = total - plan.burst * fraction, plan.rate * seconds
        return used <= refill or context.random.random() * used * fraction < refill

    def update_demand(self, customer: CustomerState, demand: float, seconds: float) -> None:
        """A demand in units a second, as seen over so many seconds, beside what was known of it."""
        plan = customer.plan
        known = customer.demand or INITIAL_DEMAND * plan.rate
        weight = DEMAND_MEMORY * plan.burst / plan.rate
        customer.demand = (known * weight + demand * seconds) / (weight + seconds)
