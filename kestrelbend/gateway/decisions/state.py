"""What one gateway knows of each backend and of each customer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..interface import Backend, Customer, Invocation, Operation, Plan
from .latency import LatencyHistogram


@dataclass(slots=True)
class SlowStartQuota:
    """What a backend that is warming up may get from this gateway (`slow_start`)."""

    slot: int | None = None  # number of the present quarter span since its start
    sent: int = 0  # deliveries in this slot
    limit: int = 0  # deliveries allowed in it
    probability: float | None = 0.0  # of each selection, where the limit is under one; None: the limit counts
    drawn_at: int | None = None  # microseconds of the latest draw, which holds for that instant
    drawn: bool = False  # whether that draw allows a delivery


@dataclass(slots=True, eq=False)
class BackendState(Backend):
    """A backend, with what this gateway has seen of it since its latest start."""

    in_flight: int = 0  # credits spent there
    in_pool: bool = False  # whether it may be selected; kept by the pool
    capacity: float = 0.0  # credits that this gateway has there
    failure_evidence: float = 0.0  # log-likelihood ratio, unhealthy over healthy
    ejected_until: int = 0  # microseconds
    ejections: int = 0  # in a row
    saturated: bool = False  # by its own load report
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)
    failure_rates: dict[Operation | Plan, float] = field(
        default_factory=dict
    )  # recent, by what was asked of it
    slow_start: SlowStartQuota = field(default_factory=SlowStartQuota)
    observed_start: int | None = None  # the start since when all this was seen

    def __post_init__(self) -> None:
        self.observed_start = self.started

    def reset(self) -> None:
        """It has started anew: what was seen before says nothing; what is in flight still counts."""
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
    """A customer, with what this gateway knows of its use by all gateways."""

    # Quota.
    remaining: float | None = None  # units: limit less total as of `remaining_at`; None: no total seen yet
    remaining_at: int = 0  # microseconds
    window: int | None = None  # number of the quota window
    total: float = 0.0  # units, the latest total seen in this window
    unreported: float = 0.0  # units that the counter service was not told of; negative: to take back
    assumed_elsewhere: float = 0.0  # units taken off `remaining` for other gateways, until the next total
    no_call_before: int = 0  # microseconds; the service rejected its latest call
    demand: float | None = None  # units a second that it asks for at all gateways; None: not known
    usage_key: int | None = None  # its key among the gateways
    # Rate limit.
    limit_units: float = 0  # dealt to this gateway and not used
    limit_allocated: int | None = None  # units dealt so far; None: none was asked for yet
    # Concurrency cap.
    in_flight: int = 0  # invocations here
    total_in_flight: int = 0  # at all gateways, as last seen
    calls_in_flight: int = 0  # invocations whose counter call is out
    unreported_in_flight: int = 0
    at_cap_until: int = 0  # microseconds
    queue: list[Invocation] = field(default_factory=list)  # those that wait for a place, in turn

    def admitted_fraction(self) -> float:
        """The part of its demand that its rate has units for."""
        return min(1.0, self.plan.rate / self.demand) if self.demand and self.plan.rate else 1.0
