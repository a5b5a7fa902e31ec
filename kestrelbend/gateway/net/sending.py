"""One sending to a backend, and the hooks of aiohttp's client that decide whether it goes out.

Invariant: `_begins` alone decides whether a first byte may be written. Once it has, the outcome is never said
to be safer than a backend that has the request.
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

TURNS: Final = 4  # of the loop, in which what lies unread at either end is read


class NothingWritten(GatewayError):
    """A sending ended, or has to be tried again, before its first byte: the backend did no work for it."""

    code = "net.nothing_written"


class NotWanted(NothingWritten):
    """No time or socket is left, its client has gone, or the backend began to drain or went meanwhile."""

    code = "net.not_wanted"


class Stale(NothingWritten):
    """The kept connection has ended or said something of its own: another one may serve."""

    code = "net.stale"


class Settling(NothingWritten):
    """No connection can be made, and one rests for a moment after its answer: it may serve then."""

    code = "net.settling"


class SendingPeer(Protocol):
    """What a sending asks of the gateway's backends (`backends.Backends`)."""

    sockets: DescriptorLimits
    connecting: int
    """Connections being made."""

    @property
    def endpoints(self) -> Mapping[Any, str]:
        """host:port by backend."""

    @property
    def barred(self) -> Mapping[Any, Any]:
        """Backends that a list not yet taken in takes off or moves."""

    def clock(self) -> int:
        """Now, in microseconds of the gateway's clock."""

    def renew(self, backend: Any = None) -> Any:
        """Give up the connections kept to a backend, or to all."""


class Sending:
    """What is known of one sending: to whom, on which connection, and how far it has come.

    `d` and `request` are None for a probe. `link`: the pool, `answers`: the connection's reader, once chosen.
    `connects`: it makes a connection. `begun`: a byte of it may have been written. `whole`: when its answer
    was complete, in microseconds of the peer's clock.
    """

    __slots__ = ("backend", "peer", "d", "request", "link", "answers", "connects", "begun", "whole")

    link: ConnectionPool
    answers: Answers

    def __init__(
        self,
        backend: BackendState,
        peer: SendingPeer,
        d: Delivery | None = None,
        request: Request | None = None,
    ) -> None:
        self.backend = backend
        self.peer = peer
        self.d = d
        self.request = request
        self.whole: int | None = None
        self.connects = False
        self.begun = False

    def over(self) -> None:
        """It makes no connection any more."""
        self.peer.connecting -= self.connects
        self.connects = False

    def unread(self) -> bool:
        """Whether its client, or what it would be written to, has said or ended something not yet read."""
        return self.answers.unread() or self.request is not None and self.request.unread()

    def needs_silence(self) -> bool:
        """Whether it may go only on a connection that has settled.

        An early answer could not be told from a second one to the request before, or a request that may not
        be repeated would fail by the doubt.
        """
        if self.d is None:
            return False
        return self.answers.trust.is_slow or self.d.inv.op.effect is Idempotency.NON_IDEMPOTENT

    def wanted(self) -> bool:
        """Whether its first byte may be written now.

        Rule 3 counts from then; a client may have gone or got its answer, its time or the window for repeats
        be over since the delivery was decided.
        """
        peer = self.peer
        if (
            self.backend.state is not EndpointState.READY
            or self.backend in peer.barred
            or self.link.endpoint != peer.endpoints.get(self.backend)
        ):
            return False
        if self.d is None:
            return True
        assert self.request is not None  # each delivery has its request
        return not (self.d.inv.done or self.request.left() or peer.clock() >= self.d.begin_by)

    def ended_at(self) -> int:
        """By the peer's clock: when its answer was complete, if it was.

        Whether that was this request's may have been found out later.
        """
        return self.peer.clock() if self.whole is None else self.whole


async def _begins(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    """Decide whether a first byte may be written; there is a connection, and nothing is written yet.

    After a stall of this gateway the end of a client, or that of the connection, lies unread.
    """
    sending: Sending = context.trace_request_ctx
    if sending.needs_silence():
        await sending.answers.settle()
    for _ in range(TURNS):
        if not sending.unread():
            break
        await asyncio.sleep(0)
    if not sending.wanted():
        counters["first_bytes_not_wanted"] += 1
        raise NotWanted
    if not sending.answers.ask():
        counters["kept_connections_stale"] += 1
        raise Stale
    sending.begun = True


async def _connects(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    """A connection is to be made: where no descriptor is left for it, one that rests is waited for."""
    sending: Sending = context.trace_request_ctx
    peer = sending.peer
    if not peer.sockets.room_beside_clients(peer.connecting):
        if sending.link.connector.resting:
            raise Settling
        counters["no_descriptor_left"] += 1
        peer.renew()
        raise NotWanted
    sending.connects = True
    peer.connecting += 1


async def _connected(_session: aiohttp.ClientSession, context: Any, _params: object) -> None:
    context.trace_request_ctx.over()


def trace() -> aiohttp.TraceConfig:
    """The hooks of aiohttp's client by which a `Sending`, its requests' trace context, is decided on."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_connects)
    config.on_connection_create_end.append(_connected)
    config.on_request_headers_sent.append(_begins)
    return config
