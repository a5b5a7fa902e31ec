"""One send of a request to one backend, up to the head of its answer.

    connection ──none──> REFUSED, UNREACHABLE, NO_CONNECTION: not sent
      └──> still in the live view? ──no──> WITHDRAWN: not sent
             └──> request, head of its answer ──broke──> BROKEN_BEFORE_SEND: not sent
                    │                              └───> BROKEN, GARBLED: may have run
                    ├──a promise──> NOT_EXECUTED, OTHER_INSTANCE, OTHER_VERSION: not run
                    ├──no answer to our request──> GARBLED: may have run
                    └──> Answer: has run, or runs

Invariant: an answer is taken only if it names this request, is in no encoding, and, being a success, carries
the backend's stamp.  Everything else is a failure that tells whether the request may have run.
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

MAX_IDLE_WITHOUT_KEEP_ALIVE_S = (
    1.0  # not repeatable: idle time of a connection whose backend declares no Keep-Alive
)
REJECTION_BODY_TIMEOUT_S = 0.05  # for the rest of a rejection, so that the connection can be used again
MAX_STALE_RESPONSES = 3  # to other requests, that are skipped before ours
MISDIRECTED = 421  # another instance, or other weights
SWITCHING_PROTOCOLS = 101
NOT_EXECUTED_STATUSES = frozenset((408, 429, 503))  # with 421, the statuses that promise that nothing ran
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


@attrs.define
class SendRecord:
    """The account of one send; it outlives a cancelled task.

    `last_event_id` is where a run goes on; `fresh` asks for a new connection.  `carried` are connections that
    this attempt was sent on before: a late second answer there names the same request as this send's own.
    """

    backend: Backend
    last_event_id: bytes | None = None
    fresh: bool = False
    earlier_connections: tuple[Connection, ...] = ()
    wire_state: ports.WireState | None = None
    connection: Connection | None = None
    not_run: bool = False  # the backend says so
    marked_overdue: bool = False  # its answer was overdue, which counted against the backend

    @property
    def sent(self) -> bool:
        """A byte of the request was handed to the network."""
        return self.wire_state is not None and self.wire_state.sent

    @property
    def may_have_run(self) -> bool:
        """Nothing excludes that the backend began work on it."""
        return self.sent and not self.not_run


@attrs.define(eq=False)
class BackendResponse:
    """An answer to our request whose head is in: the request has run, or runs.

    It must be closed, whatever happens; then its connection is free.
    """

    status: int
    headers: Headers  # end to end
    events: bool  # a text/event-stream
    _backend: Backend
    _response: httpcore.Response
    _body: AsyncIterator[bytes]  # of the response
    _connection: Connection
    _connections: Connections
    _closed: bool = attrs.field(default=False, init=False)

    async def next(self) -> bytes | None:
        """The next bytes of the body; None at its proper end.

        Raises DataPlaneError (`CUT`) where it breaks: the run may have ended, or may still go on.
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
        """Gives the connection back; it is used again only after the body's proper end."""
        if not self._closed:
            self._closed = True
            self._connections.release(self._backend, self._connection)


class Sender:
    """Makes sends.  `backends` is asked again right before a request leaves."""

    def __init__(self, backends: ports.Backends, connections: Connections) -> None:
        self._backends = backends
        self._connections = connections

    async def send(self, exchange: Exchange, send_record: SendRecord) -> BackendResponse | Failure:
        """Sends the request and waits for the head of its answer.

        An `Answer` says that the request has run or runs.  A `Failure` says by `certainly_not_run` whether it
        may have: only `BROKEN` and `GARBLED` leave that open.  `sending` says the same at any moment, also
        where this is cancelled: then what has left may have run.
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
        """The request and its answer on `connection`; `sending.connection` is always the one in use."""
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
            return Failure.BROKEN_BEFORE_SEND  # no answer can be ours
        return await self._classify_response(exchange, send_record.backend, connection, response)

    async def _classify_response(
        self, exchange: Exchange, backend: Backend, connection: Connection, response: httpcore.Response
    ) -> BackendResponse | Failure:
        """What a response comes to, by its head alone.

        A 421 promises that the request has not run and will not; so does a 408, 429 or 503 with the header
        `NOT_EXECUTED`.  Without that header these three promise nothing, so the request may have run.
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

    Hazard: what breaks on a connection that its backend just closed may have run, so a request that is not
    repeatable takes none that was idle for long.
    """
    return ReusePolicy(
        None if exchange.retryable else MAX_IDLE_WITHOUT_KEEP_ALIVE_S, send_record.earlier_connections
    )


def _answers_other_request(exchange: Exchange, response: httpcore.Response) -> bool:
    """It answers another request that was on this connection before ours."""
    for name, value in response.headers:
        if name.lower() == REQUEST_ID:
            return value != exchange.request_id
    return False


def _has_only_request_id(request_id: bytes, headers: Headers) -> bool:
    """The answer names this request, and no other."""
    return {value for name, value in headers if name == REQUEST_ID} == {request_id}


def _is_forwardable(status: int, fields: dict[bytes, bytes]) -> bool:
    """The answer can be the backend's own: no unproven promise, no encoding, not two ends.

    One without a length ends with its connection, unless that is reset.
    """
    if status in NOT_EXECUTED_STATUSES or status == SWITCHING_PROTOCOLS or b"content-encoding" in fields:
        return False
    return not (b"content-length" in fields and b"transfer-encoding" in fields)


async def _skip_stale_response(
    exchange: Exchange, connection: Connection, response: httpcore.Response
) -> Connection:
    """Drops a surplus answer; what follows it is read, on the connection returned, as the answer to our
    request, which has left already.

    Raises httpcore errors where the surplus answer does not end or ends the connection.
    """
    fields = {name.lower(): value for name, value in response.headers}
    if not _is_self_delimiting(exchange.method, response.status, fields):
        raise httpcore.RemoteProtocolError("a surplus answer without an end")
    async for _ in _body(response):
        pass
    await response.aclose()
    return connection.resume_after_stale_response()


async def _drain_rejection(response: httpcore.Response, failure: Failure) -> Failure:
    """Reads a rejection to its end, so that the connection can be used again."""
    try:
        async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
            async for _ in _body(response):
                pass
        await response.aclose()
    except (*CONNECTION_ERRORS, TimeoutError):
        pass
    return failure


def _body(response: httpcore.Response) -> AsyncIterable[bytes]:
    """The stream of an asynchronous connection's response; its type allows synchronous ones besides."""
    return cast(AsyncIterable[bytes], response.stream)


def _is_self_delimiting(method: bytes, status: int, fields: dict[bytes, bytes]) -> bool:
    """Whether an answer ends otherwise than with its connection."""
    if method == b"HEAD" or status in (204, 304):
        return True
    return b"content-length" in fields or b"chunked" in fields.get(b"transfer-encoding", b"").lower()


def _url(address: str, target: bytes) -> httpcore.URL:
    host, _, port = address.rpartition(":")
    return httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=target)
