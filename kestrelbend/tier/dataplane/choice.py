"""The choice of a backend for one send.

Model services: a program's turns prefer one backend by rendezvous hashing, as long as it is not clearly
busier than the least busy one, since it holds the parts of the prompt; otherwise the least busy.  Plain
services: the less busy of two at random.  A backend in this gateway's zone wins at equal load.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Callable, Collection

from ..discovery.messages import Backend
from . import ports
from .connections import Connections
from .exchange import AFFINITY_KEY, PREFIX_HASH, PROGRAM, SESSION, Exchange
from .health import Health

OTHER_ZONE_LOAD = 0.04  # what a backend in another zone counts busier
COLD_LOAD = 0.5  # what a backend that is slow from its start counts busier
AFFINITY_SLACK = 0.3  # of its slots that the preferred backend may be busier than the least busy


def affinity_key(exchange: Exchange) -> bytes | None:
    """What ties a request to the backend that saw its like: program, session, key or first prompt part."""
    fields = exchange.fields
    for name in (PROGRAM, SESSION, AFFINITY_KEY):
        if name in fields:
            return fields[name]
    parts = fields.get(PREFIX_HASH)
    return parts.partition(b",")[0] if parts else None


class Chooser:
    """Keeps this gateway's requests in flight at each backend, and chooses by them."""

    def __init__(
        self,
        zone: str,
        health: Health,
        connections: Connections,
        external_load: Callable[[str], float] = lambda identity: 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self._zone = zone
        self._health = health
        self._connections = connections
        self._external_load = external_load
        self._rng = rng or random.Random()
        self.in_flight: Counter[str] = Counter()

    def begin(self, identity: str) -> None:
        self.in_flight[identity] += 1

    def end(self, identity: str) -> None:
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def load(self, backend: Backend, service: ports.Service) -> float:
        """Requests at the backend in relation to its slots."""
        slots = backend.slots or service.slots or 1
        load = (self.in_flight[backend.identity] + self._external_load(backend.identity)) / slots
        if backend.zone != self._zone:
            load += OTHER_ZONE_LOAD
        if backend.cold_left_ms > 0:
            load += COLD_LOAD
        return load

    def has_room(self, backend: Backend, service: ports.Service, now: float) -> bool:
        """By this gateway's view a request sent there now would run at once."""
        slots = backend.slots or service.slots or 1
        busy = self.in_flight[backend.identity] + self._external_load(backend.identity)
        return (
            busy < slots
            and not self._health.full(backend.identity, now)
            and self._connections.room(backend, service)
        )

    def choose(self, exchange: Exchange, backends: Collection[Backend], now: float) -> Backend | None:
        """The best of `backends`; None where there are none."""
        service = exchange.service
        candidates = self._health.sound(list(backends), now)
        ready = [backend for backend in candidates if not self._health.full(backend.identity, now)]
        connected = [b for b in ready or candidates if self._connections.room(b, service)]
        candidates = connected or ready or candidates
        if not candidates:
            return None
        if service.is_model:
            return self._choose_model(exchange, candidates)
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda backend: self.load(backend, service))

    def _choose_model(self, exchange: Exchange, candidates: list[Backend]) -> Backend:
        loads = {backend.identity: self.load(backend, exchange.service) for backend in candidates}
        least = min(candidates, key=lambda backend: loads[backend.identity])
        key = affinity_key(exchange)
        if key is None:
            return least
        preferred = max(candidates, key=lambda backend: _weight(key, backend.identity))
        if loads[preferred.identity] <= loads[least.identity] + AFFINITY_SLACK:
            return preferred
        return least


def _weight(key: bytes, identity: str) -> int:
    """Rendezvous weight: each key has its own order of the backends, whatever others come and go."""
    mixed = zlib.crc32(identity.encode(), zlib.crc32(key))
    return (mixed * 0x9E3779B1) & 0xFFFFFFFF
