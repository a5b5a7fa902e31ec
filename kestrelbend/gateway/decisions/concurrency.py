"""Concurrency caps of plans: limits on a customer's deliveries in flight across all gateways."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Effects, Invocation, Pause
from .context import Context
from .counter import CounterCalls
from .credits import Credits
from .state import CustomerState

MAX_WAIT_FRACTION = 0.2  # of the latency target, to wait for a slot under the cap
MIN_CALL_FRACTION_AT_CAP = 0.2  # as calls fail, the delay after a total at the cap grows at most fivefold


def local_cap(customer: CustomerState) -> int:
    """This gateway's part of the cap, used when no total tells what is in flight elsewhere."""
    return max(1, customer.plan.max_in_flight // customer.spread)


@dataclass(slots=True, eq=False)
class ConcurrencyCaps:
    """Slots under customers' concurrency caps, and the queues for them."""

    context: Context
    counter: CounterCalls
    credits: Credits

    def wait_for_slot(self, inv: Invocation) -> Effects[bool]:
        """Queue for a slot, in order of arrival; True if none frees up in time, here or by the total."""
        customer, cap = inv.customer, inv.customer.plan.max_in_flight
        end = min(inv.deadline, inv.arrived_at + int(MAX_WAIT_FRACTION * inv.op.objective))
        customer.queue.append(inv)
        while full := self._is_full(customer):
            position = customer.queue.index(inv) + 1
            if inv.done or self.context.now + position * self.credits.answer_interval(inv.op, cap) > end:
                break
            at_cap = self.context.now < customer.at_cap_until
            yield Pause(min(end, customer.at_cap_until) if at_cap else end)
        customer.queue.remove(inv)
        return inv.done or full

    def _is_full(self, customer: CustomerState) -> bool:
        full_here = customer.in_flight + customer.calls_in_flight >= customer.plan.max_in_flight
        return full_here or self.context.now < customer.at_cap_until

    def is_exceeded(self, customer: CustomerState) -> bool:
        """Whether the latest total is over the cap."""
        return 0 < customer.plan.max_in_flight < customer.total_in_flight

    def postpone_calls(self, inv: Invocation) -> None:
        """Make no further call for the mean interval between answers at the cap; longer while calls fail."""
        interval = self.credits.answer_interval(inv.op, inv.customer.plan.max_in_flight)
        delay = int(interval / max(self.counter.call_fraction, MIN_CALL_FRACTION_AT_CAP))
        inv.customer.at_cap_until = self.context.now + delay
