"""Simulates a data plane between scripted clients and backends on virtual time, without sockets.

Backends exchange real bytes with the gateway: they parse requests with h11, and their responses pass through
the gateway's own `TcpStream` and httpcore.
"""

from __future__ import annotations

import asyncio
import random
import selectors
import weakref
from collections.abc import Awaitable, Callable

import attrs
import h11

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement, Verdict
from kestrelbend.tier.configuration.routing import Limits, Route, RoutingTable, Service, Target
from kestrelbend.tier.dataplane.app import build_data_plane
from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from kestrelbend.tier.dataplane.network import TcpStream
from kestrelbend.tier.dataplane.ports import Dependencies
from kestrelbend.tier.discovery.messages import Backend

ZONE = "here"
STAMP = b"1.2.3.4"
FOREVER_S = 3600.0


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of waiting; nothing is ever readable."""

    loop: VirtualLoop

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("the scenario waits for an event that never occurs")
        self.loop.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now = 100.0
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


class _Transport(asyncio.Transport):
    """The gateway's end of a connection to a scripted backend."""

    def __init__(self, connection: BackendConnection) -> None:
        super().__init__()
        self._connection = connection
        self._unsent = bytearray()
        self.closed = False

    def write(self, data: bytes) -> None:
        if not self.closed:
            self._unsent += data
            self.pump()

    def pump(self) -> None:
        """Delivers as many bytes as the backend's receive window allows."""
        window = self._connection.window
        size = len(self._unsent) if window is None else min(window, len(self._unsent))
        data = bytes(self._unsent[:size])
        del self._unsent[:size]
        if window is not None:
            self._connection.window = window - size
        if data:
            self._connection.deliver(data)

    def get_write_buffer_size(self) -> int:
        return len(self._unsent)

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self._unsent.clear()
            self._connection.gateway_closed = True
            self._connection.wake()

    close = abort

    def pause_reading(self) -> None:
        pass

    resume_reading = pause_reading


@attrs.define
class BackendRequest:
    """A request as a backend received it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    at: float
    connection: BackendConnection


@attrs.define
class Interruption:
    """Makes a backend read this many more bytes and then `close`, `reset` or stop responding (`silence`)."""

    remaining_bytes: int
    ending: str


class BackendConnection:
    """The backend's end of one connection."""

    def __init__(self, backend: ScriptedBackend) -> None:
        self._backend = backend
        self.received = bytearray()  # all bytes delivered, whether the backend reads them or not
        self.window: int | None = backend.window  # bytes it still accepts; None: unlimited
        self.silent = False
        self._parser = h11.Connection(h11.SERVER)
        self._woken = asyncio.Event()
        self.stream = TcpStream()
        self.transport = _Transport(self)
        self.stream.connection_made(self.transport)
        self.gateway_closed = False

    def wake(self) -> None:
        self._woken.set()

    def deliver(self, data: bytes) -> None:
        self.received += data
        if self.silent:
            return
        self._parser.receive_data(self._until_interruption(data))
        self.wake()

    def _until_interruption(self, data: bytes) -> bytes:
        """Returns the part of `data` that the backend reads; triggers the interruption when it is reached."""
        interruption = self._backend.interruption
        if interruption is None:
            return data
        read = data[: interruption.remaining_bytes]
        interruption.remaining_bytes -= len(read)
        if not interruption.remaining_bytes:
            self._backend.interruption = None
            self.silent = True
            if interruption.ending != "silence":
                asyncio.get_running_loop().call_soon(getattr(self, interruption.ending))
        return read

    def open_window(self) -> None:
        """Accepts all pending and future bytes."""
        self.window = None
        self.transport.pump()

    def send(self, data: bytes) -> None:
        if not (self.gateway_closed or self.silent or self.transport.closed):
            self.stream.data_received(data)

    def close(self) -> None:
        if not self.transport.closed:
            self.transport.closed = True
            self.stream.eof_received()
            self.stream.connection_lost(None)

    def reset(self) -> None:
        if not self.transport.closed:
            self.transport.closed = True
            self.stream.connection_lost(ConnectionResetError("reset"))

    async def serve(self) -> None:
        while True:
            received = await self._next()
            if received is None:
                return
            self._backend.requests.append(received)
            await self._backend.handler()(received)
            self._parser = h11.Connection(h11.SERVER)

    async def _next(self) -> BackendRequest | None:
        request, body = None, b""
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                if self.gateway_closed or self.transport.closed:
                    return None
                self._woken.clear()
                await self._woken.wait()
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                fields = {name.decode(): value.decode() for name, value in request.headers}
                now = asyncio.get_running_loop().time()
                return BackendRequest(
                    request.method.decode(), request.target.decode(), fields, body, now, self
                )
            else:
                return None


Handler = Callable[[BackendRequest], Awaitable[None]]


class ScriptedBackend:
    """A backend that answers each request with its next script; the last script is repeated."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.requests: list[BackendRequest] = []
        self.connections: list[BackendConnection] = []
        self.refusing = False
        self.unreachable = False
        self.resetting = False
        self.interruption: Interruption | None = None
        self.window: int | None = None  # the initial receive window of its connections; None: unlimited
        self._scripts: list[Handler] = [complete_response()]

    def respond_with(self, *scripts: Handler) -> ScriptedBackend:
        self._scripts = list(scripts)
        return self

    def handler(self) -> Handler:
        return self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]

    @property
    def ids(self) -> list[str]:
        return [received.fields["x-kestrelbend-request-id"] for received in self.requests]

    def count_sends(self, number: int) -> int:
        """How often the id of request `number` was sent to this backend, whether it was read or not."""
        request_id_line = b"try-%d\r\n" % number
        return sum(connection.received.count(request_id_line) for connection in self.connections)


def response_head(received: BackendRequest, status: int = 200, *lines: bytes, stamp: bool = True) -> bytes:
    out = [b"HTTP/1.1 %d X" % status]
    out.append(b"X-Kestrelbend-Request-Id: " + received.fields["x-kestrelbend-request-id"].encode())
    if stamp:
        out.append(b"X-Kestrelbend-Server-Stamp: " + STAMP)
    return b"\r\n".join([*out, *lines, b"", b""])


def complete_response(
    body: bytes = b"whole", status: int = 200, after: float = 0.01, *lines: bytes, trailing_bytes=b""
):
    """A plain response with Content-Length, followed by `trailing_bytes`."""

    async def script(received: BackendRequest) -> None:
        await asyncio.sleep(after)
        length = b"Content-Length: %d" % len(body)
        received.connection.send(response_head(received, status, length, *lines) + body + trailing_bytes)

    return script


def rejection(status: int = 503, marked: bool = True):
    """A rejection; if `marked`, it states that the request was not executed."""

    async def script(received: BackendRequest) -> None:
        lines = [b"X-Kestrelbend-Not-Executed: 1"] if marked else []
        received.connection.send(response_head(received, status, b"Content-Length: 0", *lines))

    return script


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def event_stream(numbers, pause: float = 0.02, ending: str = "end", part: bytes = b""):
    """An event stream that ends properly, or by `close`, `reset` or silence after `part` of an event."""

    async def script(received: BackendRequest) -> None:
        connection = received.connection
        connection.send(
            response_head(received, 200, b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
        )
        for number in numbers:
            await asyncio.sleep(pause)
            connection.send(b"%x\r\n%s\r\n" % (len(event(number)), event(number)))
        if part:
            connection.send(b"%x\r\n%s\r\n" % (len(part), part))
        await asyncio.sleep(pause)
        if ending == "end":
            connection.send(b"0\r\n\r\n")
        elif ending == "close":
            connection.close()
        elif ending == "reset":
            connection.reset()

    return script


def chunked_stream(data: bytes, ending: str, pause: float = 0.0):
    """A stream of arbitrary bytes, one per chunk, that ends properly (`end`), by `close` or by `reset`."""

    async def script(received: BackendRequest) -> None:
        connection = received.connection
        connection.send(
            response_head(received, 200, b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
        )
        for number in range(len(data)):
            await asyncio.sleep(pause)
            connection.send(b"1\r\n%s\r\n" % data[number : number + 1])
        await asyncio.sleep(0.01)
        if ending == "end":
            connection.send(b"0\r\n\r\n")
        else:
            getattr(connection, ending)()

    return script


def raw_response(data: bytes, ending: str = "", after: float = 0.01):
    """Arbitrary bytes, then nothing, `close` or `reset`."""

    async def script(received: BackendRequest) -> None:
        await asyncio.sleep(after)
        received.connection.send(data)
        if ending:
            getattr(received.connection, ending)()

    return script


def drop_connection(ending: str = "reset", after: float = 0.01):
    """Ends the connection without a response."""
    return raw_response(b"", ending, after)


def no_response():
    """Reads the request and never responds."""
    return raw_response(b"")


@attrs.define
class ClientResponse:
    """The response a client received; `complete` if it ended properly."""

    status: int | None = None
    fields: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    complete: bool = False
    at: float = 0.0
    head_at: float = 0.0
    parts: list[tuple[float, bytes]] = attrs.field(factory=list)

    @property
    def has_stamp(self) -> bool:
        return "x-kestrelbend-server-stamp" in self.fields


class FakeBudget:
    """A budget with a fixed verdict that records reservations and settlements."""

    def __init__(self) -> None:
        self.verdict = Verdict.ADMITTED
        self.spent: set[str] = set()
        self.delay = 0.0
        self.reserved: list[Reserve] = []
        self.settled: list[Settlement] = []

    def reservation_name(self, request_id: str) -> str:
        return request_id

    async def reserve(self, service: str, command: Reserve) -> ReserveOutcome:
        self.reserved.append(command)
        await asyncio.sleep(self.delay)
        return ReserveOutcome(command.reservation, self.verdict, 0, 0, 250)

    def settle(self, service: str, command: Settlement) -> None:
        self.settled.append(command)

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        return program in self.spent


def route(name: str, kind: str, service: str, **changes) -> Route:
    values = dict(
        name=name, hostname="a.example", path_prefix=f"/{name}/", kind=kind, timeout_ms=2000, slo_ms=200,
        priority=1, retries=1, stored=False, retain_s=60, sticky=False, resumable=False,
        inter_token_target_ms=200, targets=(Target(service, 1),),
    )  # fmt: skip
    return Route(**{**values, **changes})


ROUTES = (
    route("turns", "streaming", "models", resumable=True, sticky=True, timeout_ms=4000),
    route("once", "streaming", "models"),
    route("read", "idempotent", "tools"),
    route("read2", "idempotent", "tools", retries=2),
    route("pay", "non_idempotent", "tools"),
    route("lost", "idempotent", "nowhere"),
)
SERVICES = {
    "models": Service("models", "/healthz", 190, 4, 10000, 8, True),
    "tools": Service("tools", "/healthz", 120, 6, 0, 0, False),
    "nowhere": Service("nowhere", "/healthz", 120, 6, 0, 0, False),
}


class Simulation:
    """Backends, a data plane and clients; implements the data plane's routing, backends and network ports."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        weakref.finalize(self, self.loop.close)  # also if the simulation is never run
        self.table: RoutingTable | None = RoutingTable(1, ROUTES, SERVICES, Limits())
        self.budget = FakeBudget()
        self.lifecycle = Lifecycle()
        self.lifecycle.set_ready(True)
        self.scripted: dict[str, ScriptedBackend] = {}
        self.live: dict[str, Backend] = {}
        self.departed: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._request_count = 0
        self.configuration_is_current = True
        dependencies = Dependencies(
            self,
            self,
            self.budget,
            self,
            ZONE,
            gateways=lambda: 1,
            may_refuse=lambda: self.configuration_is_current,
        )
        self.plane = build_data_plane(dependencies, self.lifecycle, random.Random(1))

    # The data plane's ports

    def current(self) -> RoutingTable | None:
        return self.table

    def of(self, service: str) -> tuple[Backend, ...]:
        return tuple(backend for backend in self.live.values() if backend.service == service)

    def mark_departed(self, identity: str) -> None:
        self.departed.append(identity)
        self.live.pop(identity, None)

    async def connect(self, address: str, timeout_s: float) -> TcpStream:
        scripted = self.scripted[address]
        if scripted.unreachable:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        await asyncio.sleep(0.001)
        if scripted.refusing:
            raise ConnectionRefusedError
        connection = BackendConnection(scripted)
        scripted.connections.append(connection)
        if scripted.resetting:
            connection.reset()
        self._tasks.add(asyncio.ensure_future(connection.serve()))
        return connection.stream

    # Backends, clients and the run itself

    def backend(
        self, identity: str, service: str = "tools", slots: int = 4, zone: str = ZONE
    ) -> ScriptedBackend:
        address = f"10.0.0.{len(self.scripted) + 1}:80"
        backend = Backend(identity, service, address, zone, "v1", slots, 0, 0, 1)
        self.live[identity] = backend
        self.scripted[address] = ScriptedBackend(backend)
        return self.scripted[address]

    def run(self, scenario: Awaitable, within_s: float = 600):
        """Runs a scenario to its end, then cancels the backends' tasks and waits for them."""

        async def run_scenario():
            try:
                return await asyncio.wait_for(scenario, within_s)
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)

        try:
            return self.loop.run_until_complete(run_scenario())
        finally:
            self.loop.close()

    @property
    def next_request_number(self) -> int:
        """The number of the next request, as in its id `try-NUMBER`."""
        return self._request_count + 1

    async def send_request(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"question",
        fields: dict[str, str] | None = None,
        disconnect_after: float | None = None,
        chunks: tuple[bytes, ...] = (),
        omitted_headers: tuple[str, ...] = (),
        body_delay: float = 0.0,
        reads_response: bool = True,
    ) -> ClientResponse:
        """Sends one client's request.

        `disconnect_after`: seconds until the client closes its connection; `body_delay`: seconds until its
        body is complete; `reads_response`: whether it reads the response body.
        """
        self._request_count += 1
        headers = {
            "host": "a.example",
            "x-kestrelbend-request-id": f"try-{self._request_count}",
            "x-kestrelbend-deadline-ms": "1500",
            **({"transfer-encoding": "chunked"} if chunks else {"content-length": str(len(body))}),
            **(fields or {}),
        }
        raw_path, _, query = path.partition("?")
        scope = {
            "type": "http", "http_version": "1.1", "method": method,
            "path": raw_path, "raw_path": raw_path.encode(),
            "query_string": query.encode(),
            "headers": [(k.encode(), v.encode()) for k, v in headers.items() if k not in omitted_headers],
        }  # fmt: skip
        inbox: asyncio.Queue = asyncio.Queue()
        for part in chunks or (body,):
            inbox.put_nowait({"type": "http.request", "body": part, "more_body": True})
        loop = asyncio.get_running_loop()
        end = {"type": "http.request", "body": b"", "more_body": False}
        if body_delay:
            loop.call_later(body_delay, inbox.put_nowait, end)
        else:
            inbox.put_nowait(end)
        if disconnect_after is not None:
            loop.call_later(disconnect_after, inbox.put_nowait, {"type": "http.disconnect"})
        response = ClientResponse()
        await self.plane(scope, inbox.get, lambda message: _receive(response, message, reads_response))
        response.at = loop.time()
        return response


async def _receive(response: ClientResponse, message: dict, reads_response: bool) -> None:
    now = asyncio.get_running_loop().time()
    if not reads_response and message["type"] == "http.response.body":
        await asyncio.sleep(FOREVER_S)
    if message["type"] == "http.response.start":
        assert response.status is None, "two responses"
        response.status, response.head_at = message["status"], now
        response.fields = {name.decode(): value.decode() for name, value in message["headers"]}
    else:
        assert response.status is not None and not response.complete, "bytes outside a response"
        response.body += message["body"]
        if message["body"]:
            response.parts.append((now, message["body"]))
        response.complete = not message["more_body"]


def turn_headers(
    program: str = "p1", budget: int = 1000, max_tokens: int = 80, **fields: str
) -> dict[str, str]:
    """The request headers of a program's turn."""
    return {
        "program": program, "session": "s1", "budget": str(budget), "finish-ms": "5000",
        "x-kestrelbend-token-count": f"500,{max_tokens}", "x-kestrelbend-prefix-hash": "ab:400,cd:100",
        "x-kestrelbend-deadline-ms": "4000", **fields,
    }  # fmt: skip
