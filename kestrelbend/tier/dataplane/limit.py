"""How many requests of a service this gateway keeps in flight, found by how long their answers take.

Backends queue what exceeds their slots, and a queue that all gateways feed makes every answer late.  Each
gateway therefore lowers its limit while answers take far longer than in calm times and a good part of their
objective, and raises it again while they do not (additive increase, multiplicative decrease).  Invariants:
without such a sign there is no limit; a limit never falls below three quarters of this gateway's even share
of the service's slots.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

NEWEST_SHARE = 0.15  # of the newest value in a mean
SLOWER = 2.0  # than in calm times, from which on answers tell of a queue
OBJECTIVE_SHARE = 0.6  # of the objective, from which on a queue matters
CALM_DRIFT_A_S = 0.01  # the calm time rises by this share a second, so that it can be found anew
DECREASE = 0.85
DECREASE_EVERY_S = 0.15
INCREASE = 3.0  # for as many answers as the limit allows at once, while it holds requests back
FLOOR_SHARE = 0.75
SMALLEST = 2.0
LARGEST_RATIO = 10.0
FORGET_S = 20.0  # a limit that was not lowered for this long is dropped


@attrs.define
class _Calm:
    """The time that a route's answers take without a queue."""

    mean: float
    calm: float
    as_of: float

    def add(self, seconds: float, now: float) -> float:
        """Takes in a time; in relation to the calm one."""
        self.mean += (seconds - self.mean) * NEWEST_SHARE
        risen = self.calm * (1 + CALM_DRIFT_A_S * (now - self.as_of))
        self.calm = max(min(risen, self.mean), 1e-4)
        self.as_of = now
        return min(seconds / self.calm, LARGEST_RATIO)


@attrs.define
class _Service:
    in_flight: int = 0
    slower: float = 1.0  # mean of answers' times in relation to the calm ones
    of_objective: float = 0.0  # the same in relation to their objectives
    level: float | None = None  # the limit; None: there is none
    lowered_at: float = float("-inf")
    pressed: bool = False  # the limit held a request back since it was lowered

    @property
    def congested(self) -> bool:
        return self.slower > SLOWER and self.of_objective > OBJECTIVE_SHARE


class Limits:
    """One limit a service.  Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._routes: dict[str, _Calm] = {}

    def _of(self, service: str) -> _Service:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service()
        return found

    def admits(self, service: str, share: float) -> bool:
        """Whether a request that may use `share` of the limit may go on."""
        found = self._of(service)
        if found.level is None or found.in_flight < max(1.0, found.level * share):
            return True
        found.pressed = True
        return False

    def limited(self, service: str) -> bool:
        """Whether there is a limit at present."""
        return self._of(service).level is not None

    def begin(self, service: str) -> None:
        """A request was let in."""
        self._of(service).in_flight += 1

    def end(self, service: str) -> None:
        """It is over."""
        self._of(service).in_flight -= 1

    def answered(
        self,
        service: str,
        route: str,
        seconds: float,
        objective_s: float,
        fair: Callable[[], float],
        now: float,
    ) -> None:
        """An answer's first part came; `fair` gives this gateway's even share of the service's slots."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _Calm(seconds, max(seconds, 1e-4), now)
        found = self._of(service)
        found.slower += (known.add(seconds, now) - found.slower) * NEWEST_SHARE
        part = min(seconds / objective_s, LARGEST_RATIO) if objective_s > 0 else 0.0
        found.of_objective += (part - found.of_objective) * NEWEST_SHARE
        if found.congested:
            self._lower(found, fair(), now)
        elif found.level is not None:
            if found.pressed:
                found.level += INCREASE / found.level
            if now - found.lowered_at > FORGET_S:
                found.level = None

    def full(self, service: str, fair: float, now: float) -> None:
        """All backends turned a request away."""
        self._lower(self._of(service), fair, now)

    def _lower(self, found: _Service, fair: float, now: float) -> None:
        if now - found.lowered_at < DECREASE_EVERY_S:
            return
        found.lowered_at = now
        found.pressed = False
        level = found.in_flight if found.level is None else found.level
        found.level = max(level * DECREASE, fair * FLOOR_SHARE, SMALLEST)
