"""The rules for deliveries: every send asks `may_send`, the only place where the five rules are kept.

1 one answer in time; 2 no effect twice; 3 no delivery to a backend that drains; 4 none too many to one that
warms up; 5 hard rate limits.  A retry follows only the end of the attempt before, unless hedged requests are
allowed.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Delivery, EndpointState, Invocation, RepeatEffect, TokenScope
from .context import Context
from .rate_limits import RateLimits
from .slow_start import SlowStart
from .state import BackendState


@dataclass(slots=True, eq=False)
class AttemptRules:
    """Whether a further delivery may be made, and to which backend."""

    context: Context
    limits: RateLimits
    slow_start: SlowStart

    def may_repeat(self, inv: Invocation) -> bool:
        """Rule 2, without a backend in view."""
        settings = self.context.settings
        ran = [d for d in inv.deliveries if d.may_have_run]
        if len(inv.deliveries) >= settings.max_deliveries:
            return False
        if not settings.may_hedge and any(d.result is None for d in ran):
            return False
        if ran and inv.op.effect is RepeatEffect.NON_IDEMPOTENT:
            return False
        return self.context.now < self.begin_by(inv)

    def begin_by(self, inv: Invocation) -> int:
        """Microseconds by which a further delivery has to begin: while backends remember the token of the
        first."""
        until = inv.deadline
        if inv.op.effect is RepeatEffect.TOKENED:
            lifetime = inv.op.token_lifetime - self.context.settings.tick
            for d in inv.deliveries:
                if d.may_have_run:
                    until = min(until, d.sent_at + lifetime)
        return until

    def may_deliver(self, inv: Invocation) -> bool:
        """Rules 1, 2 and 5, without a backend in view."""
        if inv.done or self.context.now >= inv.deadline or not self.may_repeat(inv):
            return False
        if inv.deliveries or not inv.customer.plan.limit_rate:
            return True
        return self.limits.available(inv.customer) >= inv.units

    def may_deliver_to(self, inv: Invocation, backend: BackendState) -> bool:
        """Rules 2, 3 and 4 for one backend."""
        if backend.state is not EndpointState.READY:
            return False
        if inv.deliveries and inv.op.effect is RepeatEffect.TOKENED and inv.op.scope is not TokenScope.ALL:
            for d in inv.deliveries:
                if d.may_have_run and not self._shares_tokens(d, inv.op.scope, backend):
                    return False
        return not self.slow_start.is_warming_up(backend) or self.slow_start.may_send(backend)

    @staticmethod
    def _shares_tokens(delivery: Delivery, scope: TokenScope, backend: BackendState) -> bool:
        """Whether a backend drops the repeat of a delivery."""
        if scope is TokenScope.ZONE:
            return delivery.backend.zone == backend.zone
        return delivery.backend.group == backend.group

    def may_send(self, inv: Invocation, backend: BackendState) -> bool:
        """All rules at once."""
        return self.may_deliver(inv) and self.may_deliver_to(inv, backend)
