"""The meter: one gateway that sums what all report, and works out what share of a customer's first tries
there is room for.  No I/O, no clock and no chance of its own."""

from __future__ import annotations

from .messages import Share

SECOND = 1_000_000
HORIZON = 3.0  # seconds over which what is left of a burst is given out, or an excess paid back
MOVES = 0.5  # how far a period moves what is asked for
RETRY_SHARE, RETRY_FLOOR = 0.20, 0.5  # marked retries over first tries; those count as so much of the rate
LEAST = 0.02  # share of the one that asks most, so that it is heard of
FORGOTTEN = 0.05  # units a second: who asks for less and has its burst back is forgotten
MOST = 4096  # customers held; beyond, those that ask least go


class Metered:
    """One customer: what is left of its burst, and its tries a second of late."""

    __slots__ = ("plan", "left", "asked", "retries", "now_asked", "now_let_in", "now_retries")

    def __init__(self, plan, burst):
        self.plan, self.left, self.asked, self.retries = plan, burst, 0.0, 0.0
        self.now_asked = self.now_let_in = self.now_retries = 0.0


class Meter:
    """`plans`: objects with `rate` (units a second) and `burst` (units), in the settings' order."""

    def __init__(self, plans, now):
        self.plans, self.since, self.customers = plans, now, {}

    def add(self, uses):
        """A report: Use by customer."""
        for key, use in uses.items():
            if use.plan >= len(self.plans) or not self.plans[use.plan].rate:
                continue  # not a plan of these settings: one of another release
            at = self.customers.get(key)
            if at is None:
                at = self.customers[key] = Metered(self.plans[use.plan], self.plans[use.plan].burst)
            at.now_asked += use.asked
            at.now_let_in += use.let_in
            at.now_retries += use.retries

    def shares(self, now):
        """Closes a period: Share by customer, for those with room for less than all, who cost most first."""
        spell = max(1, now - self.since) / SECOND
        self.since, told, gone = now, [], []
        for key, at in self.customers.items():
            rate, burst = at.plan.rate, at.plan.burst
            at.left = max(-burst, min(burst, at.left + rate * spell) - at.now_let_in)
            at.asked += MOVES * (at.now_asked / spell - at.asked)
            at.retries += MOVES * (at.now_retries / spell - at.retries)
            at.now_asked = at.now_let_in = at.now_retries = 0.0
            if at.left >= burst and at.asked < FORGOTTEN:
                gone.append(key)
                continue
            room = rate + at.left / HORIZON
            part = min(1.0, max(LEAST, room / at.asked)) if at.asked > room else 1.0
            retries = at.retries <= RETRY_SHARE * max(at.asked, RETRY_FLOOR * rate)
            if part < 1 or not retries:
                told.append(((1 - part) * at.asked * at.plan.price, key, Share(part, retries)))
        for key in gone:
            del self.customers[key]
        if len(self.customers) > MOST:
            most = sorted(self.customers.items(), key=lambda row: row[1].asked, reverse=True)
            self.customers = dict(most[:MOST])
        told.sort(key=lambda row: row[0], reverse=True)
        return {key: share for _, key, share in told}
