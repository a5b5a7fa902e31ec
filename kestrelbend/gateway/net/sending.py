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
    from .answers import Answers
    from .connection_pool import ConnectionPool
    from .requests import Request

MAX_LOOP_ITERATIONS: Final = 4  # of the loop, in which what lies unread at either end is read


class NothingWritten(GatewayError):
    """A sending ended, or has to be tried again, before its first byte: the backend did no work for it."""

    code = "net.nothing_written"


class SendNotAllowed(NothingWritten):
    """No time or socket is left, its client has gone, or the backend began to drain or went meanwhile."""

    code = "net.not_wanted"


class StaleConnection(NothingWritten):
    """The kept connection has ended or said something of its own: another one may serve."""

    code = "net.stale"


class ReuseDelayPending(NothingWritten):
    """No connection can be made, and one rests for a moment after its answer: it may serve then."""

    code = "net.settling"


class SendClient(Protocol):
    """What a sending asks of the gateway's backends (`backends.Backends`)."""

    descriptor_limits: DescriptorLimits
    connecting: int
    """Connections being made."""

    @property
    def endpoints(self) -> Mapping[Any, str]:
        """host:port by backend."""

    @property
    def blocked(self) -> Mapping[Any, Any]:
        """Backends that a list not yet taken in takes off or moves."""

    def clock(self) -> int:
        """Now, in microseconds of the gateway's clock."""

    def retire_pools(self, backend: Any = None) -> Any:
        """Give up the connections kept to a backend, or to all."""


class SendAttempt:
    """What is known of one attempt: to whom, on which connection, and how far it has come.

    `d` and `request` are None for a probe. `link`: the pool, `answers`: the connection's reader, once chosen.
    `connects`: it makes a connection. `begun`: a byte of it may have been written. `whole`: when its answer
    was complete, in microseconds of the backend_client's clock.
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
    response_reader: Answers

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
        """It makes no connection any more."""
        self.backend_client.connecting -= self.is_connecting
        self.is_connecting = False

    def has_unread_data(self) -> bool:
        """Whether its client, or what it would be written to, has said or ended something not yet read."""
        return self.response_reader.unread() or self.request is not None and self.request.unread()

    def requires_settled_connection(self) -> bool:
        """Whether it may go only on a connection that has settled.

        An early answer could not be told from a second one to the request before, or a request that may not
        be repeated would fail by the doubt.
        """
        if self.delivery is None:
            return False
        return (
            self.response_reader.reuse_history.is_slow
            or self.delivery.inv.op.effect is Idempotency.NON_IDEMPOTENT
        )

    def may_start(self) -> bool:
        """Whether its first byte may be written now.

        Rule 3 counts from then; a client may have gone or got its answer, its time or the window for repeats
        be over since the delivery was decided.
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
            self.delivery.inv.done or self.request.left() or backend_client.clock() >= self.delivery.begin_by
        )

    def finished_at(self) -> int:
        """By the backend_client's clock: when its answer was complete, if it was.

        Whether that was this request's may have been found out later.
        """
        return self.backend_client.clock() if self.completed_at is None else self.completed_at


async def _before_first_byte(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    """Decide whether a first byte may be written; there is a connection, and nothing is written yet.

    After a stall of this gateway the end of a client, or that of the connection, lies unread.
    """
    attempt: SendAttempt = context.trace_request_ctx
    if attempt.requires_settled_connection():
        await attempt.response_reader.settle()
    for _ in range(MAX_LOOP_ITERATIONS):
        if not attempt.has_unread_data():
            break
        await asyncio.sleep(0)
    if not attempt.may_start():
        counters["first_bytes_not_wanted"] += 1
        raise SendNotAllowed
    if not attempt.response_reader.ask():
        counters["kept_connections_stale"] += 1
        raise StaleConnection
    attempt.write_started = True


async def _connect_started(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    """A connection is to be made: where no descriptor is left for it, one that rests is waited for."""
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
    """The hooks of aiohttp's client by which a `SendAttempt`, its requests' trace context, is decided on."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_connect_started)
    config.on_connection_create_end.append(_connect_finished)
    config.on_request_headers_sent.append(_before_first_byte)
    return config
