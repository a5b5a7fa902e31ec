"""A control node's registry of backends, from their own heartbeats and from the other control nodes.

What happens to one incarnation, and which call brings it about:

    unknown   --heartbeat, merge-->                         READY or DRAINING
    READY     --heartbeat, merge-->                         DRAINING
    any       --leave, merge-->                             DEPARTED for good
    any live  --expire: unresponsive-->                     presumed DEPARTED
    any live  --heartbeat of another at its address-->      presumed DEPARTED
    presumed  --heartbeat, merge of a later report-->       READY or DRAINING, as it was
    DEPARTED  --expire: tombstone too old, or too many-->   unknown

Invariant: the entry of an incarnation only ever moves forward in the order of `order.supersedes`; a report
that comes late or twice changes nothing.  Once an incarnation has reported here by itself, the others at its
address are departed; what other nodes send displaces nobody, as it may be older than what is known here.
All times are this node's steady clock, in seconds.
"""

from __future__ import annotations

import attrs

from .freshness import DEPARTED_INTERVALS, SUSPECT_INTERVALS, Freshness
from .live_addresses import LiveAddresses
from .messages import Backend, BackendState
from .order import as_departed, as_draining, differs, presumed_departed, supersedes
from .report import HeartbeatRejected, RejectionCode, is_name, read_report
from .tombstones import Tombstones

MAX_LIVE = 20_000  # backends that are not departed
COUNTERS_STREAM_INTERVAL_S = 2.0  # a change of nothing but counters is streamed at most this often


@attrs.define(eq=False)
class _Entry:
    backend: Backend
    changed: int  # the registry's number when it was last to be streamed
    streamed_at: float
    drained: bool  # it has reported that it drains


@attrs.frozen
class UnresponsiveBackends:
    """`suspects` are chosen last, `departed` were just presumed so."""

    suspects: tuple[str, ...]
    departed: tuple[Backend, ...]


@attrs.frozen
class Changes:
    """What is to be streamed to one who holds everything up to the number that it asked from."""

    number: int
    backends: tuple[Backend, ...]


class BackendRegistry:
    """All backends that are known, and tombstones of those that are departed."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}  # in the order of `changed`
        self._live = LiveAddresses()
        self._tombstones = Tombstones()
        self._freshness = Freshness()
        self._number = 0
        self._urgent_number = 0

    @property
    def urgent_number(self) -> int:
        """The number of the last change that shouldn't wait: of more than counters that run on."""
        return self._urgent_number

    @property
    def number(self) -> int:
        """Rises with each change that is to be streamed."""
        return self._number

    # What comes in

    def heartbeat(self, identity: str, report: object, now: float) -> Backend | HeartbeatRejected:
        """Takes a backend's own report; returns the backend as it is now known."""
        backend = read_report(identity, report)
        if isinstance(backend, HeartbeatRejected):
            return backend
        if self._is_full_for(backend):
            return HeartbeatRejected(RejectionCode.REGISTRY_FULL, "too many backends are known")
        if self._apply(backend, now):
            self._displace_others(backend, now)
        return self._entries[identity].backend

    def leave(self, identity: str, now: float) -> Backend | HeartbeatRejected:
        """Takes a backend's report that it ends; an unknown one is remembered as departed."""
        if not is_name(identity):
            return HeartbeatRejected(RejectionCode.IDENTITY, "the id is no short text")
        entry = self._entries.get(identity)
        known = entry.backend if entry else _unknown_backend(identity)
        self._apply(as_departed(known), now)
        return self._entries[identity].backend

    def merge(self, backend: Backend, now: float) -> bool:
        """Takes what another control node sent; True if it was newer than what was known."""
        if self._is_full_for(backend):
            return False
        return self._apply(backend, now)

    def expire(self, now: float, heartbeat_interval: float, in_contact_since: float) -> UnresponsiveBackends:
        """Presumes backends departed that are unresponsive for `DEPARTED_INTERVALS`; drops old tombstones.

        Nobody is presumed departed unless the node was in contact for longer than that.
        """
        for identity in self._tombstones.take_expired(now):
            self._forget(identity)
        live = self._live.identities()
        suspects = self._freshness.unresponsive(live, now, SUSPECT_INTERVALS * heartbeat_interval)
        departure_timeout = DEPARTED_INTERVALS * heartbeat_interval
        if not suspects or now - in_contact_since <= departure_timeout:
            return UnresponsiveBackends(suspects, ())
        departed = {}
        for identity in self._freshness.unresponsive(live, now, departure_timeout):
            self._apply(presumed_departed(self._entries[identity].backend), now)
            departed[identity] = self._entries[identity].backend
        remaining = tuple(identity for identity in suspects if identity not in departed)
        return UnresponsiveBackends(remaining, tuple(departed.values()))

    # What is known

    def get(self, identity: str) -> Backend | None:
        """What is known of one incarnation."""
        entry = self._entries.get(identity)
        return entry.backend if entry else None

    def ready(self, service: str) -> tuple[Backend, ...]:
        """The backends of a service that take requests."""
        return tuple(
            entry.backend
            for entry in self._entries.values()
            if entry.backend.state == BackendState.READY and entry.backend.service == service
        )

    def all(self) -> tuple[Backend, ...]:
        """Everything that is known, tombstones included."""
        return tuple(entry.backend for entry in self._entries.values())

    def changes_since(self, number: int) -> Changes:
        """The backends that changed after `number`, in the order of their changes."""
        changed = []
        for entry in reversed(self._entries.values()):
            if entry.changed <= number:
                break
            changed.append(entry.backend)
        changed.reverse()
        return Changes(self._number, tuple(changed))

    # How entries move

    def _is_full_for(self, backend: Backend) -> bool:
        """Whether the report would make one live backend too many; one that leaves always has room."""
        if self._live.count < MAX_LIVE:
            return False
        entry = self._entries.get(backend.identity)
        if entry is None:
            return True
        is_return = entry.backend.state == BackendState.DEPARTED != backend.state
        return is_return and supersedes(backend, entry.backend)

    def _apply(self, backend: Backend, now: float) -> bool:
        """Moves the incarnation's entry forward to a report; False where the report is not newer."""
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
        self._freshness.heard(backend.identity, now)
        self._publish(entry, now)
        self._urgent_number = self._number
        self._update_indexes(backend, now)

    def _advance(self, entry: _Entry, backend: Backend, now: float) -> None:
        if backend.state == BackendState.READY and entry.drained:
            backend = as_draining(backend)
        before = entry.backend
        entry.backend = backend
        entry.drained = entry.drained or backend.state == BackendState.DRAINING
        if backend.sequence > before.sequence:
            self._freshness.heard(backend.identity, now)
        if differs(backend, before):
            self._publish(entry, now)
            self._urgent_number = self._number
        elif now - entry.streamed_at >= COUNTERS_STREAM_INTERVAL_S:
            self._publish(entry, now)
        self._live.remove(before.address, before.identity)
        self._update_indexes(backend, now)

    def _publish(self, entry: _Entry, now: float) -> None:
        """Gives the entry the newest number and the last position."""
        self._number += 1
        entry.changed = self._number
        entry.streamed_at = now
        self._entries[entry.backend.identity] = self._entries.pop(entry.backend.identity)

    def _update_indexes(self, backend: Backend, now: float) -> None:
        """Adds an entry that moved to the live addresses or to the tombstones."""
        if backend.state == BackendState.DEPARTED:
            self._add_tombstone(backend.identity, now)
            return
        self._tombstones.remove(backend.identity)
        self._live.add(backend.address, backend.identity)

    def _displace_others(self, backend: Backend, now: float) -> None:
        """The backend has just reported, so earlier incarnations at its address have ended."""
        if backend.state != BackendState.DEPARTED:
            for identity in self._live.others(backend.address, backend.identity):
                self._apply(presumed_departed(self._entries[identity].backend), now)

    def _add_tombstone(self, identity: str, now: float) -> None:
        if self._tombstones.add(identity, now):
            self._freshness.forget(identity)
        for excess in self._tombstones.take_excess():
            self._forget(excess)

    def _forget(self, identity: str) -> None:
        """Drops what is known of a departed incarnation; its tombstone is gone already."""
        del self._entries[identity]
        self._freshness.forget(identity)


def _unknown_backend(identity: str) -> Backend:
    """A backend of which nothing but its identity is known."""
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
