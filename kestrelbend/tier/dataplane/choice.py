"""Load balancing: selects a backend for one send.

Load is measured as utilization: this gateway's requests at a backend plus the estimated requests of other
gateways there, divided by the backend's slots.  Unfavorable properties add a penalty in the same unit.

- Model services, and routes with `Sticky`: requests with the same affinity key go to the first backend in the
  key's order (rendezvous hashing, Thaler and Ravishankar 1998; this gateway's zone first) that is not clearly
  busier than the least loaded one, because it most likely holds the state for that key.
- Other services: of two or three random backends (Mitzenmacher 2001), the one expected to respond first.  If
  backends report their load, one in another zone must be clearly less loaded to be selected.

Invariant: if there is a backend, one is selected.  Suspect backends are left out as far as `health` allows;
saturated backends and those without a free connection are left out only if another one remains.

Hazard: loads and health are momentary, so nothing derived from them is kept across an await.
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

OTHER_ZONE_PENALTY = 0.5  # traffic between zones is expensive
UNREPORTED_OTHER_ZONE_PENALTY = 0.04  # without load reports, local queues are invisible, so spread wider
NEW_CONNECTION_PENALTY = 0.04  # if the request needs a new connection
EXPLORATION_SHARE = 0.1  # of choices ignore latency, so that every backend's latency gets measured
SLOW_START_PENALTY = 0.5  # for a backend in slow start
EXCESS_LATENCY_PENALTY = 0.25  # per multiple of the usual latency above 1
MAX_EXCESS_LATENCY = 3.0  # cap on those multiples
AFFINITY_SLACK = 0.3  # load that the preferred backend may have above the least loaded one


def affinity_key(exchange: Exchange) -> bytes | None:
    """The affinity key: program, session, affinity header or first prompt prefix; None without any."""
    fields = exchange.fields
    for name in (PROGRAM, SESSION, AFFINITY_KEY):
        if name in fields:
            return fields[name]
    parts = fields.get(PREFIX_HASH)
    return parts.partition(b",")[0] if parts else None


@attrs.define(eq=False)
class LoadBalancer:
    """Counts this gateway's requests in flight per backend; selects by them, reported load and latency."""

    _zone: str  # the zone of this gateway
    _health: Health
    _latency: LatencyRatios
    _connections: Connections
    _reported: ReportedLoad
    _rng: random.Random
    in_flight: Counter[str] = attrs.field(factory=Counter, init=False)  # by backend identity

    def begin(self, identity: str) -> None:
        """Counts a request at the backend `identity`; the caller must call `end` for it."""
        self.in_flight[identity] += 1

    def end(self, identity: str) -> None:
        """Stops counting a request at the backend `identity`."""
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def _utilization(self, backend: Backend, service: ports.Service, now: float) -> float:
        """The share of the backend's slots in use, as far as this gateway knows; may exceed 1."""
        slots = backend.slots or service.slots or 1
        return (self.in_flight[backend.identity] + self._reported.others(backend.identity, now)) / slots

    def _zone_load(self, backend: Backend, service: ports.Service, now: float) -> float:
        """The backend's utilization, plus a penalty if it is in another zone."""
        utilization = self._utilization(backend, service, now)
        if backend.zone == self._zone:
            return utilization
        if self._reported.is_reported(backend.service):
            return utilization + OTHER_ZONE_PENALTY
        return utilization + UNREPORTED_OTHER_ZONE_PENALTY

    def _affinity_load(self, backend: Backend, service: ports.Service, now: float) -> float:
        """The backend's load for affinity selection, with penalties for slow start and excess latency."""
        load = self._zone_load(backend, service, now)
        if backend.warming_up_ms > 0:
            load += SLOW_START_PENALTY
        excess = (self._latency.ratio(backend.identity, now) or 1.0) - 1
        if excess > 0:
            load += EXCESS_LATENCY_PENALTY * min(excess, MAX_EXCESS_LATENCY)
        return load

    def has_capacity(self, backend: Backend, service: ports.Service, now: float) -> bool:
        """Whether, as far as this gateway knows, a request sent there now would run without queueing."""
        return (
            self._utilization(backend, service, now) < 1
            and not self._health.is_saturated(backend.identity, now)
            and self._connections.has_capacity(backend, service)
        )

    def choose(self, exchange: Exchange, backends: Sequence[Backend], now: float) -> Backend | None:
        """The best of `backends` at `now` (seconds on a monotonic clock); None if there are none."""
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
        """Samples two at random; if load is reported, up to three, at most two of them from this zone."""
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
        """The first backend in the key's order, this zone first, that is not clearly busier than the rest."""
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
        """A value proportional to the expected latency; the unit does not matter."""
        slots = backend.slots or service.slots or 1
        load = self._zone_load(backend, service, now) + 1 / slots
        if backend.warming_up_ms > 0:
            load += SLOW_START_PENALTY
        if not self._connections.has_idle(backend.identity):
            load += NEW_CONNECTION_PENALTY
        return load * (self._latency.ratio(backend.identity, now) or 1.0)


def _rendezvous_weight(key: bytes, identity: str) -> int:
    """Rendezvous hashing weight: a key's order of two backends does not depend on the other backends."""
    mixed = zlib.crc32(identity.encode(), zlib.crc32(key))
    mixed = (mixed ^ (mixed >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return (mixed ^ (mixed >> 16)) * 0x45D9F3B & 0xFFFFFFFF
