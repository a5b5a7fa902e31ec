"""Customers' quotas: windows and counters at the counter service, and estimates where a total is missing."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import CounterReply, Effects, Invocation, Plan, Result, Spawn
from ..keys import stable_hash
from .context import SECOND, Context
from .counter import CounterCalls
from .state import CustomerState

WINDOW_BURSTS = 3  # window length, in times that the rate takes to fill the burst; the design starts at 1
MAX_LIFETIME = 60 * SECOND  # maximum lifetime of a counter at the counter service
CAP_WINDOW = 10 * SECOND  # maximum window length under a concurrency cap
IN_FLIGHT_PER_UNIT = 1000  # a total carries deliveries in flight as thousandths of a unit
MAX_EXACT_TOTAL = 1e7  # the counter service returns seven significant digits
MANY_GATEWAYS_CAP_FACTOR = 4  # a cap is not counted for a customer whose spread exceeds so many times the cap
MAX_CALL_DELAY = SECOND  # after a rejected call, when the service rejects all
UNITS_SMOOTHING = 0.01  # weight of one invocation in the mean units
USAGE_KEY_MASK = 0xFFFFFFFF  # gateways identify customers to each other by 32 bits


def window_length(plan: Plan) -> int:
    """Length of a quota window in microseconds."""
    length = int(WINDOW_BURSTS * plan.burst / plan.rate * SECOND) if plan.rate else CAP_WINDOW
    return max(SECOND, min(length, CAP_WINDOW if plan.max_in_flight else MAX_LIFETIME * 9 // 10))


def counter_lifetime(plan: Plan) -> int:
    """Lifetime of a window's counter at the counter service, in microseconds."""
    return min(MAX_LIFETIME, window_length(plan) * 11 // 10)


def counts_in_flight(plan: Plan) -> bool:
    """Whether totals have enough digits to carry deliveries in flight."""
    fits = plan.burst * (WINDOW_BURSTS + 1) * IN_FLIGHT_PER_UNIT < MAX_EXACT_TOTAL
    return bool(plan.max_in_flight) and fits and 2 * plan.max_in_flight < IN_FLIGHT_PER_UNIT


def counter_name(customer: CustomerState, what: str, window: int) -> int:
    """Name of a counter at the counter service, the same at every gateway."""
    return stable_hash(f"{customer.plan.name} {customer.name} {what} {window}")


def usage_key(customer: CustomerState) -> int:
    """The key by which gateways identify a customer to each other."""
    if customer.usage_key is None:
        customer.usage_key = stable_hash(f"{customer.plan.name} {customer.name}") & USAGE_KEY_MASK
    return customer.usage_key


@dataclass(slots=True, eq=False)
class Quota:
    """The remaining quota of each customer, from the latest total and the invocations admitted since."""

    context: Context
    counter: CounterCalls
    mean_units: float = 1.0  # per invocation, exponentially smoothed

    def observe_request(self, inv: Invocation) -> None:
        """Record that an invocation asked for quota, whether or not it is admitted."""
        plan = inv.customer.plan
        self.mean_units += UNITS_SMOOTHING * (inv.units - self.mean_units)
        if self.context.usage and plan.rate:
            self.context.usage.record_request(usage_key(inv.customer), plan.number, inv.units, inv.retry)

    def has_many_gateways(self, customer: CustomerState) -> bool:
        """Whether it reaches so many gateways that the latest total here is stale by its next invocation."""
        plan = customer.plan
        bucket_size = plan.burst if plan.rate else MANY_GATEWAYS_CAP_FACTOR * plan.max_in_flight or math.inf
        return customer.spread * self.mean_units > bucket_size

    def shortage(self, customer: CustomerState, units: float) -> float:
        """Units missing to admit `units`, by the latest total; 0 or less if there are enough."""
        if customer.remaining is None or not customer.plan.rate:
            return 0.0
        return units - min(customer.plan.burst, self._refilled(customer, customer.remaining))

    def _refilled(self, customer: CustomerState, remaining: float) -> float:
        return remaining + customer.plan.rate * (self.context.now - customer.remaining_at) / SECOND

    def enter_window(self, customer: CustomerState) -> int:
        """The current window; deliveries in flight counted in the previous window are no longer tracked."""
        window = self.context.now // window_length(customer.plan)
        if window != customer.window:
            customer.window = window
            customer.total = 0.0
            customer.unreported_in_flight = 0
        return window

    def report(self, customer: CustomerState, units: float, in_flight: int) -> Effects[None]:
        """Add to the customer's total, and update remaining units and deliveries in flight from the reply.

        One counter holds whole units and, under a concurrency cap, deliveries in flight in thousandths.
        """
        window = self.enter_window(customer)
        in_flight = in_flight + customer.unreported_in_flight if counts_in_flight(customer.plan) else 0
        unreported = customer.unreported
        customer.unreported = 0.0
        customer.unreported_in_flight = 0
        amount = units + unreported + in_flight / IN_FLIGHT_PER_UNIT
        name, lifetime = counter_name(customer, "units", window), counter_lifetime(customer.plan)
        reply = yield from self.counter.add(name, amount, lifetime)
        if reply.result is not Result.SUCCEEDED:
            self._report_failed(customer, reply, units, unreported, in_flight)
            return
        total = reply.total
        if in_flight or customer.plan.max_in_flight:
            thousandths = round(total * IN_FLIGHT_PER_UNIT)
            whole_units = (thousandths + IN_FLIGHT_PER_UNIT // 2) // IN_FLIGHT_PER_UNIT
            customer.total_in_flight = thousandths - whole_units * IN_FLIGHT_PER_UNIT
            total = whole_units
        if window == customer.window:
            self._apply_total(customer, total, units, unreported)

    def _report_failed(
        self, customer: CustomerState, reply: CounterReply, units: float, unreported: float, in_flight: int
    ) -> None:
        if reply.result is Result.TIMED_OUT:  # assume it was counted; the next total shows whether it was
            customer.total += units + unreported
            self.count_locally(customer, units, 0)
        else:
            customer.unreported += unreported
            self.count_locally(customer, units, in_flight)
            delay = int((1 - self.counter.call_fraction) * MAX_CALL_DELAY)
            customer.no_call_before = self.context.now + delay
        known = 0 if self.counter.is_silent() else customer.total_in_flight
        customer.total_in_flight = max(customer.in_flight + 1, known)

    def _apply_total(self, customer: CustomerState, total: float, units: float, unreported: float) -> None:
        now, plan = self.context.now, customer.plan
        if customer.remaining is None:
            length = window_length(plan)
            elapsed = now - (customer.window or 0) * length
            limit = min(plan.burst + plan.rate * elapsed / SECOND, plan.rate * length / SECOND)
            customer.remaining = min(plan.burst, limit - (total - units)) - units
        else:
            used = total - customer.total - unreported
            if used < -customer.total / 2:  # the service restarted without its data
                used = max(units, total - unreported)
            # Usage elsewhere since the last total is assumed even, so the refill is capped only after it.
            refilled = self._refilled(customer, customer.remaining)
            customer.remaining = min(plan.burst, refilled + customer.assumed_elsewhere - used)
        customer.remaining_at = now
        customer.total = total
        customer.assumed_elsewhere = 0.0

    def count_locally(self, customer: CustomerState, units: float, in_flight: int) -> None:
        """Count without a total; the customer's other gateways are each assumed to admit as much."""
        customer.unreported += units
        customer.unreported_in_flight += in_flight
        if customer.remaining is None:
            customer.remaining = customer.plan.burst
            customer.remaining_at = self.context.now
        elsewhere = units * (customer.spread - 1)
        refilled = self._refilled(customer, customer.remaining)
        customer.remaining = min(customer.plan.burst, refilled) - units - elsewhere
        customer.assumed_elsewhere += elsewhere
        customer.remaining_at = self.context.now

    def release(self, inv: Invocation) -> Effects[None]:
        """Count it as no longer in flight; the counter of a past window keeps it until that expires."""
        customer = inv.customer
        if customer.plan.max_in_flight and inv.window == self.enter_window(customer):
            customer.unreported_in_flight -= 1
            if customer.unreported_in_flight and self.context.settings.counter_allowed:
                yield Spawn(self.report(customer, 0, 0))

    def refund(self, inv: Invocation) -> Effects[None]:
        """Refund the units counted for an invocation that is not forwarded."""
        customer, units = inv.customer, inv.counted
        inv.counted = None
        if units is None:
            return
        customer.unreported -= units
        if customer.remaining is not None:
            customer.remaining += units
        yield from self.release(inv)
        # With many gateways the next call is far off; until then the others see the refunded units as used.
        called = self.counter.call_fraction >= 1 and self.context.settings.counter_allowed
        if units and customer.unreported < 0 and called and self.has_many_gateways(customer):
            yield Spawn(self.report(customer, 0, 0))

    def correct(self, inv: Invocation, units: float) -> None:
        """Correct the counted units to those that the answer states as used."""
        customer = inv.customer
        if units and customer.plan.rate and inv.counted is not None:
            customer.unreported += units - inv.counted
            if customer.remaining is not None:  # None if the first total came after its window
                customer.remaining -= units - inv.counted
