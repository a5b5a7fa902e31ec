"""Each customer's quota: windows and names at the counter service, totals, and what stands in for them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Counted, Effects, Invocation, Plan, Result, Spawn
from ..keys import stable_hash
from .context import SECOND, Context
from .counter import CounterCalls
from .state import CustomerState

WINDOW_BURSTS = (
    3  # length of a window, in the time that the rate takes to fill the burst; the design starts at 1
)
MAX_LIFETIME = 60 * SECOND  # the counter service forgets a number by then
CAP_WINDOW = 10 * SECOND  # window under a concurrency cap
IN_FLIGHT_PER_UNIT = 1000  # deliveries in flight ride on a total as thousandths of a unit
MAX_EXACT_TOTAL = 1e7  # the counter service gives seven digits
MANY_GATEWAYS_CAP_FACTOR = 4  # spread over a cap from which a cap is not counted
MAX_CALL_DELAY = SECOND  # after a call that the service rejected, when no other is let through
UNITS_SMOOTHING = 0.01  # weight of one invocation in the mean units
USAGE_KEY_MASK = 0xFFFFFFFF  # customers are told apart by 32 bits among the gateways


def window_length(plan: Plan) -> int:
    """Microseconds of a quota window."""
    length = int(WINDOW_BURSTS * plan.burst / plan.rate * SECOND) if plan.rate else CAP_WINDOW
    return max(SECOND, min(length, CAP_WINDOW if plan.max_in_flight else MAX_LIFETIME * 9 // 10))


def counter_lifetime(plan: Plan) -> int:
    """Microseconds that the counter service keeps a window's number."""
    return min(MAX_LIFETIME, window_length(plan) * 11 // 10)


def counts_in_flight(plan: Plan) -> bool:
    """Whether a total has digits left for deliveries in flight."""
    fits = plan.burst * (WINDOW_BURSTS + 1) * IN_FLIGHT_PER_UNIT < MAX_EXACT_TOTAL
    return bool(plan.max_in_flight) and fits and 2 * plan.max_in_flight < IN_FLIGHT_PER_UNIT


def counter_name(customer: CustomerState, what: str, window: int) -> int:
    """The number's name at the counter service, the same at every gateway."""
    return stable_hash(f"{customer.plan.name} {customer.name} {what} {window}")


def usage_key(customer: CustomerState) -> int:
    """The customer's key among the gateways."""
    if customer.usage_key is None:
        customer.usage_key = stable_hash(f"{customer.plan.name} {customer.name}") & USAGE_KEY_MASK
    return customer.usage_key


@dataclass(slots=True, eq=False)
class Quota:
    """What is left of each customer's quota, by the latest total and what was admitted since."""

    context: Context
    counter: CounterCalls
    mean_units: float = 1.0  # of an invocation

    def observe_request(self, inv: Invocation) -> None:
        """Note an invocation that asks for its quota, whatever becomes of it."""
        plan = inv.customer.plan
        self.mean_units += UNITS_SMOOTHING * (inv.units - self.mean_units)
        if self.context.usage and plan.rate:
            self.context.usage.record_request(usage_key(inv.customer), plan.number, inv.units, inv.retry)

    def has_many_gateways(self, customer: CustomerState) -> bool:
        """Whether its gateways are so many that its total here is old when it comes again."""
        plan = customer.plan
        store = plan.burst if plan.rate else MANY_GATEWAYS_CAP_FACTOR * plan.max_in_flight or math.inf
        return customer.spread * self.mean_units > store

    def shortage(self, customer: CustomerState, units: float) -> float:
        """Units missing to admit `units`, by the latest total; not above 0 if there is enough."""
        if customer.remaining is None or not customer.plan.rate:
            return 0.0
        return units - min(customer.plan.burst, self._refilled(customer, customer.remaining))

    def _refilled(self, customer: CustomerState, remaining: float) -> float:
        return remaining + customer.plan.rate * (self.context.now - customer.remaining_at) / SECOND

    def enter_window(self, customer: CustomerState) -> int:
        """The present window; what is in flight but counted under the last one's name is let go."""
        window = self.context.now // window_length(customer.plan)
        if window != customer.window:
            customer.window = window
            customer.total = 0.0
            customer.unreported_in_flight = 0
        return window

    def report(self, customer: CustomerState, units: float, in_flight: int) -> Effects[None]:
        """Add to the customer's total, and learn from it what remains and how many are in flight.

        One number holds whole units and, under a concurrency cap, deliveries in flight in thousandths.
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
        self, customer: CustomerState, reply: Counted, units: float, unreported: float, in_flight: int
    ) -> None:
        if reply.result is Result.TIMED_OUT:  # it may have counted: take it so, the next total tells
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
            if used < -customer.total / 2:  # the service came back empty
                used = max(units, total - unreported)
            # Others' use since the last total is taken as even, so refill is cut off only after it.
            refilled = self._refilled(customer, customer.remaining)
            customer.remaining = min(plan.burst, refilled + customer.assumed_elsewhere - used)
        customer.remaining_at = now
        customer.total = total
        customer.assumed_elsewhere = 0.0

    def count_locally(self, customer: CustomerState, units: float, in_flight: int) -> None:
        """Without a total, the customer's other gateways are taken to admit as much as this one."""
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
        """It is no longer in flight; under the name of a past window it stands until that is forgotten."""
        customer = inv.customer
        if customer.plan.max_in_flight and inv.window == self.enter_window(customer):
            customer.unreported_in_flight -= 1
            if customer.unreported_in_flight and self.context.settings.counter_allowed:
                yield Spawn(self.report(customer, 0, 0))

    def refund(self, inv: Invocation) -> Effects[None]:
        """Take back what was counted for an invocation that is not forwarded."""
        customer, units = inv.customer, inv.counted
        inv.counted = None
        if units is None:
            return
        customer.unreported -= units
        if customer.remaining is not None:
            customer.remaining += units
        yield from self.release(inv)
        # In a wide set the next call is far off, and what was rejected stood as used with all others.
        called = self.counter.call_fraction >= 1 and self.context.settings.counter_allowed
        if units and customer.unreported < 0 and called and self.has_many_gateways(customer):
            yield Spawn(self.report(customer, 0, 0))

    def correct(self, inv: Invocation, units: float) -> None:
        """The answer told what it really used."""
        customer = inv.customer
        if units and customer.plan.rate and inv.counted is not None:
            customer.unreported += units - inv.counted
            if customer.remaining is not None:  # a first total may be late, its window past
                customer.remaining -= units - inv.counted
