"""Versions that control nodes announced to a gateway, which takes bodies from another one.

Where the body has not come within `PATIENCE_S`, the gateway asks an announcer for it, one at a time.
"""

from __future__ import annotations

import attrs

PATIENCE_S = 0.1  # for the body to come by the stream
RETRY_S = 0.3  # between two fetches


@attrs.define
class AnnouncedVersions:
    """What was announced by each control node, and when the next fetch is due."""

    _by_address: dict[str, int] = attrs.field(factory=dict)
    _due_at: float | None = None  # None: nothing newer than what is held was announced
    _turn: int = 0

    def announced(self, address: str, version: int, now: float) -> None:
        """A control node has a version that the gateway doesn't hold."""
        self._by_address[address] = max(version, self._by_address.get(address, 0))
        if self._due_at is None:
            self._due_at = now + PATIENCE_S

    def due(self, held: int, now: float) -> str | None:
        """The control node to ask now, if any, by the version that is held."""
        if self._due_at is None:
            return None
        newer = sorted(address for address, version in self._by_address.items() if version > held)
        if not newer:
            self._by_address.clear()
            self._due_at = None
            return None
        if now < self._due_at:
            return None
        self._due_at = now + RETRY_S
        self._turn += 1
        return newer[self._turn % len(newer)]
