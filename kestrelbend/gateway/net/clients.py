"""Clients: takes their requests in on aiohttp's low-level server and writes the answers.

Invariants: a request gets one answer, by `settle`; a connection is accepted only while a descriptor is left
for it, and closed by this side only as RFC 9112, section 9.6 allows (`connections`).
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any, Final, NoReturn, cast

from aiohttp import web
from multidict import CIMultiDict

from .accept_queue import HeldConnection, age
from .connections import LONGEST_BODY, SETTLE, Connection, Server
from .events import ClientLeft, RequestTaken
from .metrics import DescriptorLimits, check_invariant, counters
from .requests import Request

if TYPE_CHECKING:
    from ..external_authorization.authoriser import Verdict
    from .accept_queue import AcceptQueue

log = logging.getLogger(__name__)
HEALTH_PATH: Final = "/_health"
MEMBERS_PATH: Final = "/_members"
LOOPBACK_PREFIX: Final = "127."
INSPECTION_INTERVAL_S: Final = 0.2  # between looks for connections that end
LAST_ACCEPT_TIMEOUT_S: Final = 0.3  # to take in what waits to be accepted when it shuts
BACKLOG: Final = 1024
NANOSECONDS_OF_MICROSECOND: Final = 1000
MICROSECONDS_OF_SECOND: Final = 1_000_000
ACCEPT_RETRY_S: Final = 10 * SETTLE
RESERVED_PART: Final = 16  # of the descriptors, that are free before a connection is accepted
CLOSING_STATUSES: Final = (400, 408, 409, 413)  # after these the connection may hold what nobody reads


class Clients:
    """The clients' listener and all their open requests.

    `queue`: the owner's events. `clock`: now, in microseconds. `sockets`: how many descriptors may be held.
    `free_connections`: gives up the connections kept to backends. `longest`: seconds that an invocation may
    take. `ids`: open requests by their ids. `draining`: connections end with their next answer. `shut`: no
    connection is accepted any more but those that wait. `waiting`: done once a connection waits. `behind`:
    monotonic nanoseconds; what waits to be accepted came after; None: nothing waits. `view`: the members as
    this gateway knows them; None where there is no membership.
    """

    server: Server
    listener: socket.socket
    accepting: asyncio.Task[None]
    looking: asyncio.Task[NoReturn]

    def __init__(
        self,
        queue: asyncio.Queue[Any],
        clock: Callable[[], int],
        settings: Mapping[str, Any],
        sockets: DescriptorLimits,
        free_connections: Callable[[], object],
        longest: float,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.sockets = sockets
        self.free_connections = free_connections
        self.settings = settings
        self.ids: dict[str, Request] = {}
        self.operations = {operation.name for operation in settings["operations"]}
        self.plans = {plan.name for plan in settings["plans"]}
        self.longest = longest
        self.draining = False
        self.shut = False
        self.waiting: asyncio.Future[None] | None = None
        self.behind: int | None = None
        self.view: Callable[[], Any] | None = None

    async def start(self, listen: tuple[str, int], accept_queue: AcceptQueue | None = None) -> None:
        """Accept connections at `listen` from now on, and those that `accept_queue` holds first.

        Raises `OSError` where the address cannot be had. This gateway's former process may still hold it for
        as long as it drains: that is waited for.
        """
        self.server = Server(self.handle, self.sockets)
        if accept_queue is None:
            self.listener = await self._listen(listen)
        else:
            await self._take_over(accept_queue)
        self.listener.setblocking(False)
        self.accepting = asyncio.create_task(self._accept())
        self.looking = asyncio.create_task(self._inspect())

    async def _listen(self, listen: tuple[str, int]) -> socket.socket:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.longest
        while True:
            try:
                return socket.create_server(listen, backlog=BACKLOG)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or loop.time() > end:
                    raise
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def _take_over(self, accept_queue: AcceptQueue) -> None:
        self.listener, held = accept_queue.hand_over()
        self.behind = accept_queue.empty
        counters["refused_while_loading"] += accept_queue.refused
        for each in held:
            await self.adopt(each.socket, each)

    async def adopt(self, connection: socket.socket, held: HeldConnection | None = None) -> None:
        """Serve an accepted connection; it is closed where that cannot be.

        `held`: what the accept queue at the start has read of it so far, and since when.
        """
        if held is not None:
            counters["connections_taken_while_loading"] += 1
        try:
            await asyncio.get_running_loop().connect_accepted_socket(partial(self.server, held), connection)
        except OSError:
            connection.close()

    async def _inspect(self) -> NoReturn:
        """End connections that are silent, or too many, again and again."""
        while True:
            await asyncio.sleep(INSPECTION_INTERVAL_S)
            try:
                self.server.end_silent()
                for _ in range(self.sockets.excess_clients()):  # the limit was lowered meanwhile
                    self.server.make_room()
            except Exception:  # noqa: BLE001  a fault of the program: it must not be the last look
                self._fault("look")

    async def _accept(self) -> None:
        """Accept connections one at a time, so that no burst passes the limit on descriptors.

        Room is made before it is needed: a connection that waits here may be that of a usual client behind
        hundreds that say nothing. Where none can be made, the connections kept to backends are given up;
        others wait in the kernel's queue.
        """
        while True:
            try:
                connection, held = self._next_connection()
                if not self.sockets.has_room_for_client(
                    pending=self.sockets.max_descriptors // RESERVED_PART
                ):
                    await self._make_room()
                await self.adopt(connection, held)
            except BlockingIOError:
                self.behind = None
                if self.shut:
                    return
                await self._connection_waits()
            except OSError as error:
                counters["accept_failed"] += 1
                log.warning("accept failed", extra={"why": repr(error)})
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self.server.make_room()
                await asyncio.sleep(ACCEPT_RETRY_S)
            except Exception:  # noqa: BLE001  a fault of the program: it must not be the last one accepted
                self._fault("accept")
                await asyncio.sleep(ACCEPT_RETRY_S)

    @staticmethod
    def _fault(where: str) -> None:
        counters["faults"] += 1
        log.exception("fault", extra={"on": where})

    async def _make_room(self) -> None:
        """Until one more client may be accepted."""
        made = self.server.make_room()
        while not self.sockets.has_room_for_client():
            if not made:
                self.free_connections()
            await asyncio.sleep(SETTLE / 5 if made else 2 * SETTLE)
            made = self.sockets.has_room_for_client() or self.server.make_room()

    async def _connection_waits(self) -> None:
        """Until a connection waits or no more are taken.

        Accepting is left to the caller, who awaits nothing before it: a call cancelled as it ends would drop
        the connection it had taken.
        """
        loop = asyncio.get_running_loop()
        self.waiting = loop.create_future()
        loop.add_reader(self.listener, self._wake)
        try:
            await self.waiting
        finally:
            loop.remove_reader(self.listener)

    def _wake(self) -> None:
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    def _next_connection(self) -> tuple[socket.socket, HeldConnection | None]:
        """A connection, and what it has said if it waited: that came while the gateway was loading.

        (Seen: 0.4 s before it looked at it; it thought it had as much longer than its client, and one request
        in some 100,000 got no answer.) Raises `BlockingIOError` where none waits.
        """
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        if self.behind is None:
            return connection, None
        held = HeldConnection(connection)
        held.read(self.behind)  # one whose client left is noticed as any other
        return connection, held

    async def handle(self, message: web.BaseRequest) -> web.StreamResponse:
        """The answer to one HTTP request; aiohttp's server calls it and writes what it returns."""
        connection = cast(Connection, message.protocol)
        if message.method == "GET" and message.path == HEALTH_PATH:
            response = web.Response(status=503 if self.draining else 200)
            self.server.answered(connection)
        elif self.view is not None and self._asks_for_members(message):
            response = web.json_response(self.view())
            self.server.answered(connection)
        else:
            response = await self._invocation(message, connection)
        if self.draining or connection.ending or response.status in CLOSING_STATUSES:
            response.force_close()
        return response

    @staticmethod
    def _asks_for_members(message: web.BaseRequest) -> bool:
        """Whether it is `kestrelbend members`, by staff on this machine."""
        return (
            message.path == MEMBERS_PATH
            and message.method == "GET"
            and str(message.remote).startswith(LOOPBACK_PREFIX)
        )

    async def _invocation(self, message: web.BaseRequest, connection: Connection) -> web.Response:
        """The answer to a request for a backend, by the owner; 400 or 413 where it cannot be one.

        It is taken with its last byte; until then the connection counts as idle and may be closed: `_inspect`
        ends those that never get there.
        """
        try:
            request = await self._read(message, connection)
        except (ValueError, web.RequestPayloadError) as error:
            counters["malformed"] += 1
            return web.Response(status=400, text=f"{error}\n")
        except web.HTTPRequestEntityTooLarge as error:
            counters["malformed"] += 1
            return web.Response(status=error.status)
        counters["taken"] += 1
        request.connection = connection
        self.ids[request.id] = request
        self.server.asks(connection)
        self.queue.put_nowait(RequestTaken(request))
        try:
            answer: web.Response = await request.answer
            return answer
        except asyncio.CancelledError:
            counters["clients_left"] += 1
            self.queue.put_nowait(ClientLeft(request))
            raise
        finally:
            self.ids.pop(request.id, None)
            self.server.answered(connection)

    async def _read(self, message: web.BaseRequest, connection: Connection) -> Request:
        """Read a request to its end.

        Raises `ValueError` (as `MalformedRequest`) where it is not in the protocol's form, aiohttp's
        `RequestPayloadError` where its body is broken, `HTTPRequestEntityTooLarge` where it is too long. A
        client that waits to send its body is told to go on (RFC 9110, section 10.1.1).
        """
        if (message.content_length or 0) > LONGEST_BODY:
            raise web.HTTPRequestEntityTooLarge(LONGEST_BODY, message.content_length or 0)
        if message.headers.get("Expect", "").lower() == "100-continue":
            writer: Any = message.writer  # aiohttp's own; its interface has no size
            await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.output_size = 0  # the answer itself has not begun
        body = await message.read() if message.body_exists else b""
        came = self.clock() - self._waited(message, connection)
        request = Request(message.method, message.raw_path, message.headers, body, came, self.settings)
        if request.operation not in self.operations or request.plan not in self.plans:
            raise ValueError("no such operation or plan")
        if request.id in self.ids:
            raise ValueError("its id is that of an open request")
        return request

    @staticmethod
    def _waited(message: web.BaseRequest, connection: Connection) -> int:
        """Microseconds since the request came."""
        came = connection.came
        connection.came = None
        if came is None:
            return age(message.transport and message.transport.get_extra_info("socket"))
        return (time.monotonic_ns() - came) // NANOSECONDS_OF_MICROSECOND

    @staticmethod
    def settle(request: Request, outcome: str, **response: Any) -> None:
        """The one place where a request gets its answer; a client that left gets none.

        `outcome`: the name of its counter. `response`: what `web.Response` is made of.
        """
        if request.answer.cancelled():
            return
        if check_invariant(not request.answer.done(), "one_answer"):
            counters[outcome] += 1
            request.answer.set_result(web.Response(**response))

    def succeeded(self, request: Request, body: bytes, headers: Mapping[str, str]) -> None:
        """Answer a request by its backend's answer."""
        self.settle(request, "succeeded", body=body, headers=headers)

    def throttled(self, request: Request, retry_after: int) -> None:
        """Answer a request: rejected, to come back after so many microseconds (0: no advice).

        RFC 9110, section 10.2.3 knows whole seconds only; the clients' protocol knows parts of them.
        """
        headers = {"Retry-After": f"{retry_after / MICROSECONDS_OF_SECOND:.3f}"} if retry_after > 0 else None
        self.settle(request, "throttled", status=429, headers=headers)

    def denied(self, request: Request, verdict: Verdict) -> None:
        """Answer a request by an authoriser's denial, or by its silence where that means one."""
        headers = CIMultiDict(verdict.headers)
        if verdict.why and verdict.status == 503:
            headers["Retry-After"] = "1"
        self.settle(request, "denied", status=verdict.status, headers=headers, body=verdict.body)

    def errored(self, request: Request, status: int = 502) -> None:
        """Answer a request: errored, which promises nothing (RFC 9110, section 15.6.3)."""
        self.settle(request, "errored", status=status)

    async def drain(self, accept_for: float) -> None:
        """After SIGTERM: each connection ends with its next answer; new ones are served for `accept_for` s.

        What stands in the listener's queue by then is still taken: closing it would reset those. Then those
        that stand idle are closed, which clients must bear (RFC 9112, section 9.5), and what came is
        answered.
        """
        self.draining = True
        await asyncio.sleep(accept_for)
        self.shut = True
        self._wake()
        await asyncio.wait({self.accepting}, timeout=LAST_ACCEPT_TIMEOUT_S)
        self.accepting.cancel()
        await asyncio.wait({self.accepting})
        self.listener.close()
        await self._end_connections()
        for request in [request for request in self.ids.values() if not request.answer.done()]:
            self.errored(request)  # nobody is left without an answer, whatever holds it up
            self.queue.put_nowait(ClientLeft(request))
        await asyncio.sleep(4 * SETTLE)

    async def _end_connections(self) -> None:
        """Until all connections have ended, or the longest invocation's time is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.longest
        while self.server.open and loop.time() < end:
            for handler in list(self.server.open):
                self.server.hang_up(handler)
            await asyncio.sleep(4 * SETTLE)
