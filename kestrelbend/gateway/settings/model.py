"""The settings that a gateway's decisions depend on, validated once when they are read.

There is one model.  A TOML file uses the field names below as its keys; the platform's JSON and the
simulator's protocol use other names, which `platform` maps to these.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from .. import interface
from .units import Fraction, Microseconds

PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
MILLISECOND = 1000  # microseconds
SECOND = 1_000_000  # microseconds
IDEMPOTENCY_BY_NAME = {
    "idempotent": interface.Idempotency.IDEMPOTENT,
    "tokened": interface.Idempotency.TOKENED,
    "non-idempotent": interface.Idempotency.NON_IDEMPOTENT,
}
TOKEN_SCOPE_BY_NAME = {
    "all": interface.TokenScope.ALL,
    "zone": interface.TokenScope.ZONE,
    "group": interface.TokenScope.GROUP,
}


class Operation(Struct):
    """An operation that clients invoke."""

    name: str
    effect: Literal["idempotent", "tokened", "non-idempotent"] = "non-idempotent"
    scope: Literal["all", "zone", "group"] = "group"  # tokened: where duplicates are detected
    memory: Microseconds = Microseconds(0)  # tokened: how long the backends remember a token
    objective: Microseconds = Microseconds(1 * SECOND)  # the latency objective
    timeout: Microseconds = Microseconds(0)  # the integration timeout
    late_worth: Fraction = Fraction(0)  # part of the value that a response after the objective has
    streamed: bool = False
    worth: NonNegativeFloat = 1.0  # billed value, to be multiplied by the plan's price

    def to_interface(self) -> interface.Operation:
        """Converts it to the type that the decisions use; times in microseconds."""
        return interface.Operation(
            name=self.name,
            effect=IDEMPOTENCY_BY_NAME[self.effect],
            scope=TOKEN_SCOPE_BY_NAME[self.scope],
            token_lifetime=int(self.memory),
            objective=max(1, int(self.objective)),
            timeout=int(self.timeout),
            late_value=float(self.late_worth),
            streamed=self.streamed,
            value=self.worth,
        )


class Plan(Struct):
    """A plan: quotas that apply to each of its customers, summed over all gateways."""

    name: str
    rate: NonNegativeFloat = 0.0  # units per second; 0: no rate quota
    burst: NonNegativeFloat = 0.0  # units that may be used at once
    most_out: NonNegativeInt = 0  # concurrent deliveries; 0: unlimited
    price: NonNegativeFloat = 1.0
    # fractions of its value that an invocation beyond the quota earns and costs
    over_worth: NonNegativeFloat = 0.0
    over_cost: NonNegativeFloat = 0.0
    ceiling_rate: NonNegativeFloat = 0.0  # units per second that must never be exceeded; 0: no hard limit
    ceiling_burst: NonNegativeFloat = 0.0
    ceiling_slack: NonNegativeFloat = 0.0

    def to_interface(self, number: int = 0) -> interface.Plan:
        """Converts it to the type that the decisions use; `number` is its position in the list of plans."""
        return interface.Plan(
            name=self.name,
            rate=self.rate,
            burst=self.burst,
            max_in_flight=self.most_out,
            price=self.price,
            excess_value=self.over_worth,
            excess_cost=self.over_cost,
            limit_rate=self.ceiling_rate,
            limit_burst=self.ceiling_burst,
            limit_slack=self.ceiling_slack,
            number=number,
        )


class Fleet(Struct):
    """The gateways that enforce the quotas jointly."""

    gateways: PositiveInt = 1
    number: NonNegativeInt = 0  # of this one, from 0
    zone: str = ""
    discovery: Literal["pushed", "asked"] = "pushed"  # asked: a gateway has to request changes
    ask_within: Microseconds = Microseconds(10 * SECOND)  # asked: time that a gateway has to subscribe
    tick: Microseconds = Microseconds(1 * MILLISECOND)  # resolution of the gateway's clock
    answer_slack: Microseconds = Microseconds(0)  # how long after a client's deadline a response still counts


class Backends(Struct):
    """The backends: the information they provide, and what a gateway may do."""

    reports: Literal["none", "probe", "answers"] = "none"  # where load reports come from
    report_fields: list[str] = field(default_factory=list)
    probing: bool = False
    cancelling: bool = False
    second_copies: bool = False  # whether one invocation may have two concurrent deliveries
    most_deliveries: PositiveInt = 1  # maximum per invocation
    most_open: NonNegativeInt = 0  # maximum of open invocations at a gateway; 0: unlimited
    idle_close: Microseconds = Microseconds(0)  # after this, a backend's machine closes an idle connection
    connect_timeout: Microseconds = Microseconds(250 * MILLISECOND)
    cold: Microseconds = Microseconds(0)  # warm-up time after a start
    cold_from: Fraction = Fraction(1)  # minimum fraction of its capacity that a backend has at its start
    drain_grace: Microseconds = Microseconds(0)  # rule 3: after this, a draining backend gets no new request
    # rule 4: a backend that receives fall_multiple times its capacity for this long fails
    fall: Microseconds = Microseconds(0)
    fall_multiple: PositiveFloat = 1.0

    def faults(self) -> Iterator[tuple[str, str]]:
        """Yields (key, text) for fields that contradict each other."""
        if self.reports == "probe" and not self.probing:
            yield "reports", "load reports come from probes, but probing is not allowed"


class Counter(Struct):
    """The counter service, which is optional."""

    allowed: bool = False
    timeout: Microseconds = Microseconds(50 * MILLISECOND)


class Use(Struct):
    """The units of an invocation, and what clients are told of their usage."""

    most_units: NonNegativeFloat = 0.0  # maximum per invocation; 0: unlimited
    metering: Microseconds = Microseconds(0)  # period of the usage reported in responses; 0: not reported
    longest_retry_after: Microseconds = Microseconds(0)
    retry_after: bool = True  # whether a rejection may carry a Retry-After


class DecisionSettings(Struct):
    """All settings that a gateway's decisions depend on."""

    fleet: Fleet = field(default_factory=Fleet)
    backends: Backends = field(default_factory=Backends)
    counter: Counter = field(default_factory=Counter)
    use: Use = field(default_factory=Use)
    operations: list[Operation] = field(default_factory=list)
    plans: list[Plan] = field(default_factory=list)

    def settings(self) -> dict[str, Any]:
        """Returns the settings as a flat mapping, from which `interface` and the gateway take theirs."""
        backends = self.backends
        fleet = self.fleet
        return {
            "operations": [operation.to_interface() for operation in self.operations],
            "plans": [plan.to_interface(number) for number, plan in enumerate(self.plans)],
            "load_fields": backends.report_fields,
            "load_reports": backends.reports,
            "must_subscribe": fleet.discovery == "asked",
            "may_count": self.counter.allowed,
            "counter_timeout": int(self.counter.timeout),
            "most_units": self.use.most_units,
            "meter_period": int(self.use.metering),
            "gateways": fleet.gateways,
            "gateway": fleet.number,
            "zone": fleet.zone,
            "may_cancel": backends.cancelling,
            "may_probe": backends.probing,
            "second_copies": backends.second_copies,
            "most_deliveries": backends.most_deliveries,
            "may_advise": self.use.retry_after,
            "longest_retry_after": int(self.use.longest_retry_after),
            "idle_close": int(backends.idle_close),
            "connect_timeout": int(backends.connect_timeout),
            "most_open": backends.most_open,
            "tick": int(fleet.tick),
            "ask_within": int(fleet.ask_within),
            "answer_slack": int(fleet.answer_slack),
            "cold": int(backends.cold),
            "cold_from": float(backends.cold_from),
            "drain_grace": int(backends.drain_grace),
            "fall": int(backends.fall),
            "fall_multiple": backends.fall_multiple,
        }
