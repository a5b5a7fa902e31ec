"""Readiness of this gateway, and its graceful shutdown.

    starting ──set_ready(True)──> ready <──set_ready──> not ready
                                    └────────drain──────────┴──> draining ──> closed, then idle

Invariant: a draining gateway never becomes ready again; requests in flight finish.  While a gateway drains or
is no longer ready, each response closes its connection, so that the client reconnects to another gateway.
"""

from __future__ import annotations

import asyncio


class Lifecycle:
    """Readiness, draining, and the number of requests in flight."""

    def __init__(self) -> None:
        self.draining = False
        self.closed = False  # the listener is closing: idle connections may be closed at any time
        self.in_flight = 0
        self._can_serve = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._first_ready = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the platform should route new connections to this gateway."""
        return self._can_serve and not self.draining

    @property
    def closes_connections(self) -> bool:
        """Whether each response closes its connection, so that the platform routes the next one elsewhere."""
        return self.draining or (self._first_ready.is_set() and not self._can_serve)

    def set_ready(self, ready: bool) -> None:
        """Sets whether the gateway has everything it needs to serve requests."""
        self._can_serve = ready
        if ready:
            self._first_ready.set()

    @property
    def was_ready(self) -> bool:
        """Whether the gateway was ready to serve at some time since its start."""
        return self._first_ready.is_set()

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Waits until `was_ready` is True, at most `timeout_s`; check `was_ready` afterwards."""
        if self.was_ready:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._first_ready.wait()
        except TimeoutError:
            pass

    def drain(self) -> None:
        """Starts draining: the gateway reports not ready and responses close their connections."""
        self.draining = True

    def request_started(self) -> None:
        """Counts a request as in flight."""
        self.in_flight += 1
        self._idle.clear()

    def request_finished(self) -> None:
        """Stops counting a request as in flight."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        await self._idle.wait()
