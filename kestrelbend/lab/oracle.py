"""The oracle: the five rules, worked out from what the emulator saw and nothing the module says.

Each event of an invocation is kept until it is over, so that the first one that broke a rule is named with
the trace that led there.
"""

from __future__ import annotations

from collections import deque

SLACK = 50_000  # microseconds allowed on sockets beyond each limit
NEVER_RAN = {"rejected", "unreachable", "void"}
KEPT = 40  # events of one trace
REMEMBERED = 5_000_000  # microseconds that one that is over is still known


class Broken:
    """A broken rule: its number, when, what happened, and the events that led there."""

    def __init__(self, rule, when, what, trace):
        self.rule, self.when, self.what, self.trace = rule, when, what, list(trace)

    def __str__(self):
        lines = [f"rule {self.rule} broken at {self.when / 1e6:.3f} s: {self.what}"]
        return "\n".join(lines + [f"  {at / 1e6:9.3f} s  {text}" for at, text in self.trace])


class Case:
    """An invocation at one gateway: one try of a client."""

    __slots__ = ("asking", "gateway", "life", "until", "trace", "sends", "answer", "ran", "gone", "closed")

    def __init__(self, asking, gateway, life):
        self.asking, self.gateway, self.life, self.until = asking, gateway, life, asking.until
        self.trace, self.sends, self.answer, self.ran, self.gone = deque(maxlen=KEPT), [], None, 0, False


class Send:
    __slots__ = ("backend", "zone", "group", "at", "outcome")

    def __init__(self, backend, at):
        self.backend, self.zone, self.group = backend, backend.zone, backend.group
        self.at, self.outcome = at, None

    def may_have_run(self):
        return self.outcome not in NEVER_RAN


class Oracle:
    def __init__(self, scenario, clock, slack=SLACK):
        self.scenario, self.clock, self.slack, self.start = scenario, clock, slack, clock.now
        self.cases, self.broken, self.told, self.ceilings = {}, [], {}, {}
        # By gateway: [since, until or None]; what ends then cannot be answered in time.
        self.pauses = {}
        self.dead = {}  # those that died with their gateway; what it had written may yet arrive
        self.closed = {}  # those that are over, a while longer: nothing may be done for them any more

    def at(self):
        return self.clock.now - self.start

    def breaks(self, rule, what, trace=()):
        self.broken.append(Broken(rule, self.at(), what, trace))

    def note(self, case, text):
        case.trace.append((self.at(), text))

    # What happens.

    def took(self, asking, gateway, life):
        """A gateway has taken a request."""
        case = self.cases[asking.number] = Case(asking, gateway, life)
        left, name = (asking.until - self.clock.now) / 1000, asking.request.customer.name
        self.note(case, f"gateway {gateway} took try {asking.number} of customer {name}, {left:.0f} ms left")

    def sent(self, number, backend, life):
        """A gateway has sent a delivery on.  Returns what `ended` is told it by."""
        case = self.cases.get(number)
        send = Send(backend, self.clock.now)
        if case is None and number in self.dead:
            return send
        if case is None:
            trace = self.closed[number].trace if number in self.closed else ()
            self.breaks(1, f"a delivery to {backend.uid} for try {number}, which is over", trace)
            return send
        self.note(case, f"sent to {backend.uid} ({backend.state})")
        if case.answer is not None:
            self.breaks(1, f"try {number} was sent on after its answer", case.trace)
        self.check_repeat(case, send)
        self.check_drain(case, backend, life)
        if not case.sends:
            self.check_ceiling(case)
        case.sends.append(send)
        return send

    def ended(self, number, send, outcome):
        """What became of a delivery, as the gateway is told."""
        send.outcome = outcome
        if number in self.cases:
            self.note(self.cases[number], f"{send.backend.uid}: {outcome}")
            self.forget(number)

    def ran(self, backend, number):
        case = self.cases.get(number)
        if case is not None:
            case.ran += 1
            if case.ran > 1 and case.asking.request.op.effect == "non-idempotent":
                self.breaks(2, f"try {number} ran twice", case.trace)

    def answered(self, number, what):
        """A gateway has given a final answer."""
        case = self.cases.get(number) or self.closed.get(number)
        if case is None:
            return
        self.note(case, f"answered: {what}")
        if case.answer is not None:
            self.breaks(1, f"try {number} was answered twice", case.trace)
        case.answer, case.closed = what, self.clock.now
        if self.clock.now > case.until + self.slack and not case.gone and not self.excused(case):
            late = (self.clock.now - case.until) / 1000
            self.breaks(1, f"try {number} was answered {late:.0f} ms after its time", case.trace)
        if what == "throttled":
            self.check_throttle(case)
        if number in self.cases:
            self.forget(number)

    def left(self, number):
        """Its client has left: no answer is owed any more."""
        if number in self.cases:
            self.cases[number].gone = True
            self.note(self.cases[number], "its client left")
            self.forget(number)

    def died(self, gateway, life):
        """What a gateway held when it was killed is no longer its duty."""
        for number in [n for n, c in self.cases.items() if c.gateway == gateway and c.life == life]:
            del self.cases[number]
            self.dead[number] = self.clock.now

    def paused(self, gateway, still):
        if still:
            self.pauses.setdefault(gateway, []).append([self.clock.now, None])
        elif self.pauses.get(gateway):
            self.pauses[gateway][-1][1] = self.clock.now

    def excused(self, case):
        """Its gateway stood still when its time ended, or went on only just before."""
        return any(
            since <= case.until + self.slack and (until is None or case.until <= until + self.slack)
            for since, until in self.pauses.get(case.gateway, ())
        )

    def overdue(self):
        """Those whose time is up without an answer; called now and then and at the end."""
        now = self.clock.now
        for case in list(self.cases.values()):
            if case.answer is None and not case.gone and now > case.until + self.slack:
                if not self.excused(case):
                    self.breaks(1, f"try {case.asking.number} got no answer in its time", case.trace)
                case.gone = True
                self.forget(case.asking.number)
        for number in [n for n, case in self.closed.items() if case.closed < now - REMEMBERED]:
            del self.closed[number]
        for number in [n for n, since in self.dead.items() if since < now - REMEMBERED]:
            del self.dead[number]

    def listed(self, life, uid, state):
        """A gateway's life is told of a backend's state."""
        if state == "ready":
            self.told.pop((life, uid), None)
        else:
            self.told.setdefault((life, uid), self.clock.now)

    def fell(self, backend):
        age = (self.clock.now - backend.started) / 1e6
        part = f"{backend.part():.0%} of its capacity"
        self.breaks(4, f"{backend.uid} was overrun {age:.2f} s after its start, at {part}")

    def forget(self, number):
        case = self.cases[number]
        if (case.answer is not None or case.gone) and all(s.outcome is not None for s in case.sends):
            del self.cases[number]
            case.closed = self.clock.now
            self.closed[number] = case

    # The rules.

    def check_repeat(self, case, send):
        """Rule 2: what may have run is not sent where it could take effect again."""
        op, before = case.asking.request.op, [s for s in case.sends if s.may_have_run()]
        if len(case.sends) >= self.scenario.deliveries:
            self.breaks(2, f"try {case.asking.number} had more deliveries than allowed", case.trace)
        if any(s.outcome is None for s in case.sends):
            self.breaks(2, f"try {case.asking.number} has two deliveries out at once", case.trace)
        if not before or op.effect == "idempotent":
            return
        if op.effect == "non-idempotent":
            self.breaks(2, f"try {case.asking.number} may have run and was sent on again", case.trace)
            return
        first = min(s.at for s in before)
        inside = op.scope == "all" or all(getattr(s, op.scope) == getattr(send, op.scope) for s in before)
        if not inside or self.clock.now > first + op.memory + self.slack:
            self.breaks(2, f"the repeat of try {case.asking.number} would not be known again", case.trace)

    def check_throttle(self, case):
        """Rule 2: a throttle says that trying again is harmless."""
        op = case.asking.request.op
        harmless = op.effect == "idempotent" or op.effect == "tokened" and op.scope == "all"
        if not harmless and any(s.may_have_run() for s in case.sends):
            self.breaks(2, f"try {case.asking.number} may have run and was throttled", case.trace)

    def check_drain(self, case, backend, life):
        """Rule 3: nothing new once the grace is over."""
        since = self.told.get((life, backend.uid))
        if since is not None and self.clock.now > since + self.scenario.network.drain_grace + self.slack:
            late = (self.clock.now - since) / 1e6
            self.breaks(3, f"sent to {backend.uid} {late:.2f} s after it was told off the list", case.trace)

    def check_ceiling(self, case):
        """Rule 5: one store for each customer, whatever gateways come and go."""
        customer, plan = case.asking.request.customer, case.asking.request.customer.plan
        if not plan.ceiling_rate:
            return
        level, at = self.ceilings.get(customer.name, (plan.ceiling_burst, self.clock.now))
        level = min(plan.ceiling_burst, level + plan.ceiling_rate * (self.clock.now - at) / 1e6)
        level -= case.asking.request.units
        self.ceilings[customer.name] = level, self.clock.now
        if level < -plan.ceiling_slack - plan.ceiling_rate * self.slack / 1e6 - 1e-9:
            self.breaks(5, f"customer {customer.name} is {-level:.1f} units beyond its ceiling", case.trace)
