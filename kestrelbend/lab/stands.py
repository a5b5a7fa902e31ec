"""The emulated servers on loopback sockets: backends, the counter, discovery's agents.

The models decide what becomes of each call; here it is read from a connection and written to one.  Each
gateway has addresses of its own for all of them, so that who asks is known and any two can be cut off from
each other.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque

import hiredis
from aiohttp import web

from .backends import Job
from .counter import TURNED_AWAY

SPOILT = b"HTTP/1.1 2OO what is this\r\nContent-Length: 4\r\n\r\n\0\0\0\0"
RULED = {"succeeded": "succeeded", "rejected": "rejected"}
OPEN, CLOSED, BLACK = "open", "closed", "black"
FILLERS = 3  # connections that fill the line of a listener which is to take none


class Listening:
    """One address, which takes connections, refuses them, or leaves them without an answer."""

    def __init__(self, factory):
        self.factory, self.state, self.at = factory, CLOSED, ("127.0.0.1", 0)
        self.server, self.black, self.fillers = None, None, []

    async def become(self, state):
        if state == self.state:
            return
        self.close()
        self.state = state
        if state == CLOSED:
            return
        own = socket.socket()
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        own.bind(self.at)
        self.at = own.getsockname()
        if state == OPEN:
            own.listen(256)
            self.server = await asyncio.get_running_loop().create_server(self.factory, sock=own)
            return
        # A machine that vanished: its line is full, and the kernel leaves further connections unanswered.
        own.listen(0)
        self.black = own
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.at)
            self.fillers.append(filler)

    def close(self):
        if self.server is not None:
            self.server.close()
        if self.black is not None:
            self.black.close()
        for filler in self.fillers:
            filler.close()
        self.server, self.black, self.fillers, self.state = None, None, [], CLOSED

    @property
    def address(self):
        return "%s:%d" % self.at


class BackendDoor(web.Server):
    """Where one gateway reaches one backend."""

    def __init__(self, plant, index, backend):
        super().__init__(self.handle, access_log=None, lingering_time=0, handler_cancellation=True)
        self.plant, self.index, self.backend, self.life = plant, index, backend, backend.life
        self.listening, self.unused, self.held = Listening(self), set(), set()
        self.stays = asyncio.Event()  # never set

    # Connections.

    def connection_made(self, handler, transport):
        super().connection_made(handler, transport)
        if self.backend.open >= self.plant.world.scenario.backends.connections:
            transport.abort()
            return
        self.backend.open += 1
        self.plant.world.tally.connected()
        self.held.add(handler)
        self.unused.add(handler)

    def connection_lost(self, handler, exc=None):
        super().connection_lost(handler, exc)
        self.unused.discard(handler)
        if handler in self.held:
            self.held.discard(handler)
            if self.life == self.backend.life:
                self.backend.open -= 1

    async def look(self):
        """Follow the model: its machine's state and what is cut off."""
        backend, network, party = self.backend, self.plant.world.network, self.plant.parties[self.index]
        if self.life != backend.life:
            held, self.held, self.unused, self.life = self.held, set(), set(), backend.life
            for handler in held:
                if handler.transport is not None:
                    handler.transport.abort()
        reached = network.open(party, backend.party) and network.open(backend.party, party)
        await self.listening.become(BLACK if not reached else OPEN if backend.up else CLOSED)

    # Requests.

    async def handle(self, request):
        world, party, backend = self.plant.world, self.plant.parties[self.index], self.backend
        if not world.network.open(party, backend.party):
            await self.stays.wait()
        await asyncio.sleep(world.network.delay(party, backend.party) / 1e6)
        if request.path in ("/_load", "/ping"):
            return await self.probed(request)
        number = request.headers.get("X-Request-ID", "")
        asking = self.plant.askings.get(int(number)) if number.isdecimal() else None
        if asking is None:
            return web.Response(status=400 if number else 404)
        first = request.protocol in self.unused
        self.unused.discard(request.protocol)
        outcome = await self.work(asking, first)
        if outcome == "silence" or not world.network.open(backend.party, party):
            await self.stays.wait()
        if outcome in ("broken", "spoilt"):
            if outcome == "spoilt":
                request.transport.write(SPOILT)
            request.transport.close() if outcome == "spoilt" else request.transport.abort()
            await self.stays.wait()
        headers = {}
        if world.scenario.backends.reports == "answers":
            headers["X-Server-Load"] = json.dumps(backend.report())
        if outcome == "rejected":
            return web.Response(status=503, headers={**headers, "X-Not-Processed": "1"})
        return web.Response(status=200 if outcome == "succeeded" else 500, headers=headers, body=b"done")

    async def work(self, asking, first):
        """What the model makes of a delivery; the oracle hears of it at its coming and at its end."""
        world, backend, customer = self.plant.world, self.backend, asking.request.customer
        ended = asyncio.get_running_loop().create_future()
        send = world.oracle.sent(asking.number, backend, self.plant.lives[self.index])
        world.tally.sent(asking, not asking.sends)
        asking.sends += 1
        world.tally.out(customer, 1)
        job = Job(
            asking.number, world.work(asking), lambda what: ended.done() or ended.set_result(what), first
        )
        outcome = "broken"
        try:
            backend.arrive(job)
            outcome = await ended
            if outcome == "silence":
                await self.stays.wait()
            await asyncio.sleep(world.network.delay(backend.party, self.plant.parties[self.index]) / 1e6)
            return outcome
        finally:  # also where the gateway hung up
            if not ended.done():
                backend.cancel(job)
            world.oracle.ended(asking.number, send, RULED.get(outcome, "may have run"))
            world.tally.out(customer, -1)

    async def probed(self, request):
        world, terms = self.plant.world, self.plant.world.scenario.backends
        if not world.scenario.probing:
            return web.Response(status=404)
        world.tally.probed()
        await asyncio.sleep(terms.probe / 1e6)
        if not self.backend.up or self.backend.fallen:
            request.transport.abort()
            await self.stays.wait()
        if request.path == "/_load" and terms.reports != "none":
            return web.json_response(self.backend.report())
        return web.Response(status=200)

    def close(self):
        self.listening.close()
        for handler in self.held:
            if handler.transport is not None:
                handler.transport.abort()


class CounterLine(asyncio.Protocol):
    """A connection of one gateway to the counter; answers come in the order of the calls."""

    def __init__(self, stand):
        self.stand, self.reader, self.answers = stand, hiredis.Reader(), deque()

    def connection_made(self, transport):
        self.transport = transport
        self.stand.lines.add(self)

    def connection_lost(self, _):
        self.stand.lines.discard(self)

    def data_received(self, data):
        try:
            self.reader.feed(data)
            while (call := self.reader.gets()) is not False:
                self.called(call)
        except (hiredis.ProtocolError, ValueError, TypeError):
            self.transport.abort()

    def called(self, call):
        if len(call) != 4 or call[0] != b"CNT.ADD":
            known = {b"PING": b"+PONG\r\n"}.get(call[0].upper() if call else b"", b"-ERR no such call\r\n")
            self.transport.write(known)
            return
        world, party = self.stand.plant.world, self.stand.plant.parties[self.stand.index]
        if not world.network.open(party, world.counter.party):
            return world.tally.called("unanswered")
        slot = [None, world.clock.now]
        self.answers.append(slot)
        if world.counter.lost:
            return world.tally.called("unanswered")
        world.clock.after(
            world.network.delay(party, world.counter.party),
            world.counter.call,
            int(call[1]),
            float(call[2]),
            int(call[3]) * 1000,
            lambda total: self.total(slot, total),
            party.zone,
        )
        return None

    def total(self, slot, total):
        world, party = self.stand.plant.world, self.stand.plant.parties[self.stand.index]
        away, late = total == TURNED_AWAY, world.clock.now - slot[1] > self.stand.plant.counter_wait
        world.tally.called("turned away" if away else "unanswered" if late else "answered")
        text = b"%.7g" % total if not away else b""
        slot[0] = b"-BUSY\r\n" if away else b"$%d\r\n%s\r\n" % (len(text), text)
        if world.network.open(world.counter.party, party) and not self.transport.is_closing():
            delay = world.network.delay(world.counter.party, party)
            world.clock.after(delay, self.flush)

    def flush(self):
        while self.answers and self.answers[0][0] is not None:
            self.transport.write(self.answers.popleft()[0])


class CounterStand:
    """Where one gateway reaches the counter."""

    def __init__(self, plant, index):
        self.plant, self.index, self.lines = plant, index, set()
        self.listening = Listening(lambda: CounterLine(self))

    def lost(self):
        """A counter that was lost is back as another process: its connections are reset."""
        for line in self.lines:
            line.transport.abort()

    def close(self):
        self.listening.close()
        self.lost()


class AgentStand(web.Server):
    """Discovery's agent on the machine of one gateway."""

    def __init__(self, plant, index):
        super().__init__(self.handle, access_log=None, lingering_time=0, handler_cancellation=True)
        self.plant, self.index, self.news = plant, index, asyncio.Event()
        self.agent = plant.world.discovery.agents[index]
        self.agent.told = self.told
        self.listening = Listening(self)

    def told(self, _entries, _whole):
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, request):
        if request.path != "/catalog/members":
            return web.Response(status=404)
        since = request.query.get("since", "")
        if since.isdecimal() and int(since) >= self.agent.rev:
            wait = min(60.0, float(request.query.get("timeout_ms", "0")) / 1000)
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except TimeoutError:
                return web.json_response({"rev": self.agent.rev, "all": False, "targets": []})
        return web.json_response({"rev": self.agent.rev, "all": True, "targets": self.targets()})

    def targets(self):
        """The list as this gateway is told it; the oracle hears of it."""
        life, told = self.plant.lives[self.index], {}
        rows = [self.plant.row(self.index, entry) for entry in self.agent.entries.values()]
        for entry in self.agent.entries.values():
            told[entry.uid] = entry.state
        if life is not None:
            for uid in life.told - told.keys():
                self.plant.world.oracle.listed(life, uid, "gone")
            for uid, state in told.items():
                self.plant.world.oracle.listed(life, uid, state)
            life.told |= told.keys()
        return rows

    def close(self):
        self.listening.close()
