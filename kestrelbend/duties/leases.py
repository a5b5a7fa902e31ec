"""Leases for duties that two owners at once would spoil: a certificate's renewal, a count's sweep.

A few voters, the same for everybody (drawn by the duty's name from the list of peers that all are told),
grant a duty to one holder for `LENGTH`; who has a majority of them holds it, by a fencing number higher than
any that a majority has seen.  What makes it safe, whatever is lost, doubled, late or stopped:

- A voter grants to nobody else before its grant has run out on its own clock.
- A holder counts a grant from when it put the very question that is answered, and a tenth shorter: clocks
  need not agree, only run at the same rate to a tenth, and a holder that stood still finds its lease over.
- A voter that starts grants nothing for one length: what its former life granted is over by then.
- Fencing numbers grow with Unix time where nothing higher is known, so that they grow over the restart of all
  voters, too; what the duty is done on refuses a lower one than it has seen (`Fence`).

Times are whole microseconds of a clock that never steps (a monotonic one), `stamp` is Unix milliseconds.
"""

from __future__ import annotations

from .deal import score

SECOND = 1_000_000
LENGTH = 10 * SECOND
DRIFT = 10  # a holder's lease is shorter by this part
VOTERS = 5


def voters(duty, peers, count=VOTERS):
    """Which of the peers that everybody is told vote on a duty."""
    return sorted(peers, key=lambda peer: score(peer, duty), reverse=True)[:count]


class Granted:
    __slots__ = ("fence", "holder", "until")

    def __init__(self, fence, holder, until):
        self.fence, self.holder, self.until = fence, holder, until


class Voter:
    """`holder` is a pair of name and life: another life of the same name is somebody else."""

    def __init__(self, now, length=LENGTH):
        self.length, self.mute_until = length, now + length
        self.grants, self.highest = {}, {}

    def ask(self, now, duty, fence, holder):
        """(granted, the highest fence seen, microseconds to wait)."""
        highest, grant = self.highest.get(duty, 0), self.grants.get(duty)
        if now < self.mute_until:
            return False, highest, self.mute_until - now
        if grant is not None and grant.holder != holder and now < grant.until:
            return False, highest, grant.until - now
        if fence < highest or fence == highest and (grant is None or grant.holder != holder):
            return False, highest, 0
        self.grants[duty] = Granted(fence, holder, now + self.length)
        self.highest[duty] = fence
        return True, fence, self.length

    def given_back(self, duty, fence, holder):
        grant = self.grants.get(duty)
        if grant is not None and grant.holder == holder and grant.fence == fence:
            grant.until = 0


class Holder:
    """One duty that this member would hold; `votes` is how many voters there are."""

    def __init__(self, duty, me, votes, length=LENGTH):
        self.duty, self.me, self.votes = duty, me, votes
        self.length = length - length // DRIFT
        self.fence, self.known, self.grants, self.ask_at = 0, 0, {}, 0

    def majority(self):
        return self.votes // 2 + 1

    def until(self):
        """When the lease is over: when fewer than a majority of grants are left."""
        ends = sorted(self.grants.values(), reverse=True)
        return ends[self.majority() - 1] if len(ends) >= self.majority() else 0

    def holds(self, now):
        return now < self.until()

    def due(self, now):
        return now >= self.ask_at

    def ask(self, now, stamp):
        """The fence to ask the voters for, from now; a lease that runs is asked for again under its own."""
        if not self.holds(now):
            self.fence, self.grants = max(self.known + 1, stamp, self.fence + 1), {}
        self.ask_at = now + self.length // 4
        return self.fence

    def granted(self, voter, fence, asked):
        """`asked`: when this holder put the question that the voter answers.  To count from a later one would
        be wrong: that one may be lost."""
        if fence == self.fence:
            self.grants[voter] = max(self.grants.get(voter, 0), asked + self.length)

    def denied(self, now, voter, highest, wait):
        self.known = max(self.known, highest)
        if not self.holds(now) and wait:
            self.ask_at = max(self.ask_at, now + min(wait, self.length))

    def give_back(self):
        """The lease is over at once for this one; to be told to the voters, with its fence."""
        self.grants, fence = {}, self.fence
        return fence


class Fence:
    """What a duty is done on keeps this, and takes nothing under a lower number."""

    def __init__(self):
        self.highest = 0

    def accepts(self, fence):
        if fence < self.highest:
            return False
        self.highest = fence
        return True
