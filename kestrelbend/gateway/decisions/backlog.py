"""Priority queue of invocations that wait for a credit at any backend."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..interface import Invocation


@dataclass(slots=True, eq=False)
class Backlog:
    """Invocations waiting for a credit, most valuable first, so that overload hits the cheapest plans."""

    waiting: list[Invocation] = field(default_factory=list)

    @staticmethod
    def value(inv: Invocation) -> float:
        """Billed value, reduced for a customer whose known demand exceeds its rate."""
        return inv.customer.plan.price * inv.op.value * inv.customer.admitted_fraction()

    def ahead_of(self, inv: Invocation) -> int:
        """Number of other invocations that are served before this one."""
        return sum(other is not inv and self.value(other) >= self.value(inv) for other in self.waiting)

    def join(self, inv: Invocation) -> None:
        """Add an invocation, unless it is queued already."""
        if inv not in self.waiting:
            self.waiting.append(inv)
            self.waiting.sort(key=self.value, reverse=True)

    def leave(self, inv: Invocation) -> None:
        """Remove an invocation, if it is queued."""
        if inv in self.waiting:
            self.waiting.remove(inv)
