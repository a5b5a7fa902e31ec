"""Clients: takes their requests in on aiohttp's low-level server and writes the answers."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from functools import partial

from aiohttp import web
from multidict import CIMultiDict

from .accept_queue import HeldConnection, age
from .connections import LONGEST_BODY, SETTLE, Server
from .events import ClientLeft, RequestTaken
from .requests import Request
from .metrics import counters, must

log = logging.getLogger(__name__)
READY, MEMBERS = "/_health", "/_members"
LOOK_S = 0.2  # between looks for connections that end
LAST_IN_S = 0.3  # to take in what waits to be accepted when it shuts


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
        held = HeldConnection(connection)
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
        self.queue.put_nowait(RequestTaken(request))
        try:
            return await request.answer
        except asyncio.CancelledError:
            counters["clients_left"] += 1
            self.queue.put_nowait(ClientLeft(request))
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
            self.queue.put_nowait(ClientLeft(request))
        await asyncio.sleep(4 * SETTLE)
