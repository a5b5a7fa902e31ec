"""The five rules for deliveries.  Every send is checked by `may_send`, the only place that enforces them.

1: one answer, in time.  2: no effect is executed twice.  3: no delivery to a draining backend.  4: no
overload of a backend that is warming up.  5: hard rate limits.  A retry starts only after the previous
attempt has ended, unless hedged requests are allowed.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Delivery, EndpointState, Idempotency, Invocation, TokenScope
from .context import Context
from .rate_limits import RateLimits
from .slow_start import SlowStart
from .state import BackendState


@dataclass(slots=True, eq=False)
class AttemptRules:
    """Whether an invocation may be delivered (again), and to which backends."""

    context: Context
    limits: RateLimits
    slow_start: SlowStart

    def may_repeat(self, inv: Invocation) -> bool:
        """Rule 2, apart from the choice of a backend."""
        settings = self.context.settings
        ran = [d for d in inv.deliveries if d.may_have_run]
        if len(inv.deliveries) >= settings.max_deliveries:
            return False
        if not settings.may_hedge and any(d.result is None for d in ran):
            return False
        if ran and inv.op.effect is Idempotency.NON_IDEMPOTENT:
            return False
        return self.context.now < self.begin_by(inv)

    def begin_by(self, inv: Invocation) -> int:
        """Time in microseconds before which a further delivery has to begin: the deadline, or earlier if
        backends forget the idempotency token of an earlier delivery before it."""
        until = inv.deadline
        if inv.op.effect is Idempotency.TOKENED:
            lifetime = inv.op.token_lifetime - self.context.settings.tick
            for d in inv.deliveries:
                if d.may_have_run:
                    until = min(until, d.sent_at + lifetime)
        return until

    def may_deliver(self, inv: Invocation) -> bool:
        """Rules 1, 2 and 5, apart from the choice of a backend."""
        if inv.done or self.context.now >= inv.deadline or not self.may_repeat(inv):
            return False
        if inv.deliveries or not inv.customer.plan.limit_rate:
            return True
        return self.limits.available(inv.customer) >= inv.units

    def may_deliver_to(self, inv: Invocation, backend: BackendState) -> bool:
        """Rules 2, 3 and 4 for a given backend."""
        if backend.state is not EndpointState.READY:
            return False
        if inv.deliveries and inv.op.effect is Idempotency.TOKENED and inv.op.scope is not TokenScope.ALL:
            for d in inv.deliveries:
                if d.may_have_run and not self._shares_tokens(d, inv.op.scope, backend):
                    return False
        return not self.slow_start.is_warming_up(backend) or self.slow_start.may_send(backend)

    @staticmethod
    def _shares_tokens(delivery: Delivery, scope: TokenScope, backend: BackendState) -> bool:
        """Whether a backend recognises the token of a delivery, and so drops its repeat."""
        if scope is TokenScope.ZONE:
            return delivery.backend.zone == backend.zone
        return delivery.backend.group == backend.group

    def may_send(self, inv: Invocation, backend: BackendState) -> bool:
        """All five rules."""
        return self.may_deliver(inv) and self.may_deliver_to(inv, backend)
