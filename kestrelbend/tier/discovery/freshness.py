"""Telling a backend that fell silent from a listener that hears nobody.

Invariant: nobody counts as silent unless at least half of the others were heard within the same time; a
listener that is cut off therefore suspects nobody.
"""

from __future__ import annotations

from collections.abc import Iterable

SUSPECT_INTERVALS = 3.5
DEPARTED_INTERVALS = 10.0


class Freshness:
    """When each backend's sequence last rose, on the listener's steady clock (seconds)."""

    def __init__(self) -> None:
        self._heard: dict[str, float] = {}

    def heard(self, identity: str, now: float) -> None:
        self._heard[identity] = now

    def forget(self, identity: str) -> None:
        self._heard.pop(identity, None)

    def silent(self, identities: Iterable[str], now: float, longest: float) -> tuple[str, ...]:
        """Those of the identities that weren't heard for `longest` seconds, if most others were."""
        unresponsive = []
        count = 0
        for identity in identities:
            count += 1
            if now - self._heard.get(identity, now) > longest:
                unresponsive.append(identity)
        if not unresponsive:
            return ()
        fresh = count - len(unresponsive)
        others = count - 1
        return tuple(unresponsive) if fresh > 0 and 2 * fresh >= others else ()
