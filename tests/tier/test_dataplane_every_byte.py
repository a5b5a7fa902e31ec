"""Connections that end at every byte of a request and of its answer, for each kind of route.

What may run once is sent once, a promise is given only for what never left, and an answer is complete only
where all of its bytes came.
"""

from __future__ import annotations

import asyncio

import testtools

from tests.tier.dataplane_world import Asked, Cut, World, event, events, head, raw

LONG_S = 1e6
CALM_S = 30.0  # between two tries: suspicion and rested connections are over
DEADLINE_S = 0.5
ENDINGS = ("reset", "close", "silence")
PROMISES = (408, 421, 429, 503)
SERVICES = {"pay": "tools", "read": "tools", "once": "models", "turns": "models"}
ONCE = ("pay", "once")
FIELDS = {"x-kestrelbend-deadline-ms": str(int(DEADLINE_S * 1000))}
OURS = b"X-Kestrelbend-Request-Id: try-1\r\n"
THREE = b"".join(event(number) for number in range(1, 4))


def chunked(*parts: bytes) -> bytes:
    """A body in chunks, and its end."""
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b""))


def plain_answer(asked: Asked) -> bytes:
    return head(asked, 200, b"Content-Length: 9") + b"the whole"


def chunked_answer(asked: Asked) -> bytes:
    return head(asked, 200, b"Transfer-Encoding: chunked") + chunked(b"the ", b"whole")


def stream_answer(asked: Asked) -> bytes:
    lines = (b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
    return head(asked, 200, *lines) + chunked(event(1), event(2), event(3))


class Story:
    """One world with one backend of a kind, and what a cut did to one try."""

    def __init__(self, kind: str, ending: str) -> None:
        self.kind, self.ending = kind, ending
        self.world = World()
        self.backend = self.world.backend("i-1", SERVICES[kind])
        self.proper = events(range(1, 4)) if kind in ("once", "turns") else raw_of(plain_answer)

    async def ask(self):
        return await self.world.ask(f"/{self.kind}/x", fields=FIELDS)

    async def rested(self, reused: bool) -> None:
        """A connection rests at the gateway, or none does."""
        await asyncio.sleep(CALM_S)
        self.backend.cut = None
        self.backend.answers(self.proper)
        if reused:
            assert (await self.ask()).complete

    async def request_size(self) -> int:
        await self.ask()
        return len(self.backend.connections[0].received)


def raw_of(answer):
    """A script that sends these bytes, and no more."""

    async def script(asked: Asked) -> None:
        await raw(answer(asked))(asked)

    return script


class RequestsThatBreak(testtools.TestCase):
    """The connection ends at byte N of the request."""

    def play(self, kind: str, ending: str, reused: bool) -> int:
        story = Story(kind, ending)

        async def every_byte():
            size = await story.request_size()
            for read in range(size + 1):
                await story.rested(reused)
                number = story.world.next_number
                story.backend.cut = Cut(read, ending)
                got = await story.ask()
                self.check(story, read, number, got)
            return size

        return story.world.run(every_byte(), LONG_S)

    def check(self, story, read, number, got):
        where = (story.kind, story.ending, read, got.status)
        sends = story.backend.sends_of(number)
        if story.kind in ONCE:
            self.assertEqual(1, sends, where)
            self.assertEqual(504 if story.ending == "silence" else 502, got.status, where)
        else:
            self.assertTrue(1 < sends <= 3, where)
            self.assertEqual((200, True), (got.status, got.complete), where)

    def test_what_may_run_once_is_sent_once_and_never_promised(self):
        for kind in ONCE:
            for ending in ENDINGS:
                for reused in (False, True):
                    self.assertTrue(self.play(kind, ending, reused) > 150)

    def test_what_may_be_repeated_is_served_by_a_repeat(self):
        for kind in ("read", "turns"):
            for ending in ("reset", "close"):
                for reused in (False, True):
                    self.assertTrue(self.play(kind, ending, reused) > 150)


class RestedConnectionsThatBreak(testtools.TestCase):
    """A backend has forgotten a connection: it resets or closes it at any moment round the next request."""

    STEPS = 30  # of the event loop, from before the request is read until after it left

    def play(self, kind: str, ending: str) -> set[int]:
        story = Story(kind, ending)
        seen = set()

        async def every_step():
            for step in range(self.STEPS):
                await story.rested(True)
                number = story.world.next_number
                rested = story.backend.connections[-1]
                asked = asyncio.ensure_future(story.ask())
                for _ in range(step):
                    await asyncio.sleep(0)
                getattr(rested, ending)()
                got = await asked
                sends = story.backend.sends_of(number)
                if kind in ONCE:
                    self.assertEqual(1, sends, (kind, ending, step))
                self.assertIn(got.status, (200, 502), (kind, ending, step))
                seen.add(got.status)

        story.world.run(every_step(), LONG_S)
        return seen

    def test_a_request_leaves_once_whenever_the_connection_ends(self):
        for ending in ("reset", "close"):
            for kind in ONCE:
                self.assertEqual({200, 502}, self.play(kind, ending))
            for kind in ("read", "turns"):
                self.assertEqual({200}, self.play(kind, ending))


class AnswersThatBreak(testtools.TestCase):
    """The connection ends at byte N of the answer."""

    def play(self, kind: str, answer, ending: str, reused: bool) -> list[tuple[int, bool]]:
        story = Story(kind, ending)
        seen = []

        def cut_at(size: int):
            async def script(asked: Asked) -> None:
                await raw(answer(asked)[:size], "" if ending == "silence" else ending)(asked)

            return script

        async def every_byte():
            await story.ask()
            size = len(answer(story.backend.asked[0])) + 4  # ids grow by some digits
            for sent in range(size + 1):
                await story.rested(reused)
                number = story.world.next_number
                story.backend.answers(cut_at(sent))
                got = await story.ask()
                asked = [
                    one
                    for one in story.backend.asked
                    if one.fields["x-kestrelbend-request-id"] == f"try-{number}"
                ]
                whole = sent >= len(answer(asked[0]))
                self.check(story, (kind, ending, sent), len(asked), whole, got)
                seen.append((got.status, got.complete))

        story.world.run(every_byte(), LONG_S)
        return seen

    def check(self, story, where, runs, whole, got):
        where = (*where, got)
        self.assertNotIn(got.status, PROMISES, where)
        if story.kind in ONCE:
            self.assertEqual(1, runs, where)
        if whole:
            self.assertEqual((200, True), (got.status, got.complete), where)
            self.assertIn(got.body, (b"the whole", THREE), where)
        elif got.status == 200:
            self.assertFalse(got.complete, where)
            self.assertTrue(THREE.startswith(got.body) and got.body, where)
            self.assertTrue(got.body.endswith(b"\n\n"), where)
        else:
            self.assertEqual(504 if story.ending == "silence" else 502, got.status, where)

    def test_a_cut_answer_is_never_complete_and_its_request_not_sent_again(self):
        cases = (("pay", plain_answer), ("pay", chunked_answer), ("once", stream_answer))
        for kind, answer in cases:
            for ending in ENDINGS:
                for reused in (False, True):
                    seen = self.play(kind, answer, ending, reused)
                    self.assertIn((200, True), seen)


class BodiesThatAreNotReadWhole(testtools.TestCase):
    """The backend takes N bytes of a long request, then ends the connection, answers, or does nothing."""

    BODY = bytes(range(256)) * 8
    STEP = 61

    def play(self, kind: str, reaction, window: int):
        world = World()
        backend = world.backend("i-1", SERVICES[kind])
        backend.window = window
        fields = {"x-kestrelbend-deadline-ms": "500"}

        async def story():
            asked = asyncio.ensure_future(world.ask(f"/{kind}/x", body=self.BODY, fields=fields))
            await asyncio.sleep(0.1)
            first = backend.connections[0]
            backend.window = None  # of later connections
            reaction(first)
            got = await asked
            first.read_on()
            await asyncio.sleep(1)
            return got

        got = world.run(story())
        return got, backend

    def windows(self):
        return range(0, len(self.BODY) + 400, self.STEP)

    def test_it_is_sent_once_and_never_promised(self):
        reactions = (
            (lambda connection: connection.reset(), 502),
            (lambda connection: connection.close(), 502),
            (lambda connection: None, 504),
            (lambda connection: connection.send(b"HTTP/1.1 503 X\r\n" + OURS + b"\r\n"), 502),
            (
                lambda connection: connection.send(
                    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n" + OURS + b"\r\n"
                ),
                500,
            ),
        )
        for kind in ONCE:
            for reaction, status in reactions:
                for window in self.windows():
                    got, backend = self.play(kind, reaction, window)
                    where = (kind, status, window, got)
                    if got.status == 200:  # all of it was read
                        self.assertTrue(window > len(self.BODY), where)
                    else:
                        self.assertEqual(status, got.status, where)
                    self.assertEqual(1, len(backend.connections), where)

    def test_a_refusal_before_the_body_is_read_frees_it_for_another_connection(self):
        refusal = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Kestrelbend-Not-Executed: 1\r\n" + OURS + b"\r\n"
        for window in range(0, len(self.BODY), self.STEP):
            got, backend = self.play("pay", lambda connection: connection.send(refusal), window)
            self.assertIn(got.status, (200, 503), window)
            first = backend.connections[0]
            self.assertTrue(first.gateway_closed, window)
            self.assertEqual(got.status == 200, len(backend.asked) == 1, window)
