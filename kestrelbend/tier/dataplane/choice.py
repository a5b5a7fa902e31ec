"""The choice of a backend for one send.

Load is counted in shares of a backend's slots: the requests that this gateway has there and those that it is
believed to have from others, over its slots.  What is to be avoided counts as a penalty in the same unit.

- Model services, and routes with `Sticky`: requests about one thing go to the first backend in the thing's
  own order (rendezvous hashing, Thaler and Ravishankar 1998; this gateway's zone first) that is not clearly
  busier than the least loaded one, as it is the likeliest to hold the thing's state.
- Other services: of two or three at random (Mitzenmacher 2001) the one that should answer first; where
  backends report their load, one in another zone must be clearly less loaded.

Invariant: as long as there is a backend, one is chosen.  Suspect ones are left out as far as `health` allows;
of the others, those that are saturated or have no free connection only while another is there.

Hazard: the view is of this moment, so nothing of it is kept across an await.
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

OTHER_ZONE_PENALTY = 0.5  # of a backend in another zone: bytes between zones are dear
UNREPORTED_OTHER_ZONE_PENALTY = 0.04  # where load is not reported: a queue is not seen
NEW_CONNECTION_PENALTY = 0.04  # of one that needs a new connection
EXPLORATION_SHARE = 0.1  # of choices that look at load alone, or a backend's latency would stay unknown
SLOW_START_PENALTY = 0.5  # of one in its slow start
EXCESS_LATENCY_PENALTY = 0.25  # for each time that one's latency exceeds the usual
MAX_EXCESS_LATENCY = 3.0  # that is counted, in times of the usual
AFFINITY_SLACK = 0.3  # that the preferred backend may have above the least loaded one


def affinity_key(exchange: Exchange) -> bytes | None:
    """What requests about one thing share: program, session, key or first prompt part; None without any."""
    fields = exchange.fields
    for name in (PROGRAM, SESSION, AFFINITY_KEY):
        if name in fields:
            return fields[name]
    parts = fields.get(PREFIX_HASH)
    return parts.partition(b",")[0] if parts else None


@attrs.define(eq=False)
class LoadBalancer:
    """Keeps this gateway's requests in flight at each backend, and chooses by them and backends' reports."""

    _zone: str  # this gateway's
    _health: Health
    _latency: LatencyRatios
    _connections: Connections
    _reported: ReportedLoad
    _rng: random.Random
    in_flight: Counter[str] = attrs.field(factory=Counter, init=False)  # by a backend's identity

    def begin(self, identity: str) -> None:
        """A request is given to the backend `identity`; it must `end`."""
        self.in_flight[identity] += 1

    def end(self, identity: str) -> None:
        """The request that was begun there is over."""
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def _utilization(self, backend: Backend, service: ports.Service, now: float) -> float:
        """The share of the backend's slots that is taken, as far as this gateway knows; may exceed 1."""
        slots = backend.slots or service.slots or 1
        return (self.in_flight[backend.identity] + self._reported.others(backend.identity, now)) / slots

    def _zone_load(self, backend: Backend, service: ports.Service, now: float) -> float:
        """Its utilization, with the penalty of another zone."""
        utilization = self._utilization(backend, service, now)
        if backend.zone == self._zone:
            return utilization
        if self._reported.is_reported(backend.service):
            return utilization + OTHER_ZONE_PENALTY
        return utilization + UNREPORTED_OTHER_ZONE_PENALTY

    def _affinity_load(self, backend: Backend, service: ports.Service, now: float) -> float:
        """Its load for requests that could also go to a backend without their state."""
        load = self._zone_load(backend, service, now)
        if backend.warming_up_ms > 0:
            load += SLOW_START_PENALTY
        excess = (self._latency.ratio(backend.identity, now) or 1.0) - 1
        if excess > 0:
            load += EXCESS_LATENCY_PENALTY * min(excess, MAX_EXCESS_LATENCY)
        return load

    def has_capacity(self, backend: Backend, service: ports.Service, now: float) -> bool:
        """By this gateway's view a request sent there now would run at once."""
        return (
            self._utilization(backend, service, now) < 1
            and not self._health.is_saturated(backend.identity, now)
            and self._connections.has_capacity(backend, service)
        )

    def choose(self, exchange: Exchange, backends: Sequence[Backend], now: float) -> Backend | None:
        """The best of `backends` at `now` (seconds on a steady clock); None where there are none."""
        service = exchange.service
        candidates = self._health.healthy(backends, now)
        available = [
            backend
            for backend in candidates
            if not self._health.is_saturated(backend.identity, now)
            and self._connections.has_capacity(backend, service)
        ]
        candidates = available or candidates
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        key = affinity_key(exchange) if service.is_model or exchange.route.sticky else None
        if key is not None or service.is_model:
            return self._choose_by_affinity(service, key, candidates, now)
        sampled = self._sample(candidates)
        if self._rng.random() < EXPLORATION_SHARE:
            return min(sampled, key=lambda backend: self._zone_load(backend, service, now))
        return min(sampled, key=lambda backend: self._expected_latency(backend, service, now))

    def _sample(self, candidates: list[Backend]) -> list[Backend]:
        """At random two, or where they report their load two of this zone's and one of the others'."""
        if not self._reported.is_reported(candidates[0].service):
            return self._rng.sample(candidates, 2)
        local = [backend for backend in candidates if backend.zone == self._zone]
        remote = [backend for backend in candidates if backend.zone != self._zone]
        local_count = min(len(local), 2)
        return self._rng.sample(local, local_count) + self._rng.sample(
            remote, min(len(remote), 3 - local_count)
        )

    def _choose_by_affinity(
        self, service: ports.Service, key: bytes | None, candidates: list[Backend], now: float
    ) -> Backend:
        """The first in the key's order, this zone's before others, that is not clearly busier."""
        loads = {backend.identity: self._affinity_load(backend, service, now) for backend in candidates}
        least_loaded = min(candidates, key=lambda backend: loads[backend.identity])
        if key is None:
            return least_loaded
        max_load = loads[least_loaded.identity] + AFFINITY_SLACK
        eligible = (backend for backend in candidates if loads[backend.identity] <= max_load)
        return max(
            eligible,
            key=lambda backend: (backend.zone == self._zone, _rendezvous_weight(key, backend.identity)),
        )

    def _expected_latency(self, backend: Backend, service: ports.Service, now: float) -> float:
        """In proportion to the time in which an answer may be expected; the unit does not matter."""
        slots = backend.slots or service.slots or 1
        load = self._zone_load(backend, service, now) + 1 / slots
        if backend.warming_up_ms > 0:
            load += SLOW_START_PENALTY
        if not self._connections.has_idle(backend.identity):
            load += NEW_CONNECTION_PENALTY
        return load * (self._latency.ratio(backend.identity, now) or 1.0)


def _rendezvous_weight(key: bytes, identity: str) -> int:
    """Rendezvous weight: each key has its own order of the backends, whatever others come and go."""
    mixed = zlib.crc32(identity.encode(), zlib.crc32(key))
    mixed = (mixed ^ (mixed >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return (mixed ^ (mixed >> 16)) * 0x45D9F3B & 0xFFFFFFFF
