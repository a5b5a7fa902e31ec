"""Types shared by the gateway's decisions and the front ends that host them.

A host (`kestrelbend.gateway.hosting`) translates its protocol into these objects and resumes the generators
of `kestrelbend.gateway.decisions`, which yield effects for the host to carry out.  This module contains no
decision logic.  Times and durations are whole microseconds; times are read from the host's clock.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias, TypeVar

if TYPE_CHECKING:
    from .decisions.state import BackendState, CustomerState


class Idempotency(Enum):
    """Whether an operation may be executed more than once."""

    IDEMPOTENT = "idempotent"
    TOKENED = "tokened"  # backends deduplicate repeats by an idempotency token
    NON_IDEMPOTENT = "non-idempotent"


class TokenScope(Enum):
    """Which backends share the idempotency tokens of an invocation, and so drop its repeats."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class EndpointState(Enum):
    """A backend's state, as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """Outcome of a delivery, a probe or a call to the counter service."""

    SUCCEEDED = "succeeded"
    ERRORED = "errored"
    REJECTED = "rejected"  # refused without being processed
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection was made in time
    BROKEN = "broken"  # the connection was lost while waiting for the answer
    CANCELLED = "cancelled"
    VOID = "void"  # not sent at all

    @property
    def never_ran(self) -> bool:
        """Whether the backend is known to have done no work for it."""
        return self in (Result.REJECTED, Result.UNREACHABLE, Result.VOID)


@dataclass(slots=True, eq=False)
class Operation:
    """A type of invocation, as configured."""

    name: str
    effect: Idempotency
    scope: TokenScope
    token_lifetime: int  # how long backends remember a token, from its first delivery
    objective: int  # latency target
    timeout: int  # the longest a client waits
    late_value: float  # fraction of the billed value that remains after the objective
    streamed: bool
    value: float = 1.0  # billed value, before multiplication by the plan's price

    @property
    def repeats_anywhere(self) -> bool:
        """Whether a repeat may go to any backend, whatever the outcome of earlier attempts."""
        return (
            self.effect is Idempotency.IDEMPOTENT
            or self.effect is Idempotency.TOKENED
            and self.scope is TokenScope.ALL
        )


@dataclass(slots=True, eq=False)
class Plan:
    """The service terms that a customer has bought, as configured."""

    name: str
    rate: float  # units per second; 0: no rate quota
    burst: float  # units that may be used at once
    max_in_flight: int  # concurrent deliveries; 0: no cap
    price: float
    excess_value: float  # fraction of its value that an invocation beyond the quota earns
    excess_cost: float  # fraction of its value that such an invocation costs
    limit_rate: float  # hard limit in units per second; 0: none
    limit_burst: float
    limit_slack: float
    number: int = 0  # index in the list of configured plans


@dataclass(slots=True, eq=False)
class Backend:
    """A backend as discovery last reported it."""

    zone: str = ""
    kind: str = ""
    group: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started: int | None = None  # time of the latest start; None: long ago
    key: int = 0  # stable hash of its id, equal at every gateway


@dataclass(slots=True, eq=False)
class Customer:
    """A customer and its plan."""

    name: str
    plan: Plan
    spread: int  # number of gateways that its invocations may reach


@dataclass(slots=True, eq=False)
class Delivery:
    """One attempt to have an invocation executed by one backend."""

    inv: Invocation
    backend: BackendState
    sent_at: int
    deadline: int
    number: int
    begin_by: int  # its first byte must be sent before this time
    result: Result | None = None
    duration: int = 0
    overdue: bool = False  # unanswered beyond the latency objective

    @property
    def may_have_run(self) -> bool:
        """Whether the backend has or may have executed it; true while it is in flight."""
        return self.result is None or not self.result.never_ran


@dataclass(slots=True, eq=False)
class Invocation:
    """One request of a client, from its arrival to its final answer."""

    op: Operation
    customer: CustomerState
    arrived_at: int
    deadline: int  # when the client gives up
    units: float  # an estimate where the answer states the actual units
    retry: bool  # the client marked it as a retry
    done: bool = False  # answered, abandoned by its client, or its stream has begun
    streaming: bool = False
    counted: float | None = None  # units added to the customer's total in quota window `window`; None: none
    window: int = 0
    deliveries: list[Delivery] = field(default_factory=list)


# Effects, yielded by the generators of the decisions.


@dataclass(slots=True)
class Deliver:
    """Start a delivery; the generator is resumed at once."""

    delivery: Delivery


@dataclass(slots=True)
class Cancel:
    """Stop waiting for a delivery; the generator is resumed at once."""

    delivery: Delivery


@dataclass(slots=True)
class Throttle:
    """Give the final answer: rejected, safe to retry; the generator is resumed at once."""

    inv: Invocation
    retry_after: int


@dataclass(slots=True)
class Fail:
    """Give the final answer: error, may have been executed; the generator is resumed at once."""

    inv: Invocation


@dataclass(slots=True)
class Pause:
    """Wait until a time.

    Resumed with a Delivery of this invocation that ended, else with None: the time was reached, the generator
    was woken, or the invocation is done.
    """

    until: int


@dataclass(slots=True)
class AddToCounter:
    """Add to a named counter that expires after `lifetime` microseconds; resumed with a CounterReply."""

    name: int
    amount: float
    lifetime: int


@dataclass(slots=True)
class CounterReply:
    """The reply to an `AddToCounter`: the counter's total after the addition."""

    result: Result
    total: float


@dataclass(slots=True)
class Probe:
    """Request a load report from a backend; resumed with a ProbeReply."""

    backend: Backend


@dataclass(slots=True)
class ProbeReply:
    """The reply to a `Probe`; `load` is the backend's report, None if it sent none."""

    result: Result
    duration: int
    load: dict[str, float] | None


@dataclass(slots=True)
class Spawn:
    """Run another generator concurrently; this one is resumed at once."""

    generator: Effects[Any]


@dataclass(slots=True)
class Wake:
    """Resume the paused generator of an invocation with None; this one is resumed at once."""

    inv: Invocation


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes at discovery, which arrive as calls of `Gateway.endpoints_changed`.

    The generator is resumed at once.
    """


@dataclass(slots=True)
class Log:
    """Log a line for operators, `about` a backend, a customer or None; the generator is resumed at once."""

    text: str
    about: Any = None


HostEffect: TypeAlias = (
    Deliver | Cancel | Throttle | Fail | Pause | AddToCounter | Probe | Spawn | Wake | Subscribe | Log
)
"""Everything that a generator of the decisions may yield."""

Returned = TypeVar("Returned")
Effects: TypeAlias = Generator[HostEffect, Any, Returned]
"""A generator that yields effects and returns a value; what it is resumed with depends on the effect."""

BackgroundTask: TypeAlias = Effects[None]


class QuotaShare(Protocol):
    """One customer's usage at all gateways, set against its quota."""

    fraction: float  # part of its first attempts that its quota has units for
    retries_in_budget: bool  # whether its marked retries are within their retry budget


class UsageExchange(Protocol):
    """Exchanges customers' usage between gateways (`kestrelbend.gateway.usage_sharing`)."""

    def record_request(self, key: int, plan: int, units: float, retry: bool) -> None:
        """Record that an invocation asked for units of its customer's quota."""

    def record_admission(self, key: int, plan: int, units: float) -> None:
        """Record that an invocation was sent to a backend."""

    def quota_share(self, key: int, now_us: int) -> QuotaShare | None:
        """A customer's share; None where there is no recent information on any customer."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings that the decisions read; durations are microseconds."""

    operations: Sequence[Operation]
    gateways: int  # number of gateways in the fleet
    gateway: int  # index of this one among them
    tick: int  # resolution of the clock
    counter_allowed: bool  # whether the counter service may be used
    counter_timeout: int
    usage_period: int  # over which answers report a customer's usage; 0: they report none
    may_advise: bool  # whether a rejection may state when to retry
    may_cancel: bool
    may_hedge: bool  # hedged requests: concurrent deliveries of one invocation
    max_deliveries: int  # per invocation
    may_probe: bool
    load_reports: str  # source of backends' load reports: "none", "probe" or "answers"
    must_subscribe: bool  # discovery reports changes only to subscribers
    subscribe_within: int  # time that a gateway has to subscribe
    warm_up_time: int  # after a start, until slow start ends
    initial_capacity: float  # minimum part of its full capacity that a backend has right after its start
    overload_span: int  # rule 4: a backend that gets `overload_factor` times its capacity for so long fails
    overload_factor: float

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> GatewaySettings:
        """Build from a mapping with the names of `kestrelbend.gateway.settings`."""
        return cls(
            operations=settings["operations"],
            gateways=settings["gateways"],
            gateway=settings["gateway"],
            tick=settings["tick"],
            counter_allowed=settings["may_count"],
            counter_timeout=settings["counter_timeout"],
            usage_period=settings["meter_period"],
            may_advise=settings["may_advise"],
            may_cancel=settings["may_cancel"],
            may_hedge=settings["second_copies"],
            max_deliveries=settings["most_deliveries"],
            may_probe=settings["may_probe"],
            load_reports=settings["load_reports"],
            must_subscribe=settings["must_subscribe"],
            subscribe_within=settings["ask_within"],
            warm_up_time=settings["cold"],
            initial_capacity=settings["cold_from"],
            overload_span=settings["fall"],
            overload_factor=settings["fall_multiple"],
        )
