"""Who does what: weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by logarithms).

Every member works out the same owner for a duty from the same list of members, and when one comes or goes
only the duties that it has, or gets, move.
"""

from __future__ import annotations

import math

from ..keys import stable_key


def score(member, duty, weight=1.0):
    """The higher, the rather; as likely to be the highest as its weight is large beside the others'."""
    return -weight / math.log((stable_key(f"{member} {duty}") + 0.5) / (1 << 63))


class Deal:
    """Duties by name, members by name with their weights; `owner` of each, kept up as both change."""

    def __init__(self):
        self.members, self.best = {}, {}  # best: by duty, (score, member)

    def choose(self, duty):
        self.best[duty] = max(((score(m, duty, w), m) for m, w in self.members.items()), default=(0.0, None))

    def add(self, duty):
        if duty not in self.best:
            self.choose(duty)

    def drop(self, duty):
        self.best.pop(duty, None)

    def owner(self, duty):
        return self.best[duty][1] if duty in self.best else None

    def set_members(self, members):
        """Names with weights; how many duties moved."""
        gone = {m for m, w in self.members.items() if members.get(m) != w}
        come = {m: w for m, w in members.items() if self.members.get(m) != w}
        self.members, moved = dict(members), 0
        for duty, (_, old) in list(self.best.items()):
            if old is None or old in gone:
                self.choose(duty)
            else:
                for m, w in come.items():
                    self.best[duty] = max(self.best[duty], (score(m, duty, w), m))
            moved += self.best[duty][1] != old
        return moved

    def of(self, member):
        return [duty for duty, (_, owner) in self.best.items() if owner == member]
