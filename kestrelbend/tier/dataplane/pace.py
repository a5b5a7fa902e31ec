"""How long answers take: a moving mean for each route, and how slow each backend is in relation to it.

A time is from a send to the first events of a stream, or to the whole of a plain answer.
"""

from __future__ import annotations

import attrs

from . import ports

NEWEST_SHARE = 0.2  # of the newest value in a mean
STALE_S = 6.0  # an older mean of a backend says nothing of now
MOST_RATIO = 8.0
MOST_ROUTES = 10_000
USUAL_FACTOR = 5.0  # patience in relation to the route's usual time
AIM_FACTOR = 1.0  # patience in relation to the route's objective, for plain requests
STREAM_AIM_FACTOR = 3.0  # the same for streams, whose prompts wait to be read


@attrs.define
class _Mean:
    value: float
    as_of: float

    def add(self, value: float, now: float) -> None:
        self.value += (value - self.value) * NEWEST_SHARE
        self.as_of = now


class Pace:
    """Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}
        self._ratios: dict[str, _Mean] = {}

    def note(self, route: str, identity: str, seconds: float, now: float) -> None:
        """The time of one answer on a route, by one backend."""
        usual = self._routes.get(route)
        if usual is None:
            usual = self._routes[route] = _Mean(seconds, now)
        ratio = min(max(seconds / usual.value, 1 / MOST_RATIO), MOST_RATIO) if usual.value > 0 else 1.0
        usual.add(seconds, now)
        mean = self._ratios.get(identity)
        if mean is None or now - mean.as_of > STALE_S:
            self._ratios[identity] = _Mean(ratio, now)
        else:
            mean.add(ratio, now)

    def patience(self, route: ports.Route) -> float:
        """Seconds of silence after a send that are far more than usual on this route."""
        usual = self._routes.get(route.name)
        factor = STREAM_AIM_FACTOR if route.kind == "streaming" else AIM_FACTOR
        aim_s = route.slo_ms / 1000 * factor
        return aim_s if usual is None else max(aim_s, usual.value * USUAL_FACTOR)

    def ratio(self, identity: str, now: float) -> float | None:
        """A backend's times in relation to the usual ones; None where nothing is known lately."""
        mean = self._ratios.get(identity)
        return None if mean is None or now - mean.as_of > STALE_S else mean.value

    def keep_only(self, live: set[str]) -> None:
        """Drops what is known of backends that are no more."""
        self._ratios = {name: mean for name, mean in self._ratios.items() if name in live}
        if len(self._routes) > MOST_ROUTES:
            self._routes.clear()
