"""Clients and the front: requests come, are dealt out to gateways, given up, and asked again.

A request is what a customer wants once; each time a client asks for it is a try.  The wire in use carries a
try to a gateway and calls `answered` or `unreachable` with what came of it.
"""

from __future__ import annotations

from .customers import Group, people
from .network import Party

LONGEST_WAIT = 2_000_000  # microseconds that a client waits because it was told to
SOON = 30_000  # microseconds before a client asks again when no gateway could be reached


class Request:
    __slots__ = ("customer", "op", "units", "began", "tries", "inside", "over", "worth")

    def __init__(self, customer, op, units, began):
        self.customer, self.op, self.units, self.began = customer, op, units, began
        self.tries, self.inside, self.over, self.worth = 0, True, False, customer.plan.price * units


class Try:
    """One asking: `until` is when its client gives up, `gateway` whom it went to; `sends` of its
    deliveries."""

    __slots__ = (
        "number",
        "request",
        "sent",
        "until",
        "leaves",
        "retry",
        "gateway",
        "over",
        "timer",
        "sends",
        "life",
        "beyond",
        "told",
        "handle",
    )

    def __init__(self, number, request, sent, until, retry):
        self.number, self.request, self.sent, self.until, self.retry = number, request, sent, until, retry
        self.gateway, self.over, self.timer, self.sends, self.life = None, False, None, 0, None
        self.leaves, self.beyond, self.told, self.handle = until, False, None, None


class Front:
    """Deals tries out to the gateways of their customers' sets; learns of a death after a while."""

    def __init__(self, world):
        self.world, self.chance = world, world.chance("front")
        self.alive = [True] * world.scenario.fleet.gateways

    def died(self, index):
        self.world.clock.after(self.world.scenario.fleet.front_notices, self.notice, index)

    def notice(self, index):
        self.alive[index] = self.world.plant.serves(index)

    def left(self, index):
        self.alive[index] = False

    def serving(self, index):
        self.alive[index] = True

    def choose(self, customer):
        count = len(self.alive)
        epoch = self.world.clock.now // self.world.scenario.clients.moves_every
        index = customer.gateway(self.chance.random(), epoch, count)
        for step in range(customer.spread):
            at = customer.first + (index - customer.first + step) % customer.spread
            if self.alive[at % count]:
                return at % count
        return index


class Clients:
    def __init__(self, world):
        self.world, self.clock, self.terms = world, world.clock, world.scenario.clients
        self.chance, self.party, self.front = world.chance("clients"), Party("clients"), Front(world)
        self.customers, self.groups = people(world.scenario, world.streams, self.clock.now)
        self.arrivals = world.chance("arrivals")
        self.ops, self.parts = world.scenario.operations, []
        total = sum(op.part for op in self.ops)
        for op in self.ops:
            self.parts.append((self.parts[-1] if self.parts else 0.0) + op.part / total)
        self.burst, self.storms, self.numbers, self.open = 1.0, {}, 0, 0
        self.ends = None  # when the last request begins

    def start(self, until):
        self.ends = until
        for group in self.groups:
            self.next(group)

    def next(self, group):
        if not group.pace:
            return
        when = self.clock.now + max(1, int(self.arrivals.exponential() / (group.pace * self.burst) * 1e6))
        if when < self.ends:
            self.clock.at(when, self.arrive, group)

    def arrive(self, group):
        self.next(group)
        if group.pace:
            self.ask(group.draw(self.arrivals.random()))

    def flood(self, customers, extra):
        """Customers who ask for more on top, until the group's pace is set to 0."""
        group = Group(customers, [1.0] * len(customers), extra)
        self.next(group)
        return group

    def ask(self, customer):
        """A new request."""
        low, high = customer.plan.units
        units = low + self.arrivals.below(high - low + 1)
        drawn, op = self.arrivals.random(), self.ops[-1]
        for each, upto in zip(self.ops, self.parts, strict=True):
            if drawn < upto:
                op = each
                break
        request = Request(customer, op, float(units), self.clock.now)
        request.inside = customer.asked.take(units, self.clock.now)
        self.world.tally.asked(request)
        self.open += 1
        self.attempt(request)

    def attempt(self, request):
        now, (least, most) = self.clock.now, self.terms.patience
        patience = least + (most - least) * self.chance.random()
        until = now + int(request.op.timeout * patience)
        self.numbers += 1
        retry = request.tries > 0 and self.marks(request.customer.plan)
        asking = Try(self.numbers, request, now, until, retry)
        request.tries += 1
        if self.terms.leaves and self.chance.random() < self.terms.leaves:
            asking.leaves = now + int((until - now) * self.chance.random())
        asking.gateway = self.front.choose(request.customer)
        asking.timer = self.clock.at(asking.leaves, self.give_up, asking)
        self.world.tally.tried(asking)
        self.world.plant.ask(asking)

    def marks(self, plan):
        storm = self.storm(plan)
        return storm.marked if storm else self.terms.marks_retries

    def storm(self, plan):
        return self.storms.get(plan.name) or self.storms.get("")

    # What comes of a try.

    def answered(self, asking, what, retry_after=0):
        """`what`: "succeeded", "throttled" or "errored", as the client sees it."""
        if asking.over:
            return
        self.close(asking)
        self.world.tally.answered(asking, what)
        if what == "succeeded":
            self.finish(asking.request, True)
        else:
            self.again(asking, what, retry_after)

    def unreachable(self, asking):
        """No gateway took it."""
        if not asking.over:
            self.close(asking)
            self.world.tally.answered(asking, "unreachable")
            self.again(asking, "unreachable", 0)

    def give_up(self, asking):
        if not asking.over:
            self.close(asking)
            gone = self.clock.now < asking.until
            self.world.tally.answered(asking, "left" if gone else "timed out")
            self.world.plant.left(asking)
            if gone:
                self.finish(asking.request, False)
            else:
                self.again(asking, "timed out", 0)

    def close(self, asking):
        asking.over = True
        if asking.timer is not None:
            self.clock.cancel(asking.timer)

    def again(self, asking, what, retry_after):
        request, storm = asking.request, self.storm(asking.request.customer.plan)
        most = storm.retries if storm else self.terms.retries
        harmless = request.op.effect == "idempotent" or what in ("throttled", "unreachable")
        if request.tries > most or not harmless or self.clock.now >= self.ends + request.op.timeout:
            return self.finish(request, False)
        if storm:
            wait = SOON * self.chance.random()
        elif what == "unreachable":
            wait = SOON
        elif retry_after and self.chance.random() < self.terms.heeds_retry_after:
            wait = min(retry_after, LONGEST_WAIT) * (1 + 0.2 * self.chance.random())
        else:
            wait = self.terms.wait * self.chance.exponential()
        self.clock.after(max(1, int(wait)), self.attempt, request)
        return None

    def finish(self, request, served):
        if not request.over:
            request.over = True
            self.open -= 1
            self.world.tally.finished(request, served)
