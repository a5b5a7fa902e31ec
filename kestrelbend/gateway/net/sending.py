"""One attempt to send a request to a backend, and the aiohttp client hooks that decide whether it is sent.

Invariant: only `_before_first_byte` decides whether a request may be written. After it has allowed the
request, the attempt is always reported as one that the backend may have processed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Final, Protocol

import aiohttp

from ..errors import GatewayError
from ..interface import EndpointState, Idempotency
from .metrics import DescriptorLimits, counters

if TYPE_CHECKING:
    from ..decisions.state import BackendState
    from ..interface import Delivery
    from .answers import ResponseReader
    from .connection_pool import ConnectionPool
    from .requests import Request

MAX_LOOP_ITERATIONS: Final = 4  # of the event loop, within which pending input of client and backend is read


class NothingWritten(GatewayError):
    """An attempt ended, or must be repeated, before its first byte was written: the backend did no work."""

    code = "net.nothing_written"


class SendNotAllowed(NothingWritten):
    """The request must not be sent any more.

    Its time is over, no descriptor is left, its client has disconnected, or the backend is draining, gone or
    moved.
    """

    code = "net.not_wanted"


class StaleConnection(NothingWritten):
    """The kept-alive connection was closed or has received unsolicited data; another one may serve."""

    code = "net.stale"


class ReuseDelayPending(NothingWritten):
    """No connection can be opened, but one is in its reuse delay and may serve afterwards."""

    code = "net.settling"


class SendClient(Protocol):
    """What an attempt needs of `backends.BackendClient`."""

    descriptor_limits: DescriptorLimits
    connecting: int
    """How many connections are being established."""

    @property
    def endpoints(self) -> Mapping[Any, str]:
        """The endpoint (host:port) of each backend."""

    @property
    def blocked(self) -> Mapping[Any, Any]:
        """Backends that a received list, not yet applied, removes or moves."""

    def clock(self) -> int:
        """The current time in microseconds of the gateway's clock."""

    def retire_pools(self, backend: Any = None) -> Any:
        """Retire the connection pool of a backend, or all pools."""


class SendAttempt:
    """One attempt to send a request: the backend, the connection and the progress.

    `delivery` and `request` are None for a probe. `pool` and the connection's `response_reader` are set once
    they are chosen. `is_connecting`: a connection is being established for it. `write_started`: a byte of the
    request may have been written. `completed_at`: when the response was complete, in microseconds of the
    gateway's clock.
    """

    __slots__ = (
        "backend",
        "backend_client",
        "delivery",
        "request",
        "pool",
        "response_reader",
        "is_connecting",
        "write_started",
        "completed_at",
    )

    pool: ConnectionPool
    response_reader: ResponseReader

    def __init__(
        self,
        backend: BackendState,
        backend_client: SendClient,
        delivery: Delivery | None = None,
        request: Request | None = None,
    ) -> None:
        self.backend = backend
        self.backend_client = backend_client
        self.delivery = delivery
        self.request = request
        self.completed_at: int | None = None
        self.is_connecting = False
        self.write_started = False

    def finish_connecting(self) -> None:
        """Note that no connection is being established for this attempt any more."""
        self.backend_client.connecting -= self.is_connecting
        self.is_connecting = False

    def has_unread_data(self) -> bool:
        """Whether data, an end or a reset from the client or the backend is waiting to be read."""
        return (
            self.response_reader.has_unread_data()
            or self.request is not None
            and self.request.has_unread_data()
        )

    def requires_settled_connection(self) -> bool:
        """Whether the request may only be written once the connection has settled (see `ResponseReader`).

        For a slow backend, an early response could not be told from a second one to the previous request; a
        non-idempotent request would fail if its response were ambiguous.
        """
        if self.delivery is None:
            return False
        return (
            self.response_reader.reuse_history.is_slow
            or self.delivery.inv.op.effect is Idempotency.NON_IDEMPOTENT
        )

    def may_start(self) -> bool:
        """Whether the first byte of the request may be written now.

        This moment counts for rule 3, by which a draining, departed or moved backend gets no new request.
        Since the delivery was decided, its client may also have disconnected or been answered, or its
        deadline or the retry window may have passed.
        """
        backend_client = self.backend_client
        if (
            self.backend.state is not EndpointState.READY
            or self.backend in backend_client.blocked
            or self.pool.endpoint != backend_client.endpoints.get(self.backend)
        ):
            return False
        if self.delivery is None:
            return True
        assert self.request is not None  # each delivery has its request
        return not (
            self.delivery.inv.done
            or self.request.client_left()
            or backend_client.clock() >= self.delivery.begin_by
        )

    def finished_at(self) -> int:
        """When the response was complete, or now if it is not, by the gateway's clock.

        Whether the response belongs to this request may have become certain only later.
        """
        return self.backend_client.clock() if self.completed_at is None else self.completed_at


async def _before_first_byte(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    """Decide whether the request may be written: a connection is established and nothing is written yet.

    After a stall of this process, the end of the client's or the backend's connection may be unread.
    """
    attempt: SendAttempt = context.trace_request_ctx
    if attempt.requires_settled_connection():
        await attempt.response_reader.wait_until_settled()
    for _ in range(MAX_LOOP_ITERATIONS):
        if not attempt.has_unread_data():
            break
        await asyncio.sleep(0)
    if not attempt.may_start():
        counters["first_bytes_not_wanted"] += 1
        raise SendNotAllowed
    if not attempt.response_reader.begin_request():
        counters["kept_connections_stale"] += 1
        raise StaleConnection
    attempt.write_started = True


async def _connect_started(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    """Allow a new connection; without a free descriptor, wait for a connection in its reuse delay instead."""
    attempt: SendAttempt = context.trace_request_ctx
    backend_client = attempt.backend_client
    if not backend_client.descriptor_limits.has_room_for_other(backend_client.connecting):
        if attempt.pool.connector.delayed_count:
            raise ReuseDelayPending
        counters["no_descriptor_left"] += 1
        backend_client.retire_pools()
        raise SendNotAllowed
    attempt.is_connecting = True
    backend_client.connecting += 1


async def _connect_finished(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    context.trace_request_ctx.finish_connecting()


def trace_config() -> aiohttp.TraceConfig:
    """The hooks for aiohttp's client; the trace context of each request is its `SendAttempt`."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_connect_started)
    config.on_connection_create_end.append(_connect_finished)
    config.on_request_headers_sent.append(_before_first_byte)
    return config
