"""Clients: takes their requests in on aiohttp's low-level server and writes the answers."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import re
import socket
import time
from functools import partial

from aiohttp import web
from multidict import CIMultiDict

from .closing import HalfClosing, readable
from .accept_queue import Held, age
from .tally import counters, must

log = logging.getLogger(__name__)
READY, MEMBERS = "/_health", "/_members"
LONGEST_BODY = 1 << 16  # bytes, by the protocol
QUIET_S = 2.0  # a connection with no open request may end after that, by the protocol
LOOK_S = 0.2  # between looks for such connections
LAST_IN_S = 0.3  # to take in what waits to be accepted when it shuts
SETTLE = 0.005  # seconds: some turns of the loop
CUSTOMERS = 1 << 33  # their numbers stay below, by the protocol


class Request:
    """One request as it came, and the fields that decisions need; `answer` is settled once.  What is not in
    the protocol's form is not guessed at: under a customer's name it would spoil what is known of it."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "id",
        "operation",
        "plan",
        "customer",
        "wait",
        "units",
        "spread",
        "retry",
        "came",
        "answer",
        "inv",
        "connection",
    )
    front = None  # by another way than this listener

    def __init__(self, method, target, headers, body, came, settings):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path = target.partition("?")[0].split("/")
        if len(path) < 3 or path[0] or not re.fullmatch("[0-9A-Fa-f]{16}", path[-1]):
            raise ValueError("the path is not /operation/customer")
        self.operation, self.customer = path[1], path[-1]
        if int(self.customer, 16) >= CUSTOMERS or single(headers, "X-Priority-Class", path[1]) != path[1]:
            raise ValueError("no such customer or operation")
        self.id, self.plan = single(headers, "X-Request-ID", ""), single(headers, "Api-Plan", "")
        if not re.fullmatch("[!-~]{1,128}", self.id):
            raise ValueError("no request id")
        wait = single(headers, "X-Timeout")
        self.wait = None if wait is None else bounded(float, wait, 1e-6, 1e6)
        terms = dict(part.strip().partition("=")[::2] for part in single(headers, "Api-Terms", "").split(","))
        gateways = settings["gateways"]
        self.units = bounded(float, terms.get("units", 1), 1e-6, settings["most_units"] or 1e9)
        self.spread = bounded(int, terms.get("spread", gateways), 1, gateways)
        bounded(int, terms.get("first", 0), 0, gateways - 1)
        self.retry = single(headers, "X-Retried") == "1"
        self.came = came
        self.answer, self.inv = asyncio.get_running_loop().create_future(), None
        self.connection = None

    def left(self):
        """Whether its client has gone, as far as the loop has read."""
        return self.answer.cancelled() or self.connection is not None and self.connection.gone()

    def unread(self):
        """Whether something of its client, perhaps its end, waits to be read."""
        return self.connection is not None and readable(self.connection.transport)


def single(headers, name, otherwise=None):
    values = headers.getall(name, (otherwise,))
    if len(values) > 1:
        raise ValueError(f"more than one {name}")
    return values[0]


def bounded(kind, text, least, most):
    value = kind(text)
    if not (math.isfinite(value) and least <= value <= most):
        raise ValueError(f"out of range: {text!r}")
    return value


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
        self.closing = HalfClosing(transport, self._loop, self._manager.sockets)
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


class Clients:
    def __init__(self, queue, clock, settings, sockets, spare, longest):
        self.queue, self.clock, self.sockets, self.spare = queue, clock, sockets, spare
        self.settings, self.ids = settings, {}  # open requests by their ids
        self.operations = {op.name for op in settings["operations"]}
        self.plans = {plan.name for plan in settings["plans"]}
        self.longest, self.leaving = longest, False  # seconds that an invocation may take
        self.shut, self.waiting = False, None  # takes no new connection but those that wait; woken by one
        self.behind = None  # monotonic nanoseconds: what waits to be accepted came after; None: nothing
        self.server = self.listener = self.accepting = self.looking = self.view = None

    async def start(self, listen, accept_queue=None):
        """Its former life may still hold the address for as long as it drains."""
        self.server = Server(self.handle, self.sockets)
        end = asyncio.get_running_loop().time() + self.longest
        if accept_queue is not None:
            self.listener, held = accept_queue.hand_over()
            self.behind = accept_queue.empty
            counters["refused_while_loading"] += accept_queue.refused
            for each in held:
                await self.adopt(each.socket, each)
        while self.listener is None:
            try:
                self.listener = socket.create_server(listen, backlog=1024)
            except OSError as trouble:
                if trouble.errno != errno.EADDRINUSE or asyncio.get_running_loop().time() > end:
                    raise
                await asyncio.sleep(10 * SETTLE)
        self.listener.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())
        self.looking = asyncio.create_task(self.look())

    async def adopt(self, connection, held=None):
        """`held`: what the accept queue at the start has read of it so far, and since when."""
        if held is not None:
            counters["connections_taken_while_loading"] += 1
        try:
            await asyncio.get_running_loop().connect_accepted_socket(partial(self.server, held), connection)
        except OSError:
            connection.close()

    async def look(self):
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                self.server.end_silent()
                for _ in range(self.sockets.too_many()):  # the limit was lowered meanwhile
                    self.server.make_room()
            except Exception:
                self.fault("look")

    async def accept(self):
        """One at a time, so that no burst passes the limit on sockets.  Room is made before it is needed: a
        connection that waits here may be that of a usual client behind hundreds that say nothing.  Where none
        can be made, what is kept to backends goes (`spare`); others wait in the kernel's line."""
        while True:
            try:
                connection, held = self.next_connection()
                if not self.sockets.room_for_client(coming=self.sockets.most // 16):
                    await self.make_room()
                await self.adopt(connection, held)
            except BlockingIOError:
                self.behind = None
                if self.shut:
                    return
                await self.connection_waits()
            except OSError as trouble:
                counters["accept_failed"] += 1
                log.warning("accept failed", extra={"why": repr(trouble)})
                if trouble.errno in (errno.EMFILE, errno.ENFILE):
                    self.server.make_room()
                await asyncio.sleep(10 * SETTLE)
            except Exception:  # of the program: it must not be the last connection taken
                self.fault("accept")
                await asyncio.sleep(10 * SETTLE)

    @staticmethod
    def fault(where):
        counters["faults"] += 1
        log.exception("fault", extra={"on": where})

    async def make_room(self):
        made = self.server.make_room()
        while not self.sockets.room_for_client():
            if not made:
                self.spare()
            await asyncio.sleep(SETTLE / 5 if made else 2 * SETTLE)
            made = self.sockets.room_for_client() or self.server.make_room()

    async def connection_waits(self):
        """Until a connection waits or no more are taken.  Accepting is left to the caller, who awaits nothing
        before it: a call cancelled as it ends would drop the connection it had taken."""
        loop = asyncio.get_running_loop()
        self.waiting = loop.create_future()
        loop.add_reader(self.listener, self.wake)
        try:
            await self.waiting
        finally:
            loop.remove_reader(self.listener)

    def wake(self):
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    def next_connection(self):
        """A connection, and what it has said if it waited: that came while the gateway was loading.  (Seen:
        0.4 s before it looked at it; it thought it had as much longer than its client, and one request in
        some 100,000 got no answer.)  Raises BlockingIOError where none waits."""
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        if self.behind is None:
            return connection, None
        held = Held(connection)
        held.read(self.behind)  # one whose client left is noticed as any other
        return connection, held

    async def handle(self, message):
        if message.method == "GET" and message.path == READY:
            response = web.Response(status=503 if self.leaving else 200)
            self.server.answered(message.protocol)
        elif (
            self.view is not None
            and message.path == MEMBERS
            and message.method == "GET"
            and str(message.remote).startswith("127.")
        ):
            response = web.json_response(self.view())  # staff on this machine: `kestrelbend members`
            self.server.answered(message.protocol)
        else:
            response = await self.invocation(message)
        if self.leaving or message.protocol.ending or response.status in (400, 408, 409, 413):
            response.force_close()
        return response

    async def invocation(self, message):
        """Taken with its last byte; until then the connection counts as idle and may be closed: `look` ends
        those that never get there."""
        try:
            if (message.content_length or 0) > LONGEST_BODY:
                raise web.HTTPRequestEntityTooLarge(LONGEST_BODY, message.content_length)
            if message.headers.get("Expect", "").lower() == "100-continue":
                await message.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                message.writer.output_size = 0  # the answer itself has not begun
            body = await message.read() if message.body_exists else b""
            request = Request(
                message.method,
                message.raw_path,
                message.headers,
                body,
                self.clock() - self.waited(message),
                self.settings,
            )
            if request.operation not in self.operations or request.plan not in self.plans:
                raise ValueError("no such operation or plan")
            if request.id in self.ids:
                raise ValueError("its id is that of an open request")
        except (ValueError, web.RequestPayloadError) as trouble:
            counters["malformed"] += 1
            return web.Response(status=400, text=f"{trouble}\n")
        except web.HTTPRequestEntityTooLarge as trouble:
            counters["malformed"] += 1
            return web.Response(status=trouble.status)
        counters["taken"] += 1
        request.connection = message.protocol
        self.ids[request.id] = request
        self.server.asks(message.protocol)
        self.queue.put_nowait(("taken", request))
        try:
            return await request.answer
        except asyncio.CancelledError:
            counters["clients_left"] += 1
            self.queue.put_nowait(("left", request))
            raise
        finally:
            self.ids.pop(request.id, None)
            self.server.answered(message.protocol)

    @staticmethod
    def waited(message):
        """Microseconds since the request came."""
        came, message.protocol.came = message.protocol.came, None
        if came is None:
            return age(message.transport and message.transport.get_extra_info("socket"))
        return (time.monotonic_ns() - came) // 1000

    @staticmethod
    def settle(request, what, *answer, **more):
        """The one place where a request gets its answer; a client that left gets none."""
        if request.answer.cancelled():
            return
        if must(not request.answer.done(), "one_answer"):
            counters[what] += 1
            request.answer.set_result(web.Response(*answer, **more))

    def succeeded(self, request, body, headers):
        self.settle(request, "succeeded", body=body, headers=headers)

    def throttled(self, request, retry_after):
        headers = {"Retry-After": f"{retry_after / 1_000_000:.3f}"} if retry_after > 0 else None
        self.settle(request, "throttled", status=429, headers=headers)

    def denied(self, request, verdict):
        """An authoriser's denial, or its silence where that means one."""
        headers = CIMultiDict(verdict.headers)
        if verdict.why and verdict.status == 503:
            headers["Retry-After"] = "1"
        self.settle(request, "denied", status=verdict.status, headers=headers, body=verdict.body)

    def errored(self, request, status=502):
        self.settle(request, "errored", status=status)

    async def drain(self, linger):
        """After SIGTERM each connection ends with its next answer, and new ones are served for `linger` s.
        What stands in the listener's line by then is still taken: closing it would reset those.  Then those
        that stand idle are closed, which clients must bear, and what came is answered."""
        self.leaving = True
        await asyncio.sleep(linger)
        self.shut = True
        self.wake()
        await asyncio.wait({self.accepting}, timeout=LAST_IN_S)
        self.accepting.cancel()
        await asyncio.wait({self.accepting})
        self.listener.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + self.longest
        while self.server.open and loop.time() < end:
            for handler in list(self.server.open):
                self.server.hang_up(handler)
            await asyncio.sleep(4 * SETTLE)
        for request in [r for r in self.ids.values() if not r.answer.done()]:
            self.errored(request)  # nobody is left without an answer, whatever holds it up
            self.queue.put_nowait(("left", request))
        await asyncio.sleep(4 * SETTLE)
