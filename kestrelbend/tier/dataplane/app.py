"""The data plane's ASGI application: reads a request, forwards it to a backend, and responds.

    read and check (`reading`) ──> admission (`admission_control`) ──> budget of a turn (`turn`)
                                                                         └──> delivery loop (`forward`)

Each stage either continues with the next one or returns a local response, that is, one that the gateway
generates itself.  The stages after the first are bounded by the exchange's deadline and end when the client
disconnects.  A local response with status 408, 421, 429 or 503, and any given before the delivery loop, means
that the request did not run; a 502 or 504 means that it may have run.

Invariants: no request is held past its deadline or the route's timeout; after a client disconnects, nothing
more is sent for it, and its current send is cancelled unless the request may run only once; an error of the
gateway never looks like a backend's response; only the newest configuration rejects a request permanently.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import logbook

from ..http_server.body_budget import BodyBudget, BodyBuffer
from ..http_server.request_body import ClientDisconnected, Receive
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
STARTUP_WAIT_S = 1.5  # maximum wait of a request while the gateway is starting
NOT_READY_RETRY_S = 0.5
SHUTDOWN_RETRY_S = 0.05
CONFIGURATION_STATUSES = frozenset((401, 403, 404, 413, 431))  # may differ under a newer configuration


@attrs.define
class DataPlane:
    """The ASGI application.  `build_data_plane` constructs it."""

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
    may_refuse: Callable[[], bool]  # whether the configuration in force is known to be the newest
    bodies: BodyBudget
    _maintained_at: float = 0.0

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handles one ASGI request."""
        if scope["type"] != "http":
            return
        self.lifecycle.request_started()
        try:
            await self._serve(scope, receive, send)
        finally:
            self.lifecycle.request_finished()

    async def _serve(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handles one request while it counts as in flight."""
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
        with self.bodies.open() as body_buffer:
            await self._read_and_forward(scope, receive, client, table, received_at, body_buffer)

    async def _read_and_forward(
        self,
        scope: dict[str, Any],
        receive: Receive,
        client: Client,
        table: ports.RoutingTable,
        received_at: float,
        body_buffer: BodyBuffer,
    ) -> None:
        """Reads a request whose body `body_buffer` holds, forwards it, and responds."""
        try:
            exchange = await self._read(scope, receive, table, received_at, body_buffer)
        except ClientDisconnected:
            return
        if isinstance(exchange, LocalResponse):
            await client.respond(self._soften_stale_rejection(exchange))
            return
        response = await self._forward_until_deadline(exchange, client, receive)
        if response is not None:
            await client.respond(response)

    def _startup_wait_s(self, scope: dict[str, Any], received_at: float) -> float:
        """How long a request waits while the gateway is starting; never longer than the request may take."""
        table = self.routing.current()
        head = RequestHead.of(scope, received_at)
        route = None if table is None else head.route(table)
        return STARTUP_WAIT_S if route is None else min(STARTUP_WAIT_S, head.allowed_s(route))

    async def _read(
        self,
        scope: dict[str, Any],
        receive: Receive,
        table: ports.RoutingTable,
        received_at: float,
        body_buffer: BodyBuffer,
    ) -> Exchange | LocalResponse:
        """Reads the request; returns its exchange or its rejection.  Nothing is sent to a backend.

        The configuration in force once the body is complete applies.  Raises ClientDisconnected.
        """
        rejection = check_head(scope["headers"], table.limits)
        if rejection is not None:
            return rejection
        head = RequestHead.of(scope, received_at)
        route = head.route(table)
        timeout_s = math.inf
        if route is not None:
            timeout_s = max(0.0, received_at + head.allowed_s(route) - asyncio.get_running_loop().time())
        body = await read_body(receive, body_buffer, table.limits, timeout_s)
        if isinstance(body, LocalResponse):
            return body
        newest_table = self.routing.current() or table
        self._maintain(newest_table, received_at)
        if newest_table is not table:
            route = head.route(newest_table)
        return build_exchange(head, body, newest_table, route, self.split)

    def _soften_stale_rejection(self, response: LocalResponse) -> LocalResponse:
        """`response`, or a 503 if it depends on a configuration that is not known to be the newest."""
        if response.status not in CONFIGURATION_STATUSES or self.may_refuse():
            return response
        reason = "this gateway does not know that its configuration is the newest"
        return LocalResponse(503, reason, NOT_READY_RETRY_S, response.closes)

    async def _forward_until_deadline(
        self, exchange: Exchange, client: Client, receive: Receive
    ) -> LocalResponse | None:
        """Forwards until the deadline or the client's disconnect; returns the local response to send, if any.

        Hazard: after either, only `progress` tells whether the request may have run.
        """
        progress = Progress()
        watch = _DisconnectWatcher(receive, client, lambda: _cancels_on_disconnect(exchange, progress))
        try:
            async with asyncio.timeout_at(exchange.deadline) as bound:
                watch.start(bound)
                client.before_end = watch.stop
                try:
                    await asyncio.sleep(0)  # lets the watcher run: the client may already be gone
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
        """Runs admission control, then the later stages; always releases an admitted request."""
        admission_rejection = await self.admission.admit(delivery.exchange)
        if admission_rejection is not None:
            return admission_rejection
        try:
            return await self._check_budget(delivery)
        finally:
            self.admission.release(delivery.exchange)

    async def _check_budget(self, delivery: Delivery) -> LocalResponse | None:
        """Forwards the request, with a budget reservation if it is a turn of a program."""
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
        """Closes connections idle for too long, and drops the state of backends that no longer exist."""
        if now - self._maintained_at < MAINTENANCE_INTERVAL_S:
            return
        self._maintained_at = now
        live = {backend.identity for service in table.services for backend in self.backends.of(service)}
        self.connections.prune(live)
        self.health.keep_only(live)
        self.latency.keep_only(live)
        self.reported.keep_only(live)

    def stop_accepting(self) -> None:
        """Rejects requests that arrive from now on: the listener is closing, and their connections may be
        closed before they are answered."""
        self.lifecycle.closed = True


class _DisconnectWatcher:
    """Detects the client's disconnect and then cancels its exchange if `ends` returns True."""

    def __init__(self, receive: Receive, client: Client, ends: Callable[[], bool]) -> None:
        self._receive = receive
        self._client = client
        self._ends = ends
        self._task: asyncio.Task[None] | None = None

    def start(self, bound: asyncio.Timeout) -> None:
        """Starts watching; `bound` is the exchange's timeout, which is rescheduled to cancel the exchange."""
        self._task = asyncio.ensure_future(self._watch(bound))

    def stop(self) -> None:
        """Stops watching."""
        if self._task is not None:
            self._task.cancel()

    async def _watch(self, bound: asyncio.Timeout) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self._client.disconnected = True
        if self._ends():
            bound.reschedule(asyncio.get_running_loop().time())


def _cancels_on_disconnect(exchange: Exchange, progress: Progress) -> bool:
    """Whether the exchange is cancelled when its client disconnects.

    A request that may run only once and was sent to a backend continues although nobody receives the
    response: cancelled midway, it might be only partly done.
    """
    return exchange.retryable or exchange.streaming or not progress.may_have_run


def _deadline_response(client: Client, progress: Progress) -> LocalResponse | None:
    """The response at the deadline: 504 if the request may have run, else 503; None if one was started."""
    if client.started:
        return None
    if progress.may_have_run:
        return LocalResponse(504, "the time is over")
    return LocalResponse(503, "the time is over, and the request did not run", DEADLINE_RETRY_S)


def _internal_error_response(client: Client, progress: Progress) -> LocalResponse | None:
    """The response to an internal error: 502 if the request may have run, else 503; None if one was sent."""
    if client.started:
        return None
    if progress.may_have_run:
        return LocalResponse(502, "the gateway failed")
    return LocalResponse(503, "the gateway failed, and the request did not run", DEADLINE_RETRY_S)


def build_data_plane(
    dependencies: ports.Dependencies, lifecycle: Lifecycle, rng: random.Random | None = None
) -> DataPlane:
    """Constructs a data plane; `rng` is the source of all its random choices."""
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
        bodies=dependencies.bodies,
    )
