"""Customers and their use: who asks how much, through which gateways, and what of it is inside the quotas.

The stores kept here are those of one that sees everything at once; no gateway has them.
"""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate

import numpy

from ..gateway.keys import stable_hash


class Store:
    """A quota: units that fill at a rate and may be used at once up to a burst.  A rate of 0 holds nothing
    back."""

    __slots__ = ("rate", "burst", "level", "at")

    def __init__(self, rate, burst, now):
        self.rate, self.burst, self.level, self.at = rate / 1e6, burst, burst, now

    def fill(self, now):
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def take(self, units, now):
        """Whether the units were there; else none are taken."""
        if not self.rate:
            return True
        if self.fill(now) < units:
            return False
        self.level -= units
        return True


class Customer:
    """`asked` and `sent` are stores: what one gateway that sees all would let in, and what was sent on."""

    __slots__ = ("name", "plan", "first", "spread", "eager", "asked", "sent", "ceiling", "out", "shifts")

    def __init__(self, name, plan, first, spread, eager, now):
        self.name, self.plan, self.first, self.spread, self.eager = name, plan, first, spread, eager
        self.asked = Store(plan.rate, plan.burst, now)
        self.sent = Store(plan.rate, plan.burst, now)
        self.ceiling = plan.ceiling_burst  # as of `sent.at` of the oracle's own reckoning
        self.out, self.shifts = 0, 0

    def gateway(self, drawn, epoch, gateways):
        """One of the set, unevenly: the busiest ones change with each epoch."""
        rank = int(self.spread * drawn * drawn)
        turn = stable_hash(f"{self.name} {epoch} {self.shifts}") % self.spread
        return (self.first + (rank + turn) % self.spread) % gateways


class Group:
    """Customers whose arrivals are drawn together: one Poisson stream, dealt out by weight."""

    def __init__(self, customers, weights, pace):
        self.customers, self.sums = customers, list(accumulate(weights))
        self.pace = pace  # first tries a second of all together

    def draw(self, uniform):
        return self.customers[bisect_right(self.sums, uniform * self.sums[-1])]


def people(scenario, streams, now):
    """All customers by plan, and the groups that their arrivals are drawn from."""
    customers, groups = {}, []
    for number, plan in enumerate(scenario.plans):
        chance = streams.of(f"customers {plan.name}")
        spread = plan.spread or scenario.fleet.gateways
        firsts = chance.integers(0, scenario.fleet.gateways, plan.customers)
        eager = round(plan.eager * plan.customers)
        made = [
            Customer(f"{number << 24 | at:016x}", plan, int(firsts[at]), spread, at < eager, now)
            for at in range(plan.customers)
        ]
        customers[plan.name] = made
        mean = sum(plan.units) / 2
        for members, asks in ((made[eager:], plan.asks), (made[:eager], plan.eager_asks)):
            if members and asks:
                weights = numpy.clip(chance.lognormal(0.0, 0.5, len(members)), 0.2, 5.0)
                pace = scenario.load * asks * plan.asked() / mean * len(members)
                groups.append(Group(members, weights.tolist(), pace))
    return customers, groups
