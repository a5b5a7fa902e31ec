"""Telling a backend that became unresponsive from a listener that hears nobody.

Invariant: nobody counts as unresponsive unless at least half of the others were heard within the same time; a
listener that is cut off therefore suspects nobody.
"""

from __future__ import annotations

from collections.abc import Iterable

SUSPECT_INTERVALS = 3.5  # heartbeat intervals without a heartbeat, after which a backend is suspected
DEPARTED_INTERVALS = 10.0  # the same, after which it is presumed departed


class Freshness:
    """When each backend's sequence last rose, on the listener's steady clock (seconds)."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def heard(self, identity: str, now: float) -> None:
        """Records that a backend's sequence has risen."""
        self._heard_at[identity] = now

    def forget(self, identity: str) -> None:
        """Drops a backend that is no longer listened for."""
        self._heard_at.pop(identity, None)

    def unresponsive(self, identities: Iterable[str], now: float, timeout: float) -> tuple[str, ...]:
        """Those of the identities that weren't heard for `timeout` seconds, if most others were.

        One that was never heard counts as heard just now.
        """
        late = []
        count = 0
        for identity in identities:
            count += 1
            if now - self._heard_at.get(identity, now) > timeout:
                late.append(identity)
        if not late:
            return ()
        fresh = count - len(late)
        others = count - 1
        return tuple(late) if fresh > 0 and 2 * fresh >= others else ()
