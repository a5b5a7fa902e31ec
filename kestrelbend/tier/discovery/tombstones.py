"""Which departed backends are still remembered, so that a late report does not bring one back as a new one.

Invariant: at most `MAX_TOMBSTONES` are held once `take_excess` was called, the latest departures; a tombstone
keeps the time of the departure that set it.  Times are the caller's steady clock, in seconds.
"""

from __future__ import annotations

TOMBSTONE_S = 600.0  # for which a departed backend is remembered
MAX_TOMBSTONES = 10_000


class Tombstones:
    """Identities of departed backends, in the order of their departures."""

    def __init__(self) -> None:
        self._departed_at: dict[str, float] = {}

    def add(self, identity: str, now: float) -> bool:
        """Records a departure; False where one is recorded already, whose time stays."""
        if identity in self._departed_at:
            return False
        self._departed_at[identity] = now
        return True

    def remove(self, identity: str) -> None:
        """The backend has reported again, or is forgotten."""
        self._departed_at.pop(identity, None)

    def take_excess(self) -> list[str]:
        """Drops the oldest tombstones beyond `MAX_TOMBSTONES`, and returns them."""
        excess = []
        while len(self._departed_at) > MAX_TOMBSTONES:
            excess.append(self._take_oldest())
        return excess

    def take_expired(self, now: float) -> list[str]:
        """Drops the tombstones that are `TOMBSTONE_S` old, and returns them."""
        expired = []
        for identity, departed_at in self._departed_at.items():
            if now - departed_at < TOMBSTONE_S:
                break
            expired.append(identity)
        for identity in expired:
            del self._departed_at[identity]
        return expired

    def _take_oldest(self) -> str:
        oldest = next(iter(self._departed_at))
        del self._departed_at[oldest]
        return oldest
