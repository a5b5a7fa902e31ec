"""Latency of responses: a moving average per route, and each backend's ratio to it.

Latency is the time in seconds from a send to the first events of a stream, or to a complete plain response.
"""

from __future__ import annotations

import attrs

from . import ports

SMOOTHING = 0.2  # weight of the newest value in a moving average
STALE_S = 6.0  # a backend's average that was not updated for this long is ignored
MAX_RATIO = 8.0
MAX_ROUTES = 10_000
# A response is overdue after a multiple of the route's mean latency or of its latency target, the later one.
OVERDUE_MEAN_FACTOR = 5.0
OVERDUE_TARGET_FACTOR = 1.0  # for plain requests
STREAM_OVERDUE_TARGET_FACTOR = 3.0  # for streams, whose prompts must be processed first


@attrs.define
class _Mean:
    """An exponential moving average."""

    value: float
    updated_at: float

    def add(self, value: float, now: float) -> None:
        """Adds a value to the average."""
        self.value += (value - self.value) * SMOOTHING
        self.updated_at = now


class LatencyRatios:
    """The latencies of routes and backends.  Times are seconds on a monotonic clock."""

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}
        self._ratios: dict[str, _Mean] = {}

    def record(self, route: str, identity: str, seconds: float, now: float) -> None:
        """Records the latency of one response on a route by the backend `identity`."""
        route_mean = self._routes.get(route)
        if route_mean is None:
            route_mean = self._routes[route] = _Mean(seconds, now)
        ratio = 1.0
        if route_mean.value > 0:
            ratio = min(max(seconds / route_mean.value, 1 / MAX_RATIO), MAX_RATIO)
        route_mean.add(seconds, now)
        mean = self._ratios.get(identity)
        if mean is None or now - mean.updated_at > STALE_S:
            self._ratios[identity] = _Mean(ratio, now)
        else:
            mean.add(ratio, now)

    def overdue_after_s(self, route: ports.Route) -> float:
        """Seconds after a send at which a missing response counts as overdue on this route."""
        route_mean = self._routes.get(route.name)
        factor = STREAM_OVERDUE_TARGET_FACTOR if route.kind == "streaming" else OVERDUE_TARGET_FACTOR
        target_s = route.slo_ms / 1000 * factor
        return target_s if route_mean is None else max(target_s, route_mean.value * OVERDUE_MEAN_FACTOR)

    def ratio(self, identity: str, now: float) -> float | None:
        """A backend's mean ratio to its routes' mean latencies; None without recent data."""
        mean = self._ratios.get(identity)
        return None if mean is None or now - mean.updated_at > STALE_S else mean.value

    def keep_only(self, live: set[str]) -> None:
        """Drops the averages of backends that are not in `live`."""
        self._ratios = {name: mean for name, mean in self._ratios.items() if name in live}
        if len(self._routes) > MAX_ROUTES:
            self._routes.clear()
