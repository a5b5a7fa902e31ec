"""State that a gateway keeps for each backend and each customer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..interface import Backend, Customer, Invocation, Operation, Plan
from .latency import LatencyHistogram


@dataclass(slots=True)
class SlowStartQuota:
    """Deliveries that a warming backend may get from this gateway (`slow_start`)."""

    slot: int | None = None  # index of the current slot since the backend's start
    sent: int = 0  # deliveries in this slot
    limit: int = 0  # deliveries allowed in it
    probability: float | None = 0.0  # per selection, where the limit is under one; None: the limit applies
    drawn_at: int | None = None  # microseconds; time of the latest draw, which is valid for that instant
    drawn: bool = False  # whether the draw allows a delivery


@dataclass(slots=True, eq=False)
class BackendState(Backend):
    """A backend, with what this gateway has observed since its latest start."""

    in_flight: int = 0  # credits in use there
    in_pool: bool = False  # whether it is a pool member; maintained by the pool
    capacity: float = 0.0  # this gateway's credits there
    failure_evidence: float = 0.0  # log-likelihood ratio, unhealthy over healthy
    ejected_until: int = 0  # microseconds
    ejections: int = 0  # consecutive
    saturated: bool = False  # according to its load report
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)
    # Exponentially smoothed, by operation and by plan.
    failure_rates: dict[Operation | Plan, float] = field(default_factory=dict)
    slow_start: SlowStartQuota = field(default_factory=SlowStartQuota)
    observed_start: int | None = None  # the start to which these observations belong

    def __post_init__(self) -> None:
        self.observed_start = self.started

    def reset(self) -> None:
        """Discard the observations after a restart; deliveries in flight still count."""
        self.capacity = 0.0
        self.failure_evidence = 0.0
        self.ejected_until = 0
        self.ejections = 0
        self.saturated = False
        self.latencies = LatencyHistogram()
        self.failure_rates = {}
        self.slow_start = SlowStartQuota()
        self.observed_start = self.started


@dataclass(slots=True, eq=False)
class CustomerState(Customer):
    """A customer, with its usage at all gateways as far as this gateway knows."""

    # Quota.
    remaining: float | None = None  # units: limit minus total as of `remaining_at`; None: no total yet
    remaining_at: int = 0  # microseconds
    window: int | None = None  # index of the quota window
    total: float = 0.0  # units, the latest total received in this window
    unreported: float = 0.0  # units not yet reported to the counter service; negative: to be refunded
    assumed_elsewhere: float = 0.0  # units subtracted from `remaining` for others, until the next total
    no_call_before: int = 0  # microseconds; set when the service rejected the latest call
    demand: float | None = None  # units per second requested at all gateways; None: unknown
    usage_key: int | None = None  # key by which gateways identify it to each other
    # Hard rate limit.
    limit_units: float = 0  # allocated to this gateway and unused
    limit_allocated: int | None = None  # units allocated so far; None: not computed yet
    # Concurrency cap.
    in_flight: int = 0  # invocations at this gateway
    total_in_flight: int = 0  # at all gateways, by the latest total
    calls_in_flight: int = 0  # invocations with a counter call in flight
    unreported_in_flight: int = 0  # change of `in_flight` not yet reported
    at_cap_until: int = 0  # microseconds; no slot is assumed free before then
    queue: list[Invocation] = field(default_factory=list)  # those that wait for a slot, in order

    def admitted_fraction(self) -> float:
        """The fraction of its demand that its rate covers."""
        return min(1.0, self.plan.rate / self.demand) if self.demand and self.plan.rate else 1.0
