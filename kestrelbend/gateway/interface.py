"""Types between the decisions and whatever front end hosts them: facts in, effects and answers out.

A host (`kestrelbend.gateway.hosting`) turns its protocol into these objects and resumes the generators of
`kestrelbend.gateway.decisions`.  Nothing is decided here.  Times are whole microseconds on the host's clock.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias, TypeVar

if TYPE_CHECKING:
    from .decisions.state import BackendState, CustomerState


class RepeatEffect(Enum):
    """What a repeat of an operation may do."""

    IDEMPOTENT = "idempotent"
    TOKENED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class TokenScope(Enum):
    """Which backends drop the repeats of a tokened invocation."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class EndpointState(Enum):
    """A backend's state, as discovery tells it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How a delivery, a probe or a call to the counter service ended."""

    SUCCEEDED = "succeeded"
    ERRORED = "errored"
    REJECTED = "rejected"  # turned away unseen
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection in time
    BROKEN = "broken"  # connection dropped while out
    CANCELLED = "cancelled"
    VOID = "void"  # never sent

    @property
    def never_ran(self) -> bool:
        """Whether the backend certainly did no work for it."""
        return self in (Result.REJECTED, Result.UNREACHABLE, Result.VOID)


@dataclass(slots=True, eq=False)
class Operation:
    """A kind of invocation, as the settings state it."""

    name: str
    effect: RepeatEffect
    scope: TokenScope
    token_lifetime: int  # how long backends know a token again, from its first delivery
    objective: int  # latency target
    timeout: int  # of the client, at most
    late_value: float  # part of the billed value left after the objective
    streamed: bool
    value: float = 1.0  # billed value, before the plan's price

    @property
    def repeats_anywhere(self) -> bool:
        """Whether any backend may be sent a repeat, whatever became of the attempts before."""
        return (
            self.effect is RepeatEffect.IDEMPOTENT
            or self.effect is RepeatEffect.TOKENED
            and self.scope is TokenScope.ALL
        )


@dataclass(slots=True, eq=False)
class Plan:
    """The terms that a customer has bought, as the settings state them."""

    name: str
    rate: float  # units a second; 0: no quota on the rate
    burst: float  # units that may be used at once
    max_in_flight: int  # deliveries in flight at once; 0: no cap
    price: float
    excess_value: float  # part of its value that an invocation beyond the quota earns
    excess_cost: float  # part of its value that it costs
    limit_rate: float  # units a second that are never passed; 0: no hard limit
    limit_burst: float
    limit_slack: float
    number: int = 0  # among the settings' plans


@dataclass(slots=True, eq=False)
class Backend:
    """One backend as discovery last described it."""

    zone: str = ""
    kind: str = ""
    group: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started: int | None = None  # latest start; None: long past
    key: int = 0  # a stable hash of its id: the same at every gateway


@dataclass(slots=True, eq=False)
class Customer:
    """A customer of a plan."""

    name: str
    plan: Plan
    spread: int  # how many gateways its invocations may reach


@dataclass(slots=True, eq=False)
class Delivery:
    """One attempt of an invocation at one backend."""

    inv: Invocation
    backend: BackendState
    sent_at: int
    deadline: int
    number: int
    begin_by: int  # no first byte of it may go from then on
    result: Result | None = None
    duration: int = 0
    overdue: bool = False  # out past the latency objective

    @property
    def may_have_run(self) -> bool:
        """Whether a backend has, or may have, worked on it; true while it is in flight."""
        return self.result is None or not self.result.never_ran


@dataclass(slots=True, eq=False)
class Invocation:
    """One request of a client, from its arrival to its final answer."""

    op: Operation
    customer: CustomerState
    arrived_at: int
    deadline: int  # the client gives up then
    units: float  # a guess where units are settled after the answer
    retry: bool  # marked by the client as a repeat
    done: bool = False  # has its final answer, or its client left, or its stream began
    streaming: bool = False
    counted: float | None = None  # its units in the customer's total, and the window of that total
    window: int = 0
    deliveries: list[Delivery] = field(default_factory=list)


# Effects: what a generator of the module yields.


@dataclass(slots=True)
class Deliver:
    """Start a delivery; resumed at once."""

    delivery: Delivery


@dataclass(slots=True)
class Cancel:
    """Stop waiting for a delivery; resumed at once."""

    delivery: Delivery


@dataclass(slots=True)
class Throttle:
    """Final answer: refused, harmless to repeat; resumed at once."""

    inv: Invocation
    retry_after: int


@dataclass(slots=True)
class Fail:
    """Final answer: errored, no promise; resumed at once."""

    inv: Invocation


@dataclass(slots=True)
class Pause:
    """Resumed with a Delivery of this invocation that ended, or None: time is up, woken, or done."""

    until: int


@dataclass(slots=True)
class Count:
    """Add `amount` to a named counter that expires after `lifetime` microseconds; resumed with a Counted."""

    name: int
    amount: float
    lifetime: int


@dataclass(slots=True)
class Counted:
    """The reply to a `Count`: the number's total after the addition."""

    result: Result
    total: float


@dataclass(slots=True)
class Probe:
    """Ask a backend how it does; resumed with a Probed."""

    backend: Backend


@dataclass(slots=True)
class Probed:
    """The reply to a `Probe`; `load` is the backend's report, None if it told none."""

    result: Result
    duration: int
    load: dict[str, float] | None


@dataclass(slots=True)
class Spawn:
    """Run another generator beside this one; resumed at once."""

    generator: Effects[Any]


@dataclass(slots=True)
class Wake:
    """Resume the paused generator of an invocation with None; resumed at once."""

    inv: Invocation


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for its changes from now on; resumed at once.  It answers by `endpoints_changed`."""


@dataclass(slots=True)
class Log:
    """A line for staff about a backend, a customer or nothing in particular; resumed at once."""

    text: str
    about: Any = None


HostEffect: TypeAlias = (
    Deliver | Cancel | Throttle | Fail | Pause | Count | Probe | Spawn | Wake | Subscribe | Log
)
"""All that a generator of the decisions may yield."""

Returned = TypeVar("Returned")
Effects: TypeAlias = Generator[HostEffect, Any, Returned]
"""A generator of the decisions; what it is resumed with depends on the effect."""

BackgroundTask: TypeAlias = Effects[None]


class QuotaShare(Protocol):
    """What the gateways together found out about one customer's use."""

    fraction: float  # of its first attempts that its quota has units for
    retries_in_budget: bool  # whether its marked retries are within their budget


class UsageExchange(Protocol):
    """Where gateways tell each other of their customers' use (`kestrelbend.gateway.usage_sharing`)."""

    def record_request(self, key: int, plan: int, units: float, retry: bool) -> None:
        """An invocation asked for its customer's quota."""

    def record_admission(self, key: int, plan: int, units: float) -> None:
        """An invocation was sent to a backend."""

    def quota_share(self, key: int, now_us: int) -> QuotaShare | None:
        """What is known of a customer; None where nothing recent is known of any."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings that decisions read; spans are microseconds."""

    operations: Sequence[Operation]
    gateways: int  # that serve together
    gateway: int  # this one's number among them
    tick: int  # the finest step of its clock
    counter_allowed: bool  # whether there is a counter service
    counter_timeout: int
    usage_period: int  # of the use that answers tell of; 0: they tell none
    may_advise: bool  # whether a rejection may tell when to come back
    may_cancel: bool
    may_hedge: bool  # two deliveries of one invocation at once
    max_deliveries: int  # of one invocation
    may_probe: bool
    load_reports: str  # "none", "probe" or "answers": where backends' load reports come from
    must_subscribe: bool  # discovery tells its changes only to who asks for them
    subscribe_within: int
    warm_up_time: int  # after a start; slow start ends then
    initial_capacity: float  # part of its capacity that a backend has right after its start, at least
    overload_span: int  # rule 4: sent `overload_factor` of its capacity for so long, a backend falls over
    overload_factor: float

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> GatewaySettings:
        """From the names of `kestrelbend.gateway.settings`."""
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
