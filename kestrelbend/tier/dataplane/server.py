"""Serves ASGI applications by hypercorn, several addresses in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import anyio.lowlevel
import attrs
import hypercorn
from hypercorn.asyncio import serve

from . import ports

IDLE_FACTOR = 1.5  # of the operator's IdleTimeoutMs; clients may use a connection until that is over
DEFAULT_IDLE_MS = 40000.0  # before the first configuration
DEFAULT_HEADER_BYTES = 65536
GRACEFUL_TIMEOUT_S = 7.0
BACKLOG = 1024

CurrentLimits = Callable[[], ports.Limits | None]
Application = Callable[..., Awaitable[None]]  # an ASGI application: scope, receive, send


@attrs.frozen
class Listener:
    """An application at an address `ip:port`, served until `shutdown` returns.

    `closing` is called right before the idle connections are closed.
    """

    application: Application
    address: str
    shutdown: Callable[[], Awaitable[None]]
    closing: Callable[[], None] = lambda: None

    async def until_closing(self) -> None:
        """Waits for the shutdown and tells the application of it."""
        await self.shutdown()
        self.closing()


class ServerConfig(hypercorn.Config):
    """Hypercorn's settings for one address; the operator's limits act on the next request."""

    def __init__(self, address: str, limits: CurrentLimits = lambda: None) -> None:
        self._limits = limits
        self.bind = [address]
        self.keep_alive_max_requests = 1_000_000_000
        self.graceful_timeout = GRACEFUL_TIMEOUT_S
        self.backlog = BACKLOG
        self.include_server_header = False
        self.include_date_header = False
        self.max_app_queue_size = 0  # a full queue would lock an application that refuses a body early
        self.accesslog = None
        self.errorlog = None

    # Hypercorn never sets the two below; it reads the first when a connection gets idle, the second when one
    # is accepted.

    @property
    def keep_alive_timeout(self) -> float:  # type: ignore[override]
        """Seconds after which an idle connection is closed."""
        limits = self._limits()
        idle_ms = DEFAULT_IDLE_MS if limits is None else limits.idle_timeout_ms
        return idle_ms * IDLE_FACTOR / 1000

    @property
    def h11_max_incomplete_size(self) -> int:  # type: ignore[override]
        """The bytes of a request's head that are buffered until it is complete."""
        limits = self._limits()
        return DEFAULT_HEADER_BYTES if limits is None else limits.max_header_bytes


async def serve_all(listeners: Sequence[Listener], limits: CurrentLimits = lambda: None) -> None:
    """Serves all listeners; returns when all are shut down.  `limits` gives those in force.

    A listener that fails (an OSError where its address is taken) ends the others, and their errors are
    raised as one ExceptionGroup.
    """
    await anyio.lowlevel.checkpoint()  # loads what httpcore would load within its first request
    async with asyncio.TaskGroup() as group:
        for listener in listeners:
            config = ServerConfig(listener.address, limits)
            group.create_task(
                serve(listener.application, config, shutdown_trigger=listener.until_closing, mode="asgi")
            )
