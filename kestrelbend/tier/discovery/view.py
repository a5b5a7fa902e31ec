"""A gateway's view of the backends, merged from the streams of several control nodes.

Invariant: what one control node does not mention is never removed by that; a backend leaves the view only by
a newer word that it drains or is gone, or after a long silence while most others are heard.  A gateway that
hears from no control node keeps what it knows.
"""

from __future__ import annotations

import attrs

from kestrelbend.tier.discovery.freshness import DEPARTED_INTERVALS, SUSPECT_INTERVALS, Freshness
from kestrelbend.tier.discovery.messages import Backend, BackendState, BackendUpdate
from kestrelbend.tier.discovery.order import differs, presumed_departed, supersedes

TOMBSTONE_S = 600.0
MOST_TOMBSTONES = 10_000


class Contact:
    """How long updates have come in without a long pause, on the caller's steady clock (seconds)."""

    def __init__(self) -> None:
        self._heard_at = float("-inf")
        self._asked_at = float("-inf")
        self._broken_at = float("-inf")

    def heard(self, now: float) -> None:
        """An update came."""
        self._heard_at = now

    def unbroken(self, now: float, pause: float) -> float:
        """Seconds since the last pause longer than `pause`, be it of the updates or of the caller's calls."""
        if now - self._heard_at > pause or now - self._asked_at > pause:
            self._broken_at = now
        self._asked_at = now
        return now - self._broken_at


class BackendView:
    """The backends by service, ready ones only, those that fell silent last.

    `of` is asked for each request; its tuples hold a backend's counters (`sequence`, `warming_up_ms`) as they
    were at the last change that matters, `get` holds the newest ones.
    """

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        self._drained: set[str] = set()
        self._by_service: dict[str, dict[str, Backend]] = {}
        self._chosen: dict[str, tuple[Backend, ...]] = {}
        self._tombstones: dict[str, float] = {}
        self._suspects: frozenset[str] = frozenset()
        self._freshness = Freshness()
        self._contact = Contact()

    def of(self, service: str) -> tuple[Backend, ...]:
        """The ready backends of a service; the same tuple until something about them changes."""
        chosen = self._chosen.get(service)
        if chosen is None:
            ready = self._by_service.get(service, {})
            chosen = tuple(sorted(ready.values(), key=self._rank))
            self._chosen[service] = chosen
        return chosen

    def get(self, identity: str) -> Backend | None:
        """What is known of one incarnation, be it gone."""
        return self._backends.get(identity)

    def is_suspect(self, identity: str) -> bool:
        return identity in self._suspects

    def services(self) -> tuple[str, ...]:
        """The services that have a ready backend."""
        return tuple(name for name, ready in self._by_service.items() if ready)

    def take(self, update: BackendUpdate, now: float) -> tuple[str, ...]:
        """Merges an update of one sender; returns the identities that are no longer ready by it."""
        self._contact.heard(now)
        return tuple(backend.identity for backend in update.backends if self._offer(backend, now))

    def mark_departed(self, identity: str, now: float) -> None:
        """Another backend answered at its address: it counts as gone until it reports again."""
        backend = self._backends.get(identity)
        if backend is not None and backend.state != BackendState.DEPARTED:
            self._offer(presumed_departed(backend), now)

    def refresh(self, now: float, heartbeat_interval: float) -> tuple[str, ...]:
        """Finds who fell silent, and presumes gone who was silent for long; call it about once a second."""
        self._drop_tombstones(now)
        live = tuple(
            name for name, backend in self._backends.items() if backend.state != BackendState.DEPARTED
        )
        longest = DEPARTED_INTERVALS * heartbeat_interval
        unbroken = self._contact.unbroken(now, SUSPECT_INTERVALS * heartbeat_interval)
        departed = self._freshness.silent(live, now, longest) if unbroken > longest else ()
        for identity in departed:
            self._offer(presumed_departed(self._backends[identity]), now)
        suspects = self._freshness.silent(live, now, SUSPECT_INTERVALS * heartbeat_interval)
        self._suspect(frozenset(suspects).difference(departed))
        return departed

    def _rank(self, backend: Backend) -> tuple[bool, str]:
        return (backend.identity in self._suspects, backend.identity)

    def _suspect(self, suspects: frozenset[str]) -> None:
        for identity in suspects ^ self._suspects:
            backend = self._backends.get(identity)
            if backend is not None:
                self._chosen.pop(backend.service, None)
        self._suspects = suspects

    def _offer(self, backend: Backend, now: float) -> bool:
        """Takes a report if it is newer; True if the backend was ready and no longer is."""
        known = self._backends.get(backend.identity)
        if known is not None and not supersedes(backend, known):
            return False
        if known is None or backend.sequence > known.sequence:
            self._freshness.heard(backend.identity, now)
        if backend.state == BackendState.DRAINING:
            self._drained.add(backend.identity)
        elif backend.state == BackendState.READY and backend.identity in self._drained:
            backend = attrs.evolve(backend, state=int(BackendState.DRAINING))
        self._backends[backend.identity] = backend
        if known is None or differs(backend, known):
            self._place(backend, known)
        self._bury_or_raise(backend, now)
        was_ready = known is not None and known.state == BackendState.READY
        return was_ready and backend.state != BackendState.READY

    def _place(self, backend: Backend, known: Backend | None) -> None:
        if known is not None and known.state == BackendState.READY:
            self._by_service[known.service].pop(known.identity, None)
            self._chosen.pop(known.service, None)
        if backend.state == BackendState.READY:
            self._by_service.setdefault(backend.service, {})[backend.identity] = backend
            self._chosen.pop(backend.service, None)

    def _bury_or_raise(self, backend: Backend, now: float) -> None:
        if backend.state != BackendState.DEPARTED:
            self._tombstones.pop(backend.identity, None)
            return
        self._tombstones.setdefault(backend.identity, now)
        while len(self._tombstones) > MOST_TOMBSTONES:
            self._forget(next(iter(self._tombstones)))

    def _drop_tombstones(self, now: float) -> None:
        while self._tombstones:
            oldest = next(iter(self._tombstones))
            if now - self._tombstones[oldest] < TOMBSTONE_S:
                return
            self._forget(oldest)

    def _forget(self, identity: str) -> None:
        del self._tombstones[identity]
        del self._backends[identity]
        self._drained.discard(identity)
        self._freshness.forget(identity)
