"""What this gateway saw of each backend, and which backends it passes over for a while.

Invariant: at most half of a service's backends are passed over for what was seen of them; the others stay in
use however badly they did, since refusing while a backend has room is the dearest mistake.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend

FULL_S = 0.04  # a backend that turned a request away is passed over for this long
EJECT_S = 0.4  # after the first failure; doubles with each further one
EJECT_AT_MOST_S = 6.0
FAILURES_TO_EJECT = 3  # unclear failures in a row; a refused connection counts as all of them
FORGET_S = 10.0


@attrs.define
class _Seen:
    failures: int = 0  # in a row
    ejections: int = 0
    ejected_until: float = 0.0
    full_until: float = 0.0
    last: float = 0.0


class Health:
    """One record a backend.  Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def _of(self, identity: str, now: float) -> _Seen:
        seen = self._seen.get(identity)
        if seen is None or now - seen.last > FORGET_S:
            seen = self._seen[identity] = _Seen()
        seen.last = now
        return seen

    def answered(self, identity: str, now: float) -> None:
        seen = self._seen.get(identity)
        if seen is not None:
            seen.failures = seen.ejections = 0
            seen.ejected_until = 0.0

    def turned_away(self, identity: str, now: float) -> None:
        self._of(identity, now).full_until = now + FULL_S

    def failed(self, identity: str, now: float) -> None:
        seen = self._of(identity, now)
        seen.failures += 1
        if seen.failures >= FAILURES_TO_EJECT:
            self._eject(seen, now)

    def refused(self, identity: str, now: float) -> None:
        self._eject(self._of(identity, now), now)

    def _eject(self, seen: _Seen, now: float) -> None:
        length = min(EJECT_S * 2**seen.ejections, EJECT_AT_MOST_S)
        seen.ejected_until = now + length
        seen.ejections = min(seen.ejections + 1, 8)
        seen.failures = 0

    def full(self, identity: str, now: float) -> bool:
        seen = self._seen.get(identity)
        return seen is not None and now < seen.full_until

    def sound(self, backends: Sequence[Backend], now: float) -> list[Backend]:
        """`backends` without those that are ejected; at least half of them, soonest back first."""
        sound, ejected = [], []
        for backend in backends:
            seen = self._seen.get(backend.identity)
            if seen is not None and now < seen.ejected_until:
                ejected.append((seen.ejected_until, backend.identity, backend))
            else:
                sound.append(backend)
        lacking = (len(backends) + 1) // 2 - len(sound)
        if lacking > 0:
            sound += [backend for _, _, backend in sorted(ejected)[:lacking]]
        return sound

    def forget(self, live: set[str]) -> None:
        """Drops the records of backends that are not in `live`."""
        self._seen = {identity: seen for identity, seen in self._seen.items() if identity in live}
