"""Invocations that wait for a credit at some backend, the most valuable first."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..interface import Invocation


@dataclass(slots=True, eq=False)
class Backlog:
    """Acts only while no credit is free; the cheapest plan is served last in overload."""

    waiting: list[Invocation] = field(default_factory=list)

    @staticmethod
    def value(inv: Invocation) -> float:
        """Billed value, less for a customer that is known to ask for more than its rate."""
        return inv.customer.plan.price * inv.op.value * inv.customer.admitted_fraction()

    def ahead_of(self, inv: Invocation) -> int:
        """How many others are served before it."""
        return sum(other is not inv and self.value(other) >= self.value(inv) for other in self.waiting)

    def join(self, inv: Invocation) -> None:
        """Wait, unless it does already."""
        if inv not in self.waiting:
            self.waiting.append(inv)
            self.waiting.sort(key=self.value, reverse=True)

    def leave(self, inv: Invocation) -> None:
        """Wait no longer, if it did."""
        if inv in self.waiting:
            self.waiting.remove(inv)
