"""Hard rate limits of plans ("ceilings" in settings): kept by all gateways together without a word between
them.

Invariant (rule 5): the units of all gateways never exceed the plan's rate, burst and slack, whatever is
restarted and whether or not the counter service answers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Customer
from ..keys import stable_hash
from ..routing.pool import GOLDEN
from .context import SECOND, Context
from .state import CustomerState

MAX_IMBALANCE = 4  # units that turns may be uneven by, of the limit's burst or within its slack


@dataclass(slots=True, eq=False)
class RateLimits:
    """Deals each customer's units to its gateways in turn, by the clock alone."""

    context: Context

    def available(self, customer: CustomerState) -> float:
        """Units that this gateway may let through now.

        Whole units are dealt, and are lost when not used for as long as the burst takes to fill.  (An even
        part of a unit left none for seconds after a start.) What was dealt before this process began may have
        been spent then.
        """
        now, plan = self.context.now, customer.plan
        allocated = self.allocated(customer, now)
        if customer.limit_allocated is None:
            customer.limit_allocated = self.allocated(customer, self.context.started_at)
        imbalance = min(MAX_IMBALANCE, customer.spread - 1) - plan.limit_slack
        burst = max(min(1.0, plan.limit_burst), plan.limit_burst - max(0.0, imbalance))
        kept = allocated - self.allocated(customer, now - int(burst / plan.limit_rate * SECOND))
        customer.limit_units = min(kept, customer.limit_units + allocated - customer.limit_allocated)
        customer.limit_allocated = allocated
        return customer.limit_units

    def allocated(self, customer: Customer, at: int) -> int:
        """Units that this gateway was dealt by a time in microseconds; any row of gateways gets about the
        same."""
        turn = self.context.settings.gateway * GOLDEN + stable_hash(customer.name) / 2**63
        return math.floor(at * customer.plan.limit_rate / (customer.spread * SECOND) + turn % 1.0)
