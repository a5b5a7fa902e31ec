"""Measures how long a gateway has received updates from control nodes without a long gap.

Invariant: a gateway presumes a backend departed only if it received updates throughout the time in which the
backend was unresponsive.  After the gateway's process was suspended or cut off, the measurement restarts.
"""

from __future__ import annotations

NEVER = float("-inf")


class UpdateContinuity:
    """Time since the last long gap, in seconds of the caller's monotonic clock."""

    def __init__(self) -> None:
        self._updated_at = NEVER
        self._checked_at = NEVER
        self._last_gap_at = NEVER

    def record_update(self, now: float) -> None:
        """Records that an update was received."""
        self._updated_at = now

    def unbroken_s(self, now: float, max_gap: float) -> float:
        """Returns the seconds since the last gap longer than `max_gap`.

        A gap is one between updates, or one between calls of this method: the process was suspended then.
        """
        if now - self._updated_at > max_gap or now - self._checked_at > max_gap:
            self._last_gap_at = now
        self._checked_at = now
        return now - self._last_gap_at
