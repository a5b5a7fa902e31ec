"""The service of a route: a split sends what belongs together to one service, by the weights."""

from __future__ import annotations

import random
import zlib

from . import ports
from .exchange import AFFINITY_KEY, PROGRAM, SESSION


class Split:
    """Chooses among a route's targets; a target without backends gives way to one that has some."""

    def __init__(self, backends: ports.Backends, rng: random.Random) -> None:
        self._backends = backends
        self._rng = rng

    def service_of(self, route: ports.Route, fields: dict[bytes, bytes]) -> str:
        """The name of the service that a request on this route goes to."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0][0]
        served = [target for target in targets if self._backends.of(target[0])]
        return self._draw(served or list(targets), fields)

    def _draw(self, targets: list[tuple[str, int]], fields: dict[bytes, bytes]) -> str:
        point = self._point(fields) * sum(weight for _, weight in targets)
        for service, weight in targets:
            point -= weight
            if point < 0:
                return service
        return targets[-1][0]

    def _point(self, fields: dict[bytes, bytes]) -> float:
        """In [0, 1); the same for all requests of a program, session or subject."""
        for name in (PROGRAM, SESSION, AFFINITY_KEY):
            if name in fields:
                return zlib.crc32(fields[name]) / 2**32
        return self._rng.random()
