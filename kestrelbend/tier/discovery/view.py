"""A gateway's view of the backends, merged from the streams of several control nodes.

The states of an incarnation are those of `order`; ready backends are indexed by service.

Invariant: a backend is never removed because a control node does not list it.  It leaves the view only by a
newer report that it is draining or departed, or because it is unresponsive while at least half of the others
report.  A gateway without updates from any control node keeps its view.  Times are seconds of the gateway's
monotonic clock.
"""

from __future__ import annotations

from .freshness import DEPARTED_INTERVALS, SUSPECT_INTERVALS, Freshness
from .messages import Backend, BackendState, BackendUpdate
from .order import as_draining, is_significant_change, presumed_departed, supersedes
from .tombstones import Tombstones
from .update_continuity import UpdateContinuity


class BackendView:
    """The ready backends of each service, with suspects last.

    `ready` is called for each request, so its tuples are cached: they hold a backend's counters (`sequence`,
    `warming_up_ms`) as of its last significant change.  `get` returns the newest counters.
    """

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        self._drained: set[str] = set()
        self._ready_by_service: dict[str, dict[str, Backend]] = {}
        self._ready_sorted: dict[str, tuple[Backend, ...]] = {}
        self._tombstones = Tombstones()
        self._suspects: frozenset[str] = frozenset()
        self._freshness = Freshness()
        self._continuity = UpdateContinuity()

    def ready(self, service: str) -> tuple[Backend, ...]:
        """Returns the ready backends of a service; the same tuple until one of them changes significantly."""
        ordered = self._ready_sorted.get(service)
        if ordered is None:
            by_identity = self._ready_by_service.get(service, {})
            ordered = tuple(sorted(by_identity.values(), key=self._sort_key))
            self._ready_sorted[service] = ordered
        return ordered

    def get(self, identity: str) -> Backend | None:
        """Returns an incarnation, which may be departed, or None if it is unknown."""
        return self._backends.get(identity)

    def is_suspect(self, identity: str) -> bool:
        """Whether a backend is unresponsive and therefore chosen last."""
        return identity in self._suspects

    def services(self) -> tuple[str, ...]:
        """Returns the services that have a ready backend."""
        return tuple(name for name, ready in self._ready_by_service.items() if ready)

    # Input

    def merge(self, update: BackendUpdate, now: float) -> tuple[str, ...]:
        """Merges a control node's update; returns the identities of the backends that it makes unready."""
        self._continuity.record_update(now)
        return tuple(backend.identity for backend in update.backends if self._apply(backend, now))

    def mark_departed(self, identity: str, now: float) -> None:
        """Presumes a backend departed until it reports again, as another one replied at its address."""
        backend = self._backends.get(identity)
        if backend is not None and backend.state != BackendState.DEPARTED:
            self._apply(presumed_departed(backend), now)

    def refresh(self, now: float, heartbeat_interval: float) -> tuple[str, ...]:
        """Updates the suspects and returns the backends that are presumed departed by this call.

        To be called about once a second.
        """
        for identity in self._tombstones.remove_expired(now):
            self._forget(identity)
        live = self._live_identities()
        suspect_timeout = SUSPECT_INTERVALS * heartbeat_interval
        departure_timeout = DEPARTED_INTERVALS * heartbeat_interval
        unbroken_s = self._continuity.unbroken_s(now, suspect_timeout)
        departed: tuple[str, ...] = ()
        if unbroken_s > departure_timeout:
            departed = self._freshness.find_unresponsive(live, now, departure_timeout)
        for identity in departed:
            self._apply(presumed_departed(self._backends[identity]), now)
        suspects = self._freshness.find_unresponsive(live, now, suspect_timeout)
        self._set_suspects(frozenset(suspects).difference(departed))
        return departed

    # Updates of the view

    def _live_identities(self) -> tuple[str, ...]:
        return tuple(
            identity for identity, backend in self._backends.items() if backend.state != BackendState.DEPARTED
        )

    def _sort_key(self, backend: Backend) -> tuple[bool, str]:
        return (backend.identity in self._suspects, backend.identity)

    def _set_suspects(self, suspects: frozenset[str]) -> None:
        for identity in suspects ^ self._suspects:
            backend = self._backends.get(identity)
            if backend is not None:
                self._ready_sorted.pop(backend.service, None)
        self._suspects = suspects

    def _apply(self, backend: Backend, now: float) -> bool:
        """Applies a report if it is newer; True if the backend was ready and no longer is."""
        known = self._backends.get(backend.identity)
        if known is not None and not supersedes(backend, known):
            return False
        if known is None or backend.sequence > known.sequence:
            self._freshness.record_report(backend.identity, now)
        if backend.state == BackendState.DRAINING:
            self._drained.add(backend.identity)
        elif backend.state == BackendState.READY and backend.identity in self._drained:
            backend = as_draining(backend)
        self._backends[backend.identity] = backend
        if known is None or is_significant_change(backend, known):
            self._update_index(backend, known)
        self._update_tombstone(backend, now)
        was_ready = known is not None and known.state == BackendState.READY
        return was_ready and backend.state != BackendState.READY

    def _update_index(self, backend: Backend, known: Backend | None) -> None:
        if known is not None and known.state == BackendState.READY:
            self._ready_by_service[known.service].pop(known.identity, None)
            self._ready_sorted.pop(known.service, None)
        if backend.state == BackendState.READY:
            self._ready_by_service.setdefault(backend.service, {})[backend.identity] = backend
            self._ready_sorted.pop(backend.service, None)

    def _update_tombstone(self, backend: Backend, now: float) -> None:
        if backend.state != BackendState.DEPARTED:
            self._tombstones.remove(backend.identity)
            return
        self._tombstones.add(backend.identity, now)
        for excess in self._tombstones.remove_excess():
            self._forget(excess)

    def _forget(self, identity: str) -> None:
        """Deletes a departed incarnation; its tombstone is already removed."""
        del self._backends[identity]
        self._drained.discard(identity)
        self._freshness.forget(identity)
