"""Types between the decisions and whatever front end hosts them: facts in, effects and answers out.

A front end (today `benchlink`) turns its protocol into these objects and resumes the generators of
`kestrelbend.choice`.  Nothing is decided here.  Times are whole microseconds on the front end's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Generator


class Effect(Enum):
    """What a repeat of an operation may do."""

    IDEMPOTENT = "idempotent"
    TOKENED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Scope(Enum):
    """Which backends drop the repeats of a tokened invocation."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class State(Enum):
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
        return self in (Result.REJECTED, Result.UNREACHABLE, Result.VOID)


@dataclass(slots=True, eq=False)
class Operation:
    name: str
    effect: Effect
    scope: Scope
    memory: int  # how long backends know a token again, from its first delivery
    objective: int  # latency objective
    timeout: int  # integration timeout
    late_worth: float  # part of the billed value left after the objective
    streamed: bool
    worth: float = 1.0  # billed value, before the plan's price

    @property
    def repeats_anywhere(self) -> bool:
        return self.effect is Effect.IDEMPOTENT or self.effect is Effect.TOKENED and self.scope is Scope.ALL


@dataclass(slots=True, eq=False)
class Plan:
    name: str
    rate: float  # units a second; 0: no quota on the rate
    burst: float  # units that may be used at once
    most_out: int  # deliveries out at once; 0: no cap
    price: float
    over_worth: float  # part of its value that an invocation beyond the quota earns
    over_cost: float  # part of its value that it costs
    ceiling_rate: float  # 0: no hard ceiling
    ceiling_burst: float
    ceiling_slack: float
    number: int = 0  # among the settings' plans


@dataclass(slots=True, eq=False)
class Backend:
    """One backend as discovery last described it."""

    zone: str = ""
    kind: str = ""
    group: int = 0
    state: State = State.READY
    weight: float = 1.0
    started: int | None = None  # latest start; None: long past
    key: int = 0  # a stable hash of its id: the same at every gateway


@dataclass(slots=True, eq=False)
class Customer:
    name: str
    plan: Plan
    spread: int  # how many gateways its invocations may reach


@dataclass(slots=True, eq=False)
class Delivery:
    inv: Invocation
    backend: Backend
    sent: int
    until: int
    number: int
    begin_by: int  # no first byte of it may go from then on
    result: Result | None = None
    took: int = 0
    overdue: bool = False  # out past the latency objective

    @property
    def may_have_run(self) -> bool:
        return self.result is None or not self.result.never_ran


@dataclass(slots=True, eq=False)
class Invocation:
    op: Operation
    customer: Customer
    arrived: int
    until: int  # the client gives up then
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
    """Add to a named number of the counter service; resumed with a Counted."""

    name: int
    add: float
    life: int


@dataclass(slots=True)
class Counted:
    result: Result
    total: float


@dataclass(slots=True)
class Probe:
    """Ask a backend how it does; resumed with a Probed."""

    backend: Backend


@dataclass(slots=True)
class Probed:
    result: Result
    took: int
    load: dict[str, float] | None


@dataclass(slots=True)
class Spawn:
    """Run another generator beside this one; resumed at once."""

    work: Work


@dataclass(slots=True)
class Wake:
    """Resume the paused generator of an invocation with None; resumed at once."""

    inv: Invocation


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for its changes from now on; the answer is a call of `roster`; resumed at once."""


@dataclass(slots=True)
class Log:
    """A line for staff about a backend, a customer or nothing in particular; resumed at once."""

    text: str
    about: Any = None


Work = Generator[Any, Any, None]
