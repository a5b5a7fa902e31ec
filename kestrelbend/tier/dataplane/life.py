"""Whether this gateway takes new connections, and whether it is leaving.

Invariant: a gateway that drains is never ready again; what is in flight finishes.  While a gateway drains, or
is not ready any more, each answer tells its client to take another connection.
"""

from __future__ import annotations

import asyncio


class Life:
    """Readiness and draining; the exchanges in flight are counted by the application."""

    def __init__(self) -> None:
        self.draining = False
        self.closed = False  # the listener closes: connections at rest may end at any moment
        self.in_flight = 0
        self._equipped = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._ready = asyncio.Event()

    @property
    def ready(self) -> bool:
        return self._equipped and not self.draining

    @property
    def sheds_connections(self) -> bool:
        """Whether each answer closes its connection: the platform sends the next one to another gateway."""
        return self.draining or (self._ready.is_set() and not self._equipped)

    def set_ready(self, ready: bool) -> None:
        """Whether the gateway has what it needs to serve."""
        self._equipped = ready
        if ready:
            self._ready.set()

    @property
    def was_ready(self) -> bool:
        """The gateway has once had what it needs."""
        return self._ready.is_set()

    async def equipped(self, within: float) -> None:
        """Until the gateway has once had what it needs, or for so many seconds."""
        if self.was_ready:
            return
        try:
            async with asyncio.timeout(within):
                await self._ready.wait()
        except TimeoutError:
            pass

    def drain(self) -> None:
        """Takes no new connections from now on."""
        self.draining = True

    def enter(self) -> None:
        self.in_flight += 1
        self._idle.clear()

    def leave(self) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Until no exchange is in flight."""
        await self._idle.wait()
