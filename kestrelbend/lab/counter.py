"""The emulated counter service: parts that serve calls in turn, names that are forgotten, and its
failures."""

from __future__ import annotations

from .network import Party

TURNED_AWAY = "turned away"


class CounterModel:
    """`call` answers by a callback with a total, with TURNED_AWAY, or never."""

    def __init__(self, world):
        self.world, self.terms, self.clock = world, world.scenario.counter, world.clock
        self.party = Party("counter", world.scenario.fleet.zones[0])
        self.free_at = [0] * self.terms.parts  # when each part is done with its line
        self.totals, self.split = {}, None  # split: by zone, while zones count by themselves
        self.lost, self.factor, self.sweep_at = False, 1.0, 4096

    def call(self, name, add, life, answer, zone=""):
        """Adds when its turn has come, also when nobody waits for it any more."""
        if self.lost:
            return
        part, now = name % self.terms.parts, self.clock.now
        takes = self.terms.call * self.factor
        if self.free_at[part] - now > self.terms.line * takes:
            self.clock.after(1, answer, TURNED_AWAY)
            return
        self.free_at[part] = max(now, self.free_at[part]) + int(takes)
        self.clock.at(self.free_at[part], self.serve, name, add, life, answer, zone)

    def serve(self, name, add, life, answer, zone):
        if self.lost:
            return
        totals = self.totals if self.split is None else self.split.setdefault(zone, dict(self.totals))
        total, until = totals.get(name, (0.0, 0))
        if until <= self.clock.now:
            total, until = 0.0, self.clock.now + min(life, 60_000_000)
        totals[name] = total + add, until
        if len(totals) > self.sweep_at:
            for old in [n for n, (_, until) in totals.items() if until <= self.clock.now]:
                del totals[old]
            self.sweep_at = max(4096, 2 * len(totals))
        answer(float(f"{total + add:.7g}"))

    # Failures.

    def lose(self):
        self.lost = True

    def back(self, empty):
        self.lost, self.free_at = False, [0] * self.terms.parts
        if empty:
            self.totals = {}

    def part_ways(self):
        self.split = {}

    def join(self):
        """One zone's counts are kept."""
        self.totals = next(iter(self.split.values()), self.totals)
        self.split = None
