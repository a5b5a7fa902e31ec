"""Traffic splitting: which of a route's services a request goes to, by their weights.

Requests of one program, session or subject go to one service as long as the weights and the services with
backends stay as they are: their hash is the point on the weights' scale that is looked up.  Others are drawn.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence

from . import ports
from .exchange import AFFINITY_KEY, PROGRAM, SESSION


class TrafficSplit:
    """Chooses among a route's targets; a target without backends gives way to those that have some."""

    def __init__(self, backends: ports.Backends, rng: random.Random) -> None:
        self._backends = backends
        self._rng = rng

    def service_of(self, route: ports.Route, fields: dict[bytes, bytes]) -> str:
        """The name of the service that a request on this route, with these headers, goes to.

        Where no target has backends, one of all: its requests wait or are rejected as the service's own.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        served = [target for target in targets if self._backends.of(target.service)]
        return _service_at(self._position(fields), served or targets)

    def _position(self, fields: dict[bytes, bytes]) -> float:
        """In [0, 1); the same for all requests of a program, session or subject."""
        for name in (PROGRAM, SESSION, AFFINITY_KEY):
            if name in fields:
                return zlib.crc32(fields[name]) / 2**32
        return self._rng.random()


def _service_at(position: float, targets: Sequence[ports.Target]) -> str:
    """The service at a position in [0, 1) when the targets lie side by side, each as long as its weight."""
    remaining = position * sum(target.weight for target in targets)
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return targets[-1].service  # the last weight was lost in rounding
