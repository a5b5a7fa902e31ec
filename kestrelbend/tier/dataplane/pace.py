"""How long backends take to the first part of an answer: moving means, by backend and by service."""

from __future__ import annotations

import attrs

from . import ports

NEWEST_SHARE = 0.2  # of the newest value in a mean
STALE_S = 6.0  # an older mean of one backend says nothing of now
MOST_RATIO = 8.0
USUAL_FACTOR = 4.0  # patience in relation to the route's usual time
AIM_FACTOR = 0.7  # patience in relation to the route's objective, for plain requests
STREAM_AIM_FACTOR = 3.0  # the same for streams, whose prompts wait to be read
MOST_ROUTES = 10_000


@attrs.define
class _Mean:
    value: float
    as_of: float

    def add(self, value: float, now: float) -> None:
        self.value += (value - self.value) * NEWEST_SHARE
        self.as_of = now


class Pace:
    """Means of seconds from a send to the first event, or to the whole of a plain answer."""

    def __init__(self) -> None:
        self._backends: dict[str, _Mean] = {}
        self._routes: dict[str, _Mean] = {}
        self._services: dict[str, _Mean] = {}

    def note(self, service: str, route: str, identity: str, seconds: float, now: float) -> None:
        """One answer's time."""
        for means, name in (
            (self._backends, identity),
            (self._routes, route),
            (self._services, service),
        ):
            mean = means.get(name)
            if mean is None:
                means[name] = _Mean(seconds, now)
            else:
                mean.add(seconds, now)

    def patience(self, route: ports.Route) -> float:
        """Seconds of silence after a send that are far more than usual on this route."""
        usual = self._routes.get(route.name)
        factor = STREAM_AIM_FACTOR if route.kind == "streaming" else AIM_FACTOR
        aim_s = route.slo_ms / 1000 * factor
        return aim_s if usual is None else max(aim_s, usual.value * USUAL_FACTOR)

    def ratio(self, service: str, identity: str, now: float) -> float:
        """How slow a backend is in relation to its service: 1 where nothing is known lately."""
        mean, all_of = self._backends.get(identity), self._services.get(service)
        if mean is None or all_of is None or now - mean.as_of > STALE_S or all_of.value <= 0:
            return 1.0
        return min(max(mean.value / all_of.value, 1 / MOST_RATIO), MOST_RATIO)

    def keep_only(self, live: set[str], services: set[str]) -> None:
        """Drops what is known of backends and services that are no more."""
        self._backends = {name: mean for name, mean in self._backends.items() if name in live}
        self._services = {name: mean for name, mean in self._services.items() if name in services}
        if len(self._routes) > MOST_ROUTES:
            self._routes.clear()
