"""Clients' connections: tracks which have an open request, and which may be closed.

Invariant: the gateway closes a connection only while no request on it is open, being read or unread, so that
no client loses a response (RFC 9112, section 9.6). A client that stops in the middle of a request gets a 408.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

from aiohttp import web

from .accept_queue import HeldConnection
from .closing import HalfClosingTransport, readable
from .metrics import DescriptorLimits, counters

MAX_BODY_BYTES: Final = 1 << 16  # bytes, by the protocol
IDLE_TIMEOUT_S: Final = 2.0  # by the protocol, a connection without an open request may then be closed
SETTLE_S: Final = 0.005  # a few turns of the loop
REQUEST_TIMEOUT: Final = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"  # RFC 9110, 15.5.9
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Connection(web.RequestHandler):
    """aiohttp's handler of one connection, with the state that decides whether it may be closed.

    `inactive_since`: loop time since which the connection has had no open request. `has_partial_request`:
    part of a request was received. `ends_with_response`: the connection is closed after its present response.
    `received_at`: when bytes that the accept queue read had arrived, in monotonic nanoseconds; None for other
    bytes. `held`: the connection as the accept queue held it. `client_transport`: set once it is connected.
    """

    __slots__ = (
        "inactive_since",
        "has_partial_request",
        "ends_with_response",
        "received_at",
        "held",
        "client_transport",
    )

    _manager: Server | None
    client_transport: HalfClosingTransport

    def __init__(self, server: Server, held: HeldConnection | None = None, **options: Any) -> None:
        super().__init__(server, **options)
        self.inactive_since = self._loop.time()
        self.has_partial_request = False
        self.ends_with_response = False
        self.received_at: int | None = None
        self.held = held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving the connection; bytes that the accept queue read are handled first.

        They must be handled before the loop starts to read, as otherwise the second half of a request could
        be handled before the first.
        """
        assert self._manager is not None  # until the connection is lost
        self.client_transport = HalfClosingTransport(
            cast(asyncio.Transport, transport), self._loop, self._manager.descriptor_limits
        )
        super().connection_made(cast(asyncio.Transport, self.client_transport))
        held = self.held
        self.held = None
        if held is not None and held.data:
            self.received_at = held.received_at
            self.data_received(held.data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Update the count of half-closed connections; overrides aiohttp's."""
        self.client_transport.connection_lost()
        super().connection_lost(exc)

    def has_open_request(self) -> bool:
        """Whether a request is open, or was read while its handler has not run yet.

        aiohttp's task then does not wait for a request. Without this check, a connection was closed between
        the reading of its request and the first turn of its handler.
        """
        assert self._manager is not None  # until the connection is lost
        return self in self._manager.busy or self._waiter is None or self._waiter.done()

    def is_disconnected(self) -> bool:
        """Whether the client has closed the connection, as far as the loop has read."""
        return self._manager is None or self.client_transport.is_closing()

    def close_after_response(self) -> None:
        """Close the connection after the open request: pipelined requests are not supported."""
        self.ends_with_response = True
        self.close()

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; on a half-closed connection they are counted and dropped."""
        if self.client_transport.half_closed:  # the client repeats the request on another connection
            counters["bytes_after_the_shutdown"] += len(data)
            return
        assert self._manager is not None  # until the connection is lost
        if data and self in self._manager.busy:
            self.close_after_response()
        elif not self.has_partial_request:
            self.has_partial_request = True
            if self in self._manager.idle:  # restart the timeout, as the request may arrive in pieces
                self.inactive_since = self._loop.time()
        super().data_received(data)


class Server(web.Server):
    """aiohttp's low-level server, which tracks its connections by their state.

    `all_connections`: all that are open. `busy`: those with an open request. `idle`: those without one that
    had requests before, longest idle first. `unused`: those without any request so far, oldest first. A
    connection is in at most one of the latter three.
    """

    def __init__(self, handle: Handler, descriptor_limits: DescriptorLimits) -> None:
        super().__init__(
            handle,
            request_factory=self.make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=0,
        )
        self.descriptor_limits = descriptor_limits
        self.all_connections: set[Connection] = set()
        self.busy: set[Connection] = set()
        self.idle: dict[Connection, None] = {}
        self.unused: dict[Connection, None] = {}

    def __call__(self, held: HeldConnection | None = None) -> Connection:
        """Create the handler of a new connection; `held`: the connection as the accept queue held it."""
        return Connection(self, held, loop=self._loop, **self._kwargs)

    @staticmethod
    def make_request(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        """Create a request for aiohttp's handler; a body over `MAX_BODY_BYTES` is rejected."""
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=MAX_BODY_BYTES,
        )

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Register a new connection; called by its handler."""
        super().connection_made(handler, transport)
        connection = cast(Connection, handler)
        self.all_connections.add(connection)
        self.unused[connection] = None
        self.descriptor_limits.client_connections = len(self.all_connections)
        counters["connections"] += 1

    @staticmethod
    def close_gracefully(handler: Connection) -> None:
        """Close a connection after its present response, or now if no request is open or unread.

        An unread request is still served, and the connection is closed after its response.
        """
        handler.ends_with_response = True
        if Server.is_closable(handler):
            handler.force_close()

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        """Unregister a connection; called by its handler."""
        super().connection_lost(handler, exc)
        connection = cast(Connection, handler)
        self.all_connections.discard(connection)
        self.unused.pop(connection, None)
        self.idle.pop(connection, None)
        self.descriptor_limits.client_connections = len(self.all_connections)

    def request_started(self, handler: Connection) -> None:
        """Mark a connection as busy."""
        self.unused.pop(handler, None)
        self.idle.pop(handler, None)
        self.busy.add(handler)
        if handler._messages:
            handler.close_after_response()

    def request_finished(self, handler: Connection) -> None:
        """Mark a connection as idle after its request was responded to."""
        self.busy.discard(handler)
        self.unused.pop(handler, None)
        if handler in self.all_connections:
            handler.inactive_since = handler._loop.time()
            handler.has_partial_request = False
            self.idle[handler] = None

    def make_room(self) -> bool:
        """Close one connection without an open request to free its descriptor.

        Prefers a connection that sent no request for at least a moment, else the one idle for longest. A
        connection with an unread request is never closed. Returns False if no descriptor will be freed soon:
        no connection was closed, none is half closed, and none has a request that waits to be read.
        """
        now = asyncio.get_running_loop().time()
        silent = next(filter(self.is_closable, self.unused), None)
        longest_idle = next(filter(self.is_closable, self.idle), None)
        half_closed_handler = next(
            (handler for handler in self.all_connections if handler.client_transport.half_closed), None
        )
        if half_closed_handler is not None and self.descriptor_limits.excess_clients() < 0:
            half_closed_handler.client_transport.transport.close()  # this makes room without closing others
            return True
        if silent is not None and (now - silent.inactive_since > 4 * SETTLE_S or longest_idle is None):
            self.unused.pop(silent)
            silent.client_transport.transport.close()  # no response is under way: no need to half-close it
        elif longest_idle is not None:
            self.idle.pop(longest_idle)
            self.close_gracefully(longest_idle)
        else:
            return half_closed_handler is not None or any(
                not handler.has_open_request() for handler in (*self.unused, *self.idle)
            )
        counters["connections_closed_for_room"] += 1
        return True

    @staticmethod
    def is_closable(handler: Connection) -> bool:
        """Whether a connection may be closed now."""
        return not handler.has_open_request() and not readable(handler.transport)

    def close_inactive(self) -> None:
        """Close connections that sent no request, or stopped within one, for `IDLE_TIMEOUT_S`."""
        before = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        late = [handler for handler in self.unused if handler.inactive_since < before]
        late += [
            handler
            for handler in self.idle
            if handler.has_partial_request and handler.inactive_since < before
        ]
        for handler in late:
            if not self._may_time_out(handler):
                continue
            counters["requests_too_slow" if handler.has_partial_request else "connections_silent"] += 1
            if handler.has_partial_request:
                assert handler.transport is not None  # checked by `_may_time_out`
                handler.transport.write(REQUEST_TIMEOUT)
            handler.force_close()

    def _may_time_out(self, handler: Connection) -> bool:
        """Whether nothing is unread and no request is open; a request without its whole body may time out."""
        if handler.transport is None or readable(handler.transport) or handler in self.busy:
            return False
        return not handler.has_open_request() or handler._current_request is not None
