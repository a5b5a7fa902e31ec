"""Clients' connections: which of them wait for an answer, and which may be closed.

Invariant: a connection is closed by this side only while no request of it is open, being taken or unread, so
that no client loses an answer by it (RFC 9112, section 9.6); but one that stops within a request is ended
with a 408.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

from aiohttp import web

from .accept_queue import HeldConnection
from .closing import HalfClosingTransport, readable
from .metrics import DescriptorLimits, counters

LONGEST_BODY: Final = 1 << 16  # bytes, by the protocol
QUIET_S: Final = 2.0  # a connection with no open request may end after that, by the protocol
SETTLE: Final = 0.005  # seconds: some turns of the loop
REQUEST_TIMEOUT: Final = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"  # RFC 9110, 15.5.9
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Connection(web.RequestHandler):
    """aiohttp's handler of one connection, with what decides whether it may be closed.

    `since`: loop time from which no request is open on it. `begun`: one has begun to come. `ending`: it ends
    with its present answer. `came`: monotonic nanoseconds when bytes came that were read before it was made,
    None for others. `held`: what the accept queue has read of it. `closing`: its transport, once it is made.
    """

    __slots__ = ("since", "begun", "ending", "came", "held", "closing")

    _manager: Server | None
    closing: HalfClosingTransport

    def __init__(self, server: Server, held: HeldConnection | None = None, **options: Any) -> None:
        super().__init__(server, **options)
        self.since = self._loop.time()
        self.begun = False
        self.ending = False
        self.came: int | None = None
        self.held = held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve it from now on; what was read before goes first.

        (Seen in the code: handed in only after the loop had begun to read, so that the second half of a
        request could come before its first.)
        """
        assert self._manager is not None  # until the connection is lost
        self.closing = HalfClosingTransport(
            cast(asyncio.Transport, transport), self._loop, self._manager.sockets
        )
        super().connection_made(cast(asyncio.Transport, self.closing))
        held = self.held
        self.held = None
        if held is not None and held.data:
            self.came = held.came
            self.data_received(held.data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """It has ended."""
        self.closing.lost()
        super().connection_lost(exc)

    def asked(self) -> bool:
        """Whether a request of it is taken or answered: its task does not wait for one.

        (Seen in a test: between its being read and its handler's first turn it stood in no other place, and
        was closed.)
        """
        assert self._manager is not None  # until the connection is lost
        return self in self._manager.busy or self._waiter is None or self._waiter.done()

    def gone(self) -> bool:
        """Whether its client has closed it, as far as the loop has read."""
        return self._manager is None or self.closing.is_closing()

    def alone(self) -> None:
        """A client asks one thing at a time: what came or comes behind an open request is left alone."""
        self.ending = True
        self.close()

    def data_received(self, data: bytes) -> None:
        """Take bytes in, unless this side has shut down: then they are counted and dropped."""
        if self.closing.ending:  # read after the shutdown: its client asks again elsewhere
            counters["bytes_after_the_shutdown"] += len(data)
            return
        assert self._manager is not None  # until the connection is lost
        if data and self in self._manager.busy:
            self.alone()
        elif not self.begun:
            self.begun = True
            if self in self._manager.idle:  # it has its time anew: it may come in pieces
                self.since = self._loop.time()
        super().data_received(data)


class Server(web.Server):
    """aiohttp's low-level server, which knows its connections and which of them wait for an answer.

    `open`: all of them. `busy`: those with an open request. `idle`: those that asked before, longest idle
    first. `fresh`: those that never did, oldest first. A connection is in one of the latter three at most.
    """

    def __init__(self, handle: Handler, sockets: DescriptorLimits) -> None:
        super().__init__(
            handle,
            request_factory=self.message,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=0,
        )
        self.sockets = sockets
        self.open: set[Connection] = set()
        self.busy: set[Connection] = set()
        self.idle: dict[Connection, None] = {}
        self.fresh: dict[Connection, None] = {}

    def __call__(self, held: HeldConnection | None = None) -> Connection:
        """The handler of a new connection; `held`: what the accept queue has read of it."""
        return Connection(self, held, loop=self._loop, **self._kwargs)

    @staticmethod
    def message(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        """A request as aiohttp's handler takes it; a body over `LONGEST_BODY` is refused."""
        return web.BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=LONGEST_BODY
        )

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Count a new connection; its handler says so."""
        super().connection_made(handler, transport)
        connection = cast(Connection, handler)
        self.open.add(connection)
        self.fresh[connection] = None
        self.sockets.client_connections = len(self.open)
        counters["connections"] += 1

    @staticmethod
    def hang_up(handler: Connection) -> None:
        """End it with its present answer, or now if no request is open on it nor lies unread.

        One that lies unread is read next, and the connection ends with its answer.
        """
        handler.ending = True
        if Server.rests(handler):
            handler.force_close()

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        """Forget a connection; its handler says so."""
        super().connection_lost(handler, exc)
        connection = cast(Connection, handler)
        self.open.discard(connection)
        self.fresh.pop(connection, None)
        self.idle.pop(connection, None)
        self.sockets.client_connections = len(self.open)

    def asks(self, handler: Connection) -> None:
        """A request of it is open from now on."""
        self.fresh.pop(handler, None)
        self.idle.pop(handler, None)
        self.busy.add(handler)
        if handler._messages:
            handler.alone()

    def answered(self, handler: Connection) -> None:
        """Its request has its answer."""
        self.busy.discard(handler)
        self.fresh.pop(handler, None)
        if handler in self.open:
            handler.since = handler._loop.time()
            handler.begun = False
            self.idle[handler] = None

    def make_room(self) -> bool:
        """End one connection with no open request; False: there is none, nor one that ends or is read soon.

        One that never asked, had it but a moment to do so, else the longest idle one; never one whose request
        lies unread in the machine.
        """
        now = asyncio.get_running_loop().time()
        silent = next(filter(self.rests, self.fresh), None)
        longest = next(filter(self.rests, self.idle), None)
        ends = next((handler for handler in self.open if handler.closing.ending), None)
        if ends is not None and self.sockets.excess_clients() < 0:
            ends.closing.transport.close()  # there would be room but for it
            return True
        if silent is not None and (now - silent.since > 4 * SETTLE or longest is None):
            self.fresh.pop(silent)
            silent.closing.transport.close()  # no answer is on the way there: its descriptor goes at once
        elif longest is not None:
            self.idle.pop(longest)
            self.hang_up(longest)
        else:
            return ends is not None or any(not handler.asked() for handler in (*self.fresh, *self.idle))
        counters["connections_closed_for_room"] += 1
        return True

    @staticmethod
    def rests(handler: Connection) -> bool:
        """Whether it may be closed now."""
        return not handler.asked() and not readable(handler.transport)

    def end_silent(self) -> None:
        """End those that never asked or stopped within a request: they hold a descriptor for nothing."""
        before = asyncio.get_running_loop().time() - QUIET_S
        late = [handler for handler in self.fresh if handler.since < before]
        late += [handler for handler in self.idle if handler.begun and handler.since < before]
        for handler in late:
            if not self._may_end(handler):
                continue
            counters["requests_too_slow" if handler.begun else "connections_silent"] += 1
            if handler.begun:
                assert handler.transport is not None  # by `_may_end`
                handler.transport.write(REQUEST_TIMEOUT)
            handler.force_close()

    def _may_end(self, handler: Connection) -> bool:
        """What lies unread, perhaps the rest of a request, is read first; a body may be half read."""
        if handler.transport is None or readable(handler.transport) or handler in self.busy:
            return False
        return not handler.asked() or handler._current_request is not None
