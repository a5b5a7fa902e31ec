"""Clients' connections: which of them wait for an answer, and which may be closed."""

from __future__ import annotations

import asyncio

from aiohttp import web

from .closing import HalfClosingTransport, readable
from .tally import counters

LONGEST_BODY = 1 << 16  # bytes, by the protocol
QUIET_S = 2.0  # a connection with no open request may end after that, by the protocol
SETTLE = 0.005  # seconds: some turns of the loop


class Connection(web.RequestHandler):
    """aiohttp's handler of one connection, with since when no request is open on it, whether one has begun to
    come, and whether it ends with its present answer."""

    __slots__ = ("since", "begun", "ending", "came", "held", "closing")

    def __init__(self, server, held=None, **more):
        super().__init__(server, **more)
        self.since, self.begun, self.ending = self._loop.time(), False, False
        self.came = None  # monotonic nanoseconds: when bytes came that were read before it was made
        self.held, self.closing = held, None

    def connection_made(self, transport):
        """What was read before goes first.  (Seen in the code: handed in only after the loop had begun to
        read, so that the second half of a request could come before its first.)"""
        self.closing = HalfClosingTransport(transport, self._loop, self._manager.sockets)
        super().connection_made(self.closing)
        held, self.held = self.held, None
        if held is not None and held.data:
            self.came = held.came
            self.data_received(held.data)

    def connection_lost(self, exc):
        self.closing.lost()
        super().connection_lost(exc)

    def asked(self):
        """Whether a request of it is taken or answered: its task does not wait for one.  (Seen in a test:
        between its being read and its handler's first turn it stood in no other place, and was closed.)"""
        return self in self._manager.busy or self._waiter is None or self._waiter.done()

    def gone(self):
        """Whether its client has closed it, as far as the loop has read."""
        return self._manager is None or self.closing.is_closing()

    def alone(self):
        """A client asks one thing at a time: what came or comes behind an open request is left alone."""
        self.ending = True
        self.close()

    def data_received(self, data):
        if self.closing.ending:  # read after the shutdown: its client asks again elsewhere
            counters["bytes_after_the_shutdown"] += len(data)
            return
        if data and self in self._manager.busy:
            self.alone()
        elif not self.begun:
            self.begun = True
            if self in self._manager.idle:  # it has its time anew: it may come in pieces
                self.since = self._loop.time()
        super().data_received(data)


class Server(web.Server):
    """aiohttp's low-level server, which knows its connections and which of them wait for an answer."""

    def __init__(self, handle, sockets):
        super().__init__(
            handle,
            request_factory=self.message,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=0,
        )
        self.sockets, self.open = sockets, set()
        # Those with an open request; those that asked before, longest idle first; those that never did.
        self.busy, self.idle, self.fresh = set(), {}, {}

    def __call__(self, held=None):
        return Connection(self, held, loop=self._loop, **self._kwargs)

    @staticmethod
    def message(message, payload, protocol, writer, task):
        return web.BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=LONGEST_BODY
        )

    def connection_made(self, handler, transport):
        super().connection_made(handler, transport)
        self.open.add(handler)
        self.fresh[handler] = None
        self.sockets.clients = len(self.open)
        counters["connections"] += 1

    @staticmethod
    def hang_up(handler):
        """It ends with its present answer, or now if no request is open on it nor lies unread: that one is
        read next, and the connection ends with its answer."""
        handler.ending = True
        if Server.rests(handler):
            handler.force_close()

    def connection_lost(self, handler, exc=None):
        super().connection_lost(handler, exc)
        self.open.discard(handler)
        self.fresh.pop(handler, None)
        self.idle.pop(handler, None)
        self.sockets.clients = len(self.open)

    def asks(self, handler):
        self.fresh.pop(handler, None)
        self.idle.pop(handler, None)
        self.busy.add(handler)
        if handler._messages:
            handler.alone()

    def answered(self, handler):
        self.busy.discard(handler)
        self.fresh.pop(handler, None)
        if handler in self.open:
            handler.since, handler.begun = handler._loop.time(), False
            self.idle[handler] = None

    def make_room(self):
        """End one connection with no open request: one that never asked, had it but a moment to do so, else
        the longest idle one; never one whose request lies unread in the machine.  False: there is none, nor
        one that ends or is read within a moment."""
        now = asyncio.get_running_loop().time()
        silent, longest = (next(filter(self.rests, some), None) for some in (self.fresh, self.idle))
        ends = next((h for h in self.open if h.closing.ending), None)
        if ends is not None and self.sockets.too_many() < 0:
            ends.closing.transport.close()  # there would be room but for it
            return True
        if silent is not None and (now - silent.since > 4 * SETTLE or longest is None):
            self.fresh.pop(silent)
            silent.closing.transport.close()  # no answer is on the way there: its descriptor goes at once
        elif longest is not None:
            self.idle.pop(longest)
            self.hang_up(longest)
        else:
            return ends is not None or any(not h.asked() for h in (*self.fresh, *self.idle))
        counters["connections_closed_for_room"] += 1
        return True

    @staticmethod
    def rests(handler):
        """Whether it may be closed now."""
        return not handler.asked() and not readable(handler.transport)

    def end_silent(self):
        """Those that never asked or stopped within a request hold a descriptor for nothing."""
        before = asyncio.get_running_loop().time() - QUIET_S
        late = [h for h in self.fresh if h.since < before]
        late += [h for h in self.idle if h.begun and h.since < before]
        for handler in late:
            # What lies unread, perhaps the rest of a request, is read first; a body may be half read.
            if (
                handler.transport is None
                or readable(handler.transport)
                or handler in self.busy
                or handler.asked()
                and handler._current_request is None
            ):
                continue
            counters["requests_too_slow" if handler.begun else "connections_silent"] += 1
            if handler.begun:
                handler.transport.write(
                    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
            handler.force_close()
