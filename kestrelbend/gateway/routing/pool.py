"""The pool: which of many backends one gateway keeps to, and running totals of its credits there.

Among hundreds of gateways and backends a gateway that spreads its few invocations over all backends meets
each of them so seldom that it learns nothing of any, opens a connection for nearly every delivery, and walks
over all of them on each event.  So each keeps to a part of them, wide enough that every member is sent to
about every `SEND_INTERVAL`: a busy gateway uses many backends, an idle one few, and each member gets about
the same from every gateway that uses it.

All gateways see the backends in one order, on a ring by their keys, and each starts at a place of its own
that it works out alone.  The places step by the golden section, so that any number of gateways cover the ring
evenly and gateways with neighbouring numbers, which share customers, share few backends.
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
SEND_INTERVAL = 2 * SECOND  # a member should be sent to about so often
MIN_MEMBERS = 8  # so that a lost zone leaves some
MAX_CANDIDATES = 24  # members looked at for one delivery
HALVING_INTERVAL = 10 * SECOND  # sends are counted over about so long
# The pool follows its pace by such steps, or connections would come and go.
GROWTH_STEP = 1.25
SHRINK_STEP = 0.6


class Pool:
    """The backends that this gateway keeps to.

    Invariant: `capacity` and `in_flight` are the sums over `members`, so every change of a member's credits
    passes here.
    """

    def __init__(self, gateways: int, gateway: int, now: int) -> None:
        """`gateway`: this one's number among so many; `now` in microseconds."""
        self.gateways = gateways
        self.gateway = gateway
        self.order: list[BackendState] = []  # all ready backends, this gateway's own first
        self.members: list[BackendState] = []  # that may be selected
        self.nominal_size = 0  # how far down the order the members come from
        self.capacity = 0.0
        self.in_flight = 0
        self.size: float = MIN_MEMBERS  # wanted members
        self.next_return_at: float = math.inf  # microseconds; the next ejected one may come back
        self.sends: float = 0
        self.counted_from = now  # microseconds, for `sends`

    def set_endpoints(self, backends: list[BackendState]) -> None:
        """The ready backends have changed; `refill` has to follow."""
        ring = sorted(backends, key=lambda backend: backend.key)
        start = int(self.gateway * GOLDEN % 1.0 * len(ring))
        self.order = ring[start:] + ring[:start]

    def refill(self, now: int, expected_capacity: Callable[[BackendState], float]) -> None:
        """Take members from the order until together they can do what `size` warm ones can.

        `expected_capacity` tells which part of its capacity a backend is known to have by now.
        """
        for backend in self.members:
            backend.in_pool = False
        self.members = []
        self.next_return_at = math.inf
        self.nominal_size = 0
        able = 0.0
        for backend in self.order:
            if able >= self.size:
                break
            self.nominal_size += 1
            if backend.ejected_until > now:
                self.next_return_at = min(self.next_return_at, backend.ejected_until)
                continue
            backend.in_pool = True
            self.members.append(backend)
            able += expected_capacity(backend)
        self.capacity = sum(backend.capacity for backend in self.members)
        self.in_flight = sum(backend.in_flight for backend in self.members)

    def candidates(self, random: Random) -> list[BackendState]:
        """Those to compare for one delivery: all members, or of many some drawn by chance, which are nearly
        as good and cost no more time in a larger fleet."""
        if len(self.members) <= MAX_CANDIDATES:
            return self.members
        return random.sample(self.members, MAX_CANDIDATES)

    def ejected_count(self) -> int:
        """How many would be members, were they not ejected."""
        return self.nominal_size - len(self.members)

    def nominal_members(self) -> list[BackendState]:
        """The members and those that would be, were they not ejected."""
        return self.order[: self.nominal_size]

    def sharing_gateways(self) -> float:
        """About how many gateways use each backend that this one uses."""
        return max(1.0, self.gateways * self.nominal_size / max(1, len(self.order)))

    # Credits.

    def spend_credit(self, backend: BackendState) -> None:
        """A delivery goes to a backend."""
        self.sends += 1
        backend.in_flight += 1
        self.in_flight += backend.in_pool

    def return_credit(self, backend: BackendState) -> None:
        """It ended, or is taken to be lost."""
        if backend.in_flight:
            backend.in_flight -= 1
            self.in_flight -= backend.in_pool

    def set_capacity(self, backend: BackendState, credits: float) -> None:
        """Change a backend's credits here."""
        if backend.in_pool:
            self.capacity += credits - backend.capacity
        backend.capacity = credits

    # Size.

    def wanted_size(self, now: int) -> float | None:
        """The members that the present pace asks for; None while the present number will do."""
        span = now - self.counted_from
        wanted = max(MIN_MEMBERS, self.sends / max(SEND_INTERVAL, span) * SEND_INTERVAL)
        if span > HALVING_INTERVAL:
            self.sends /= 2
            self.counted_from = (self.counted_from + now) // 2
        wanted = min(wanted, max(MIN_MEMBERS, len(self.order)))
        return wanted if not SHRINK_STEP * self.size < wanted < GROWTH_STEP * self.size else None
