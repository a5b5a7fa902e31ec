"""The memory that the responses of a process hold while their clients read them.

Once it is used up, the response that has been under way longest ends in favour of a new one, unless it has
only begun: its client reads slowly or not at all.

Invariant: the sum of what all responses hold is at most `capacity_bytes`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from .body_budget import UNLIMITED_BYTES

PROTECTED_S = 1.0  # a response that began later is not ended


@attrs.frozen(eq=False)
class _Held:
    size: int
    started_at: float
    timeout: asyncio.Timeout


class ResponseBudget:
    """The responses of one process."""

    def __init__(self, capacity_bytes: Callable[[], int] = lambda: UNLIMITED_BYTES) -> None:
        self._capacity_bytes = capacity_bytes
        self._held: dict[_Held, None] = {}  # oldest first
        self._held_bytes = 0

    async def send(self, size: int, sending: Callable[[], Awaitable[None]]) -> bool:
        """Runs `sending`, which holds `size` bytes; False, and nothing is sent, if there is no memory.

        `sending` is cancelled when its place goes to another response.
        """
        now = asyncio.get_running_loop().time()
        if not self._make_room(size, now):
            return False
        try:
            async with asyncio.timeout(None) as timeout:
                held = _Held(size, now, timeout)
                self._held[held] = None
                self._held_bytes += size
                try:
                    await sending()
                finally:
                    self._release(held)
        except TimeoutError:
            pass
        return True

    def _make_room(self, size: int, now: float) -> bool:
        while self._held_bytes + size > self._capacity_bytes():
            oldest = next(iter(self._held), None)
            if oldest is None or now - oldest.started_at < PROTECTED_S:
                return False
            oldest.timeout.reschedule(now)
            self._release(oldest)
        return True

    def _release(self, held: _Held) -> None:
        if held in self._held:
            del self._held[held]
            self._held_bytes -= held.size
