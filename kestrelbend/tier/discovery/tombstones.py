"""Departed backends that are remembered, so that a late report does not add one again as a new backend.

Invariant: after `remove_excess` at most `MAX_TOMBSTONES` are held, those of the latest departures.  A
tombstone keeps the time at which it was added.  Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

TOMBSTONE_S = 600.0  # how long a departed backend is remembered
MAX_TOMBSTONES = 10_000


class Tombstones:
    """Identities of departed backends, ordered by time of departure."""

    def __init__(self) -> None:
        self._departed_at: dict[str, float] = {}

    def add(self, identity: str, now: float) -> bool:
        """Records a departure; returns False and keeps the earlier time if one is recorded already."""
        if identity in self._departed_at:
            return False
        self._departed_at[identity] = now
        return True

    def remove(self, identity: str) -> None:
        """Removes the tombstone of a backend, if there is one."""
        self._departed_at.pop(identity, None)

    def remove_excess(self) -> list[str]:
        """Removes and returns the oldest tombstones in excess of `MAX_TOMBSTONES`."""
        excess = []
        while len(self._departed_at) > MAX_TOMBSTONES:
            excess.append(self._remove_oldest())
        return excess

    def remove_expired(self, now: float) -> list[str]:
        """Removes and returns the tombstones that are at least `TOMBSTONE_S` old."""
        expired = []
        for identity, departed_at in self._departed_at.items():
            if now - departed_at < TOMBSTONE_S:
                break
            expired.append(identity)
        for identity in expired:
            del self._departed_at[identity]
        return expired

    def _remove_oldest(self) -> str:
        oldest = next(iter(self._departed_at))
        del self._departed_at[oldest]
        return oldest
