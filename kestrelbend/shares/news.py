"""One gateway's end: what it saw of its customers since it last told the meter, what the meter told it, and
whether it should be the meter itself.  Events in, datagrams out; no I/O, no clock and no chance of its own.

Any gateway can be the meter.  Whoever is heard stays it; after a silence the lowest number that hears nobody
begins, each waiting a little longer than the one before; of two that hear each other the lower stays.  Who
never heard one reports to the first, which is asked to be the meter by that: a fleet that starts has news a
period sooner.  While nobody is heard, no share is known, and the gateway decides as it would without news.
"""

from __future__ import annotations

from . import messages
from .messages import Use
from .meter import Meter

SECOND = 1_000_000
SHORTEST = 4 * SECOND // 5  # a period, at least
FILLED = 0.75  # the part of a gateway's datagrams a second that reports take
STALE = 2.5  # periods without news: the meter is gone, and its news with it
LISTENS = 1.2  # periods after a start in which a meter that there is would be heard
STEP = 0.1  # periods that each next gateway waits longer before it takes over
MOST_PARTS = 2  # datagrams of news in a period
MOST_HELD = 512  # customers with use to tell


class News:
    """`plans` in the settings' order; `most_in`: datagrams that a gateway takes a second."""

    def __init__(self, gateways, number, plans, most_in, now):
        self.number, self.plans = number, plans
        self.period = max(SHORTEST, int(gateways / (FILLED * most_in) * SECOND))
        self.wait = int((STALE + STEP * number) * self.period)
        self.meter, self.who, self.heard, self.born = None, None, now - self.period, now
        self.uses, self.shares, self.coming, self.count = {}, {}, (None, {}, set()), 0

    # What the gateway asks and tells.

    def saw(self, key, plan, units, retry):
        """A try was taken, for a customer of the plan with this number."""
        use = self.uses.get(key)
        if use is None:
            if len(self.uses) >= MOST_HELD:
                return
            use = self.uses[key] = Use(plan)
        if retry:
            use.retries += 1
        else:
            use.asked += units

    def let_in(self, key, plan, units):
        """A try was sent on."""
        self.saw(key, plan, 0.0, False)
        if key in self.uses:
            self.uses[key].let_in += units

    def share(self, key, now):
        """The Share of a customer; None: no news, or all of it too old."""
        if self.who is None or now - self.heard > STALE * self.period:
            return None
        return self.shares.get(key, EVERY)

    # The datagrams.

    def due(self, now):
        """To be called once a period: (number of a gateway or None for all, datagram) to send."""
        self.count += 1
        silent = now - self.heard
        if self.meter is None and silent > self.wait:
            self.begin(now)
        if self.meter is None:
            to = FIRST if self.who is None else self.who
            if to == self.number or self.who is not None and silent > STALE * self.period:
                self.trim()
                return []
            return [(to, messages.report(self.count, self.taken()))]
        self.meter.add(self.taken(messages.USES * 4))
        self.shares, self.heard = self.meter.shares(now), now
        most = list(self.shares.items())[: MOST_PARTS * messages.SHARES]
        return [(None, data) for data in messages.news(self.count, dict(most))]

    def receive(self, number, data, now):
        """A datagram of the gateway with this number; raises messages.Unreadable."""
        message = messages.read(data)
        if number == self.number:
            return
        if message.kind == messages.REPORT:
            if self.meter is None and self.who is None and now - self.born > LISTENS * self.period:
                self.begin(now)
            if self.meter is not None:
                self.meter.add(message.rows)
            return
        if self.meter is not None:
            if number > self.number:
                return  # it will hear this one
            self.meter = None
        if self.who not in (None, number) and self.who < number and now - self.heard < STALE * self.period:
            return
        stamp, rows, parts = self.coming
        if stamp != (number, message.period):
            stamp, rows, parts = (number, message.period), {}, set()
        rows.update(message.rows)
        parts.add(message.part)
        self.coming, self.who, self.heard = (stamp, rows, parts), number, now
        # A lost part is no word on who was in it: they keep what they had until all parts of a period came.
        self.shares = rows if len(parts) == message.parts else self.shares | rows

    def begin(self, now):
        self.meter, self.who = Meter(self.plans, now - self.period), self.number

    def taken(self, most=messages.USES):
        """The rows of a report, the largest use first; the rest and fractions of units wait for the next."""
        rows = sorted(self.uses.items(), key=lambda row: max(row[1].asked, row[1].let_in), reverse=True)
        rows = rows[:most]
        for key, use in rows:
            left = Use(use.plan, use.asked - int(use.asked), use.let_in - int(use.let_in))
            if left.asked or left.let_in:
                self.uses[key] = left
            else:
                del self.uses[key]
        return dict(rows)

    def trim(self):
        """Nobody to tell: what is old by then would only mislead."""
        if self.count % 4 == 0:
            self.uses.clear()


EVERY = messages.Share(1.0, True)
FIRST = 0
