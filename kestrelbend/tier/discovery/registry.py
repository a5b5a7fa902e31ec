"""A control node's registry of backends, built from their heartbeats and from the other control nodes.

State transitions of one incarnation, and the calls that cause them:

    unknown   --heartbeat, merge-->                         READY or DRAINING
    READY     --heartbeat, merge-->                         DRAINING
    any       --leave, merge-->                             DEPARTED for good
    any live  --expire: unresponsive-->                     presumed DEPARTED
    any live  --heartbeat of another at its address-->      presumed DEPARTED
    presumed  --heartbeat, merge of a later report-->       READY or DRAINING, as before
    DEPARTED  --expire: tombstone too old, or too many-->   unknown

Invariant: an incarnation's entry only moves forward in the order of `order.supersedes`; late or duplicate
reports have no effect.  When an incarnation reports to this node directly, the other incarnations at its
address are presumed departed.  Updates from other control nodes never cause this, because they may be older
than what this node knows.  All times are seconds of this node's monotonic clock.
"""

from __future__ import annotations

import attrs

from .freshness import DEPARTED_INTERVALS, SUSPECT_INTERVALS, Freshness
from .live_addresses import LiveAddresses
from .messages import Backend, BackendState
from .order import as_departed, as_draining, is_significant_change, presumed_departed, supersedes
from .report import HeartbeatRejected, RejectionCode, is_name, read_report
from .tombstones import Tombstones

MAX_LIVE = 20_000  # limit of backends that are not departed
COUNTERS_STREAM_INTERVAL_S = 2.0  # minimum time between two updates of counters alone


@attrs.define(eq=False)
class _Entry:
    backend: Backend
    last_change: int  # the registry's change number at its last published change
    streamed_at: float
    drained: bool  # it has reported DRAINING


@attrs.frozen
class UnresponsiveBackends:
    """Suspects, which are to be chosen last, and backends that have just been presumed departed."""

    suspects: tuple[str, ...]
    departed: tuple[Backend, ...]


@attrs.frozen
class Changes:
    """The backends that changed after a given change number, and the current change number."""

    change_number: int
    backends: tuple[Backend, ...]


class BackendRegistry:
    """All known backends, including departed ones while their tombstones are kept."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}  # in the order of `last_change`
        self._live = LiveAddresses()
        self._tombstones = Tombstones()
        self._freshness = Freshness()
        self._change_number = 0
        self._urgent_change_number = 0

    @property
    def urgent_change_number(self) -> int:
        """The number of the last change that must be published at once (`order.is_significant_change`)."""
        return self._urgent_change_number

    @property
    def change_number(self) -> int:
        """The number of the last change that is to be published; each one raises it."""
        return self._change_number

    # Input

    def heartbeat(self, identity: str, report: object, now: float) -> Backend | HeartbeatRejected:
        """Applies a backend's own report; returns the backend's entry after it."""
        backend = read_report(identity, report)
        if isinstance(backend, HeartbeatRejected):
            return backend
        if self._is_full_for(backend):
            return HeartbeatRejected(RejectionCode.REGISTRY_FULL, "too many backends are known")
        if self._apply(backend, now):
            self._displace_others(backend, now)
        return self._entries[identity].backend

    def leave(self, identity: str, now: float) -> Backend | HeartbeatRejected:
        """Applies a backend's report that it has ended; an unknown backend is recorded as departed."""
        if not is_name(identity):
            return HeartbeatRejected(RejectionCode.IDENTITY, "the id is no short text")
        entry = self._entries.get(identity)
        known = entry.backend if entry else _unknown_backend(identity)
        self._apply(as_departed(known), now)
        return self._entries[identity].backend

    def merge(self, backend: Backend, now: float) -> bool:
        """Applies an update from another control node; True if it was newer than the entry here."""
        if self._is_full_for(backend):
            return False
        return self._apply(backend, now)

    def expire(self, now: float, heartbeat_interval: float, in_contact_since: float) -> UnresponsiveBackends:
        """Presumes backends departed after `DEPARTED_INTERVALS` without a report; drops expired tombstones.

        No backend is presumed departed unless this node has been in contact for longer than that.
        """
        for identity in self._tombstones.remove_expired(now):
            self._forget(identity)
        live = self._live.identities()
        suspects = self._freshness.find_unresponsive(live, now, SUSPECT_INTERVALS * heartbeat_interval)
        departure_timeout = DEPARTED_INTERVALS * heartbeat_interval
        if not suspects or now - in_contact_since <= departure_timeout:
            return UnresponsiveBackends(suspects, ())
        departed = {}
        for identity in self._freshness.find_unresponsive(live, now, departure_timeout):
            self._apply(presumed_departed(self._entries[identity].backend), now)
            departed[identity] = self._entries[identity].backend
        remaining = tuple(identity for identity in suspects if identity not in departed)
        return UnresponsiveBackends(remaining, tuple(departed.values()))

    # Queries

    def get(self, identity: str) -> Backend | None:
        """Returns an incarnation's entry, or None."""
        entry = self._entries.get(identity)
        return entry.backend if entry else None

    def ready(self, service: str) -> tuple[Backend, ...]:
        """Returns the ready backends of a service."""
        return tuple(
            entry.backend
            for entry in self._entries.values()
            if entry.backend.state == BackendState.READY and entry.backend.service == service
        )

    def all(self) -> tuple[Backend, ...]:
        """Returns all backends, departed ones included."""
        return tuple(entry.backend for entry in self._entries.values())

    def changes_since(self, change_number: int) -> Changes:
        """Returns the backends that changed after `change_number`, in the order of their changes."""
        changed = []
        for entry in reversed(self._entries.values()):
            if entry.last_change <= change_number:
                break
            changed.append(entry.backend)
        changed.reverse()
        return Changes(self._change_number, tuple(changed))

    # Updates of entries

    def _is_full_for(self, backend: Backend) -> bool:
        """Whether the report would exceed `MAX_LIVE`; the departure of a known backend never does."""
        if self._live.count < MAX_LIVE:
            return False
        entry = self._entries.get(backend.identity)
        if entry is None:
            return True
        is_return = entry.backend.state == BackendState.DEPARTED != backend.state
        return is_return and supersedes(backend, entry.backend)

    def _apply(self, backend: Backend, now: float) -> bool:
        """Updates the incarnation's entry from a report; False if the report is not newer."""
        entry = self._entries.get(backend.identity)
        if entry is None:
            self._add(backend, now)
            return True
        if not supersedes(backend, entry.backend):
            return False
        self._advance(entry, backend, now)
        return True

    def _add(self, backend: Backend, now: float) -> None:
        entry = _Entry(backend, 0, now, backend.state == BackendState.DRAINING)
        self._entries[backend.identity] = entry
        self._freshness.record_report(backend.identity, now)
        self._publish(entry, now)
        self._urgent_change_number = self._change_number
        self._update_indexes(backend, now)

    def _advance(self, entry: _Entry, backend: Backend, now: float) -> None:
        if backend.state == BackendState.READY and entry.drained:
            backend = as_draining(backend)
        before = entry.backend
        entry.backend = backend
        entry.drained = entry.drained or backend.state == BackendState.DRAINING
        if backend.sequence > before.sequence:
            self._freshness.record_report(backend.identity, now)
        if is_significant_change(backend, before):
            self._publish(entry, now)
            self._urgent_change_number = self._change_number
        elif now - entry.streamed_at >= COUNTERS_STREAM_INTERVAL_S:
            self._publish(entry, now)
        self._live.remove(before.address, before.identity)
        self._update_indexes(backend, now)

    def _publish(self, entry: _Entry, now: float) -> None:
        """Gives the entry a new change number and moves it to the end of `_entries`."""
        self._change_number += 1
        entry.last_change = self._change_number
        entry.streamed_at = now
        self._entries[entry.backend.identity] = self._entries.pop(entry.backend.identity)

    def _update_indexes(self, backend: Backend, now: float) -> None:
        """Adds an entry to the live addresses or to the tombstones, according to its state."""
        if backend.state == BackendState.DEPARTED:
            self._add_tombstone(backend.identity, now)
            return
        self._tombstones.remove(backend.identity)
        self._live.add(backend.address, backend.identity)

    def _displace_others(self, backend: Backend, now: float) -> None:
        """Presumes the other incarnations at a backend's address departed, as this one has just reported."""
        if backend.state != BackendState.DEPARTED:
            for identity in self._live.other_identities(backend.address, backend.identity):
                self._apply(presumed_departed(self._entries[identity].backend), now)

    def _add_tombstone(self, identity: str, now: float) -> None:
        if self._tombstones.add(identity, now):
            self._freshness.forget(identity)
        for excess in self._tombstones.remove_excess():
            self._forget(excess)

    def _forget(self, identity: str) -> None:
        """Deletes a departed incarnation's entry; its tombstone is already removed."""
        del self._entries[identity]
        self._freshness.forget(identity)


def _unknown_backend(identity: str) -> Backend:
    """Returns a placeholder for a backend of which only the identity is known."""
    return Backend(
        identity=identity,
        service="",
        address="",
        zone="",
        software="",
        slots=0,
        state=int(BackendState.READY),
        warming_up_ms=0,
        sequence=0,
    )
