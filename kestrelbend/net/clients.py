"""Clients: takes their requests in on aiohttp's low-level server and writes the answers."""
from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
import sys

from aiohttp import web

from .tally import counters, must

log = logging.getLogger(__name__)
READY = "/_health"
LONGEST_BODY = 1 << 16  # bytes, by the protocol
SETTLE = 0.005          # seconds: some turns of the loop


class Request:
    """One request as it came, and the fields that decisions need; `answer` is settled once."""
    __slots__ = ("method", "target", "headers", "body", "operation", "plan", "customer", "wait", "units",
                 "spread", "retry", "came", "answer", "inv")

    def __init__(self, method, target, headers, body, came):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path = target.partition("?")[0].split("/")
        if len(path) < 3 or path[0]:
            raise ValueError("the path is not /operation/customer")
        self.operation = headers.get("X-Priority-Class") or path[1]
        self.plan, self.customer = headers.get("Api-Plan", ""), path[-1]
        self.wait = bounded(float, headers["X-Timeout"], 1e6) if "X-Timeout" in headers else None
        terms = dict(part.strip().partition("=")[::2] for part in headers.get("Api-Terms", "").split(","))
        self.units = bounded(float, terms.get("units", 1), 1e9)
        self.spread = bounded(int, terms.get("spread", 0), 1e6)
        self.retry = headers.get("X-Retried") == "1"
        self.came = came
        self.answer, self.inv = asyncio.get_running_loop().create_future(), None


def bounded(kind, text, most):
    value = kind(text)
    if not (math.isfinite(value) and 0 <= value <= most):
        raise ValueError(f"out of range: {text!r}")
    return value


def age(transport):
    """Microseconds since the last byte came: the client's time runs from then, not from when a gateway short
    of CPU got round to reading it (tcpi_last_data_recv of Linux's TCP_INFO)."""
    try:
        info = transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
    except (AttributeError, OSError):
        return 0
    return 1000 * int.from_bytes(info[52:56], sys.byteorder)


class Door(web.Server):
    """aiohttp's low-level server, which knows its connections and which of them wait for an answer."""

    def __init__(self, handle, sockets):
        super().__init__(handle, request_factory=self.message, handler_cancellation=True, access_log=None,
                         auto_decompress=False)
        self.sockets, self.open, self.busy = sockets, {}, set()     # open: oldest first

    @staticmethod
    def message(message, payload, protocol, writer, task):
        return web.BaseRequest(message, payload, protocol, writer, task, asyncio.get_running_loop(),
                               client_max_size=LONGEST_BODY)

    def connection_made(self, handler, transport):
        super().connection_made(handler, transport)
        self.open[handler] = None
        self.sockets.clients = len(self.open)
        counters["connections"] += 1

    def hang_up(self, handler):
        """It ends with its present answer.  aiohttp leaves one that stands idle open: it is closed after a
        moment, in which what was read of it by now is seen as a request.  What comes in that moment stays
        unread, so that the client learns that it was not taken."""
        handler.close()
        if handler not in self.busy and handler.transport is not None:
            handler.transport.pause_reading()
        asyncio.get_running_loop().call_later(SETTLE, self.close_idle, handler)

    def close_idle(self, handler):
        if handler.transport is not None:
            if handler in self.busy:
                handler.transport.resume_reading()      # its client may leave
            else:
                handler.transport.close()

    def connection_lost(self, handler, exc=None):
        super().connection_lost(handler, exc)
        self.open.pop(handler, None)
        self.sockets.clients = len(self.open)


class Clients:
    def __init__(self, queue, clock, sockets, spare, longest):
        self.queue, self.clock, self.sockets, self.spare = queue, clock, sockets, spare
        self.longest, self.leaving = longest, False         # seconds that an invocation may take
        self.server = self.listener = self.accepting = None

    async def start(self, listen):
        """Its former life may still hold the address for as long as it drains."""
        self.server = Door(self.handle, self.sockets)
        end = asyncio.get_running_loop().time() + self.longest
        while self.listener is None:
            try:
                self.listener = socket.create_server(listen, backlog=1024)
            except OSError as trouble:
                if trouble.errno != errno.EADDRINUSE or asyncio.get_running_loop().time() > end:
                    raise
                await asyncio.sleep(10 * SETTLE)
        self.listener.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        """One at a time, so that no burst passes the limit on sockets: the oldest that stands idle makes room
        for a new one, or what is kept to backends (`spare`); others wait in the kernel's line."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = await loop.sock_accept(self.listener)
                while not self.sockets.room_for_client():
                    idle = next((h for h in self.server.open if h not in self.server.busy), None)
                    if idle is not None:
                        counters["connections_closed_as_oldest"] += 1
                        self.server.hang_up(idle)
                    else:
                        self.spare()
                    await asyncio.sleep(2 * SETTLE)
                await loop.connect_accepted_socket(self.server, connection)
            except OSError as trouble:
                counters["accept_failed"] += 1
                log.warning("accept failed", extra={"why": repr(trouble)})
                await asyncio.sleep(10 * SETTLE)

    async def handle(self, message):
        if message.method == "GET" and message.path == READY:
            response = web.Response(status=503 if self.leaving else 200)
        else:
            response = await self.invocation(message)
        if self.leaving:
            response.force_close()
        return response

    async def invocation(self, message):
        """Taken with its last byte; until then the connection counts as idle and may be closed."""
        try:
            if message.headers.get("Expect", "").lower() == "100-continue":
                await message.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                message.writer.output_size = 0          # the answer itself has not begun
            async with asyncio.timeout(self.longest if message.body_exists else None):
                body = await message.read() if message.body_exists else b""
            request = Request(message.method, message.raw_path, message.headers, body,
                              self.clock() - age(message.transport))
        except ValueError as trouble:
            counters["malformed"] += 1
            return web.Response(status=400, text=f"{trouble}\n")
        except TimeoutError:
            counters["bodies_too_slow"] += 1
            return web.Response(status=408)
        counters["taken"] += 1
        self.server.busy.add(message.protocol)
        self.queue.put_nowait(("taken", request))
        try:
            return await request.answer
        except asyncio.CancelledError:
            counters["clients_left"] += 1
            self.queue.put_nowait(("left", request))
            raise
        finally:
            self.server.busy.discard(message.protocol)

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

    def errored(self, request, status=502):
        self.settle(request, "errored", status=status)

    async def drain(self, linger):
        """After SIGTERM each connection ends with its next answer, and new ones are served for `linger` s.
        Then those that stand idle are closed, which clients must bear, and what came is answered."""
        self.leaving = True
        await asyncio.sleep(linger)
        self.accepting.cancel()
        self.listener.close()
        end = asyncio.get_running_loop().time() + self.longest
        while self.server.open and asyncio.get_running_loop().time() < end:
            for handler in self.server.open:
                self.server.hang_up(handler)
            await asyncio.sleep(4 * SETTLE)
