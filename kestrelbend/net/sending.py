"""One sending to a backend, and the hooks of the client library that decide whether it goes out."""

from __future__ import annotations

import asyncio

import aiohttp

from ..interface import RepeatEffect, State
from .tally import counters

TURNS = 4  # of the loop, in which what lies unread at either end is read


class NotWanted(Exception):
    """Nothing is written: no time or socket is left, its client has gone, or the backend began to drain or
    went meanwhile."""


class Stale(Exception):
    """Nothing is written: the kept connection has ended or said something of its own."""


class Settling(Exception):
    """Nothing is written: no connection can be made, and one rests for a moment after its answer."""


class Sending:
    """What is known of one sending: to whom, on which connection, whether it makes one, whether a byte of it
    may have been written, and when its answer was whole; `d` and `request` are none for a probe."""

    __slots__ = ("backend", "peer", "d", "request", "link", "answers", "connects", "begun", "whole")

    def __init__(self, backend, peer, d=None, request=None):
        self.backend, self.peer, self.d, self.request = backend, peer, d, request
        self.link, self.answers, self.whole = None, None, None
        self.connects = self.begun = False

    def over(self):
        """It makes no connection any more."""
        self.peer.connecting -= self.connects
        self.connects = False

    def unread(self):
        """Whether its client, or what it would be written to, has said or ended something not yet read."""
        return self.answers.unread() or self.request is not None and self.request.unread()

    def needs_silence(self):
        """Whether it may go only on a connection that has settled: an early answer could not be told from a
        second one to the request before, or a request that may not be repeated would fail by the doubt."""
        if self.d is None:
            return False
        return self.answers.trust.is_slow or self.d.inv.op.effect is RepeatEffect.NON_IDEMPOTENT

    def wanted(self):
        """Whether its first byte may be written now: rule 3 counts from then, a client may have gone or got
        its answer, its time or the window for repeats be over since the delivery was decided."""
        peer, d = self.peer, self.d
        if (
            self.backend.state is not State.READY
            or self.backend in peer.barred
            or self.link.endpoint != peer.endpoints.get(self.backend)
        ):
            return False
        return d is None or not (d.inv.done or self.request.left() or peer.clock() >= d.begin_by)

    def ended_at(self):
        """By the peer's clock: when its answer was whole, if it was; whether that was this request's may have
        been found out later."""
        return self.peer.clock() if self.whole is None else self.whole


async def _begins(_session, context, _params):
    """There is a connection, and nothing is written yet: the one place that decides whether a first byte may
    still be.  After a stall of this gateway the end of a client, or that of the connection, lies unread."""
    sending = context.trace_request_ctx
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


async def _connects(_session, context, _params):
    """The process may hold only so many descriptors, and none is left for this connection; one that
    rests is waited for then."""
    sending = context.trace_request_ctx
    peer = sending.peer
    if not peer.sockets.room_beside_clients(peer.connecting):
        if sending.link.connector.resting:
            raise Settling
        counters["no_descriptor_left"] += 1
        peer.renew()
        raise NotWanted
    sending.connects, peer.connecting = True, peer.connecting + 1


async def _connected(_session, context, _params):
    context.trace_request_ctx.over()


def trace() -> aiohttp.TraceConfig:
    """The hooks of aiohttp's client by which a `Sending`, its requests' trace context, is decided on."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_connects)
    config.on_connection_create_end.append(_connected)
    config.on_request_headers_sent.append(_begins)
    return config
