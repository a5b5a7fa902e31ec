"""Detects unresponsive backends, and tells them apart from a loss of the observer's own network.

Invariant: a backend counts as unresponsive only if at least half of the others reported within the same time.
An observer that is cut off therefore suspects no backend.
"""

from __future__ import annotations

from collections.abc import Iterable

SUSPECT_INTERVALS = 3.5  # heartbeat intervals without a report until a backend is suspect
DEPARTED_INTERVALS = 10.0  # heartbeat intervals without a report until it is presumed departed


class Freshness:
    """When each backend's sequence last rose, in seconds of the observer's monotonic clock."""

    def __init__(self) -> None:
        self._last_report_at: dict[str, float] = {}

    def record_report(self, identity: str, now: float) -> None:
        """Records a report that raised a backend's sequence."""
        self._last_report_at[identity] = now

    def forget(self, identity: str) -> None:
        """Drops a backend that is no longer observed."""
        self._last_report_at.pop(identity, None)

    def find_unresponsive(self, identities: Iterable[str], now: float, timeout: float) -> tuple[str, ...]:
        """Returns the backends without a report for `timeout` seconds, unless most others have none either.

        A backend that never reported counts as one that reported just now.
        """
        overdue = []
        count = 0
        for identity in identities:
            count += 1
            if now - self._last_report_at.get(identity, now) > timeout:
                overdue.append(identity)
        if not overdue:
            return ()
        responsive_count = count - len(overdue)
        others = count - 1
        return tuple(overdue) if responsive_count > 0 and 2 * responsive_count >= others else ()
