"""The data plane's ASGI application: reads a request, forwards it, answers.

Invariants: nothing is held past the request's deadline or the route's timeout; when a client goes away, the
send made for it ends; an error of the gateway itself never looks like a backend's answer.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable

import attrs
import logbook

from . import ports
from .choice import Chooser
from .client import Client, OwnAnswer
from .connections import Connections
from .exchange import AFFINITY_KEY, REQUEST_ID, SESSION, Exchange
from .forward import Forwarder
from .health import Health
from .life import Life
from .reading import ClientGone, Receive, build_exchange, read_body
from .send import Progress, Sender
from .turn import Turns, turn_of

log = logbook.Logger("dataplane")
Send = Callable[[dict], Awaitable[None]]


@attrs.define
class DataPlane:
    """The ASGI application.  Its parts are put together by `assemble`."""

    routing: ports.Routing
    backends: ports.Backends
    connections: Connections
    chooser: Chooser
    health: Health
    forwarder: Forwarder
    turns: Turns
    life: Life
    rng: random.Random

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        self.life.enter()
        try:
            await self._serve(scope, receive, send)
        finally:
            self.life.leave()

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        request_id = next((value for name, value in scope["headers"] if name.lower() == REQUEST_ID), None)
        client = Client(send, lambda: self.life.draining, request_id)
        table = self.routing.current()
        if table is None:
            await client.answer(OwnAnswer(503, "no configuration yet", 0.5))
            return
        try:
            body = await read_body(receive, table.limits, scope["headers"])
        except ClientGone:
            return
        if isinstance(body, OwnAnswer):
            await client.answer(body)
            return
        begun = asyncio.get_running_loop().time()
        table = self.routing.current() or table
        exchange = build_exchange(
            scope, table, body, begun, lambda route: self._target(route, scope["headers"])
        )
        if isinstance(exchange, OwnAnswer):
            await client.answer(exchange)
            return
        own = await self._bounded(exchange, client, receive)
        if own is not None:
            await client.answer(own)

    async def _bounded(self, exchange: Exchange, client: Client, receive: Receive) -> OwnAnswer | None:
        """Forwards until the deadline, or until the client goes."""
        progress = Progress()
        gone = False
        try:
            async with asyncio.timeout_at(exchange.deadline) as bound:

                async def watch() -> None:
                    nonlocal gone
                    while (await receive())["type"] != "http.disconnect":
                        pass
                    gone = True
                    bound.reschedule(0)

                watcher = asyncio.create_task(watch())
                try:
                    return await self._carry(exchange, client, progress)
                finally:
                    watcher.cancel()
        except TimeoutError:
            if gone or client.started:
                return None
            if progress.may_have_run or progress.offered:
                return OwnAnswer(504, "the time is over")
            return OwnAnswer(503, "the time is over, and the request was not sent", 0.1)
        except Exception:
            log.exception("an exchange failed")
            if client.started:
                return None
            return OwnAnswer(500, "the gateway failed")

    async def _carry(self, exchange: Exchange, client: Client, progress: Progress) -> OwnAnswer | None:
        turn = turn_of(exchange)
        if turn is None:
            return await self.forwarder.forward(exchange, client, progress)
        live = self.backends.of(exchange.service.name)
        now = asyncio.get_running_loop().time()
        spare = any(self.chooser.has_room(backend, exchange.service, now) for backend in live)
        return await self.turns.carry(
            turn,
            exchange,
            spare,
            client,
            progress,
            lambda: self.forwarder.forward(exchange, client, progress),
        )

    def _target(self, route: ports.Route, headers: list[tuple[bytes, bytes]]) -> str:
        """The service of a route; a split sends what belongs together to one service."""
        if len(route.targets) == 1:
            return route.targets[0][0]
        total = sum(weight for _, weight in route.targets)
        fields = dict(headers)
        key = fields.get(SESSION) or fields.get(AFFINITY_KEY)
        if key is not None:
            point = zlib.crc32(key) / 2**32 * total
        else:
            point = self.rng.random() * total
        for service, weight in route.targets:
            point -= weight
            if point < 0:
                return service
        return route.targets[-1][0]


def assemble(
    routing: ports.Routing,
    backends: ports.Backends,
    budget: ports.Budget,
    network: ports.Network,
    zone: str,
    life: Life,
    gateways: Callable[[], int] = lambda: 10,
    external_load: Callable[[str], float] = lambda identity: 0.0,
    rng: random.Random | None = None,
) -> DataPlane:
    """Puts a data plane together.  `gateways` estimates how many gateways share the backends."""
    rng = rng or random.Random()
    health = Health()
    connections = Connections(network, gateways)
    chooser = Chooser(zone, health, connections, external_load, rng)
    forwarder = Forwarder(backends, Sender(backends, connections), chooser, health)
    return DataPlane(routing, backends, connections, chooser, health, forwarder, Turns(budget), life, rng)
