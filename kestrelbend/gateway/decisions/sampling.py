"""Quotas while the counter service accepts fewer calls than there are invocations.

Calls are made for a random sample of invocations.  Each call also adds the units of invocations without a
call, so that the total is right on average.  Used for customers that reach so many gateways that their latest
total is stale (`Quota.has_many_gateways`).
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

SAMPLE_FRACTION = 0.1  # of the burst; units that a sampled call represents when half of the calls are made
UNKNOWN_CUSTOMER_FACTOR = 3.0  # multiplies the call probability for a customer of unknown demand
OVER_RATE_FACTOR = 2.0  # the same for a customer whose demand exceeds its rate
INITIAL_DEMAND = 1.0  # of its rate, for a customer not seen before
DEMAND_MEMORY = 0.6  # weight of the previous estimate, in times that the rate takes to fill the burst
MIN_USAGE_SHARE = 0.01


@dataclass(slots=True, eq=False)
class CounterSampling:
    """Admits invocations by the estimated demand of their customer."""

    context: Context
    counter: CounterCalls
    quota: Quota
    credits: Credits

    def admits(self, inv: Invocation) -> Effects[bool]:
        """Whether the customer's quota has units for it.  Rejected invocations stay counted.  The fraction of
        invocations is admitted that there are units for; a marked retry needs a total that fits."""
        customer, plan = inv.customer, inv.customer.plan
        customer.remaining = None  # to be measured again once calls are made for all invocations
        usage = self.context.usage if plan.rate else None
        share = usage.quota_share(usage_key(customer), self.context.now) if usage else None
        if share is not None:
            return (yield from self._admits_by_usage(inv, share))
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
        """Probability of a counter call for this invocation."""
        units = SAMPLE_FRACTION * (1 / self.counter.call_fraction - 1) * inv.customer.plan.burst
        if inv.retry or not units:
            return 1.0
        factor = 1.0
        if inv.customer.demand is None:
            factor = UNKNOWN_CUSTOMER_FACTOR
        elif fraction < 1:
            factor = OVER_RATE_FACTOR
        return min(1.0, factor * inv.units / units)

    def _admits_by_usage(self, inv: Invocation, share: QuotaShare) -> Effects[bool]:
        """Admit by the usage recently exchanged between gateways.  Calls to the counter continue for gateways
        that the exchange does not reach, and for when it fails."""
        customer, plan = inv.customer, inv.customer.plan
        customer.demand = plan.rate / max(share.fraction, MIN_USAGE_SHARE)
        saturated = self.credits.is_saturated()
        if inv.retry and (share.fraction < 1 or saturated and not share.retries_in_budget):
            return False
        if plan.max_in_flight and customer.in_flight >= plan.max_in_flight:
            return False
        random = self.context.random.random
        if random() >= share.fraction:
            return False
        if self.counter.may_call(inv) and random() < self.counter.call_fraction:
            yield Spawn(self._sample(inv, self.counter.call_fraction, 1.0))
        return True

    def _sample(self, inv: Invocation, sampled: float, fraction: float) -> Effects[bool | None]:
        """Add units also for invocations without a call, and update the customer's demand.

        `sampled`: the fraction of all invocations for which such calls are made; `fraction`: the fraction of
        the customer's invocations that reach this point.  Returns whether there are units for this one, None
        if unknown.
        """
        context, customer, plan = self.context, inv.customer, inv.customer.plan
        added = inv.units / sampled
        window, length = self.quota.enter_window(customer), window_length(plan)
        if plan.max_in_flight:  # whole units: the decimals may carry deliveries in flight
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
        # A customer whose demand exceeded its rate is assumed to have begun this window with an empty burst.
        used, refill = total - plan.burst * fraction, plan.rate * seconds
        return used <= refill or context.random.random() * used * fraction < refill

    def update_demand(self, customer: CustomerState, demand: float, seconds: float) -> None:
        """Merge a demand in units per second, measured over `seconds`, into the estimate."""
        plan = customer.plan
        known = customer.demand or INITIAL_DEMAND * plan.rate
        weight = DEMAND_MEMORY * plan.burst / plan.rate
        customer.demand = (known * weight + demand * seconds) / (weight + seconds)
