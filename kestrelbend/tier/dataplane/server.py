"""Serves ASGI applications with hypercorn, on several addresses in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import anyio.lowlevel
import attrs
import hypercorn
from hypercorn.asyncio import serve

from . import ports

IDLE_FACTOR = 1.5  # on the operator's IdleTimeoutMs, until which clients may reuse a connection
DEFAULT_IDLE_MS = 40000.0  # before the first configuration
DEFAULT_HEADER_BYTES = 65536
GRACEFUL_TIMEOUT_S = 7.0
BACKLOG = 1024

CurrentLimits = Callable[[], ports.Limits | None]
Application = Callable[..., Awaitable[None]]  # an ASGI application: scope, receive, send


@attrs.frozen
class Listener:
    """An application at an address `ip:port`, served until `shutdown` returns.

    `closing` is called right before idle connections are closed.
    """

    application: Application
    address: str
    shutdown: Callable[[], Awaitable[None]]
    closing: Callable[[], None] = lambda: None

    async def until_closing(self) -> None:
        """Waits for the shutdown and then calls `closing`."""
        await self.shutdown()
        self.closing()


class ServerConfig(hypercorn.Config):
    """Hypercorn's configuration for one address; changed operator limits apply from the next request on."""

    def __init__(self, address: str, limits: CurrentLimits = lambda: None) -> None:
        self._limits = limits
        self.bind = [address]
        self.keep_alive_max_requests = 1_000_000_000
        self.graceful_timeout = GRACEFUL_TIMEOUT_S
        self.backlog = BACKLOG
        self.include_server_header = False
        self.include_date_header = False
        self.max_app_queue_size = 0  # a full queue would deadlock an application that rejects a body early
        self.accesslog = None
        self.errorlog = None

    # Hypercorn never sets the two properties below.  It reads the first when a connection becomes idle, the
    # second when a connection is accepted.

    @property
    def keep_alive_timeout(self) -> float:  # type: ignore[override]
        """Seconds after which an idle connection is closed."""
        limits = self._limits()
        idle_ms = DEFAULT_IDLE_MS if limits is None else limits.idle_timeout_ms
        return idle_ms * IDLE_FACTOR / 1000

    @property
    def h11_max_incomplete_size(self) -> int:  # type: ignore[override]
        """Maximum number of bytes buffered for an incomplete request head."""
        limits = self._limits()
        return DEFAULT_HEADER_BYTES if limits is None else limits.max_header_bytes


async def serve_all(listeners: Sequence[Listener], limits: CurrentLimits = lambda: None) -> None:
    """Serves all listeners; returns when all are shut down.  `limits` returns the limits in force.

    A listener that fails (with an OSError if its address is in use) ends the others; the errors are raised as
    one ExceptionGroup.
    """
    await anyio.lowlevel.checkpoint()  # loads modules that httpcore would load during its first request
    async with asyncio.TaskGroup() as group:
        for listener in listeners:
            config = ServerConfig(listener.address, limits)
            group.create_task(
                serve(listener.application, config, shutdown_trigger=listener.until_closing, mode="asgi")
            )
