"""A control node's list of backends, from their own heartbeats and from the other control nodes.

Invariant: the entry of an incarnation only ever moves forward in the order of `order.supersedes`; a report
that comes late or twice changes nothing.  Once an incarnation has reported here by itself, the others at its
address are gone; what other nodes tell displaces nobody, as it may be older than what is known here.
"""

from __future__ import annotations

import attrs

from kestrelbend.tier.discovery.freshness import DEPARTED_INTERVALS, SUSPECT_INTERVALS, Freshness
from kestrelbend.tier.discovery.messages import Backend, BackendState
from kestrelbend.tier.discovery.order import differs, as_departed, presumed_departed, supersedes
from kestrelbend.tier.discovery.report import HeartbeatRejected, is_name, read_report

TOMBSTONE_S = 600.0
MOST_TOMBSTONES = 10_000
MOST_LIVE = 20_000
FULL = "full"  # the rejection that says nothing about the report
COUNTERS_STREAM_INTERVAL_S = 2.0  # a change of nothing but counters is streamed at most this often


@attrs.define(eq=False)
class _Entry:
    backend: Backend
    changed: int  # the registry's number when it was last to be streamed
    streamed_at: float
    drained: bool
    departed_at: float = 0.0


@attrs.frozen
class UnresponsiveBackends:
    """Backends that fell silent: `suspects` are chosen last, `departed` were just presumed gone."""

    suspects: tuple[str, ...]
    departed: tuple[Backend, ...]


@attrs.frozen
class Changes:
    """What is to be streamed to one who holds everything up to the number that it asked from."""

    number: int
    backends: tuple[Backend, ...]


class LiveAddresses:
    """Which incarnations that are not gone are known at each address."""

    def __init__(self) -> None:
        self._at: dict[str, set[str]] = {}
        self.count = 0

    def add(self, address: str, identity: str) -> None:
        """Notes an incarnation; it may be noted already."""
        held = self._at.setdefault(address, set())
        self.count += identity not in held
        held.add(identity)

    def remove(self, address: str, identity: str) -> None:
        """Forgets an incarnation, if it is known at the address."""
        held = self._at.get(address)
        if held is None or identity not in held:
            return
        held.remove(identity)
        self.count -= 1
        if not held:
            del self._at[address]

    def others(self, address: str, identity: str) -> tuple[str, ...]:
        """The incarnations at an address beside one."""
        held = self._at.get(address)
        if held is None or held == {identity}:
            return ()
        return tuple(sorted(held - {identity}))

    def identities(self) -> tuple[str, ...]:
        """All incarnations."""
        return tuple(identity for held in self._at.values() for identity in held)


class BackendRegistry:
    """All backends that are known, and tombstones of those that are gone."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}  # in the order of `changed`
        self._live = LiveAddresses()
        self._tombstones: dict[str, None] = {}
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

    def heartbeat(self, identity: str, report: object, now: float) -> Backend | HeartbeatRejected:
        """Takes a backend's own report; returns the backend as it is now known."""
        backend = read_report(identity, report)
        if isinstance(backend, HeartbeatRejected):
            return backend
        if identity not in self._entries and self._live.count >= MOST_LIVE:
            return HeartbeatRejected(FULL, "too many backends are known")
        if self._offer(backend, now):
            self._displace_others(backend, now)
        return self._entries[identity].backend

    def leave(self, identity: str, now: float) -> Backend | HeartbeatRejected:
        """Takes a backend's word that it ends; an unknown one is remembered as gone."""
        if not is_name(identity):
            return HeartbeatRejected("identity", "the id is no short text")
        entry = self._entries.get(identity)
        known = entry.backend if entry else Backend(identity, "", "", "", "", 0, 0, 0, 0)
        self._offer(as_departed(known), now)
        return self._entries[identity].backend

    def merge(self, backend: Backend, now: float) -> bool:
        """Takes what another control node told; True if it was news."""
        if backend.identity not in self._entries and self._live.count >= MOST_LIVE:
            return False
        return self._offer(backend, now)

    def get(self, identity: str) -> Backend | None:
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

    def expired(self, now: float, heartbeat_interval: float, in_touch_since: float) -> UnresponsiveBackends:
        """Presumes long silent backends gone, if the node was in touch meanwhile; drops old tombstones."""
        self._drop_tombstones(now)
        live = self._live.identities()
        suspects = self._freshness.silent(live, now, SUSPECT_INTERVALS * heartbeat_interval)
        longest = DEPARTED_INTERVALS * heartbeat_interval
        if not suspects or now - in_touch_since <= longest:
            return UnresponsiveBackends(suspects, ())
        departed = []
        for identity in self._freshness.silent(live, now, longest):
            self._offer(presumed_departed(self._entries[identity].backend), now)
            departed.append(self._entries[identity].backend)
        departed_identities = {backend.identity for backend in departed}
        return UnresponsiveBackends(
            tuple(name for name in suspects if name not in departed_identities), tuple(departed)
        )

    def _offer(self, backend: Backend, now: float) -> bool:
        entry = self._entries.get(backend.identity)
        if entry is None:
            entry = _Entry(backend, 0, now, backend.state == BackendState.DRAINING)
            self._entries[backend.identity] = entry
            self._freshness.heard(backend.identity, now)
            self._publish(entry, now)
            self._urgent_number = self._number
            self._place(entry, None, now)
            return True
        if not supersedes(backend, entry.backend):
            return False
        self._advance(entry, backend, now)
        return True

    def _advance(self, entry: _Entry, backend: Backend, now: float) -> None:
        if backend.state == BackendState.READY and entry.drained:
            backend = attrs.evolve(backend, state=int(BackendState.DRAINING))
        before, entry.backend = entry.backend, backend
        entry.drained = entry.drained or backend.state == BackendState.DRAINING
        if backend.sequence > before.sequence:
            self._freshness.heard(backend.identity, now)
        if differs(backend, before):
            self._publish(entry, now)
            self._urgent_number = self._number
        elif now - entry.streamed_at >= COUNTERS_STREAM_INTERVAL_S:
            self._publish(entry, now)
        self._place(entry, before, now)

    def _publish(self, entry: _Entry, now: float) -> None:
        """Gives the entry the newest number and the last place."""
        self._number += 1
        entry.changed = self._number
        entry.streamed_at = now
        self._entries[entry.backend.identity] = self._entries.pop(entry.backend.identity)

    def _place(self, entry: _Entry, before: Backend | None, now: float) -> None:
        """Keeps the live addresses and the tombstones in step with an entry that moved."""
        backend = entry.backend
        if before is not None:
            self._live.remove(before.address, before.identity)
        if backend.state == BackendState.DEPARTED:
            self._bury(entry, now)
            return
        self._tombstones.pop(backend.identity, None)
        self._live.add(backend.address, backend.identity)

    def _displace_others(self, backend: Backend, now: float) -> None:
        """The backend has just reported, so earlier incarnations at its address have ended."""
        if backend.state != BackendState.DEPARTED:
            for identity in self._live.others(backend.address, backend.identity):
                self._offer(presumed_departed(self._entries[identity].backend), now)

    def _bury(self, entry: _Entry, now: float) -> None:
        identity = entry.backend.identity
        if identity not in self._tombstones:
            entry.departed_at = now
            self._tombstones[identity] = None
            self._freshness.forget(identity)
        while len(self._tombstones) > MOST_TOMBSTONES:
            self._forget(next(iter(self._tombstones)))

    def _drop_tombstones(self, now: float) -> None:
        while self._tombstones:
            oldest = next(iter(self._tombstones))
            if now - self._entries[oldest].departed_at < TOMBSTONE_S:
                return
            self._forget(oldest)

    def _forget(self, identity: str) -> None:
        del self._tombstones[identity]
        del self._entries[identity]
        self._freshness.forget(identity)
