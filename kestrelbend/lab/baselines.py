"""Other policies to compare with, each the module with one decision replaced.  They serve nobody: the rules
hold in them only as far as the module's own gates keep them."""

from __future__ import annotations

from ..choice import Gateway


class LetAllIn(Gateway):
    """Every invocation is let in; what a backend cannot take is refused for want of a credit."""

    def admit(self, inv):
        yield from ()
        return (
            self.after(inv)
            if inv.customer.plan.ceiling_rate and (self.ceiling_share(inv.customer) < inv.units)
            else None
        )


class FixedShares(Gateway):
    """Each gateway has an even part of each customer's quota, and asks nobody."""

    def admit(self, inv):
        yield from ()
        acc, plan = inv.customer, inv.customer.plan
        if plan.ceiling_rate and self.ceiling_share(acc) < inv.units:
            return self.after(inv)
        if plan.most_out and acc.out >= max(1, plan.most_out // acc.spread):
            return self.after(inv)
        if plan.rate:
            # A part below one of the largest invocations would let none of them in, ever.
            burst = max(plan.burst / acc.spread, inv.units)
            before = acc.left if acc.left is not None else burst
            filled = before + plan.rate / acc.spread * (self.now - acc.as_of) / 1e6
            acc.left, acc.as_of = min(burst, filled), self.now
            if acc.left < inv.units:
                return self.after(inv, (inv.units - acc.left) * acc.spread / plan.rate)
            acc.left -= inv.units
        return None


class Picking(Gateway):
    """Another choice of backend; credits and quotas as they are."""

    def drawn(self, targets):
        raise NotImplementedError

    def pick(self, inv):
        if not self.free() or not self.may_go(inv):
            return None
        self.picks += 1
        tried = {d.backend for d in inv.deliveries}
        able = [t for t in self.pool.members if self.may_take(inv, t)]
        return self.drawn([t for t in able if t not in tried] or able)


class LeastOutstanding(Picking):
    def drawn(self, targets):
        return min(targets, key=lambda t: (t.out / t.weight, self.rng.random()), default=None)


class TwoChoices(Picking):
    """Of two drawn at random, the one with less out."""

    def drawn(self, targets):
        pair = self.rng.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda t: t.out / t.weight, default=None)


BASELINES = {
    "let-all-in": LetAllIn,
    "fixed-shares": FixedShares,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
}
