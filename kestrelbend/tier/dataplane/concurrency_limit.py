"""Adaptive concurrency limit: how many requests of a service this gateway keeps in flight.

Backends queue requests beyond their slots, and a queue that all gateways fill delays every response.  Each
gateway therefore lowers its limit while latencies are far above those without a queue and are a large part of
the latency target, and raises it again otherwise (additive increase, multiplicative decrease).
Invariants: without such congestion or a rejection by all backends there is no limit; a limit never falls
below three quarters of this gateway's fair share of the service's slots.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

SMOOTHING = 0.15  # weight of the newest value in a moving average
CONGESTED_BASELINE_RATIO = 2.0  # latency over the latency without a queue; above it a queue is assumed
CONGESTED_TARGET_RATIO = 0.6  # latency over the latency target; below it a queue is tolerated
BASELINE_DRIFT_PER_S = 0.01  # the baseline rises by this share per second, so that it can be measured again
MIN_BASELINE_S = 1e-4
DECREASE_FACTOR = 0.85
MIN_DECREASE_INTERVAL_S = 0.15
ADDITIVE_INCREASE = 3.0  # per as many responses as the limit allows in flight, while it delays requests
MIN_FAIR_SHARE = 0.75
MIN_LIMIT = 2.0
MAX_RATIO = 10.0
EXPIRY_S = 20.0  # a limit that was not lowered for this long is removed


@attrs.define
class _RouteLatency:
    """A route's latency in seconds: a moving average, and a baseline for the latency without a queue."""

    mean: float
    baseline: float
    updated_at: float

    def ratio(self, seconds: float, now: float) -> float:
        """Records a latency and returns its ratio to the baseline."""
        self.mean += (seconds - self.mean) * SMOOTHING
        drifted = self.baseline * (1 + BASELINE_DRIFT_PER_S * (now - self.updated_at))
        self.baseline = max(min(drifted, self.mean), MIN_BASELINE_S)
        self.updated_at = now
        return min(seconds / self.baseline, MAX_RATIO)


@attrs.define
class _ServiceLimit:
    """A service's limit and the measurements that determine it."""

    in_flight: int = 0
    baseline_ratio: float = 1.0  # moving average of latency over the route's baseline
    target_ratio: float = 0.0  # moving average of latency over the route's target
    limit: float | None = None  # None: unlimited
    lowered_at: float = float("-inf")
    limited_requests: bool = False  # the limit delayed a request since it was last lowered

    @property
    def congested(self) -> bool:
        """Whether the latencies indicate a queue that endangers the latency target."""
        return self.baseline_ratio > CONGESTED_BASELINE_RATIO and self.target_ratio > CONGESTED_TARGET_RATIO


@attrs.define
class ResponseLatency:
    """One measurement: the first part of a response arrived `seconds` after its attempt began."""

    service: str
    route: str
    seconds: float
    target_s: float  # the route's latency target; 0 if it has none


class ConcurrencyLimits:
    """One limit per service.  Times are seconds on a monotonic clock."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceLimit] = {}
        self._routes: dict[str, _RouteLatency] = {}

    def _state_of(self, service: str) -> _ServiceLimit:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceLimit()
        return state

    def admits(self, service: str, share: float) -> bool:
        """Whether a request that may use `share` of the limit is admitted now."""
        state = self._state_of(service)
        if state.limit is None or state.in_flight < max(1.0, state.limit * share):
            return True
        state.limited_requests = True
        return False

    def is_limited(self, service: str) -> bool:
        """Whether the service currently has a limit."""
        return self._state_of(service).limit is not None

    def begin(self, service: str) -> None:
        """Counts an admitted request as in flight."""
        self._state_of(service).in_flight += 1

    def end(self, service: str) -> None:
        """Stops counting a request as in flight."""
        self._state_of(service).in_flight -= 1

    def record_response(self, sample: ResponseLatency, fair_share: Callable[[], float], now: float) -> None:
        """Updates the limit with a measurement; `fair_share` returns this gateway's share of the slots."""
        seconds = sample.seconds
        target_s = sample.target_s
        latency = self._routes.get(sample.route)
        if latency is None:
            latency = self._routes[sample.route] = _RouteLatency(seconds, max(seconds, MIN_BASELINE_S), now)
        state = self._state_of(sample.service)
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
        """Lowers the limit because all backends rejected a request."""
        self._lower(self._state_of(service), fair_share, now)

    def _lower(self, state: _ServiceLimit, fair_share: float, now: float) -> None:
        if now - state.lowered_at < MIN_DECREASE_INTERVAL_S:
            return
        state.lowered_at = now
        state.limited_requests = False
        limit = state.in_flight if state.limit is None else state.limit
        state.limit = max(limit * DECREASE_FACTOR, fair_share * MIN_FAIR_SHARE, MIN_LIMIT)
