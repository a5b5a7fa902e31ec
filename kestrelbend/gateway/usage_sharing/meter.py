"""The meter: one gateway that sums what all report, and works out for what share of a customer's first
attempts its quota has units. No I/O, no clock and no randomness of its own."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..interface import Plan
from .messages import CustomerUsage, QuotaShare

SECOND_US = 1_000_000
HORIZON_S = 3.0  # over which what remains of a burst is given out, or an excess paid back
SMOOTHING = 0.5  # how far a period moves the averages of what is requested
RETRY_SHARE = 0.20  # marked retries over first attempts that are within their budget
RETRY_FLOOR = 0.5  # first attempts count as at least so much of the rate there
MIN_SHARE = 0.02  # of the customer that requests most, so that it stays known
FORGET_BELOW = 0.05  # units a second: who requests less and has its burst back is forgotten
MAX_CUSTOMERS = 4096  # beyond, those that request least go


@dataclass(slots=True)
class MeteredCustomer:
    """One customer: a token bucket, its recent attempts a second, and the sums of the running period."""

    plan: Plan
    remaining: float  # units of the burst; negative: an excess that is paid back
    requested_per_s: float = 0.0
    retries_per_s: float = 0.0
    period_requested: float = 0.0
    period_admitted: float = 0.0
    period_retries: float = 0.0

    def close_period(self, seconds: float) -> None:
        """Takes the period's sums into the bucket and the averages."""
        rate, burst = self.plan.rate, self.plan.burst
        refilled = min(burst, self.remaining + rate * seconds)
        self.remaining = max(-burst, refilled - self.period_admitted)
        self.requested_per_s += SMOOTHING * (self.period_requested / seconds - self.requested_per_s)
        self.retries_per_s += SMOOTHING * (self.period_retries / seconds - self.retries_per_s)
        self.period_requested = 0.0
        self.period_admitted = 0.0
        self.period_retries = 0.0

    def is_idle(self) -> bool:
        """Whether nothing has to be known of it any more."""
        return self.remaining >= self.plan.burst and self.requested_per_s < FORGET_BELOW

    def share(self) -> QuotaShare:
        """What there is room for in the next period."""
        rate, requested = self.plan.rate, self.requested_per_s
        available = rate + self.remaining / HORIZON_S
        fraction = min(1.0, max(MIN_SHARE, available / requested)) if requested > available else 1.0
        in_budget = self.retries_per_s <= RETRY_SHARE * max(requested, RETRY_FLOOR * rate)
        return QuotaShare(fraction, in_budget)


class _Announced(NamedTuple):
    """A share that is less than all, and what its customer's excess costs."""

    cost: float
    key: int
    share: QuotaShare


class UsageMeter:
    """Customers by key; `plans` in the settings' order."""

    def __init__(self, plans: Sequence[Plan], now_us: int) -> None:
        self.customers: dict[int, MeteredCustomer] = {}
        self._plans = plans
        self._period_started_us = now_us

    def add_usage(self, usage: Mapping[int, CustomerUsage]) -> None:
        """A report's rows by customer."""
        for key, row in usage.items():
            if row.plan >= len(self._plans) or not self._plans[row.plan].rate:
                continue  # not a plan of these settings: one of another release
            customer = self.customers.get(key)
            if customer is None:
                plan = self._plans[row.plan]
                customer = self.customers[key] = MeteredCustomer(plan, plan.burst)
            customer.period_requested += row.requested
            customer.period_admitted += row.admitted
            customer.period_retries += row.retries

    def close_period(self, now_us: int) -> dict[int, QuotaShare]:
        """Shares by customer, of those with room for less than all, those whose excess costs most first."""
        seconds = max(1, now_us - self._period_started_us) / SECOND_US
        self._period_started_us = now_us
        announced: list[_Announced] = []
        idle: list[int] = []
        for key, customer in self.customers.items():
            customer.close_period(seconds)
            if customer.is_idle():
                idle.append(key)
                continue
            share = customer.share()
            if share.fraction < 1 or not share.retries_in_budget:
                cost = (1 - share.fraction) * customer.requested_per_s * customer.plan.price
                announced.append(_Announced(cost, key, share))
        for key in idle:
            del self.customers[key]
        self._limit_customers()
        announced.sort(key=lambda row: row.cost, reverse=True)
        return {row.key: row.share for row in announced}

    def _limit_customers(self) -> None:
        if len(self.customers) <= MAX_CUSTOMERS:
            return
        by_requests = sorted(self.customers.items(), key=lambda row: row[1].requested_per_s, reverse=True)
        self.customers = dict(by_requests[:MAX_CUSTOMERS])
