"""One send of a request to one backend, up to the head of its answer.

Invariant: an answer is taken only if it names this request, says itself where it ends, and, being a success,
carries the backend's stamp.  Everything else is a failure that tells whether the request may have run.
"""

from __future__ import annotations

import asyncio

import attrs
import httpcore

from ..discovery.messages import Backend
from . import ports
from .connections import Connection, Connections
from .errors import DataPlaneError, ErrorCode
from .exchange import NOT_EXECUTED, REQUEST_ID, SERVER_STAMP, Exchange, Failure, Headers, end_to_end

NON_REPEATABLE_IDLE_S = 1.0  # a connection idle for longer may be about to be closed by the backend
PROMISES = frozenset((408, 421, 429, 503))  # statuses that promise that nothing ran
BROKEN_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


@attrs.define
class Answer:
    """An answer to our request whose head is in.  It must be closed."""

    status: int
    headers: Headers  # end to end
    events: bool  # a text/event-stream
    backend: Backend
    _response: httpcore.Response
    _connection: Connection
    _connections: Connections
    _closed: bool = False

    async def next(self) -> bytes | None:
        """The next bytes of the body; None at its proper end.  Raises DataPlaneError where it breaks."""
        try:
            return await anext(self._body)
        except StopAsyncIteration:
            return None
        except BROKEN_ERRORS as error:
            raise DataPlaneError(ErrorCode.CUT, str(error)) from error

    _body: object = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._body = aiter(self._response.stream)

    async def finish(self) -> None:
        """After the body's proper end: the connection may carry the next request."""
        await self._response.aclose()
        self.close()

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._connections.release(self.backend, self._connection)


class Sender:
    """Makes sends.  `backends` is asked again right before a request leaves."""

    def __init__(self, backends: ports.Backends, connections: Connections) -> None:
        self._backends = backends
        self._connections = connections

    async def send(
        self, exchange: Exchange, backend: Backend, last_event_id: bytes | None, progress: Progress
    ) -> Answer | Failure:
        loop = asyncio.get_running_loop()
        idle_at_most = float("inf") if exchange.repeatable else NON_REPEATABLE_IDLE_S
        try:
            connection = await self._connections.acquire(
                backend, exchange.service, idle_at_most, exchange.deadline - loop.time()
            )
        except ConnectionRefusedError:
            return Failure.REFUSED
        except (OSError, TimeoutError):
            return Failure.UNREACHABLE
        if connection is None:
            return Failure.NO_CONNECTION
        try:
            outcome = await self._converse(exchange, backend, connection, last_event_id, progress)
        except BaseException:
            self._connections.release(backend, connection)
            raise
        if isinstance(outcome, Failure):
            self._connections.release(backend, connection)
        return outcome

    async def _converse(
        self,
        exchange: Exchange,
        backend: Backend,
        connection: Connection,
        last_event_id: bytes | None,
        progress: Progress,
    ) -> Answer | Failure:
        live = self._backends.of(exchange.service.name)
        if all(other.identity != backend.identity for other in live):
            return Failure.WITHDRAWN
        now = asyncio.get_running_loop().time()
        request = httpcore.Request(
            exchange.method,
            _url(backend.address, exchange.target),
            headers=exchange.headers_for(backend, now, last_event_id),
            content=exchange.body,
        )
        stream = connection.stream
        stream.begin()
        progress.under_way = stream
        try:
            response = await connection.handle_async_request(request)
        except BROKEN_ERRORS:
            if not stream.sent:
                return Failure.BROKEN_BEFORE_SEND
            return Failure.GARBLED if stream.answered else Failure.BROKEN
        return await self._judge(exchange, backend, connection, response)

    async def _judge(
        self, exchange: Exchange, backend: Backend, connection: Connection, response: httpcore.Response
    ) -> Answer | Failure:
        headers = [(name.lower(), value) for name, value in response.headers]
        fields = dict(headers)
        connection.heed(headers)
        if fields.get(REQUEST_ID) != exchange.request_id:
            return await self._reject(connection, Failure.GARBLED)
        if response.status == 421:
            return await self._drain(response, Failure.OTHER_INSTANCE)
        if response.status in PROMISES:
            if NOT_EXECUTED in fields:
                return await self._drain(response, Failure.NOT_EXECUTED)
            return await self._reject(connection, Failure.GARBLED)
        success = 200 <= response.status < 300
        if success and SERVER_STAMP not in fields:
            return await self._reject(connection, Failure.GARBLED)
        if not _tells_its_end(exchange.method, response.status, fields):
            return await self._reject(connection, Failure.GARBLED)
        kept = end_to_end(headers)
        events = success and fields.get(b"content-type", b"").startswith(b"text/event-stream")
        return Answer(response.status, kept, events, backend, response, connection, self._connections)

    async def _reject(self, connection: Connection, failure: Failure) -> Failure:
        connection.closing = True
        return failure

    async def _drain(self, response: httpcore.Response, failure: Failure) -> Failure:
        """Reads a refusal to its end, so that the connection can be used again."""
        try:
            async for _ in response.stream:
                pass
            await response.aclose()
        except BROKEN_ERRORS:
            pass
        return failure


@attrs.define
class Progress:
    """What became of an exchange so far; kept apart so that it outlives a cancelled task."""

    under_way: ports.BackendStream | None = None  # the stream of the send that has no outcome yet
    offered: bool = False  # a request reached a backend's connection
    may_have_run: bool = False
    own_answer: bool = False  # the client was answered by the gateway itself

    def settle_send(self, outcome: Answer | Failure | None) -> None:
        """Takes in the outcome of a send; None where the send was given up."""
        sent = self.under_way is not None and self.under_way.sent
        self.under_way = None
        if not sent:
            return
        self.offered = True
        if not (isinstance(outcome, Failure) and outcome.certainly_not_run):
            self.may_have_run = True


def _tells_its_end(method: bytes, status: int, fields: dict[bytes, bytes]) -> bool:
    if method == b"HEAD" or status in (204, 304):
        return True
    return b"content-length" in fields or b"chunked" in fields.get(b"transfer-encoding", b"").lower()


def _url(address: str, target: bytes) -> httpcore.URL:
    host, _, port = address.rpartition(":")
    return httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=target)
