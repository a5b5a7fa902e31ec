"""Serves ASGI applications by hypercorn, several addresses in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import attrs
import hypercorn
from hypercorn.asyncio import serve

IDLE_FACTOR = 1.5  # of the operator's IdleTimeoutMs; clients may use a connection until that is over
GRACE_S = 7.0
BACKLOG = 1024


@attrs.frozen
class Listener:
    """An application at an address `ip:port`, served until `shutdown` returns.

    `closing` is called right before the connections at rest are closed.
    """

    application: Callable
    address: str
    shutdown: Callable[[], Awaitable[None]]
    closing: Callable[[], None] = lambda: None

    async def until_closing(self) -> None:
        """Waits for the shutdown and tells the application of it."""
        await self.shutdown()
        self.closing()


def server_config(
    address: str, max_header_bytes: int = 65536, idle_timeout_ms: int = 15000, grace_s: float = GRACE_S
) -> hypercorn.Config:
    """Hypercorn's settings for one address."""
    config = hypercorn.Config()
    config.bind = [address]
    config.h11_max_incomplete_size = max_header_bytes
    config.keep_alive_timeout = idle_timeout_ms * IDLE_FACTOR / 1000
    config.keep_alive_max_requests = 1_000_000_000
    config.graceful_timeout = grace_s
    config.backlog = BACKLOG
    config.include_server_header = False
    config.include_date_header = False
    config.max_app_queue_size = 0  # a full queue would lock an application that refuses a body early
    config.accesslog = None
    config.errorlog = None
    return config


async def serve_all(
    listeners: Sequence[Listener], max_header_bytes: int = 65536, idle_timeout_ms: int = 15000
) -> None:
    """Serves all listeners; returns when all are shut down."""
    async with asyncio.TaskGroup() as group:
        for listener in listeners:
            config = server_config(listener.address, max_header_bytes, idle_timeout_ms)
            group.create_task(
                serve(listener.application, config, shutdown_trigger=listener.until_closing, mode="asgi")
            )
