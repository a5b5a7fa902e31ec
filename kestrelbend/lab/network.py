"""Who can reach whom, and how long a message takes."""

from __future__ import annotations


class Party:
    """An end of the network: of one kind ("gateways", "backends", ...), in a zone or in none."""

    __slots__ = ("kind", "zone", "vanished")

    def __init__(self, kind, zone=""):
        self.kind, self.zone, self.vanished = kind, zone, False

    def on(self, side):
        return self.zone == side[5:] if side.startswith("zone:") else self.kind == side


class Network:
    def __init__(self, terms, clock, chance):
        self.terms, self.clock, self.chance = terms, clock, chance
        self.cuts = []  # (one side, other side, whether both ways)

    def delay(self, one, other):
        mean = self.terms.across if one.zone != other.zone and one.zone and other.zone else self.terms.within
        return int(mean * (1 + self.terms.jitter * (2 * self.chance.random() - 1)))

    def open(self, one, other):
        """Whether what `one` sends reaches `other`."""
        if one.vanished or other.vanished:
            return False
        for a, b, both in self.cuts:
            # Within one side nothing is cut, also where the sides overlap.
            there = one.on(a) and other.on(b) and not other.on(a)
            if there or both and one.on(b) and other.on(a) and not one.on(a):
                return False
        return True

    def send(self, one, other, call, *args):
        """False: it is lost on the way."""
        if self.cuts or one.vanished or other.vanished:
            if not self.open(one, other):
                return False
        self.clock.after(self.delay(one, other), call, *args)
        return True
