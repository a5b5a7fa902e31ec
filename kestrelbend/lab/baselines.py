"""Other policies to compare with, each the module with one decision replaced.  They serve nobody: the rules
hold in them only as far as the module's own gates keep them."""

from __future__ import annotations

from ..gateway.decisions import Gateway
from ..gateway.decisions.admission import Admission
from ..gateway.decisions.concurrency import local_cap
from ..gateway.decisions.selection import BackendSelection


class AdmitAll(Admission):
    """Every invocation is let in; what a backend cannot take is refused for want of a credit."""

    def admit(self, inv):
        yield from ()
        customer = inv.customer
        if customer.plan.limit_rate and self.limits.available(customer) < inv.units:
            return self.budget.retry_after(inv)
        return None


class LetAllIn(Gateway):
    admission_type = AdmitAll


class EvenShares(Admission):
    """Each gateway has an even part of each customer's quota, and asks nobody."""

    def admit(self, inv):
        yield from ()
        customer, plan = inv.customer, inv.customer.plan
        if plan.limit_rate and self.limits.available(customer) < inv.units:
            return self.budget.retry_after(inv)
        if plan.max_in_flight and customer.in_flight >= local_cap(customer):
            return self.budget.retry_after(inv)
        if plan.rate:
            # A part below one of the largest invocations would let none of them in, ever.
            burst = max(plan.burst / customer.spread, inv.units)
            before = customer.remaining if customer.remaining is not None else burst
            now = self.context.now
            filled = before + plan.rate / customer.spread * (now - customer.remaining_at) / 1e6
            customer.remaining, customer.remaining_at = min(burst, filled), now
            if customer.remaining < inv.units:
                missing = inv.units - customer.remaining
                return self.budget.retry_after(inv, missing * customer.spread / plan.rate)
            customer.remaining -= inv.units
        return None


class FixedShares(Gateway):
    admission_type = EvenShares


class Picking(BackendSelection):
    """Another selection of the backend; credits and quotas as they are."""

    def drawn(self, backends):
        raise NotImplementedError

    def pick(self, inv):
        if not self.credits.available() or not self.rules.may_deliver(inv):
            return None
        self.slow_start.selections += 1
        tried = {d.backend for d in inv.deliveries}
        able = [backend for backend in self.pool.members if self.rules.may_deliver_to(inv, backend)]
        return self.drawn([backend for backend in able if backend not in tried] or able)


class LeastInFlight(Picking):
    def drawn(self, backends):
        random = self.context.random
        return min(backends, key=lambda b: (b.in_flight / b.weight, random.random()), default=None)


class LeastOutstanding(Gateway):
    selection_type = LeastInFlight


class TwoDrawn(Picking):
    """Of two drawn at random, the one with less in flight."""

    def drawn(self, backends):
        pair = self.context.random.sample(backends, min(2, len(backends)))
        return min(pair, key=lambda b: b.in_flight / b.weight, default=None)


class TwoChoices(Gateway):
    selection_type = TwoDrawn


BASELINES = {
    "let-all-in": LetAllIn,
    "fixed-shares": FixedShares,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
}
