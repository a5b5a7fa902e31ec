"""Serves ASGI applications on several addresses in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import anyio.lowlevel
import attrs
import hypercorn
from hypercorn.asyncio.worker_context import WorkerContext

from ..bounded_reads import READ_BYTES, BoundedReads
from .connection import ClientConnection
from .connection_table import UNLIMITED, ConnectionLimits, ConnectionTable

IDLE_FACTOR = 1.5  # on the operator's IdleTimeoutMs, until which clients may reuse a connection
DEFAULT_IDLE_MS = 40000.0  # before the first configuration
DEFAULT_HEADER_BYTES = 65536
GRACEFUL_TIMEOUT_S = 7.0
BACKLOG = 1024
ACCEPTS_PER_TURN = 16  # of the event loop, so that a burst cannot exceed the limit on connections by more


class RequestLimits(Protocol):
    """The operator's limits that the server applies."""

    @property
    def max_header_bytes(self) -> int:
        """Total size of a request's header lines."""

    @property
    def idle_timeout_ms(self) -> float:
        """How long clients may reuse an idle connection."""


CurrentLimits = Callable[[], RequestLimits | None]
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
    connection_limits: ConnectionLimits = UNLIMITED

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
        self.include_server_header = False
        self.include_date_header = False
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
    turns = asyncio.Lock()
    async with asyncio.TaskGroup() as group:
        for listener in listeners:
            server = _ListenerServer(listener, ServerConfig(listener.address, limits), turns)
            group.create_task(server.serve())


class _StreamProtocol(asyncio.StreamReaderProtocol, BoundedReads):
    """A connection's streams, which hold little that is not read."""


class _ListenerServer:
    """Accepts the connections of one listener."""

    def __init__(self, listener: Listener, config: ServerConfig, turns: asyncio.Lock) -> None:
        self._listener = listener
        self._config = config
        self._turns = turns
        self._context = WorkerContext(None)
        self._table = ConnectionTable(listener.connection_limits)
        self._connections: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Accepts until the listener is shut down, then lets the connections end."""
        loop = asyncio.get_running_loop()
        (sock,) = self._config.create_sockets().insecure_sockets
        server = await loop.create_server(self._protocol, sock=sock, backlog=ACCEPTS_PER_TURN)
        sock.listen(BACKLOG)  # asyncio takes one number for the queue and for what it accepts at once
        try:
            await self._listener.until_closing()
        finally:
            await self._context.terminated.set()
            server.close()
            if self._connections:
                await asyncio.wait(self._connections, timeout=GRACEFUL_TIMEOUT_S)
            for task in self._connections:
                task.cancel()

    def _protocol(self) -> _StreamProtocol:
        reader = asyncio.StreamReader(limit=READ_BYTES // 2)
        return _StreamProtocol(reader, self._connected)

    def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ClientConnection(
            self._listener.application, self._config, self._context, reader, writer, self._table, self._turns
        )
        task = asyncio.ensure_future(connection.run())
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)
