"""For how long a gateway has had updates from control nodes without a long gap.

Invariant: a gateway presumes a backend departed only if updates came in throughout the time in which it heard
nothing of the backend.  A gateway that stood still, or was cut off, begins anew.
"""

from __future__ import annotations

NEVER = float("-inf")


class UpdateContinuity:
    """The span since the last long gap, on the caller's steady clock (seconds)."""

    def __init__(self) -> None:
        self._updated_at = NEVER
        self._called_at = NEVER
        self._broken_at = NEVER

    def updated(self, now: float) -> None:
        """An update came."""
        self._updated_at = now

    def unbroken(self, now: float, max_gap: float) -> float:
        """Seconds since the last gap longer than `max_gap`, be it of the updates or of the calls of this."""
        if now - self._updated_at > max_gap or now - self._called_at > max_gap:
            self._broken_at = now
        self._called_at = now
        return now - self._broken_at
