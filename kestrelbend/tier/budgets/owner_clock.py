"""The time that an owner's entries carry into the table, by the owner's steady clock.

Invariant: the table's time may fall behind the true one, and is never ahead of it.  What lies between two
owners is left out, and so is what an entry carried that was not committed.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class _LastEntry:
    """The last entry that was proposed here, and up to when its time was counted, in seconds."""

    epoch: int
    counted_until: float


class OwnerClock:
    """For each shard the time since the owner's last entry."""

    def __init__(self) -> None:
        self._last: dict[str, _LastEntry] = {}

    def elapsed_ms(self, shard: str, epoch: int, now: float) -> int:
        """Milliseconds since this owner's last entry; 0 for the first of its epoch."""
        last = self._last_of(shard, epoch)
        return 0 if last is None else max(0, int((now - last.counted_until) * 1000))

    def record_entry(self, shard: str, epoch: int, elapsed_ms: int, now: float) -> None:
        """An entry was proposed with this time; the rest of a millisecond goes to the next one."""
        last = self._last_of(shard, epoch)
        counted_until = now if last is None else last.counted_until + elapsed_ms / 1000
        self._last[shard] = _LastEntry(epoch, counted_until)

    def _last_of(self, shard: str, epoch: int) -> _LastEntry | None:
        last = self._last.get(shard)
        return last if last is not None and last.epoch == epoch else None
