"""Readiness of this gateway, and its graceful shutdown.

    starting ──set_ready(True)──> ready <──set_ready──> not ready
                                    └────────drain──────────┴──> draining ──> closed, then idle

Invariant: a gateway that drains is never ready again; what is in flight finishes.  While a gateway drains, or
is not ready any more, each answer closes its connection, so that its client takes another.
"""

from __future__ import annotations

import asyncio


class Lifecycle:
    """Readiness and draining; the exchanges in flight are counted by the application."""

    def __init__(self) -> None:
        self.draining = False
        self.closed = False  # the listener closes: idle connections may end at any moment
        self.in_flight = 0
        self._can_serve = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._first_ready = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the platform should send connections here."""
        return self._can_serve and not self.draining

    @property
    def closes_connections(self) -> bool:
        """Whether each answer closes its connection: the platform sends the next one to another gateway."""
        return self.draining or (self._first_ready.is_set() and not self._can_serve)

    def set_ready(self, ready: bool) -> None:
        """Whether the gateway has what it needs to serve."""
        self._can_serve = ready
        if ready:
            self._first_ready.set()

    @property
    def was_ready(self) -> bool:
        """The gateway has once had what it needs."""
        return self._first_ready.is_set()

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Until the gateway has once had what it needs, or for so many seconds; ask `was_ready` behind it."""
        if self.was_ready:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._first_ready.wait()
        except TimeoutError:
            pass

    def drain(self) -> None:
        """Takes no new connections from now on."""
        self.draining = True

    def request_started(self) -> None:
        """An exchange begins."""
        self.in_flight += 1
        self._idle.clear()

    def request_finished(self) -> None:
        """It is over."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Until no exchange is in flight."""
        await self._idle.wait()
