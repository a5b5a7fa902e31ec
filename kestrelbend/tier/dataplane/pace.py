"""How long backends take to the first part of an answer: moving means, by backend and by service."""

from __future__ import annotations

import attrs

NEWEST_SHARE = 0.2  # of the newest value in a mean
STALE_S = 6.0  # an older mean of one backend says nothing of now
MOST_RATIO = 8.0
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

    def usual(self, route: str) -> float | None:
        """The mean of a route, None before its first answer."""
        mean = self._routes.get(route)
        return None if mean is None else mean.value

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
