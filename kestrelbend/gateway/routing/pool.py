"""The pool: the subset of backends that a gateway uses, with running totals of its credits there.

With hundreds of gateways and backends, a gateway that spreads its few invocations over all backends uses each
so rarely that it has no useful statistics of any, opens a connection for almost every delivery, and iterates
over all backends on each event.  So each gateway uses a subset, sized so that every member gets a delivery
about every `SEND_INTERVAL`.  A busy gateway uses many backends, an idle one few, and a member gets about the
same load from every gateway that uses it.

All gateways order the backends on the same ring, by key, and each computes its own starting point without
coordination.  The starting points advance by the golden ratio: any number of gateways cover the ring evenly,
and gateways with adjacent numbers, which share customers, share few backends.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..decisions.state import BackendState

SECOND = 1_000_000  # microseconds
GOLDEN = (math.sqrt(5) - 1) / 2
SEND_INTERVAL = 2 * SECOND  # target interval between deliveries to a member
MIN_MEMBERS = 8  # so that some remain when a zone is lost
MAX_CANDIDATES = 24  # members compared for one delivery
HALVING_INTERVAL = 10 * SECOND  # interval at which the count of sends is halved
# Factors by which the wanted size must change before the pool is resized, to avoid connection churn.
GROWTH_STEP = 1.25
SHRINK_STEP = 0.6


class Pool:
    """The backends that this gateway uses.

    Invariant: `capacity` and `in_flight` are the sums over `members`, so a member's
    credits are changed only through this class.
    """

    def __init__(self, gateways: int, gateway: int, now: int) -> None:
        """`gateway`: index of this gateway among `gateways`; `now` in microseconds."""
        self.gateways = gateways
        self.gateway = gateway
        self.order: list[
            BackendState
        ] = []  # all ready backends, from this gateway's starting point on the ring
        self.members: list[BackendState] = []  # backends that may be selected
        self.nominal_size = 0  # length of the prefix of `order` that has the members
        self.capacity = 0.0
        self.in_flight = 0
        self.size: float = MIN_MEMBERS  # wanted number of members at full capacity
        self.next_return_at: float = math.inf  # microseconds; when the next ejection ends
        self.sends: float = 0
        self.counted_from = now  # microseconds, for `sends`

    def set_endpoints(self, backends: list[BackendState]) -> None:
        """Set the ready backends; the caller has to call `refill` afterwards."""
        ring = sorted(backends, key=lambda backend: backend.key)
        start = int(self.gateway * GOLDEN % 1.0 * len(ring))
        self.order = ring[start:] + ring[:start]

    def refill(self, now: int, expected_capacity: Callable[[BackendState], float]) -> None:
        """Take members in order until they have the capacity of `size` warm backends.

        `expected_capacity` gives the fraction of its full capacity that a backend has by now.
        """
        for backend in self.members:
            backend.in_pool = False
        self.members = []
        self.next_return_at = math.inf
        self.nominal_size = 0
        total_capacity = 0.0
        for backend in self.order:
            if total_capacity >= self.size:
                break
            self.nominal_size += 1
            if backend.ejected_until > now:
                self.next_return_at = min(self.next_return_at, backend.ejected_until)
                continue
            backend.in_pool = True
            self.members.append(backend)
            total_capacity += expected_capacity(backend)
        self.capacity = sum(backend.capacity for backend in self.members)
        self.in_flight = sum(backend.in_flight for backend in self.members)

    def candidates(self, random: Random) -> list[BackendState]:
        """The members to compare for one delivery: all, or a random sample of many, which is nearly as good
        and takes no more time in a larger fleet."""
        if len(self.members) <= MAX_CANDIDATES:
            return self.members
        return random.sample(self.members, MAX_CANDIDATES)

    def ejected_count(self) -> int:
        """Number of backends that would be members if they were not ejected."""
        return self.nominal_size - len(self.members)

    def nominal_members(self) -> list[BackendState]:
        """The members, and the backends that would be members if they were not ejected."""
        return self.order[: self.nominal_size]

    def sharing_gateways(self) -> float:
        """Approximate number of gateways that use each backend in this pool."""
        return max(1.0, self.gateways * self.nominal_size / max(1, len(self.order)))

    # Credits.

    def spend_credit(self, backend: BackendState) -> None:
        """Use a credit for a delivery to a backend."""
        self.sends += 1
        backend.in_flight += 1
        self.in_flight += backend.in_pool

    def return_credit(self, backend: BackendState) -> None:
        """Return the credit of a delivery that ended or is presumed lost."""
        if backend.in_flight:
            backend.in_flight -= 1
            self.in_flight -= backend.in_pool

    def set_capacity(self, backend: BackendState, credits: float) -> None:
        """Set this gateway's credits at a backend."""
        if backend.in_pool:
            self.capacity += credits - backend.capacity
        backend.capacity = credits

    # Size.

    def wanted_size(self, now: int) -> float | None:
        """The pool size for the current rate of sends; None if the current size is close enough."""
        span = now - self.counted_from
        wanted = max(MIN_MEMBERS, self.sends / max(SEND_INTERVAL, span) * SEND_INTERVAL)
        if span > HALVING_INTERVAL:
            self.sends /= 2
            self.counted_from = (self.counted_from + now) // 2
        wanted = min(wanted, max(MIN_MEMBERS, len(self.order)))
        return wanted if not SHRINK_STEP * self.size < wanted < GROWTH_STEP * self.size else None
