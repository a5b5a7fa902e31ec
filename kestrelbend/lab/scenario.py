"""What a scenario file states: a fleet, its back end, its customers, and a schedule of failures.

The same file drives simulated time and loopback sockets.  Times have units; a fault in the file is said with
its line and key (`kestrelbend.gateway.settings.toml_files`).
"""

from __future__ import annotations

from typing import Annotated, ClassVar, Literal

import msgspec
from msgspec import Meta, Struct

from ..gateway.settings.units import Microseconds, Fraction

Count = Annotated[int, Meta(ge=0)]
Some = Annotated[int, Meta(ge=1)]
Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Units = Annotated[list[Some], Meta(min_length=2, max_length=2)]  # from, to
Shares = Annotated[list[Fraction], Meta(min_length=2, max_length=2)]
MS = 1000
S = 1_000_000


def default(values):
    """A list of its own for each."""
    return msgspec.field(default_factory=lambda: list(values))


class Fleet(Struct, forbid_unknown_fields=True):
    """The gateways and the front that deals clients out to them."""

    gateways: Annotated[int, Meta(ge=1, le=500)] = 4
    zones: list[str] = default(["a", "b"])
    cpu: Microseconds = Microseconds(0)  # of one event at a gateway; 0: none is reckoned with
    starts_in: Microseconds = Microseconds(400 * MS)  # from the start of a gateway to its serving
    front_notices: Microseconds = Microseconds(
        2 * S
    )  # from the death of a gateway to the front's leaving it out
    descriptors: Some = 1024

    def faults(self):
        if not self.zones or len(set(self.zones)) < len(self.zones):
            yield "zones", "names each zone once, at least one"


class Backends(Struct, forbid_unknown_fields=True):
    count: Annotated[int, Meta(ge=1, le=500)] = 8
    cores: Some = 2
    work: Microseconds = Microseconds(120 * MS)  # core time of an invocation, at mean
    work_spread: Amount = 0.5  # of its logarithm
    # invocations at work and waiting; others are turned away unseen
    holds: Some = 32
    connections: Some = 400  # open at once; others are refused
    handshake: Microseconds = Microseconds(1 * MS)  # core time of a new connection
    cold: Microseconds = Microseconds(10 * S)  # after a start, until warm
    cold_from: Fraction = Fraction(0.25)  # the part of its capacity that it comes up with
    # sent more than fall_multiple of its capacity for so long when
    fall: Microseconds = Microseconds(2 * S)
    fall_multiple: Positive = 2.5  # cold, it falls over and stays down
    reports: Literal["none", "probe", "answers"] = "none"
    reports_every: Microseconds = Microseconds(500 * MS)
    probe: Microseconds = Microseconds(500)  # core time of a probe
    idle_close: Microseconds = Microseconds(30 * S)
    stops_cancelled: bool = False  # whether running work ends when nobody waits for it
    # sizes, dealt out in turn
    weights: list[Positive] = default([1.0])


class CounterService(Struct, forbid_unknown_fields=True):
    parts: Some = 2
    call: Microseconds = Microseconds(800)  # that a part needs for a call
    line: Some = 64  # calls that wait at a part; others are turned away
    timeout: Microseconds = Microseconds(30 * MS)  # as the gateways are told
    price: Amount = 0.02  # of one call for each first try


class Discovery(Struct, forbid_unknown_fields=True):
    delay: Microseconds = Microseconds(1 * S)  # of a change, at mean
    delay_spread: Fraction = Fraction(0.5)
    lost: Fraction = Fraction(0)  # changes that come only with the next one


class Network(Struct, forbid_unknown_fields=True):
    """One way, between machines of one zone and of two."""

    within: Microseconds = Microseconds(300)
    across: Microseconds = Microseconds(1 * MS)
    jitter: Fraction = Fraction(0.3)
    connect_timeout: Microseconds = Microseconds(250 * MS)
    drain_grace: Microseconds = Microseconds(1 * S)


class Operation(Struct, forbid_unknown_fields=True):
    name: str
    effect: Literal["idempotent", "tokened", "non-idempotent"] = "idempotent"
    scope: Literal["all", "zone", "group"] = "all"
    memory: Microseconds = Microseconds(5 * S)
    objective: Microseconds = Microseconds(1200 * MS)
    timeout: Microseconds = Microseconds(3 * S)
    late_worth: Fraction = Fraction(0)
    part: Positive = 1.0  # of the traffic, beside the others'


class Plan(Struct, forbid_unknown_fields=True):
    """A plan and the customers that are on it."""

    name: str
    rate: Amount = 2.0  # units a second; 0: no quota on the rate
    burst: Amount = 8.0
    most_out: Count = 0
    price: Positive = 1.0
    over_worth: Fraction = Fraction(0)
    over_cost: Amount = 0.6
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0
    customers: Some = 20
    asks: Amount = 0.5  # units a second of a usual customer, in parts of the rate
    eager: Fraction = Fraction(0.1)  # customers that ask for more than their quota, and how much
    eager_asks: Amount = 2.5
    units: Units = default([1, 1])
    spread: Count = 0  # gateways that its customers come in through; 0: all

    def faults(self):
        if not self.rate and not self.most_out:
            yield "rate", "a plan without a rate needs most_out"
        if self.rate and self.burst < self.units[1]:
            yield "burst", "holds not even one of the largest invocations"
        if self.units[0] > self.units[1]:
            yield "units", "the least comes first"
        if self.ceiling_rate and self.ceiling_burst < self.units[1]:
            yield "ceiling_burst", "holds not even one of the largest invocations"

    def asked(self):
        """Units a second that a customer asks for when `asks` is 1."""
        return self.rate or 2.0 * self.most_out


class Clients(Struct, forbid_unknown_fields=True):
    marks_retries: bool = True
    retries: Count = 2
    wait: Microseconds = Microseconds(200 * MS)  # before a retry, at mean
    heeds_retry_after: Fraction = Fraction(0.7)  # clients that wait as long as they are told
    patience: Shares = default([Fraction(0.5), Fraction(1.0)])
    leaves: Fraction = Fraction(0)  # clients that leave before their time is up
    moves_every: Microseconds = Microseconds(8 * S)  # between changes of a customer's busiest gateways

    def faults(self):
        if self.patience[0] > self.patience[1] or not self.patience[0]:
            yield "patience", "from a least part above 0 of the timeout to a greatest"


class Members(Struct, forbid_unknown_fields=True):
    """Gateways meet one another by datagrams."""

    period: Microseconds = Microseconds(300 * MS)
    most_per_s: Positive = 40.0
    share_probes: bool = True
    loss: Fraction = Fraction(0)  # of datagrams


class Prices(Struct, forbid_unknown_fields=True):
    """Taken off the share served, each times its rate for one first try."""

    probe: Amount = 0.01
    handshake: Amount = 0.01
    waste: Amount = 0.08  # work that served nobody, beside the work asked for


# Failures: each has its kind, its start and how long it lasts.


class Failure(Struct, tag_field="kind", forbid_unknown_fields=True, kw_only=True):
    at: Microseconds
    MOMENT: ClassVar[bool] = True  # it happens at once; else it lasts

    def ends(self):
        return self.at

    def faults(self):
        return ()


class Lasting(Failure, forbid_unknown_fields=True, kw_only=True):
    lasts: Microseconds
    MOMENT: ClassVar[bool] = False

    def ends(self):
        return self.at + self.lasts

    def faults(self):
        if self.lasts <= 0:
            yield "lasts", "has to be longer than nothing"


class Kill(Failure, tag="kill", forbid_unknown_fields=True, kw_only=True):
    """Gateways die at once and start again."""

    share: Fraction = Fraction(1)
    down: Microseconds = Microseconds(1 * S)  # until each is started again


class Roll(Lasting, tag="roll", forbid_unknown_fields=True, kw_only=True):
    """Gateways are restarted with SIGTERM, so many at a time."""

    share: Fraction = Fraction(1)
    steps: Some = 10


class Pause(Lasting, tag="pause", forbid_unknown_fields=True, kw_only=True):
    """Gateways stand still and go on."""

    share: Fraction = Fraction(0.25)


class ZoneLoss(Lasting, tag="zone-loss", forbid_unknown_fields=True, kw_only=True):
    """A zone's backends vanish, and its gateways if so said; they return cold."""

    zone: str
    gateways: bool = False


class Lost(Lasting, tag="lost-backends", forbid_unknown_fields=True, kw_only=True):
    """Some backends vanish without a word; they return cold."""

    share: Fraction = Fraction(0.125)


class Cut(Lasting, tag="cut", forbid_unknown_fields=True, kw_only=True):
    """What one side sends does not reach the other, and back if so said.  A side is "gateways", "backends",
    "counter", "discovery", "clients" or "zone:NAME"."""

    one: str
    other: str
    both_ways: bool = True


class LostAnswers(Lasting, tag="lost-answers", forbid_unknown_fields=True, kw_only=True):
    """Some backends do the work and part of their answers never arrive."""

    share: Fraction = Fraction(0.5)
    part: Fraction = Fraction(0.2)
    how: Literal["silence", "reset"] = "silence"


class Resets(Lasting, tag="resets", forbid_unknown_fields=True, kw_only=True):
    """Connections break under requests, before or after the work."""

    part: Fraction = Fraction(0.1)


class Spoilt(Lasting, tag="spoilt", forbid_unknown_fields=True, kw_only=True):
    """Answers that cannot be read, from any backend."""

    part: Fraction = Fraction(0.1)


class Slow(Lasting, tag="slow", forbid_unknown_fields=True, kw_only=True):
    share: Fraction = Fraction(0.2)
    factor: Positive = 5.0


class Failing(Lasting, tag="failing", forbid_unknown_fields=True, kw_only=True):
    """Some backends quickly answer with errors."""

    share: Fraction = Fraction(0.2)
    part: Fraction = Fraction(1)
    takes: Microseconds = Microseconds(5 * MS)


class Release(Lasting, tag="release", forbid_unknown_fields=True, kw_only=True):
    """Backends drain, are down for a moment and come back cold, some at a time."""

    share: Fraction = Fraction(1)
    steps: Some = 5
    down: Microseconds = Microseconds(2 * S)
    drain: Microseconds = Microseconds(1 * S)
    renewed: bool = False  # they come back under new ids


class LateLists(Lasting, tag="late-lists", forbid_unknown_fields=True, kw_only=True):
    delay: Microseconds


class CounterTrouble(Lasting, tag="counter", forbid_unknown_fields=True, kw_only=True):
    """`slow`: each call takes `factor` times as long; `crowded`: so much foreign load; `lost`: silent;
    `emptied`: silent, then back with nothing; `split`: zones count by themselves, and one count is kept."""

    how: Literal["slow", "crowded", "lost", "emptied", "split"]
    factor: Positive = 4.0


class Clocks(Failure, tag="clocks", forbid_unknown_fields=True, kw_only=True):
    """The clocks of some machines step; a gateway takes it on at its next start."""

    share: Fraction = Fraction(0.5)
    by: Microseconds


class Storm(Lasting, tag="storm", forbid_unknown_fields=True, kw_only=True):
    """Clients of a plan (all, without one) repeat at once and often, whatever they are told."""

    plan: str = ""
    retries: Some = 8
    marked: bool = True


class Flood(Lasting, tag="flood", forbid_unknown_fields=True, kw_only=True):
    """Customers ask many times what they usually do: so many of a plan, or all of it with 0."""

    plan: str
    customers: Count = 1
    factor: Positive = 10.0


class Burst(Lasting, tag="burst", forbid_unknown_fields=True, kw_only=True):
    """All traffic grows."""

    factor: Positive = 2.0


class Shift(Failure, tag="shift", forbid_unknown_fields=True, kw_only=True):
    """Some customers move to others of their gateways at one stroke."""

    share: Fraction = Fraction(0.5)


AnyFailure = (
    Kill
    | Roll
    | Pause
    | ZoneLoss
    | Lost
    | Cut
    | LostAnswers
    | Resets
    | Spoilt
    | Slow
    | Failing
    | Release
    | LateLists
    | CounterTrouble
    | Clocks
    | Storm
    | Flood
    | Burst
    | Shift
)
SIDES = ("gateways", "backends", "counter", "discovery", "clients")


class Scenario(Struct, forbid_unknown_fields=True):
    name: str
    lasts: Microseconds = Microseconds(30 * S)
    seed: int = 1
    load: Positive = 1.0  # times what the plans' customers ask for
    deliveries: Some = 3  # at most for one invocation
    probing: bool = True
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    backends: Backends = msgspec.field(default_factory=Backends)
    counter: CounterService | None = msgspec.field(default_factory=CounterService)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    network: Network = msgspec.field(default_factory=Network)
    clients: Clients = msgspec.field(default_factory=Clients)
    prices: Prices = msgspec.field(default_factory=Prices)
    members: Members | None = None
    operations: list[Operation] = msgspec.field(default_factory=lambda: [Operation("lookup")])
    plans: list[Plan] = msgspec.field(default_factory=lambda: [Plan("default")])
    failures: list[AnyFailure] = []

    def faults(self):
        if self.lasts <= 0:
            yield "lasts", "has to be longer than nothing"
        for what in ("operations", "plans"):
            names = [each.name for each in getattr(self, what)]
            if not names or len(set(names)) < len(names):
                yield what, "names each once, at least one"
        for at, plan in enumerate(self.plans):
            if plan.spread > self.fleet.gateways:
                yield ("plans", at, "spread"), f"there are {self.fleet.gateways} gateways"
        plans = {plan.name: plan for plan in self.plans}
        for at, failure in enumerate(self.failures):
            yield from (((("failures", at, key)), text) for key, text in self.misfits(failure, plans))

    def misfits(self, failure, plans):
        if failure.at >= self.lasts:
            yield "at", "is after the end of the scenario"
        plan = getattr(failure, "plan", "")
        if plan and plan not in plans:
            yield "plan", f"no customer is on a plan {plan!r}; there are {', '.join(plans)}"
        elif isinstance(failure, Flood) and failure.customers > plans[plan].customers:
            yield "customers", f"plan {plan!r} has {plans[plan].customers}"
        if isinstance(failure, ZoneLoss) and failure.zone not in self.fleet.zones:
            yield "zone", f"unknown zone {failure.zone!r}; there are {', '.join(self.fleet.zones)}"
        if isinstance(failure, Cut):
            for key in ("one", "other"):
                side = getattr(failure, key)
                if side not in SIDES and side.removeprefix("zone:") not in self.fleet.zones:
                    yield key, f"unknown side {side!r}; {', '.join(SIDES)} or zone:NAME"
        if isinstance(failure, CounterTrouble) and self.counter is None:
            yield "how", "there is no counter"
