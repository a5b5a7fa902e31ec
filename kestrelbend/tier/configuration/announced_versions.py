"""Versions that control nodes announced to a gateway, which takes bodies from another one.

Where the body has not come within `FETCH_DELAY_S`, the gateway asks an announcer for it, one at a time.
"""

from __future__ import annotations

import attrs

FETCH_DELAY_S = 0.1  # for the body to come by the stream
FETCH_INTERVAL_S = 0.3  # between two fetches


@attrs.define
class AnnouncedVersions:
    """What was announced by each control node, and when the next fetch is due."""

    _by_address: dict[str, int] = attrs.field(factory=dict)
    _due_at: float | None = None  # None: nothing newer than what is in force was announced
    _turn: int = 0

    def record(self, address: str, version: int, now: float) -> None:
        """A control node has a version newer than the one in force here."""
        self._by_address[address] = max(version, self._by_address.get(address, 0))
        if self._due_at is None:
            self._due_at = now + FETCH_DELAY_S

    def next_fetch_address(self, current: int, now: float) -> str | None:
        """The control node to ask now, if any, by the version that is in force here."""
        if self._due_at is None:
            return None
        newer = sorted(address for address, version in self._by_address.items() if version > current)
        if not newer:
            self._by_address.clear()
            self._due_at = None
            return None
        if now < self._due_at:
            return None
        self._due_at = now + FETCH_INTERVAL_S
        self._turn += 1
        return newer[self._turn % len(newer)]
