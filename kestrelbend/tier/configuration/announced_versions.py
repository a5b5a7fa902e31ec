"""Configuration versions that control nodes announced to a gateway without their bodies.

The gateway normally receives the body from another control node.  If it has not arrived within
`FETCH_DELAY_S`, the gateway requests it from the control nodes that announced it, one at a time.
"""

from __future__ import annotations

import attrs

FETCH_DELAY_S = 0.1  # time for the body to arrive by the stream
FETCH_INTERVAL_S = 0.3  # between two fetch requests


@attrs.define
class AnnouncedVersions:
    """The newest version announced by each control node, and the time of the next fetch."""

    _by_address: dict[str, int] = attrs.field(factory=dict)
    _due_at: float | None = None  # None: no version newer than the current one was announced
    _fetch_count: int = 0

    def record(self, address: str, version: int, now: float) -> None:
        """Records that a control node announced a version newer than the gateway's current one."""
        self._by_address[address] = max(version, self._by_address.get(address, 0))
        if self._due_at is None:
            self._due_at = now + FETCH_DELAY_S

    def next_fetch_address(self, current: int, now: float) -> str | None:
        """Returns the control node to fetch from now, or None; `current` is the gateway's current version."""
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
        self._fetch_count += 1
        return newer[self._fetch_count % len(newer)]
