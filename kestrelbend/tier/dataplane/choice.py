"""The choice of a backend for one send.

Model services and routes with `Sticky`: requests about one thing go to the first backend in the thing's own
order (rendezvous hashing, this gateway's zone first) that is not clearly busier than the least busy one, as
it is the likeliest to hold the thing's parts.  Other services: of a few at random the one that should answer
first; where they report their load, one in another zone must be clearly less busy.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend
from . import ports
from .connections import Connections
from .exchange import AFFINITY_KEY, PREFIX_HASH, PROGRAM, SESSION, Exchange
from .health import Health
from .latency import LatencyRatios
from .reported_load import ReportedLoad

OTHER_ZONE_LOAD = 0.5  # how much busier a backend in another zone counts: bytes between zones are dear
UNREPORTED_OTHER_ZONE_LOAD = 0.04  # the same where backends don't report their load: a queue is not seen
NEW_CONNECTION_LOAD = 0.04  # how much busier one counts that needs a new connection
EXPLORATION_SHARE = 0.1  # of choices that look at load alone, or a backend's latency would stay unknown
SLOW_START_LOAD = 0.5  # how much busier a backend in its slow start counts
LATENCY_LOAD = 0.25  # how much busier one counts for each time that it is slower than its service
MAX_EXCESS_RATIO = 3.0
AFFINITY_SLACK = 0.3  # of its slots that the preferred backend may be busier than the least busy


def affinity_key(exchange: Exchange) -> bytes | None:
    """What ties a request to the backend that saw its like: program, session, key or first prompt part."""
    fields = exchange.fields
    for name in (PROGRAM, SESSION, AFFINITY_KEY):
        if name in fields:
            return fields[name]
    parts = fields.get(PREFIX_HASH)
    return parts.partition(b",")[0] if parts else None


@attrs.define(eq=False)
class Chooser:
    """Keeps this gateway's requests in flight at each backend, and chooses by them and backends' reports."""

    _zone: str  # this gateway's
    _health: Health
    _latency: LatencyRatios
    _connections: Connections
    _reported: ReportedLoad
    _rng: random.Random
    in_flight: Counter[str] = attrs.field(factory=Counter, init=False)  # by a backend's identity

    def begin(self, identity: str) -> None:
        """A send to the backend is under way."""
        self.in_flight[identity] += 1

    def end(self, identity: str) -> None:
        """It is over."""
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def _busy(self, backend: Backend, service: ports.Service, now: float) -> float:
        """The share of the backend's slots that is taken, as far as this gateway knows."""
        slots = backend.slots or service.slots or 1
        return (self.in_flight[backend.identity] + self._reported.others(backend.identity, now)) / slots

    def _occupied(self, backend: Backend, service: ports.Service, now: float) -> float:
        """As `_busy`, with the price of another zone."""
        busy = self._busy(backend, service, now)
        if backend.zone == self._zone:
            return busy
        if self._reported.is_reported(backend.service):
            return busy + OTHER_ZONE_LOAD
        return busy + UNREPORTED_OTHER_ZONE_LOAD

    def _load(self, backend: Backend, service: ports.Service, now: float) -> float:
        load = self._occupied(backend, service, now)
        if backend.warming_up_ms > 0:
            load += SLOW_START_LOAD
        slower = (self._latency.ratio(backend.identity, now) or 1.0) - 1
        if slower > 0:
            load += LATENCY_LOAD * min(slower, MAX_EXCESS_RATIO)
        return load

    def has_capacity(self, backend: Backend, service: ports.Service, now: float) -> bool:
        """By this gateway's view a request sent there now would run at once."""
        return (
            self._busy(backend, service, now) < 1
            and not self._health.is_saturated(backend.identity, now)
            and self._connections.has_capacity(backend, service)
        )

    def choose(self, exchange: Exchange, backends: Sequence[Backend], now: float) -> Backend | None:
        """The best of `backends`; None where there are none."""
        service = exchange.service
        candidates = self._health.healthy(backends, now)
        ready = [
            backend
            for backend in candidates
            if not self._health.is_saturated(backend.identity, now)
            and self._connections.has_capacity(backend, service)
        ]
        candidates = ready or candidates
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        key = affinity_key(exchange) if service.is_model or exchange.route.sticky else None
        if key is not None or service.is_model:
            return self._by_affinity(service, key, candidates, now)
        sampled = self._sample(candidates)
        if self._rng.random() < EXPLORATION_SHARE:
            return min(sampled, key=lambda backend: self._occupied(backend, service, now))
        return min(sampled, key=lambda backend: self._expected(backend, service, now))

    def _sample(self, candidates: list[Backend]) -> list[Backend]:
        """At random two, or where they report their load two of this zone's and one of the others'."""
        if not self._reported.is_reported(candidates[0].service):
            return self._rng.sample(candidates, 2)
        near = [backend for backend in candidates if backend.zone == self._zone]
        far = [backend for backend in candidates if backend.zone != self._zone]
        near_count = min(len(near), 2)
        return self._rng.sample(near, near_count) + self._rng.sample(far, min(len(far), 3 - near_count))

    def _by_affinity(
        self, service: ports.Service, key: bytes | None, candidates: list[Backend], now: float
    ) -> Backend:
        """The first in the key's order, this zone's before others, that is not clearly busier."""
        loads = {backend.identity: self._load(backend, service, now) for backend in candidates}
        least = min(candidates, key=lambda backend: loads[backend.identity])
        if key is None:
            return least
        max_load = loads[least.identity] + AFFINITY_SLACK
        near_enough = (backend for backend in candidates if loads[backend.identity] <= max_load)
        return max(
            near_enough,
            key=lambda backend: (backend.zone == self._zone, _weight(key, backend.identity)),
        )

    def _expected(self, backend: Backend, service: ports.Service, now: float) -> float:
        """In proportion to the time in which an answer may be expected."""
        slots = backend.slots or service.slots or 1
        load = self._occupied(backend, service, now) + 1 / slots
        if backend.warming_up_ms > 0:
            load += SLOW_START_LOAD
        if not self._connections.has_idle(backend.identity):
            load += NEW_CONNECTION_LOAD
        return load * (self._latency.ratio(backend.identity, now) or 1.0)


def _weight(key: bytes, identity: str) -> int:
    """Rendezvous weight: each key has its own order of the backends, whatever others come and go."""
    mixed = zlib.crc32(identity.encode(), zlib.crc32(key))
    mixed = (mixed ^ (mixed >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return (mixed ^ (mixed >> 16)) * 0x45D9F3B & 0xFFFFFFFF
