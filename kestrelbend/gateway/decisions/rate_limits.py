"""Hard rate limits of plans ("ceilings" in the settings), enforced by all gateways without communication.

Invariant (rule 5): the units admitted by all gateways together never exceed the plan's rate, burst and slack,
whichever gateways restart and whether or not the counter service answers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Customer
from ..keys import stable_hash
from ..routing.pool import GOLDEN
from .context import SECOND, Context
from .state import CustomerState

MAX_IMBALANCE = 4  # units by which allocations may run ahead, taken from the burst or covered by the slack


@dataclass(slots=True, eq=False)
class RateLimits:
    """Allocates each customer's units to its gateways in turn, by the clock alone."""

    context: Context

    def available(self, customer: CustomerState) -> float:
        """Units that this gateway may admit now.

        Whole units are allocated, and expire if unused for as long as the burst takes to fill.  With an equal
        fraction of each unit a gateway had none for seconds after a start.  Units allocated before this
        process started do not count, since they may have been spent then.
        """
        now, plan = self.context.now, customer.plan
        allocated = self.allocated(customer, now)
        if customer.limit_allocated is None:
            customer.limit_allocated = self.allocated(customer, self.context.started_at)
        imbalance = min(MAX_IMBALANCE, customer.spread - 1) - plan.limit_slack
        burst = max(min(1.0, plan.limit_burst), plan.limit_burst - max(0.0, imbalance))
        unexpired = allocated - self.allocated(customer, now - int(burst / plan.limit_rate * SECOND))
        customer.limit_units = min(unexpired, customer.limit_units + allocated - customer.limit_allocated)
        customer.limit_allocated = allocated
        return customer.limit_units

    def allocated(self, customer: Customer, at: int) -> int:
        """Units allocated to this gateway up to a time in microseconds; any run of consecutively numbered
        gateways gets about the same."""
        phase = self.context.settings.gateway * GOLDEN + stable_hash(customer.name) / 2**63
        return math.floor(at * customer.plan.limit_rate / (customer.spread * SECOND) + phase % 1.0)
