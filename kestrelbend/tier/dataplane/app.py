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
from .attempt import AttemptRunner, Progress
from .choice import LoadBalancer
from .client import Client, LocalResponse
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
    DEADLINE_RETRY_S,
    ClientDisconnected,
    Receive,
    RequestHead,
    build_exchange,
    check_head,
    read_body,
)
from .reported_load import ReportedLoad
from .send import Sender
from .split import TrafficSplit
from .turn import Turns, parse_turn
from .waiting_queue import WaitingQueues

log = logbook.Logger("dataplane")
Send = Callable[[dict[str, Any]], Awaitable[None]]
MAINTENANCE_INTERVAL_S = 1.0
STARTUP_WAIT_S = 1.5  # that a request waits for a gateway which has just been started
NOT_READY_RETRY_S = 0.5
SHUTDOWN_RETRY_S = 0.05
CONFIGURATION_STATUSES = frozenset((401, 403, 404, 413, 431))  # depend on the routing configuration


@attrs.define
class DataPlane:
    """The ASGI application.  Its parts are put together by `assemble`."""

    routing: ports.Routing
    backends: ports.Backends
    connections: Connections
    load_balancer: LoadBalancer
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
        self.lifecycle.request_started()
        try:
            await self._serve(scope, receive, send)
        finally:
            self.lifecycle.request_finished()

    async def _serve(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """One request, as long as it counts as in flight."""
        received_at = asyncio.get_running_loop().time()
        request_id = next((value for name, value in scope["headers"] if name == REQUEST_ID), None)
        client = Client(send, lambda: self.lifecycle.closes_connections, scope["http_version"], request_id)
        if not self.lifecycle.was_ready:
            await self.lifecycle.wait_until_ready(self._startup_wait_s(scope, received_at))
        table = self.routing.current()
        if table is None:
            await client.respond(LocalResponse(503, "no configuration yet", NOT_READY_RETRY_S))
            return
        if self.lifecycle.closed:
            await client.respond(LocalResponse(503, "this gateway is leaving", SHUTDOWN_RETRY_S))
            return
        try:
            exchange = await self._read(scope, receive, table, received_at)
        except ClientDisconnected:
            return
        if isinstance(exchange, LocalResponse):
            await client.respond(self._soften_stale_rejection(exchange))
            return
        response = await self._forward_until_deadline(exchange, client, receive)
        if response is not None:
            await client.respond(response)

    def _startup_wait_s(self, scope: dict[str, Any], received_at: float) -> float:
        """How long a request waits for a gateway that is starting: no longer than it may take at all."""
        table = self.routing.current()
        head = RequestHead.of(scope, received_at)
        route = None if table is None else head.route(table)
        return STARTUP_WAIT_S if route is None else min(STARTUP_WAIT_S, head.allowed_s(route))

    async def _read(
        self, scope: dict[str, Any], receive: Receive, table: ports.RoutingTable, received_at: float
    ) -> Exchange | LocalResponse:
        """The request, by the configuration in force once it is complete, or its rejection.

        Raises ClientGone.  Nothing was sent for it yet.
        """
        rejection = check_head(scope["headers"], table.limits)
        if rejection is not None:
            return rejection
        head = RequestHead.of(scope, received_at)
        route = head.route(table)
        timeout_s = math.inf
        if route is not None:
            timeout_s = max(0.0, received_at + head.allowed_s(route) - asyncio.get_running_loop().time())
        body = await read_body(receive, table.limits, timeout_s)
        if isinstance(body, LocalResponse):
            return body
        newest_table = self.routing.current() or table
        self._maintain(newest_table, received_at)
        if newest_table is not table:
            route = head.route(newest_table)
        return build_exchange(head, body, newest_table, route, self.split)

    def _soften_stale_rejection(self, response: LocalResponse) -> LocalResponse:
        """`own`, but nothing final by a configuration that is not known to be the newest."""
        if response.status not in CONFIGURATION_STATUSES or self.may_refuse():
            return response
        reason = "this gateway does not know that its configuration is the newest"
        return LocalResponse(503, reason, NOT_READY_RETRY_S, response.closes)

    async def _forward_until_deadline(
        self, exchange: Exchange, client: Client, receive: Receive
    ) -> LocalResponse | None:
        """Forwards until the deadline, or until the client goes; the own answer to give, if any.

        Hazard: past either, only `progress` tells whether the request may have run.
        """
        progress = Progress()
        watch = _DisconnectWatcher(receive, client, lambda: _cancels_on_disconnect(exchange, progress))
        try:
            async with asyncio.timeout_at(exchange.deadline) as bound:
                watch.start(bound)
                client.before_end = watch.stop
                try:
                    await asyncio.sleep(0)  # the client may have left while its request waited
                    if client.disconnected:
                        return None
                    return await self._admit(Delivery(exchange, client, progress))
                finally:
                    watch.stop()
        except TimeoutError:
            return None if client.disconnected else _deadline_response(client, progress)
        except Exception:
            log.exception("an exchange failed")
            return _internal_error_response(client, progress)

    async def _admit(self, delivery: Delivery) -> LocalResponse | None:
        """Admission, then the rest; what is admitted is released however it ends."""
        refusal = await self.admission.admit(delivery.exchange)
        if refusal is not None:
            return refusal
        try:
            return await self._check_budget(delivery)
        finally:
            self.admission.release(delivery.exchange)

    async def _check_budget(self, delivery: Delivery) -> LocalResponse | None:
        """Forwards, with a reservation where the request is a turn of a program."""
        exchange = delivery.exchange
        turn = parse_turn(exchange)
        if turn is None:
            return await self.forwarder.forward(delivery)
        live = self.backends.of(exchange.service.name)
        now = asyncio.get_running_loop().time()
        spare_capacity = not self.admission.is_limited(exchange.service.name) and any(
            self.load_balancer.has_capacity(backend, exchange.service, now) for backend in live
        )
        return await self.turns.run(turn, delivery, spare_capacity, self.forwarder.forward)

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

    def stop_accepting(self) -> None:
        """The listener is being closed: a request that still arrives is refused, since its connection may be
        closed before its answer."""
        self.lifecycle.closed = True


class _DisconnectWatcher:
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
        self._client.disconnected = True
        if self._ends():
            bound.reschedule(asyncio.get_running_loop().time())


def _cancels_on_disconnect(exchange: Exchange, progress: Progress) -> bool:
    """Whether nobody needs the exchange to go on once its client has left.

    What may run once only and has left for a backend goes on to its end, though nobody gets the answer: cut
    off, it might be done by half.
    """
    return exchange.retryable or exchange.streaming or not progress.may_have_run


def _deadline_response(client: Client, progress: Progress) -> LocalResponse | None:
    """The answer at the deadline: 504 where the request may have run, else 503; None where one was begun."""
    if client.started:
        return None
    if progress.may_have_run:
        return LocalResponse(504, "the time is over")
    return LocalResponse(503, "the time is over, and the request did not run", DEADLINE_RETRY_S)


def _internal_error_response(client: Client, progress: Progress) -> LocalResponse | None:
    """The answer where this gateway failed: 502 where the request may have run, else 503; None as above."""
    if client.started:
        return None
    if progress.may_have_run:
        return LocalResponse(502, "the gateway failed")
    return LocalResponse(503, "the gateway failed, and the request did not run", DEADLINE_RETRY_S)


def build_data_plane(
    dependencies: ports.Dependencies, lifecycle: Lifecycle, rng: random.Random | None = None
) -> DataPlane:
    """Puts a data plane together; `rng` draws all that it leaves to chance."""
    rng = rng or random.Random()
    backends = dependencies.backends
    gateways = dependencies.gateways
    health = Health()
    latency = LatencyRatios()
    reported = ReportedLoad()
    connections = Connections(dependencies.network, gateways)
    load_balancer = LoadBalancer(dependencies.zone, health, latency, connections, reported, rng)
    waiting = WaitingQueues()
    admission = AdmissionControl(ConcurrencyLimits(), waiting, backends, gateways, rng)
    sender = Sender(backends, connections)
    attempt_runner = AttemptRunner(sender, health, latency, admission, reported, load_balancer.in_flight)
    forwarder = Forwarder(backends, attempt_runner, load_balancer, Hedger(latency), waiting, admission)
    return DataPlane(
        routing=dependencies.routing,
        backends=backends,
        connections=connections,
        load_balancer=load_balancer,
        health=health,
        latency=latency,
        reported=reported,
        admission=admission,
        forwarder=forwarder,
        turns=Turns(dependencies.budget),
        split=TrafficSplit(backends, rng),
        lifecycle=lifecycle,
        may_refuse=dependencies.may_refuse,
    )
