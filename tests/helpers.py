"""Test helpers: a gateway driven by the simulator's messages, and stub servers for a gateway on sockets."""

import asyncio
import itertools
import json
import os
import time

import hiredis
import uvloop

from kestrelbend.gateway.settings import platform as terms
from kestrelbend.gateway.simulator_adapter import codec
from kestrelbend.gateway.simulator_adapter.host import Instance
from kestrelbend.gateway.interface import Result
from kestrelbend.lab.addresses import AddressReservations
from kestrelbend.gateway.net import configuration
from kestrelbend.gateway.net.configuration import GatewayConfiguration
from kestrelbend.gateway.net.gateway import start

MS = 1000
reservations = AddressReservations()
"""The running test's reservations; tests/conftest.py closes them at the end of the test."""


def reserve_address(number=0, host=None):
    """Return a TCP address on loopback that no other process gets while this test runs."""
    return reservations.reserve(number, host)


_client_writers = []  # writers of clients' connections
_open_stubs = []


async def connect(host, port):
    """Open a client's connection, which `run` closes at the end; returns (reader, writer)."""
    reader, writer = await asyncio.open_connection(host, port)
    _client_writers.append(writer)
    return reader, writer


class WorkingTime:
    """A clock that runs only while this process's loop runs: it stops while the machine stalls the process.

    On an idle machine it equals the monotonic clock, up to one step. Each step counts as at most twice its
    length.
    """

    STEP_S = 0.005

    async def __aenter__(self):
        self.now = 0.0
        self._counting = asyncio.create_task(self._count())
        return self

    async def __aexit__(self, *_):
        self._counting.cancel()

    async def wait_for(self, awaitable, seconds):
        """Return the result of an awaitable; raises TimeoutError if it takes more working time."""
        end = self.now + seconds
        task = asyncio.ensure_future(awaitable)
        try:
            while not task.done():
                if self.now >= end:
                    raise TimeoutError
                await asyncio.wait({task}, timeout=end - self.now)
            return task.result()
        finally:
            task.cancel()

    async def _count(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(self.STEP_S)
            now = time.monotonic()
            self.now += min(now - last, 2 * self.STEP_S)
            last = now


async def timed(work):
    """Return the result of an awaitable and the working time that it took."""
    async with WorkingTime() as clock:
        return await work, clock.now


def run(test, seconds=20):
    """Run a test's coroutine on a new loop with a timeout, then close its connections and stub servers.

    Hazard: if warnings are errors, uvloop hangs when it closes a loop that has an open listener.
    """

    async def whole():
        try:
            await asyncio.wait_for(test, seconds)
        finally:
            for writer in _client_writers:
                writer.transport.abort()
            for stub in _open_stubs:
                stub.close()
            _client_writers.clear()
            _open_stubs.clear()
            await asyncio.sleep(0.01)  # the loop closes transports and servers in a later iteration

    uvloop.run(whole())


BASE = {
    "classes.count": 1,
    "classes.0.name": "op",
    "classes.0.effect": "idempotent",
    "classes.0.keyScope": "all",
    "classes.0.keyTtl": 2000,
    "classes.0.objective": 1000,
    "classes.0.deadline": 3000,
    "contracts.count": 1,
    "contracts.0.name": "plan",
    "contracts.0.refill": 2,
    "contracts.0.storeSize": 6,
    "familyInfo.mayCount": "true",
    "familyInfo.countWait": 30,
    "index": 0,
    "instances": 2,
    "myZone": "a",
    "policyLimits.cancelling": "true",
    "policyLimits.mayDuplicate": "true",
    "policyLimits.tryLimit": 3,
    "tick": 1,
    "rules.cold": 10000,
    "rules.coldFrom": 0.2,
    "rules.fall": 2000,
    "rules.fallMultiple": 2,
    "rules.askWithin": 8000,
    "discovery": "automatic",
}


class Front:
    """A gateway's decisions behind the simulator's message protocol, with a clock that the test sets."""

    def __init__(self, now=1_000_000 * MS, seed=7, **changes):
        pairs = {**BASE, **{key.replace("__", "."): value for key, value in changes.items()}}
        self.now, self.out = now, []
        self.inst = Instance(
            "g/0", seed, terms.settings({k: str(v) for k, v in pairs.items()}), now, self.out
        )
        self.gateway = self.inst.gateway

    def tell(self, message, endpoints, *values):
        self.inst.out, self.gateway.now = self.out, self.now
        self.inst.handle(codec.Event(message, "g/0", list(values), endpoints))

    def roster(self, *entries, kind="whole"):
        """Send a list of backends; entries are (id, state) or (id, state, started)."""
        rows = [(e[0], "ab"[e[0] % 2], "k", e[0] // 2, e[1], 1.0, e[2] if len(e) > 2 else 0) for e in entries]
        self.tell("roster_change", rows, 1, kind, len(rows))

    def accept(self, number, left=3000, units=1.0, spread=2, retry=False, customer="c"):
        self.tell(
            "accept",
            [],
            number,
            "op",
            "plan",
            customer,
            self.now + left * MS,
            units,
            spread,
            0,
            codec.RETRY_FLAG if retry else 0,
        )
        return self.inst.invs.get(number)

    def returned(self, number, trial, result, took=100, ended=None, actual=0):
        ended = result is Result.SUCCEEDED if ended is None else ended
        self.tell("returned", [], number, trial, None, result, took * MS, ended, 0, actual, None)

    def counted(self, name, total=0.0, result=Result.SUCCEEDED):
        self.tell("counter_reply", [], name, 2 * MS, result, total)

    def take(self, *messages):
        """Return the lines written since the last call, split into words, of the given messages only."""
        lines = [line.split() for line in self.out]
        self.out.clear()
        return [line for line in lines if not messages or line[0] in messages]

    def answer_counts(self, store=None, result=Result.SUCCEEDED):
        """Reply to each call to the counter service from `store`; returns the other lines."""
        rest, store = [], {} if store is None else store
        while lines := self.take():
            for line in lines:
                if line[0] == "incr":
                    assert self.inst.settings["may_count"]
                    name = int(line[4])
                    store[name] = store.get(name, 0.0) + float(line[2])
                    self.counted(name, store[name], result)
                else:
                    rest.append(line)
        return rest

    def pass_time(self, ms):
        """Advance the clock to the next timer due within `ms`, or by `ms` if there is none."""
        due = min([due for _, due in self.inst.timers.values()], default=self.now + ms * MS)
        self.now = self.gateway.now = max(self.now, min(due, self.now + ms * MS))
        for handle, (_, due) in list(self.inst.timers.items()):
            if due <= self.now:
                self.tell("reminder", [], handle)


# Stub servers that implement the published protocols; `play` lists what they do with the next requests.


class StubServer:
    """A TCP server on loopback with its connections; `run` closes it at the end of a test."""

    port = None

    async def open(self):
        """Listen; a closed server can be opened again at the same address."""
        self.writers = set()
        if self.port is None:
            _, self.port = reserve_address(host="127.0.0.1")
        self.address = f"127.0.0.1:{self.port}"
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", self.port)
        _open_stubs.append(self)
        return self

    async def handle_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_request(reader, heads=None):
    raw = await reader.readuntil(b"\r\n\r\n")
    if heads is not None:
        heads.append(raw)
    head = raw.decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


class StubBackend(StubServer):
    def __init__(self):
        self.seen, self.raw, self.play, self.played, self.disconnects = [], [], [], [], 0

    async def talk(self, reader, writer):
        while True:
            self.seen.append(await read_request(reader, self.raw))
            what = self.play.pop(0) if self.play else b"200 OK\r\n\r\nfine"
            self.played.append((self.seen[-1][0].split()[1], what))
            if what == "half":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            if what == "endless":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n")
                while True:
                    writer.write(bytes(4096))
                    await writer.drain()
            if what in ("cut", "half"):
                return
            if what == "hang":
                await reader.read()
                self.disconnects += 1
                return
            if what.startswith(b"raw "):  # sent unchanged; the connection stays open
                for part in what[4:].split(b"<a moment later>"):
                    writer.write(part)
                    await asyncio.sleep(0.02)
                continue
            head, _, body = what.partition(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (head, len(body), body))


class StubDiscovery(StubServer):
    def __init__(self, *rows):
        self.rows, self.rev, self.asked, self.changed, self.silent = list(rows), 1, [], asyncio.Event(), False

    async def talk(self, reader, writer):
        while True:
            line, _, _ = await read_request(reader)
            self.asked.append(line.split()[1])
            if self.silent:
                await reader.read()
            if "since" in line and int(line.split("since=")[1].split("&")[0]) >= self.rev:
                self.changed.clear()
                await self.changed.wait()
            body = json.dumps({"rev": self.rev, "all": True, "targets": self.rows}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def tell(self, *rows):
        self.rows, self.rev = list(rows), self.rev + 1
        self.changed.set()


class StubCounter(StubServer):
    def __init__(self):
        self.totals, self.calls, self.play = {}, [], []

    async def talk(self, reader, writer):
        parser = hiredis.Reader()
        while data := await reader.read(4096):
            parser.feed(data)
            while (call := parser.gets()) is not False:
                verb, name, add, life = (part.decode() for part in call)
                assert verb == "CNT.ADD" and 1 <= len(name) <= 64 and 1 <= int(life) <= 60_000
                self.calls.append(name)
                what = self.play.pop(0) if self.play else None
                if what == "cut":
                    return
                if what is None:
                    total = self.totals[name] = self.totals.get(name, 0.0) + float(add)
                    what = b"$%d\r\n%s" % (len(b"%g" % total), b"%g" % total)
                if what == "stall":  # blocks the whole process while the reply is unread
                    writer.write(b"$1\r\n9\r\n")
                    time.sleep(0.05)
                elif what != "silent":
                    writer.write(what + b"\r\n")


def row(uid, stub, state="ready", started=0):
    return {
        "uid": uid,
        "endpoint": stub.address,
        "az": "a",
        "model": "m",
        "pod_group": 1,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": started,
    }


class StubServices:
    """Stub servers for a gateway on loopback, and an address for it to listen at."""

    def __init__(self, backends=1, **changes):
        self.pairs = {
            **BASE,
            "policyLimits.connectTimeout": 100,
            "policyLimits.idleClose": 5000,
            **{key.replace("__", "."): value for key, value in changes.items()},
        }
        self.backends = [StubBackend() for _ in range(backends)]
        self.numbers = itertools.count(0x9B1F)

    async def __aenter__(self):
        self.clock = await WorkingTime().__aenter__()
        self.counter = await StubCounter().open()
        for backend in self.backends:
            await backend.open()
        self.rows = [row(f"s{n}", backend) for n, backend in enumerate(self.backends)]
        self.discovery = await StubDiscovery(*self.rows).open()
        self.listen = reserve_address()
        return self

    async def __aexit__(self, *_):
        for stub in (self.counter, self.discovery, *self.backends):
            stub.close()
        await self.clock.__aexit__()

    async def until(self, held, seconds=3.0):
        async with asyncio.timeout(seconds):
            while not held():
                await asyncio.sleep(0.005)

    async def ask(
        self,
        path="/op/00000000000000c1",
        method="GET",
        body=b"",
        wait="1.0",
        plan="plan",
        on=None,
        number=None,
        terms="units=1,spread=2,first=0",
        more="",
        listen=None,
    ):
        """Send a request, on a new connection unless `on` is given; returns (status, headers, body)."""
        reader, writer = on or await connect(*(listen or self.listen))
        number = next(self.numbers) if number is None else number
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: api\r\n"
            f"X-Request-ID: {number}\r\nApi-Plan: {plan}\r\nX-Timeout: {wait}\r\n"
            f"Api-Terms: {terms}\r\nX-Odd: \u00e9 b\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        try:
            line, headers, answer = await self.clock.wait_for(read_request(reader), 5)
        finally:
            if on is None:
                writer.close()
        return int(line.split()[1]), headers, answer


class World(StubServices):
    """A gateway in this process, connected to stub servers."""

    async def __aenter__(self):
        await super().__aenter__()
        self.config = GatewayConfiguration(
            "n0",
            self.listen,
            self.discovery.address,
            ("127.0.0.1", self.counter.port),
            7,
            256,
            None,
            terms.settings({k: str(v) for k, v in self.pairs.items()}),
            reread=lambda: configuration.read(os.environ, prefer_file=True),
        )
        self.owner, self.serving = await start(self.config)
        await self.until(lambda: len(self.owner.listed) == len(self.rows))
        return self

    async def __aexit__(self, *_):
        await super().__aexit__()
        await self.end(self.owner, self.serving)

    @staticmethod
    async def end(owner, serving):
        """Stop a gateway that was started in this process."""
        for task in (serving, owner.discovery.watch_task, owner.clients.accepting, owner.clients.inspecting):
            task.cancel()
        owner.clients.listener.close()
        await owner.discovery.session.close()
        peer = owner.backend_client
        for delivery in peer.delivery_tasks.values():
            delivery.cancel()
        await asyncio.gather(*peer.delivery_tasks.values(), return_exceptions=True)
        for backend in list(peer.pools):
            peer.remove_endpoint(backend)
        await asyncio.gather(*peer.background_tasks, return_exceptions=True)
