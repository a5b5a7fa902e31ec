"""How many requests of a service this gateway keeps in flight, found by the latency of their answers.

Backends queue what exceeds their slots, and a queue that all gateways feed makes every answer late.  Each
gateway therefore lowers its limit while answers take far longer than without a queue and a good part of
their latency target, and raises it again while they do not (additive increase, multiplicative decrease).
Invariants: without such a sign there is no limit; a limit never falls below three quarters of this gateway's
fair share of the service's slots.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

SMOOTHING = 0.15  # of the newest value in a moving mean
CONGESTED_BASELINE_RATIO = 2.0  # of the latency without a queue, from which on answers show one
CONGESTED_TARGET_RATIO = 0.6  # of the latency target, from which on a queue matters
BASELINE_DRIFT_PER_S = 0.01  # the baseline rises by this share a second, so that it can be found anew
MIN_BASELINE_S = 1e-4
DECREASE_FACTOR = 0.85
MIN_DECREASE_INTERVAL_S = 0.15
ADDITIVE_INCREASE = 3.0  # for as many answers as the limit allows at once, while it holds requests back
MIN_FAIR_SHARE = 0.75
MIN_LIMIT = 2.0
MAX_RATIO = 10.0
EXPIRY_S = 20.0  # a limit that was not lowered for this long is dropped


@attrs.define
class _RouteLatency:
    """The latency of a route's answers in seconds: a moving mean, and the lowest it had (without a queue)."""

    mean: float
    baseline: float
    updated_at: float

    def ratio(self, seconds: float, now: float) -> float:
        """Takes in a latency; its ratio to the baseline."""
        self.mean += (seconds - self.mean) * SMOOTHING
        drifted = self.baseline * (1 + BASELINE_DRIFT_PER_S * (now - self.updated_at))
        self.baseline = max(min(drifted, self.mean), MIN_BASELINE_S)
        self.updated_at = now
        return min(seconds / self.baseline, MAX_RATIO)


@attrs.define
class _ServiceLimit:
    """A service's limit, and what it is found by."""

    in_flight: int = 0
    baseline_ratio: float = 1.0  # moving mean of answers' latencies in relation to their baselines
    target_ratio: float = 0.0  # the same in relation to their targets
    limit: float | None = None  # None: there is none
    lowered_at: float = float("-inf")
    limited_requests: bool = False  # the limit held a request back since it was lowered

    @property
    def congested(self) -> bool:
        """Whether answers show a queue that matters."""
        return self.baseline_ratio > CONGESTED_BASELINE_RATIO and self.target_ratio > CONGESTED_TARGET_RATIO


@attrs.define
class ResponseLatency:
    """That the first part of an answer came, `seconds` after its attempt began."""

    service: str
    route: str
    seconds: float
    target_s: float  # the route's latency target; 0 where it has none


class ConcurrencyLimits:
    """One limit a service.  Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceLimit] = {}
        self._routes: dict[str, _RouteLatency] = {}

    def _limit_of(self, service: str) -> _ServiceLimit:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceLimit()
        return state

    def admits(self, service: str, share: float) -> bool:
        """Whether a request that may use `share` of the limit may go on."""
        state = self._limit_of(service)
        if state.limit is None or state.in_flight < max(1.0, state.limit * share):
            return True
        state.limited_requests = True
        return False

    def is_limited(self, service: str) -> bool:
        """Whether there is a limit at present."""
        return self._limit_of(service).limit is not None

    def begin(self, service: str) -> None:
        """A request was admitted."""
        self._limit_of(service).in_flight += 1

    def end(self, service: str) -> None:
        """It is over."""
        self._limit_of(service).in_flight -= 1

    def record_response(self, sample: ResponseLatency, fair_share: Callable[[], float], now: float) -> None:
        """An answer's first part came; `fair_share` gives this gateway's part of the service's slots."""
        seconds = sample.seconds
        target_s = sample.target_s
        latency = self._routes.get(sample.route)
        if latency is None:
            latency = self._routes[sample.route] = _RouteLatency(seconds, max(seconds, MIN_BASELINE_S), now)
        state = self._limit_of(sample.service)
        state.baseline_ratio += (latency.ratio(seconds, now) - state.baseline_ratio) * SMOOTHING
        target_ratio = min(seconds / target_s, MAX_RATIO) if target_s > 0 else 0.0
        state.target_ratio += (target_ratio - state.target_ratio) * SMOOTHING
        if state.congested:
            self._lower(state, fair_share(), now)
        elif state.limit is not None:
            if state.limited_requests:
                state.limit += ADDITIVE_INCREASE / state.limit
            if now - state.lowered_at > EXPIRY_S:
                state.limit = None

    def record_saturation(self, service: str, fair_share: float, now: float) -> None:
        """All backends rejected a request."""
        self._lower(self._limit_of(service), fair_share, now)

    def _lower(self, state: _ServiceLimit, fair_share: float, now: float) -> None:
        if now - state.lowered_at < MIN_DECREASE_INTERVAL_S:
            return
        state.lowered_at = now
        state.limited_requests = False
        limit = state.in_flight if state.limit is None else state.limit
        state.limit = max(limit * DECREASE_FACTOR, fair_share * MIN_FAIR_SHARE, MIN_LIMIT)
