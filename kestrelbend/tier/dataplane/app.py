"""The data plane's ASGI application: reads a request, forwards it, answers.

    read and check (`reading`) ──> admission (`admission_control`) ──> budget of a turn (`turn`)
                                                                         └──> delivery loop (`forward`)

Each stage either goes on to the next or gives an answer of the gateway's own.  The three behind the first are
bounded by the exchange's deadline, and end when the client goes away.  An own answer of 408, 421, 429 or 503,
and any given before the delivery loop, says that the request did not run; a 502 or 504 that it may have.

Invariants: nothing is kept past the request's deadline or the route's timeout; when a client goes away,
nothing more is sent for it, and the send made for it ends unless what it asked for may run once only; an
error of the gateway itself never looks like a backend's answer; what is refused for good is refused by the
newest configuration.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import logbook

from . import ports
from .admission_control import AdmissionControl
from .attempt import Attempter, Progress
from .choice import Chooser
from .client import Client, OwnAnswer
from .concurrency_limit import ConcurrencyLimits
from .connections import Connections
from .delivery import Delivery
from .exchange import REQUEST_ID, Exchange
from .forward import Forwarder
from .health import Health
from .hedge import Hedger
from .latency import LatencyRatios
from .lifecycle import Lifecycle
from .reading import (
    TIME_OVER_RETRY_S,
    ClientGone,
    Receive,
    RequestHead,
    build_exchange,
    check_head,
    read_body,
)
from .reported_load import ReportedLoad
from .send import Sender
from .split import TrafficSplit
from .turn import Turns, turn_of
from .waiting_queue import WaitingQueues

log = logbook.Logger("dataplane")
Send = Callable[[dict[str, Any]], Awaitable[None]]
MAINTENANCE_INTERVAL_S = 1.0
START_WAIT_S = 1.5  # that a request waits for a gateway which has just been started
NOT_READY_RETRY_S = 0.5
LEAVING_RETRY_S = 0.05
BY_CONFIGURATION = frozenset((401, 403, 404, 413, 431))  # statuses that another configuration may not give


@attrs.define
class DataPlane:
    """The ASGI application.  Its parts are put together by `assemble`."""

    routing: ports.Routing
    backends: ports.Backends
    connections: Connections
    chooser: Chooser
    health: Health
    latency: LatencyRatios
    reported: ReportedLoad
    admission: AdmissionControl
    forwarder: Forwarder
    turns: Turns
    split: TrafficSplit
    lifecycle: Lifecycle
    may_refuse: Callable[[], bool]  # the configuration in force is known to be the newest
    _maintained_at: float = 0.0

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """One request, by ASGI."""
        if scope["type"] != "http":
            return
        self.lifecycle.enter()
        try:
            await self._serve(scope, receive, send)
        finally:
            self.lifecycle.leave()

    async def _serve(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """One request, as long as it counts as in flight."""
        begun = asyncio.get_running_loop().time()
        request_id = next((value for name, value in scope["headers"] if name == REQUEST_ID), None)
        client = Client(send, lambda: self.lifecycle.closes_connections, scope["http_version"], request_id)
        if not self.lifecycle.was_ready:
            await self.lifecycle.wait_until_ready(self._start_wait_s(scope, begun))
        table = self.routing.current()
        if table is None:
            await client.answer(OwnAnswer(503, "no configuration yet", NOT_READY_RETRY_S))
            return
        if self.lifecycle.closed:
            await client.answer(OwnAnswer(503, "this gateway is leaving", LEAVING_RETRY_S))
            return
        try:
            exchange = await self._read(scope, receive, table, begun)
        except ClientGone:
            return
        if isinstance(exchange, OwnAnswer):
            await client.answer(self._refused(exchange))
            return
        own = await self._bounded(exchange, client, receive)
        if own is not None:
            await client.answer(own)

    def _start_wait_s(self, scope: dict[str, Any], begun: float) -> float:
        """How long a request waits for a gateway that is starting: no longer than it may take at all."""
        table = self.routing.current()
        head = RequestHead.of(scope, begun)
        route = None if table is None else head.route(table)
        return START_WAIT_S if route is None else min(START_WAIT_S, head.allowed_s(route))

    async def _read(
        self, scope: dict[str, Any], receive: Receive, table: ports.RoutingTable, begun: float
    ) -> Exchange | OwnAnswer:
        """The request, by the configuration in force once it is complete, or its rejection.

        Raises ClientGone.  Nothing was sent for it yet.
        """
        wrong = check_head(scope["headers"], table.limits)
        if wrong is not None:
            return wrong
        head = RequestHead.of(scope, begun)
        route = head.route(table)
        within_s = math.inf
        if route is not None:
            within_s = max(0.0, begun + head.allowed_s(route) - asyncio.get_running_loop().time())
        body = await read_body(receive, table.limits, within_s)
        if isinstance(body, OwnAnswer):
            return body
        newest = self.routing.current() or table
        self._maintain(newest, begun)
        if newest is not table:
            route = head.route(newest)
        return build_exchange(head, body, newest, route, self.split)

    def _refused(self, own: OwnAnswer) -> OwnAnswer:
        """`own`, but nothing final by a configuration that is not known to be the newest."""
        if own.status not in BY_CONFIGURATION or self.may_refuse():
            return own
        reason = "this gateway does not know that its configuration is the newest"
        return OwnAnswer(503, reason, NOT_READY_RETRY_S, own.closes)

    async def _bounded(self, exchange: Exchange, client: Client, receive: Receive) -> OwnAnswer | None:
        """Forwards until the deadline, or until the client goes; the own answer to give, if any.

        Hazard: past either, only `progress` tells whether the request may have run.
        """
        progress = Progress()
        watch = _ClientWatch(receive, client, lambda: _ends_with_client(exchange, progress))
        try:
            async with asyncio.timeout_at(exchange.deadline) as bound:
                watch.start(bound)
                client.before_end = watch.stop
                try:
                    await asyncio.sleep(0)  # the client may have left while its request waited
                    if client.gone:
                        return None
                    return await self._carry(Delivery(exchange, client, progress))
                finally:
                    watch.stop()
        except TimeoutError:
            return None if client.gone else _time_over(client, progress)
        except Exception:
            log.exception("an exchange failed")
            return _own_failure(client, progress)

    async def _carry(self, delivery: Delivery) -> OwnAnswer | None:
        """Admission, then the rest; what is admitted is released however it ends."""
        refusal = await self.admission.admit(delivery.exchange)
        if refusal is not None:
            return refusal
        try:
            return await self._check_budget(delivery)
        finally:
            self.admission.release(delivery.exchange)

    async def _check_budget(self, delivery: Delivery) -> OwnAnswer | None:
        """Forwards, with a reservation where the request is a turn of a program."""
        exchange = delivery.exchange
        turn = turn_of(exchange)
        if turn is None:
            return await self.forwarder.forward(delivery)
        live = self.backends.of(exchange.service.name)
        now = asyncio.get_running_loop().time()
        spare_capacity = not self.admission.is_limited(exchange.service.name) and any(
            self.chooser.has_capacity(backend, exchange.service, now) for backend in live
        )
        return await self.turns.carry(turn, delivery, spare_capacity, self.forwarder.forward)

    def _maintain(self, table: ports.RoutingTable, now: float) -> None:
        """Closes what is idle for too long, and drops what is known of backends that are no more."""
        if now - self._maintained_at < MAINTENANCE_INTERVAL_S:
            return
        self._maintained_at = now
        live = {backend.identity for service in table.services for backend in self.backends.of(service)}
        self.connections.prune(live)
        self.health.keep_only(live)
        self.latency.keep_only(live)
        self.reported.keep_only(live)

    def close_intake(self) -> None:
        """The listener is being closed: a request that still arrives is refused, since its connection may be
        closed before its answer."""
        self.lifecycle.closed = True


class _ClientWatch:
    """Notes that a client went away, and ends its exchange's time if `ends` says so."""

    def __init__(self, receive: Receive, client: Client, ends: Callable[[], bool]) -> None:
        self._receive = receive
        self._client = client
        self._ends = ends
        self._task: asyncio.Task[None] | None = None

    def start(self, bound: asyncio.Timeout) -> None:
        """Begins to watch; rescheduling `bound` ends the exchange's time."""
        self._task = asyncio.ensure_future(self._watch(bound))

    def stop(self) -> None:
        """The client is not watched any more."""
        if self._task is not None:
            self._task.cancel()

    async def _watch(self, bound: asyncio.Timeout) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self._client.gone = True
        if self._ends():
            bound.reschedule(asyncio.get_running_loop().time())


def _ends_with_client(exchange: Exchange, progress: Progress) -> bool:
    """Whether nobody needs the exchange to go on once its client has left.

    What may run once only and has left for a backend goes on to its end, though nobody gets the answer: cut
    off, it might be done by half.
    """
    return exchange.repeatable or exchange.streaming or not progress.may_have_run


def _time_over(client: Client, progress: Progress) -> OwnAnswer | None:
    """The answer at the deadline: 504 where the request may have run, else 503; None where one was begun."""
    if client.started:
        return None
    if progress.may_have_run:
        return OwnAnswer(504, "the time is over")
    return OwnAnswer(503, "the time is over, and the request did not run", TIME_OVER_RETRY_S)


def _own_failure(client: Client, progress: Progress) -> OwnAnswer | None:
    """The answer where this gateway failed: 502 where the request may have run, else 503; None as above."""
    if client.started:
        return None
    if progress.may_have_run:
        return OwnAnswer(502, "the gateway failed")
    return OwnAnswer(503, "the gateway failed, and the request did not run", TIME_OVER_RETRY_S)


def assemble(
    surroundings: ports.Surroundings, lifecycle: Lifecycle, rng: random.Random | None = None
) -> DataPlane:
    """Puts a data plane together; `rng` draws all that it leaves to chance."""
    rng = rng or random.Random()
    backends = surroundings.backends
    gateways = surroundings.gateways
    health = Health()
    latency = LatencyRatios()
    reported = ReportedLoad()
    connections = Connections(surroundings.network, gateways)
    chooser = Chooser(surroundings.zone, health, latency, connections, reported, rng)
    waiting = WaitingQueues()
    admission = AdmissionControl(ConcurrencyLimits(), waiting, backends, gateways, rng)
    sender = Sender(backends, connections)
    attempter = Attempter(sender, health, latency, admission, reported, chooser.in_flight)
    forwarder = Forwarder(backends, attempter, chooser, Hedger(latency), waiting, admission)
    return DataPlane(
        routing=surroundings.routing,
        backends=backends,
        connections=connections,
        chooser=chooser,
        health=health,
        latency=latency,
        reported=reported,
        admission=admission,
        forwarder=forwarder,
        turns=Turns(surroundings.budget),
        split=TrafficSplit(backends, rng),
        lifecycle=lifecycle,
        may_refuse=surroundings.may_refuse,
    )
