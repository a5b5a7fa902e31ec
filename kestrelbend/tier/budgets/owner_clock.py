"""Elapsed time for the log entries of a shard's owner, measured with the owner's monotonic clock.

Invariant: the table's time may lag behind real time and never runs ahead of it.  It excludes the time between
two owners and the time carried by entries that were not committed.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class _LastEntry:
    """The last entry proposed here, and the clock time in seconds up to which its time was counted."""

    epoch: int
    counted_until: float


class OwnerClock:
    """Tracks, for each shard, the time since the owner's last entry."""

    def __init__(self) -> None:
        self._last_entries: dict[str, _LastEntry] = {}

    def elapsed_ms(self, shard: str, epoch: int, now: float) -> int:
        """Returns the milliseconds since this owner's last entry, 0 for the first entry of its epoch."""
        last = self._entry_of_epoch(shard, epoch)
        return 0 if last is None else max(0, int((now - last.counted_until) * 1000))

    def record_entry(self, shard: str, epoch: int, elapsed_ms: int, now: float) -> None:
        """Records that an entry was proposed with this elapsed time.

        The fraction of a millisecond that it left out is counted with the next entry.
        """
        last = self._entry_of_epoch(shard, epoch)
        counted_until = now if last is None else last.counted_until + elapsed_ms / 1000
        self._last_entries[shard] = _LastEntry(epoch, counted_until)

    def _entry_of_epoch(self, shard: str, epoch: int) -> _LastEntry | None:
        last = self._last_entries.get(shard)
        return last if last is not None and last.epoch == epoch else None
