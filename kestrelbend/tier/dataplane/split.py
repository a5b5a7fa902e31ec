"""Weighted traffic splitting: which of a route's services a request goes to.

Requests of one program, session or affinity key go to the same service while the weights and the set of
services with backends are unchanged, because the position on the scale of weights is a hash of that key.
Other requests are assigned at random.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence

from . import ports
from .exchange import AFFINITY_KEY, PROGRAM, SESSION


class TrafficSplit:
    """Chooses among a route's targets; targets without backends are skipped while others have some."""

    def __init__(self, backends: ports.Backends, rng: random.Random) -> None:
        self._backends = backends
        self._rng = rng

    def service_of(self, route: ports.Route, fields: dict[bytes, bytes]) -> str:
        """The name of the service for a request on this route with these headers.

        If no target has backends, all are considered: the request then waits or is rejected for that service.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        served = [target for target in targets if self._backends.of(target.service)]
        return _service_at(self._position(fields), served or targets)

    def _position(self, fields: dict[bytes, bytes]) -> float:
        """A number in [0, 1) that is the same for all requests of a program, session or affinity key."""
        for name in (PROGRAM, SESSION, AFFINITY_KEY):
            if name in fields:
                return zlib.crc32(fields[name]) / 2**32
        return self._rng.random()


def _service_at(position: float, targets: Sequence[ports.Target]) -> str:
    """The service at a position in [0, 1) on a scale where each target's section is as long as its weight."""
    remaining = position * sum(target.weight for target in targets)
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return targets[-1].service  # reached only by floating-point rounding
