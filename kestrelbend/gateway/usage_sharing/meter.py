"""The meter: sums the usage reports of all gateways and computes each customer's quota share.

The share is the part of a customer's first attempts that its quota has units for. Only the gateway
that is the meter runs this code. This module does no I/O and reads no clock or random numbers.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..interface import Plan
from .messages import CustomerUsage, QuotaShare

SECOND_US = 1_000_000
PAYBACK_S = 3.0  # time in which the remaining burst is handed out, or an excess is paid back
SMOOTHING = 0.5  # weight of the latest period in the moving averages of the request rates
RETRY_SHARE = 0.20  # retry budget: marked retries per unit of first attempts
MIN_RETRY_BASE = 0.5  # the retry budget assumes first attempts of at least this fraction of the plan's rate
MIN_SHARE = 0.02  # lower limit of a share, so that even the largest requester stays known to the meter
# Units per second: a customer that requests less and has its whole burst again is forgotten.
IDLE_REQUESTED_PER_S = 0.05
MAX_CUSTOMERS = 4096  # beyond this limit, the customers that request least are forgotten


@dataclass(slots=True)
class MeteredCustomer:
    """State of one customer: token bucket, averages of its request rates, and sums of the current period."""

    plan: Plan
    remaining: float  # units left in the token bucket; negative: excess still to be paid back
    requested_per_s: float = 0.0
    retries_per_s: float = 0.0
    period_requested: float = 0.0
    period_admitted: float = 0.0
    period_retries: float = 0.0

    def close_period(self, seconds: float) -> None:
        """Apply the sums of the period to the token bucket and the averages, and reset them."""
        rate, burst = self.plan.rate, self.plan.burst
        refilled = min(burst, self.remaining + rate * seconds)
        self.remaining = max(-burst, refilled - self.period_admitted)
        self.requested_per_s += SMOOTHING * (self.period_requested / seconds - self.requested_per_s)
        self.retries_per_s += SMOOTHING * (self.period_retries / seconds - self.retries_per_s)
        self.period_requested = 0.0
        self.period_admitted = 0.0
        self.period_retries = 0.0

    def is_idle(self) -> bool:
        """Whether the customer can be forgotten: its bucket is full and it requests almost nothing."""
        return self.remaining >= self.plan.burst and self.requested_per_s < IDLE_REQUESTED_PER_S

    def share(self) -> QuotaShare:
        """Return the share of the next period."""
        rate, requested = self.plan.rate, self.requested_per_s
        available = rate + self.remaining / PAYBACK_S
        fraction = min(1.0, max(MIN_SHARE, available / requested)) if requested > available else 1.0
        in_budget = self.retries_per_s <= RETRY_SHARE * max(requested, MIN_RETRY_BASE * rate)
        return QuotaShare(fraction, in_budget)


class _RestrictedShare(NamedTuple):
    """A restricted share, and the cost per second of the requests beyond it."""

    cost: float
    key: int
    share: QuotaShare


class UsageMeter:
    """Usage of all customers by customer key; `plans` are in the order of the settings."""

    def __init__(self, plans: Sequence[Plan], now_us: int) -> None:
        self.customers: dict[int, MeteredCustomer] = {}
        self._plans = plans
        self._period_started_us = now_us

    def add_usage(self, usage: Mapping[int, CustomerUsage]) -> None:
        """Add the rows of a report, by customer key."""
        for key, row in usage.items():
            if row.plan >= len(self._plans) or not self._plans[row.plan].rate:
                continue  # no such plan with a rate quota here: the sender may run another release
            customer = self.customers.get(key)
            if customer is None:
                plan = self._plans[row.plan]
                customer = self.customers[key] = MeteredCustomer(plan, plan.burst)
            customer.period_requested += row.requested
            customer.period_admitted += row.admitted
            customer.period_retries += row.retries

    def close_period(self, now_us: int) -> dict[int, QuotaShare]:
        """Close the period and return the restricted shares by customer key, the most costly excess first.

        Customers that are not in the result have the full share.
        """
        seconds = max(1, now_us - self._period_started_us) / SECOND_US
        self._period_started_us = now_us
        restricted: list[_RestrictedShare] = []
        idle: list[int] = []
        for key, customer in self.customers.items():
            customer.close_period(seconds)
            if customer.is_idle():
                idle.append(key)
                continue
            share = customer.share()
            if share.fraction < 1 or not share.retries_in_budget:
                cost = (1 - share.fraction) * customer.requested_per_s * customer.plan.price
                restricted.append(_RestrictedShare(cost, key, share))
        for key in idle:
            del self.customers[key]
        self._limit_customers()
        restricted.sort(key=lambda row: row.cost, reverse=True)
        return {row.key: row.share for row in restricted}

    def _limit_customers(self) -> None:
        if len(self.customers) <= MAX_CUSTOMERS:
            return
        by_requests = sorted(self.customers.items(), key=lambda row: row[1].requested_per_s, reverse=True)
        self.customers = dict(by_requests[:MAX_CUSTOMERS])
