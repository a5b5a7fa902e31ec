"""A seeded search: backends in all kinds of trouble, clients that come and go; the rules hold at each end.

A failing seed is replayed by `play(seed)`.
"""

from __future__ import annotations

import asyncio
import random

import attrs
import testtools

from kestrelbend.tier.dataplane import health
from tests.tier.dataplane_world import (
    Asked,
    Got,
    World,
    breaks,
    event,
    events,
    head,
    raw,
    silent,
    turn,
    turned_away,
    whole,
)

SEEDS = 60
REQUESTS = 40
EVENTS = 6


@attrs.define
class Run:
    """What a backend did with one request."""

    identity: str
    kind: str
    at: float
    ends_at: float  # by the deadline that was handed on
    sent: bytes | None = None  # the whole body of a proper answer


class Chaos:
    """A world whose backends draw a script for each request, and the rules its clients' answers must keep."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = World()
        self.runs: dict[str, list[Run]] = {}
        self.ended: set[str] = set()  # it crashed at some time, or another answered at its address
        for number in range(1, 4):
            self.world.backend(f"m-{number}", "models").answers(self.stream)
            self.world.backend(f"t-{number}", "tools", slots=3).answers(self.plain)

    def note(self, asked: Asked, sent: bytes | None = None) -> None:
        left_s = int(asked.fields["x-kestrelbend-deadline-ms"]) / 1000
        identity, kind = asked.fields["x-kestrelbend-expect-instance"], asked.target.split("/")[1]
        run = Run(identity, kind, asked.at, asked.at + left_s, sent)
        self.runs.setdefault(asked.fields["x-kestrelbend-request-id"], []).append(run)

    async def trouble(self, asked: Asked) -> bool:
        """One of the troubles that streams and plain answers share; whether one came."""
        draw = self.random.random()
        if draw < 0.12:
            status = self.random.choice([503, 429, 421])
            if status == 421 and "expect-version" not in asked.fields:
                self.ended.add(asked.fields["x-kestrelbend-expect-instance"])
            await turned_away(status)(asked)
        elif draw < 0.15:  # and once more, maybe when the next request has come
            await turned_away()(asked)
            again = head(asked, 503, b"Content-Length: 0", b"X-Kestrelbend-Not-Executed: 1")
            loop = asyncio.get_running_loop()
            loop.call_later(self.random.random() * 0.06, asked.connection.send, again)
        elif draw < 0.20:
            self.note(asked)
            await breaks(self.random.choice(["reset", "close"]))(asked)
        elif draw < 0.22:
            self.note(asked)
            await silent()(asked)
        elif draw < 0.24:
            self.note(asked)
            await raw(b"HTTP/1.1 2x0 garbled\r\n\r\n", self.random.choice(["", "close"]))(asked)
        elif draw < 0.26:
            self.note(asked)
            await whole(b"failed", 500)(asked)
        else:
            return False
        return True

    async def plain(self, asked: Asked) -> None:
        if await self.trouble(asked):
            return
        body = f"{asked.fields['x-kestrelbend-request-id']} {self.random.random()}".encode()
        self.note(asked, body)
        draw = self.random.random()
        foreign = Asked("GET", "/", {"x-kestrelbend-request-id": "other"}, b"", 0, asked.connection)
        surplus = head(foreign, 200, b"Content-Length: 7") + b"surplus"
        if draw < 0.05:
            await raw(head(asked, 200, b"Content-Length: %d" % len(body)) + body[:-1], "close")(asked)
        elif draw < 0.07:
            await raw(head(asked, 200) + body, "close")(asked)
        elif draw < 0.09:
            await raw(head(asked, 200) + body[:-1], "reset")(asked)
        elif draw < 0.1:
            await whole(b"zipped", 200, 0.01, b"Content-Encoding: gzip")(asked)
        elif draw < 0.2:
            asked.connection.send(surplus)
            await whole(body)(asked)
        elif draw < 0.3:
            await whole(body, behind=surplus)(asked)
        elif draw < 0.4:
            await whole(body)(asked)
            asyncio.get_running_loop().call_later(self.random.random(), asked.connection.send, surplus)
        else:
            await whole(body, after=self.random.random() * 0.1)(asked)

    async def stream(self, asked: Asked) -> None:
        if await self.trouble(asked):
            return
        first = int(asked.fields.get("last-event-id", 0)) + 1
        self.note(asked)
        last = self.random.choice([EVENTS, EVENTS, self.random.randint(first, EVENTS)])
        ending = "end" if last == EVENTS else self.random.choice(["close", "reset"])
        part = b"" if ending == "end" else event(last + 1)[: self.random.randint(0, 8)]
        if part and self.random.random() < 0.2:
            ending = "end"  # properly, yet within an event
        await events(range(first, last + 1), self.random.random() * 0.05, ending, part)(asked)

    async def weather(self) -> None:
        """Backends leave, crash and come back."""
        world = self.world
        while True:
            await asyncio.sleep(self.random.random())
            scripted = self.random.choice(list(world.scripted.values()))
            backend = scripted.backend
            draw = self.random.random()
            if draw < 0.3:
                scripted.refusing = not scripted.refusing
                self.ended.add(backend.identity)
                for connection in scripted.connections if scripted.refusing else ():
                    connection.reset()
            elif draw < 0.5 and backend.identity in world.live:
                del world.live[backend.identity]
            else:
                world.live[backend.identity] = backend

    async def client(self) -> None:
        await asyncio.sleep(self.random.random() * 3)
        kind = self.random.choice(["turns", "turns", "once", "read", "read2", "pay"])
        deadline_ms = self.random.choice([300, 1000, 3000])
        fields = {"x-kestrelbend-deadline-ms": str(deadline_ms)}
        if self.random.random() < 0.05:
            fields["expect-version"] = "7"
        if kind == "turns" and self.random.random() < 0.7:
            fields = {**turn(program=str(self.random.randint(1, 5))), **fields}
        leave_after = self.random.random() if self.random.random() < 0.1 else None
        number = self.world.next_number
        begun = self.world.loop.time()
        got = await self.world.ask(f"/{kind}/x", fields=fields, leave_after=leave_after)
        runs = self.runs.get(f"try-{number}", [])
        self.check(kind, runs, got, leave_after is not None)
        self.check_times(runs, begun, deadline_ms / 1000, leave_after)

    def check_times(
        self, runs: list[Run], begun: float, deadline_s: float, leave_after: float | None
    ) -> None:
        """Each run was handed what was left of the deadline, and none was sent for a client that had left."""
        for run in runs:
            assert run.ends_at <= begun + deadline_s + 0.002, "more time than is left"
            assert leave_after is None or run.at <= begun + leave_after + 0.001, "sent though nobody waits"
        assert self.world.loop.time() <= begun + deadline_s + 0.002, "held beyond the deadline"

    def check(self, kind: str, runs: list[Run], got: Got, left: bool) -> None:
        """The rules for one request."""
        assert {run.kind for run in runs} <= {kind}
        if kind in ("once", "pay"):
            assert len(runs) <= 1, "ran twice"
        if got.status in (421, 429, 503):
            assert not runs and "retry-after" in got.fields, "refused though it ran"
        live_retries = 2 if kind == "read2" else 1
        assert len({run.identity for run in runs} - self.ended) <= live_retries, "more backends than retries"
        assert left or got.status is not None, "no answer"
        if got.status is None or got.status >= 300:
            assert got.complete or left
            assert not got.stamped or got.body == b"failed"
        elif kind in ("turns", "once"):
            whole_stream = b"".join(event(number) for number in range(1, EVENTS + 1))
            assert got.stamped and whole_stream.startswith(got.body)
            assert not got.complete or got.body == whole_stream, "cut, yet complete"
        else:
            assert got.stamped and (left or got.complete)
            assert not got.complete or got.body in [run.sent for run in runs]

    async def story(self) -> None:
        weather = asyncio.ensure_future(self.weather())
        try:
            await asyncio.gather(*(self.client() for _ in range(REQUESTS)))
        finally:
            weather.cancel()
        await asyncio.sleep(0.01)
        reserved = sorted(reserve.reservation for reserve in self.world.budget.reserved)
        assert reserved == sorted(settle.reservation for settle in self.world.budget.settled)
        assert self.world.lifecycle.in_flight == 0
        assert not self.world.plane.load_balancer.in_flight
        assert self.world.plane.connections.open == self.world.plane.connections.idle_count


def play(seed: int) -> Chaos:
    chaos = Chaos(seed)
    chaos.world.run(chaos.story())
    return chaos


class Search(testtools.TestCase):
    """Many seeds, and that they reach what they are for."""

    def test_the_rules_hold_whatever_the_trouble(self):
        repeated = 0
        for seed in range(SEEDS):
            try:
                chaos = play(seed)
            except Exception as error:
                raise AssertionError(f"seed {seed}") from error
            repeated += sum(len(runs) > 1 for runs in chaos.runs.values())
        self.assertTrue(repeated > SEEDS, "the search repeats too little to tell anything")

    def test_half_of_a_service_stays_in_use(self):
        chaos = Chaos(1)
        seen = health.Health()
        backends = list(chaos.world.live.values())
        for backend in backends:
            seen.record_connection_failure(backend.identity, 0.0)
        self.assertEqual(3, len(seen.healthy(backends, 0.0)))
        self.assertEqual(6, len(seen.healthy(backends, 30.0)))
