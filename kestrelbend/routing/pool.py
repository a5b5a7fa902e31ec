"""The pool: which of many backends one gateway keeps to, and running totals of its credits there.

Among hundreds of gateways and backends a gateway that spreads its few invocations over all backends meets
each of them so seldom that it learns nothing of any, opens a connection for nearly every delivery, and walks
over all of them on each event.  So each keeps to a part of them, wide enough that every member is heard of
about every `HEARD`: a busy gateway uses many backends, an idle one few, and each member gets about the same
from every gateway that uses it.

All gateways see the backends in one order, on a ring by their keys, and each starts at a place of its own
that it works out alone.  The places step by the golden section, so that any number of gateways cover the ring
evenly and gateways with neighbouring numbers, which share customers, share few backends.
"""

from __future__ import annotations

import math

SECOND = 1_000_000
GOLDEN = (math.sqrt(5) - 1) / 2
HEARD = 2 * SECOND  # a member should be sent to about so often
LEAST = 8  # members at least, so that a lost zone leaves some
COMPARED = 24  # members looked at for one delivery
MEMORY = 10 * SECOND  # sends are counted over about so long
GROWS, SHRINKS = 1.25, 0.6  # the pool follows its pace by such steps, or connections would come and go


class Pool:
    """`members` may be picked; `order` holds all ready backends, this gateway's own first, and `reach` is how
    far down the order the members come from.  Targets have `key`, `room`, `out`, `bench` (microseconds until
    when it is left out) and `pooled`, which is set here."""

    def __init__(self, gateways, gateway, now):
        self.gateways, self.gateway = gateways, gateway
        self.order, self.members, self.reach = [], [], 0
        self.rooms, self.out = 0.0, 0  # sums over the members
        self.width, self.returns = LEAST, math.inf  # wanted members; when the next one benched is back
        self.sends, self.since = 0, now

    def listed(self, targets):
        """The ready backends have changed; `fill` has to follow."""
        ring = sorted(targets, key=lambda t: t.key)
        start = int(self.gateway * GOLDEN % 1.0 * len(ring))
        self.order = ring[start:] + ring[:start]

    def fill(self, now, part):
        """Take members from the order until together they can do what `width` warm ones can.  `part(t)` is
        the share of its capacity that a backend is known to have by now."""
        for t in self.members:
            t.pooled = False
        self.members, able, self.returns, self.reach = [], 0.0, math.inf, 0
        for t in self.order:
            if able >= self.width:
                break
            self.reach += 1
            if t.bench > now:
                self.returns = min(self.returns, t.bench)
                continue
            t.pooled = True
            self.members.append(t)
            able += part(t)
        self.rooms, self.out = sum(t.room for t in self.members), sum(t.out for t in self.members)

    def candidates(self, rng):
        """Those to compare for one delivery: all members, or of many some drawn by chance, which are nearly
        as good and cost no more time in a larger fleet."""
        return self.members if len(self.members) <= COMPARED else rng.sample(self.members, COMPARED)

    def benched(self):
        return self.reach - len(self.members)

    def reached(self):
        """The members and those that would be, were they not benched."""
        return self.order[: self.reach]

    def sharers(self):
        """About how many gateways use each backend that this one uses."""
        return max(1.0, self.gateways * self.reach / max(1, len(self.order)))

    # Credits.

    def spend(self, t):
        self.sends += 1
        t.out += 1
        self.out += t.pooled

    def give_back(self, t):
        if t.out:
            t.out -= 1
            self.out -= t.pooled

    def resize(self, t, room):
        if t.pooled:
            self.rooms += room - t.room
        t.room = room

    # Width.

    def wants_width(self, now):
        """The width that the present pace asks for, or None while the present one will do."""
        spell = now - self.since
        wanted = max(LEAST, self.sends / max(HEARD, spell) * HEARD)
        if spell > MEMORY:
            self.sends, self.since = self.sends / 2, (self.since + now) // 2
        wanted = min(wanted, max(LEAST, len(self.order)))
        return wanted if not SHRINKS * self.width < wanted < GROWS * self.width else None
