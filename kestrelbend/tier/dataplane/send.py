"""One send of a request to one backend, up to the headers of its response.

    connection ──none──> REFUSED, UNREACHABLE, NO_CONNECTION: not sent
      └──> still in the live view? ──no──> BACKEND_REMOVED: not sent
             └──> request, response headers ──broke──> BROKEN_BEFORE_SEND: not sent
                    │                            └───> BROKEN, INVALID_RESPONSE: may have run
                    ├──guaranteed not run──> NOT_EXECUTED, WRONG_INSTANCE, WRONG_VERSION: not run
                    ├──not a response to this request──> INVALID_RESPONSE: may have run
                    └──> BackendResponse: has run, or is running

Invariant: a response is accepted only if it carries this request's id and no content encoding, and, if it is
a success, the backend's stamp.  Anything else is a failure that tells whether the request may have run.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterable, AsyncIterator
from typing import cast

import attrs
import httpcore

from ..discovery.messages import Backend
from . import ports
from .connections import Connection, Connections, ReusePolicy
from .errors import DataPlaneError, ErrorCode
from .exchange import (
    EXPECT_VERSION,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_STAMP,
    Exchange,
    Failure,
    Headers,
    end_to_end,
)

MAX_IDLE_WITHOUT_KEEP_ALIVE_S = 1.0  # limit for reusing a connection for a non-retryable request
REJECTION_BODY_TIMEOUT_S = 0.05  # for reading the rest of a rejection, so that the connection can be reused
MAX_STALE_RESPONSES = 3  # responses to other requests that are skipped before the expected one
MISDIRECTED = 421  # wrong instance or wrong model weights
SWITCHING_PROTOCOLS = 101
NOT_EXECUTED_STATUSES = frozenset((408, 429, 503))  # besides 421, statuses that can state that nothing ran
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


@attrs.define
class SendRecord:
    """The state of one send; it outlives a cancelled task.

    A stream resumes after `last_event_id`; `fresh` requires a new connection.  `earlier_connections` carried
    earlier sends of this request: a late second response on one of them would carry this send's request id.
    """

    backend: Backend
    last_event_id: bytes | None = None
    fresh: bool = False
    earlier_connections: tuple[Connection, ...] = ()
    wire_state: ports.WireState | None = None
    connection: Connection | None = None
    not_run: bool = False  # no byte was sent, or the backend stated that it did not run the request
    marked_overdue: bool = False  # the late response was recorded against the backend's health

    @property
    def sent(self) -> bool:
        """Whether a byte of the request was handed to the network."""
        return self.wire_state is not None and self.wire_state.sent

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have started to run the request."""
        return self.sent and not self.not_run


@attrs.define(eq=False)
class BackendResponse:
    """A response whose headers were received: the request has run or is running.

    It must be closed in any case; that releases its connection.
    """

    status: int
    headers: Headers  # end-to-end headers only
    events: bool  # the body is a text/event-stream
    _backend: Backend
    _response: httpcore.Response
    _body: AsyncIterator[bytes]
    _connection: Connection
    _connections: Connections
    _closed: bool = attrs.field(default=False, init=False)

    async def next(self) -> bytes | None:
        """The next bytes of the body; None at its end.

        Raises DataPlaneError (`CUT`) if the connection breaks; the request may still be running then.
        """
        try:
            data = await anext(self._body)
        except StopAsyncIteration:
            await self._response.aclose()
            return None
        except CONNECTION_ERRORS as error:
            raise DataPlaneError(ErrorCode.CUT, str(error)) from error
        return data

    def close(self) -> None:
        """Releases the connection, which is reused only if the body was read to its end."""
        if not self._closed:
            self._closed = True
            self._connections.release(self._backend, self._connection)


class Sender:
    """Sends requests to backends.  Reads `backends` again right before each send."""

    def __init__(self, backends: ports.Backends, connections: Connections) -> None:
        self._backends = backends
        self._connections = connections

    async def send(self, exchange: Exchange, send_record: SendRecord) -> BackendResponse | Failure:
        """Sends the request and waits for the response headers.

        A `BackendResponse` means that the request has run or is running.  A `Failure` tells through
        `certainly_not_run` whether it may have run: only `BROKEN` and `INVALID_RESPONSE` leave that open.
        `send_record` tells the same at any time, also after a cancellation: what was sent may have run then.
        """
        backend = send_record.backend
        reuse = None if send_record.fresh else _reuse_policy(exchange, send_record)
        remaining_s = exchange.deadline - asyncio.get_running_loop().time()
        try:
            connection = await self._connections.acquire(backend, exchange.service, remaining_s, reuse)
        except ConnectionRefusedError:
            return Failure.REFUSED
        except OSError:
            return Failure.UNREACHABLE
        if connection is None:
            return Failure.NO_CONNECTION
        outcome: BackendResponse | Failure | None = None
        send_record.connection = connection
        try:
            outcome = await self._send_on(exchange, send_record, connection)
        finally:
            if not isinstance(outcome, BackendResponse):
                self._connections.release(backend, send_record.connection)
        send_record.not_run = isinstance(outcome, Failure) and outcome.certainly_not_run
        return outcome

    async def _send_on(
        self, exchange: Exchange, send_record: SendRecord, connection: Connection
    ) -> BackendResponse | Failure:
        """Sends the request on `connection` and reads the response headers.

        Keeps `send_record.connection` up to date with the connection in use.
        """
        backend = send_record.backend
        stream = connection.backend_stream
        live = self._backends.of(exchange.service.name)
        if all(other.identity != backend.identity for other in live):
            return Failure.BACKEND_REMOVED
        now = asyncio.get_running_loop().time()
        request = httpcore.Request(
            exchange.method,
            _url(backend.address, exchange.target),
            headers=exchange.headers_for(backend, now, send_record.last_event_id),
            content=exchange.body,
        )
        send_record.wire_state = stream.begin_request()
        try:
            response = await connection.handle_async_request(request)
            for _ in range(MAX_STALE_RESPONSES):
                if not _answers_other_request(exchange, response):
                    break
                connection = await _skip_stale_response(exchange, connection, response)
                send_record.connection = connection
                response = await connection.handle_async_request(request)
        except CONNECTION_ERRORS:
            if not send_record.wire_state.sent:
                return Failure.BROKEN_BEFORE_SEND
            return Failure.INVALID_RESPONSE if send_record.wire_state.response_started else Failure.BROKEN
        if not send_record.wire_state.sent:
            return Failure.BROKEN_BEFORE_SEND  # the response cannot belong to this request
        return await self._classify_response(exchange, send_record.backend, connection, response)

    async def _classify_response(
        self, exchange: Exchange, backend: Backend, connection: Connection, response: httpcore.Response
    ) -> BackendResponse | Failure:
        """Classifies a response by its status and headers.

        A 421 guarantees that the request has not run and will not; so does a 408, 429 or 503 with the header
        `NOT_EXECUTED`.  Without that header these three guarantee nothing, so the request may have run.
        """
        headers = [(name.lower(), value) for name, value in response.headers]
        fields = dict(headers)
        connection.apply_headers(headers)
        status = response.status
        if not _has_only_request_id(exchange.request_id, headers):
            return Failure.INVALID_RESPONSE
        if status == MISDIRECTED:
            expects_version = EXPECT_VERSION in exchange.fields
            return await _drain_rejection(
                response, Failure.WRONG_VERSION if expects_version else Failure.WRONG_INSTANCE
            )
        if status in NOT_EXECUTED_STATUSES and NOT_EXECUTED in fields:
            return await _drain_rejection(response, Failure.NOT_EXECUTED)
        success = 200 <= status < 300
        if not _is_forwardable(status, fields) or success and SERVER_STAMP not in fields:
            return Failure.INVALID_RESPONSE
        events = success and fields.get(b"content-type", b"").startswith(b"text/event-stream")
        kept = end_to_end(headers)
        return BackendResponse(
            status, kept, events, backend, response, aiter(_body(response)), connection, self._connections
        )


def _reuse_policy(exchange: Exchange, send_record: SendRecord) -> ReusePolicy:
    """The idle connections that may carry the request.

    Hazard: a request sent on a connection that the backend is just closing may or may not have run, so a
    request that is not retryable does not reuse a connection that was idle for long.
    """
    return ReusePolicy(
        None if exchange.retryable else MAX_IDLE_WITHOUT_KEEP_ALIVE_S, send_record.earlier_connections
    )


def _answers_other_request(exchange: Exchange, response: httpcore.Response) -> bool:
    """Whether the response carries the id of another request, sent earlier on this connection."""
    for name, value in response.headers:
        if name.lower() == REQUEST_ID:
            return value != exchange.request_id
    return False


def _has_only_request_id(request_id: bytes, headers: Headers) -> bool:
    """Whether the response carries this request's id and no other."""
    return {value for name, value in headers if name == REQUEST_ID} == {request_id}


def _is_forwardable(status: int, fields: dict[bytes, bytes]) -> bool:
    """Whether the response may be forwarded to the client.

    Rejects statuses that claim without proof that nothing ran, content encodings, and ambiguous framing.  A
    response without a length ends when its connection is closed; a reset does not count as an end.
    """
    if status in NOT_EXECUTED_STATUSES or status == SWITCHING_PROTOCOLS or b"content-encoding" in fields:
        return False
    return not (b"content-length" in fields and b"transfer-encoding" in fields)


async def _skip_stale_response(
    exchange: Exchange, connection: Connection, response: httpcore.Response
) -> Connection:
    """Discards a response to another request.

    Returns the connection on which to read the response to the current request, which has already been sent.
    Raises httpcore errors if the discarded response has no delimited end or ends the connection.
    """
    fields = {name.lower(): value for name, value in response.headers}
    if not _is_self_delimiting(exchange.method, response.status, fields):
        raise httpcore.RemoteProtocolError("a response to another request has no delimited end")
    async for _ in _body(response):
        pass
    await response.aclose()
    return connection.resume_after_stale_response()


async def _drain_rejection(response: httpcore.Response, failure: Failure) -> Failure:
    """Reads a rejection to its end, so that the connection can be reused."""
    try:
        async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
            async for _ in _body(response):
                pass
        await response.aclose()
    except (*CONNECTION_ERRORS, TimeoutError):
        pass
    return failure


def _body(response: httpcore.Response) -> AsyncIterable[bytes]:
    """The response's body stream; httpcore's type also allows synchronous ones, which do not occur here."""
    return cast(AsyncIterable[bytes], response.stream)


def _is_self_delimiting(method: bytes, status: int, fields: dict[bytes, bytes]) -> bool:
    """Whether the end of a response can be told without the connection being closed."""
    if method == b"HEAD" or status in (204, 304):
        return True
    return b"content-length" in fields or b"chunked" in fields.get(b"transfer-encoding", b"").lower()


def _url(address: str, target: bytes) -> httpcore.URL:
    host, _, port = address.rpartition(":")
    return httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=target)
