"""Receives clients' requests on aiohttp's low-level server and writes the responses.

Invariants: each request gets exactly one response, by `respond`. A connection is accepted only while a
descriptor is available for it, and the gateway closes it only as RFC 9112, section 9.6 allows
(`connections`).
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

from .accept_queue import HeldConnection, microseconds_since_last_data
from .connections import MAX_BODY_BYTES, SETTLE_S, Connection, Server
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
INSPECTION_INTERVAL_S: Final = 0.2  # between checks for connections to close
LAST_ACCEPT_TIMEOUT_S: Final = 0.3  # to accept the waiting connections before the listener is closed
BACKLOG: Final = 1024
NANOSECONDS_PER_MICROSECOND: Final = 1000
MICROSECONDS_PER_SECOND: Final = 1_000_000
ACCEPT_RETRY_S: Final = 10 * SETTLE_S
RESERVED_DIVISOR: Final = 16  # a sixteenth of the descriptors is kept free when connections are accepted
CLOSING_STATUSES: Final = (400, 408, 409, 413)  # after these, unread data may be left on the connection


class Clients:
    """The clients' listener and all open requests.

    `queue`: the owner's events. `clock`: returns the current time in microseconds. `descriptor_limits`: the
    limits on open file descriptors. `free_connections`: closes the idle connections to backends.
    `max_duration_s`: maximum duration of an invocation. `open_requests`: by request id. `draining`:
    connections are closed after their next response. `accepts_only_waiting`: only connections that already
    wait are accepted. `connection_ready`: a future, done once a connection waits. `backlog_since`: when the
    listen queue was last empty during the startup, in monotonic nanoseconds; None once the connections that
    arrived since then are accepted. `member_view`: returns the members as this gateway knows them; None
    without a membership.
    """

    server: Server
    listener: socket.socket
    accepting: asyncio.Task[None]
    inspecting: asyncio.Task[NoReturn]

    def __init__(
        self,
        queue: asyncio.Queue[Any],
        clock: Callable[[], int],
        settings: Mapping[str, Any],
        descriptor_limits: DescriptorLimits,
        free_connections: Callable[[], object],
        max_duration_s: float,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.descriptor_limits = descriptor_limits
        self.free_connections = free_connections
        self.settings = settings
        self.open_requests: dict[str, Request] = {}
        self.operations = {operation.name for operation in settings["operations"]}
        self.plans = {plan.name for plan in settings["plans"]}
        self.max_duration_s = max_duration_s
        self.draining = False
        self.accepts_only_waiting = False
        self.connection_ready: asyncio.Future[None] | None = None
        self.backlog_since: int | None = None
        self.member_view: Callable[[], Any] | None = None

    async def start(self, listen: tuple[str, int], accept_queue: AcceptQueue | None = None) -> None:
        """Accept connections at `listen`, starting with those that `accept_queue` holds.

        Waits while the address is in use, as this gateway's previous process may still be draining. Raises
        `OSError` if the address is not available after that.
        """
        self.server = Server(self.handle, self.descriptor_limits)
        if accept_queue is None:
            self.listener = await self._listen(listen)
        else:
            await self._take_over(accept_queue)
        self.listener.setblocking(False)
        self.accepting = asyncio.create_task(self._accept())
        self.inspecting = asyncio.create_task(self._inspect())

    async def _listen(self, listen: tuple[str, int]) -> socket.socket:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.max_duration_s
        while True:
            try:
                return socket.create_server(listen, backlog=BACKLOG)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or loop.time() > end:
                    raise
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def _take_over(self, accept_queue: AcceptQueue) -> None:
        self.listener, held = accept_queue.hand_over()
        self.backlog_since = accept_queue.last_empty_at
        counters["refused_while_loading"] += accept_queue.rejected_count
        for each in held:
            await self.serve_connection(each.socket, each)

    async def serve_connection(self, connection: socket.socket, held: HeldConnection | None = None) -> None:
        """Serve an accepted connection, or close it if that fails.

        `held`: the connection as the accept queue held it, with the bytes read so far and their time.
        """
        if held is not None:
            counters["connections_taken_while_loading"] += 1
        try:
            await asyncio.get_running_loop().connect_accepted_socket(partial(self.server, held), connection)
        except OSError:
            connection.close()

    async def _inspect(self) -> NoReturn:
        """Periodically close connections that are inactive or beyond the limit."""
        while True:
            await asyncio.sleep(INSPECTION_INTERVAL_S)
            try:
                self.server.close_inactive()
                for _ in range(self.descriptor_limits.excess_clients()):  # a reload may lower the limit
                    self.server.make_room()
            except Exception:  # noqa: BLE001  a bug must not end the checks
                self._log_fault("look")

    async def _accept(self) -> None:
        """Accept connections one at a time, so that a burst cannot exceed the limit on descriptors.

        Descriptors are freed before the limit is reached: otherwise a client with a request could wait behind
        hundreds of connections that send nothing. If no client connection can be closed, the idle
        connections to backends are closed. Further connections wait in the kernel's listen queue.
        """
        while True:
            try:
                connection, held = self._accept_connection()
                if not self.descriptor_limits.has_room_for_client(
                    pending=self.descriptor_limits.max_descriptors // RESERVED_DIVISOR
                ):
                    await self._make_room()
                await self.serve_connection(connection, held)
            except BlockingIOError:
                self.backlog_since = None
                if self.accepts_only_waiting:
                    return
                await self._wait_for_connection()
            except OSError as error:
                counters["accept_failed"] += 1
                log.warning("accept failed", extra={"why": repr(error)})
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self.server.make_room()
                await asyncio.sleep(ACCEPT_RETRY_S)
            except Exception:  # noqa: BLE001  a bug must not stop the accepting
                self._log_fault("accept")
                await asyncio.sleep(ACCEPT_RETRY_S)

    @staticmethod
    def _log_fault(where: str) -> None:
        counters["faults"] += 1
        log.exception("fault", extra={"on": where})

    async def _make_room(self) -> None:
        """Free descriptors until one more client may be accepted."""
        made_room = self.server.make_room()
        while not self.descriptor_limits.has_room_for_client():
            if not made_room:
                self.free_connections()
            await asyncio.sleep(SETTLE_S / 5 if made_room else 2 * SETTLE_S)
            made_room = self.descriptor_limits.has_room_for_client() or self.server.make_room()

    async def _wait_for_connection(self) -> None:
        """Wait until a connection can be accepted or the listener is to be closed.

        The caller accepts the connection without awaiting anything before: an awaited accept that is
        cancelled as it completes would lose its connection.
        """
        loop = asyncio.get_running_loop()
        self.connection_ready = loop.create_future()
        loop.add_reader(self.listener, self._wake)
        try:
            await self.connection_ready
        finally:
            loop.remove_reader(self.listener)

    def _wake(self) -> None:
        if self.connection_ready is not None and not self.connection_ready.done():
            self.connection_ready.set_result(None)

    def _accept_connection(self) -> tuple[socket.socket, HeldConnection | None]:
        """Accept a connection; return it and, if it has waited since the startup, the bytes it sent.

        Those bytes may have arrived up to 0.4 s before they are read. A gateway that did not count this time
        responded after the client's timeout to about one request in 100,000. Raises `BlockingIOError` if no
        connection waits.
        """
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        if self.backlog_since is None:
            return connection, None
        held = HeldConnection(connection)
        held.read(self.backlog_since)  # a disconnected client is detected later, as on any connection
        return connection, held

    async def handle(self, message: web.BaseRequest) -> web.StreamResponse:
        """Return the response to an HTTP request; aiohttp's server calls this and writes the response."""
        connection = cast(Connection, message.protocol)
        if message.method == "GET" and message.path == HEALTH_PATH:
            response = web.Response(status=503 if self.draining else 200)
            self.server.request_finished(connection)
        elif self.member_view is not None and self._is_members_request(message):
            response = web.json_response(self.member_view())
            self.server.request_finished(connection)
        else:
            response = await self._handle_invocation(message, connection)
        if self.draining or connection.ends_with_response or response.status in CLOSING_STATUSES:
            response.force_close()
        return response

    @staticmethod
    def _is_members_request(message: web.BaseRequest) -> bool:
        """Whether a request comes from the command `kestrelbend members` on this machine."""
        return (
            message.path == MEMBERS_PATH
            and message.method == "GET"
            and str(message.remote).startswith(LOOPBACK_PREFIX)
        )

    async def _handle_invocation(self, message: web.BaseRequest, connection: Connection) -> web.Response:
        """Return the owner's response to a request for a backend; 400 or 413 if it is malformed.

        The connection is busy only once the request is complete. Until then it counts as idle, and `_inspect`
        closes it if the request is not completed in time.
        """
        try:
            request = await self._read_request(message, connection)
        except (ValueError, web.RequestPayloadError) as error:
            counters["malformed"] += 1
            return web.Response(status=400, text=f"{error}\n")
        except web.HTTPRequestEntityTooLarge as error:
            counters["malformed"] += 1
            return web.Response(status=error.status)
        counters["taken"] += 1
        request.connection = connection
        self.open_requests[request.id] = request
        self.server.request_started(connection)
        self.queue.put_nowait(RequestTaken(request))
        try:
            web_response: web.Response = await request.response_future
            return web_response
        except asyncio.CancelledError:
            counters["clients_left"] += 1
            self.queue.put_nowait(ClientLeft(request))
            raise
        finally:
            self.open_requests.pop(request.id, None)
            self.server.request_finished(connection)

    async def _read_request(self, message: web.BaseRequest, connection: Connection) -> Request:
        """Read a complete request.

        Raises `ValueError` (such as `MalformedRequest`) if it violates the protocol, aiohttp's
        `RequestPayloadError` if its body is malformed, `HTTPRequestEntityTooLarge` if its body is too long. A
        client that expects a 100 before it sends its body gets one (RFC 9110, section 10.1.1).
        """
        if (message.content_length or 0) > MAX_BODY_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, message.content_length or 0)
        if message.headers.get("Expect", "").lower() == "100-continue":
            writer: Any = message.writer  # its declared type lacks `output_size`
            await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.output_size = 0  # the final response has not started
        body = await message.read() if message.body_exists else b""
        arrived_at = self.clock() - self._microseconds_since_received(message, connection)
        request = Request(message.method, message.raw_path, message.headers, body, arrived_at, self.settings)
        if request.operation not in self.operations or request.plan not in self.plans:
            raise ValueError("no such operation or plan")
        if request.id in self.open_requests:
            raise ValueError("its id is that of an open request")
        return request

    @staticmethod
    def _microseconds_since_received(message: web.BaseRequest, connection: Connection) -> int:
        """Return the microseconds since a request was received."""
        arrived_at = connection.received_at
        connection.received_at = None
        if arrived_at is None:
            return microseconds_since_last_data(
                message.transport and message.transport.get_extra_info("socket")
            )
        return (time.monotonic_ns() - arrived_at) // NANOSECONDS_PER_MICROSECOND

    @staticmethod
    def respond(request: Request, outcome: str, **response: Any) -> None:
        """Respond to a request, unless its client has disconnected; all responses go through this function.

        `outcome`: the name of the counter. `response`: the arguments of `web.Response`.
        """
        if request.response_future.cancelled():
            return
        if check_invariant(not request.response_future.done(), "one_answer"):
            counters[outcome] += 1
            request.response_future.set_result(web.Response(**response))

    def respond_success(self, request: Request, body: bytes, headers: Mapping[str, str]) -> None:
        """Respond with the backend's response."""
        self.respond(request, "succeeded", body=body, headers=headers)

    def respond_throttled(self, request: Request, retry_after: int) -> None:
        """Respond with a rejection; `retry_after`: microseconds until a retry is advised, 0 for no advice.

        Retry-After has fractions of a second by the clients' protocol; RFC 9110, section 10.2.3 allows only
        whole seconds.
        """
        headers = {"Retry-After": f"{retry_after / MICROSECONDS_PER_SECOND:.3f}"} if retry_after > 0 else None
        self.respond(request, "throttled", status=429, headers=headers)

    def respond_denied(self, request: Request, verdict: Verdict) -> None:
        """Respond with an authoriser's denial, or with one for an authoriser that did not respond."""
        headers = CIMultiDict(verdict.headers)
        if verdict.why and verdict.status == 503:
            headers["Retry-After"] = "1"
        self.respond(request, "denied", status=verdict.status, headers=headers, body=verdict.body)

    def respond_error(self, request: Request, status: int = 502) -> None:
        """Respond with an error; the request may have been executed or not (RFC 9110, section 15.6.3)."""
        self.respond(request, "errored", status=status)

    async def drain(self, accept_for: float) -> None:
        """Drain after SIGTERM: connections are closed after their next response.

        New connections are accepted for `accept_for` seconds, and then those still in the kernel's listen
        queue, as closing the listener would reset them. Idle connections are then closed, which clients must
        handle (RFC 9112, section 9.5), and the received requests are responded to.
        """
        self.draining = True
        await asyncio.sleep(accept_for)
        self.accepts_only_waiting = True
        self._wake()
        await asyncio.wait({self.accepting}, timeout=LAST_ACCEPT_TIMEOUT_S)
        self.accepting.cancel()
        await asyncio.wait({self.accepting})
        self.listener.close()
        await self._close_connections()
        for request in [
            request for request in self.open_requests.values() if not request.response_future.done()
        ]:
            self.respond_error(request)  # each client gets a response, whatever delays its request
            self.queue.put_nowait(ClientLeft(request))
        await asyncio.sleep(4 * SETTLE_S)

    async def _close_connections(self) -> None:
        """Close connections until none is left, for at most the maximum duration of an invocation."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.max_duration_s
        while self.server.all_connections and loop.time() < end:
            for handler in list(self.server.all_connections):
                self.server.close_gracefully(handler)
            await asyncio.sleep(4 * SETTLE_S)
