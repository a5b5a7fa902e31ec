"""Stories of answers and callers: whose an answer is, where it ends, what becomes of a call that is left."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from tests.tier.dataplane_world import (
    Asked,
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

STAMP_LINE = b"X-Kestrelbend-Server-Stamp: 1"
NOT_EXECUTED = b"X-Kestrelbend-Not-Executed: 1"
STREAM = b"Content-Type: text/event-stream"


def untold(body: bytes, ending: str, *lines: bytes):
    """An answer without a length, and how its connection ends."""

    async def script(asked: Asked) -> None:
        await raw(head(asked, 200, *lines) + body, ending)(asked)

    return script


def answer(status: int, *lines: bytes, stamp: bool = True, body: bytes = b"whole"):
    async def script(asked: Asked) -> None:
        length = b"Content-Length: %d" % len(body)
        await raw(head(asked, status, length, *lines, stamp=stamp) + body)(asked)

    return script


def only_for_itself(identity: str, script, ran: list[str]):
    """A backend that answers 421 to what names another one, and keeps what it ran."""

    async def check(asked: Asked) -> None:
        if asked.fields.get("x-kestrelbend-expect-instance", identity) != identity:
            await turned_away(421, marked=False)(asked)
        else:
            ran.append(asked.fields["x-kestrelbend-request-id"])
            await script(asked)

    return check


class Whose(testtools.TestCase):
    """An answer goes to the request that it names, and to the send that it answers."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.backend = self.world.backend("i-1")

    def ask(self, path="/pay/x", **how):
        return self.world.run(self.world.ask(path, **how))

    def test_a_second_refusal_of_the_first_send_is_not_taken_for_the_second_sends(self):
        async def late_second_refusal(asked):
            refusal = head(asked, 503, b"Content-Length: 0", NOT_EXECUTED)
            if asked.connection is self.backend.asked[0].connection:
                asked.connection.send(refusal)
            await whole(b"mine")(asked)

        self.backend.answers(turned_away(), late_second_refusal)
        got = self.ask(fields={"program": "p", "finish-ms": "900"})
        self.assertEqual((200, b"mine", 2), (got.status, got.body, len(self.backend.asked)))

    def test_an_answer_that_names_two_requests_is_nobodys(self):
        for ids in ((b"try-1", b"other"), (b"other", b"try-1")):
            self.world = World()
            self.backend = self.world.backend("i-1")
            lines = b"".join(b"X-Kestrelbend-Request-Id: %s\r\n" % one for one in ids)
            data = b"HTTP/1.1 200 X\r\n" + lines + STAMP_LINE + b"\r\nContent-Length: 1\r\n\r\nx"
            self.backend.answers(raw(data, "close"))
            self.assertEqual((502, 1), (self.ask().status, len(self.backend.asked)))

    def test_what_is_not_the_backends_own_answer_is_no_answer(self):
        nameless = b"HTTP/1.1 200 X\r\n" + STAMP_LINE + b"\r\nContent-Length: 1\r\n\r\nx"
        scripts = {
            "nameless": raw(nameless),
            "encoded": answer(200, b"Content-Encoding: gzip"),
            "encoded failure": answer(500, b"Content-Encoding: br"),
            "unstamped": answer(200, stamp=False),
            "another protocol": answer(101, b"Upgrade: other", b"Connection: upgrade"),
            "two ends": answer(200, b"Transfer-Encoding: chunked", body=b"1\r\nx\r\n0\r\n\r\n"),
            "a promise that says nothing of the run": answer(429),
        }
        for name, script in scripts.items():
            self.world = World()
            self.backend = self.world.backend("i-1").answers(script)
            got = self.ask()
            self.assertEqual((502, False, 1), (got.status, got.stamped, len(self.backend.asked)), name)

    def test_interim_answers_are_passed_over(self):
        async def interim(asked):
            asked.connection.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n")
            await whole()(asked)

        self.backend.answers(interim)
        got = self.ask()
        self.assertEqual((200, b"whole"), (got.status, got.body))

    def test_an_interim_answer_and_an_end_are_no_answer(self):
        self.backend.answers(raw(b"HTTP/1.1 100 Continue\r\n\r\n", "close"))
        self.assertEqual((502, 1), (self.ask().status, len(self.backend.asked)))

    def test_bytes_behind_an_answer_never_reach_the_next_caller(self):
        """Whether they come with the answer, while the connection rests, or later."""
        for after in (0.0, 0.05, 0.2):
            self.world = World()
            self.backend = self.world.backend("i-1")

            async def doubled(asked, after=after):
                await whole(b"first")(asked)
                again = head(asked, 200, b"Content-Length: 5") + b"again"
                asyncio.get_running_loop().call_later(after, asked.connection.send, again)

            self.backend.answers(doubled, whole(b"second", after=0.3))

            async def story():
                one = await self.world.ask("/pay/x")
                await asyncio.sleep(0.1)
                return one, await self.world.ask("/pay/x")

            one, two = self.world.run(story())
            self.assertEqual((b"first", b"second"), (one.body, two.body), after)

    def test_what_ran_counts_though_the_next_request_on_its_connection_never_left(self):
        """A send's account is its own: the next request there does not take it over."""
        statuses = {self.failed_then_reused(step) for step in range(30)}
        self.assertEqual({502}, statuses)

    def failed_then_reused(self, step: int) -> int:
        """The end of a request that ran and failed; its connection breaks so far into the next request."""
        world = World()
        refusal = answer(503, NOT_EXECUTED, b"Connection: close")
        backend = world.backend("i-1").answers(whole(b"no", 500), refusal)

        async def story():
            first = asyncio.ensure_future(world.ask("/read/x"))
            await asyncio.sleep(0.013)
            second = asyncio.ensure_future(world.ask("/pay/x"))
            for _ in range(step):
                await asyncio.sleep(0)
            backend.connections[0].reset()
            await second
            return (await first).status

        return world.run(story())


class Lengthless(testtools.TestCase):
    """Answers that end with their connection: whole, unless the connection was reset."""

    def setUp(self):
        super().setUp()
        self.world = World()

    def play(self, path, *scripts):
        service = "models" if path.split("/")[1] in ("once", "turns") else "tools"
        self.backend = self.world.backend("i-1", service).answers(*scripts)
        return self.world.run(self.world.ask(path))

    def test_one_that_is_closed_is_whole(self):
        got = self.play("/pay/x", untold(b"all of it", "close"))
        self.assertEqual((200, b"all of it", True), (got.status, got.body, got.complete))
        self.assertEqual(1, len(self.backend.asked))

    def test_one_that_is_reset_is_not(self):
        got = self.play("/pay/x", untold(b"some of", "reset"))
        self.assertEqual((502, 1), (got.status, len(self.backend.asked)))

    def test_one_that_was_begun_and_is_reset_does_not_look_complete(self):
        got = self.play("/pay/x", untold(b"x" * 600_000, "reset"))
        self.assertEqual((200, False, 1), (got.status, got.complete, len(self.backend.asked)))

    def test_one_that_falls_silent_is_not_complete_at_the_deadline(self):
        got = self.play("/pay/x", untold(b"some of", ""))
        self.assertEqual((504, 1), (got.status, len(self.backend.asked)))

    def test_a_stream_that_is_closed_is_whole(self):
        got = self.play("/once/x", untold(event(1) + event(2), "close", STREAM))
        self.assertEqual((200, event(1) + event(2), True), (got.status, got.body, got.complete))

    def test_a_stream_that_is_reset_or_closed_within_an_event_is_not(self):
        for body, ending in ((event(1), "reset"), (event(1) + b"id: 2\n", "close")):
            self.world = World()
            got = self.play("/once/x", untold(body, ending, STREAM))
            self.assertEqual((200, event(1), False), (got.status, got.body, got.complete))

    def test_a_stream_that_may_be_resumed_goes_on_after_a_reset(self):
        rest = untold(event(2) + event(3), "close", STREAM)
        got = self.play("/turns/x", untold(event(1) + event(2)[:7], "reset", STREAM), rest)
        self.assertEqual((event(1) + event(2) + event(3), True), (got.body, got.complete))
        self.assertEqual("1", self.backend.asked[1].fields["last-event-id"])

    def test_its_connection_is_not_used_again(self):
        self.backend = self.world.backend("i-1").answers(untold(b"x", "close"), whole())

        async def story():
            await self.world.ask("/pay/x")
            return await self.world.ask("/pay/x")

        self.assertEqual(200, self.world.run(story()).status)
        self.assertEqual(2, len(self.backend.connections))

    def test_a_local_end_is_no_end_of_an_answer(self):
        self.backend = self.world.backend("i-1").answers(untold(b"some of", ""))

        async def story():
            asked = asyncio.ensure_future(self.world.ask("/pay/x"))
            await asyncio.sleep(0.1)
            self.backend.connections[0].stream.abort()
            return await asked

        self.assertEqual(502, self.world.run(story()).status)


class EarlyAnswers(testtools.TestCase):
    """A backend that answers before it has read a long body, keeps the connection and reads on."""

    BODY = bytes(range(256)) * 2000

    def play(self, script, then):
        world = World()
        backend = world.backend("i-1").answers(whole())
        backend.window = 1000

        async def early(asked):
            await script(asked)

        async def story():
            asked = asyncio.ensure_future(world.ask("/pay/x", body=self.BODY))
            await asyncio.sleep(0.1)
            first = backend.connections[0]
            read_head = bytes(first.received).decode("latin1").split("\r\n\r\n")[0].split("\r\n")[1:]
            fields = dict(line.lower().split(": ", 1) for line in read_head)
            await early(Asked("POST", "/pay/x", fields, b"", 0, first))
            got = await asked
            backend.window = None
            if then == "reads on at once":
                first.read_on()
            second = await world.ask("/pay/x")
            first.read_on()
            await asyncio.sleep(1)
            return got, second, first

        return world.run(story())

    def test_it_gets_the_rest_of_that_body_or_the_connection_is_closed(self):
        for then in ("reads on at once", "reads on later"):
            for script in (whole(after=0), turned_away()):
                got, second, first = self.play(script, then)
                self.assertEqual(200, second.status)
                _, _, read = bytes(first.received).partition(b"\r\n\r\n")
                body, behind = read[: len(self.BODY)], read[len(self.BODY) :]
                self.assertTrue(self.BODY.startswith(body), "other bytes in the place of the body")
                self.assertTrue(not behind or len(body) == len(self.BODY))

    def test_no_request_waits_behind_a_body_that_is_not_read(self):
        _, second, first = self.play(whole(after=0), "reads on later")
        self.assertEqual(200, second.status)
        self.assertTrue(first.gateway_closed)


class Named(testtools.TestCase):
    """421: another instance at the address, or other weights than the client expects."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.ran = []

    def test_an_address_used_again_by_another_services_backend_runs_nothing(self):
        """On a new connection, on a rested one, and where a stream is resumed."""
        stranger = self.world.backend("i-1", "models")
        stranger.answers(events([1, 2], ending="reset"), only_for_itself("i-9", whole(), self.ran))
        stranger_too = self.world.backend("i-2")
        stranger_too.answers(whole(), only_for_itself("i-8", whole(), self.ran))

        async def story():
            resumed = await self.world.ask("/turns/x")
            await self.world.ask("/read/x")
            rested = await self.world.ask("/pay/x")
            return resumed, rested

        resumed, rested = self.world.run(story())
        self.assertEqual((False, 503, []), (resumed.complete, rested.status, self.ran))
        self.assertEqual({"i-1", "i-2"}, set(self.world.gone))

    def test_other_weights_are_told_as_421_and_the_backend_stays_in_use(self):
        backends = [self.world.backend(name, "models") for name in ("i-1", "i-2")]
        for backend in backends:
            backend.answers(turned_away(421), events([1, 2]))

        async def story():
            refused = await self.world.ask("/once/x", fields={"expect-version": "7"})
            return refused, await self.world.ask("/once/x")

        refused, served = self.world.run(story())
        self.assertEqual((421, False), (refused.status, refused.stamped))
        self.assertEqual([], self.world.gone)
        self.assertEqual([1, 2], sorted(len(backend.asked) for backend in backends))
        self.assertEqual(200, served.status)

    def test_one_with_the_weights_serves(self):
        self.world.backend("i-1", "models").answers(turned_away(421))
        self.world.backend("i-2", "models").answers(events([1, 2]))
        got = self.world.run(self.world.ask("/once/x", fields={"expect-version": "7"}))
        self.assertEqual((200, []), (got.status, self.world.gone))

    def test_other_weights_do_not_free_a_run_from_the_retries(self):
        """The backend where it ran lives on, so the request stays there."""
        backends = [self.world.backend(name, "tools") for name in ("i-1", "i-2", "i-3")]
        for backend in backends:
            backend.answers(breaks(), turned_away(421), whole())
        got = self.world.run(self.world.ask("/read/x", fields={"expect-version": "7"}))
        self.assertEqual([0, 0, 2], sorted(len(backend.asked) for backend in backends))
        self.assertEqual(502, got.status)

    def test_the_instance_that_a_client_names_gets_the_request_and_no_other(self):
        for name in ("i-1", "i-2"):
            self.world.backend(name).answers(only_for_itself(name, whole(name.encode()), self.ran))

        async def story():
            named = [
                await self.world.ask("/pay/x", fields={"x-kestrelbend-expect-instance": "i-2"})
                for _ in range(6)
            ]
            return named, await self.world.ask("/pay/x", fields={"x-kestrelbend-expect-instance": "i-7"})

        named, gone = self.world.run(story())
        self.assertEqual({(200, b"i-2")}, {(got.status, got.body) for got in named})
        self.assertEqual((421, False), (gone.status, gone.stamped))
        self.assertEqual(6, len(self.ran))


class Runs(testtools.TestCase):
    """Never more backends for one try than the route's retries."""

    def test_through_hedges_failures_and_resumes(self):
        for path, most in (("/read/x", 1), ("/read2/x", 2), ("/turns/x", 1)):
            service = "models" if path == "/turns/x" else "tools"
            for script in (silent(), breaks(), whole(b"no", 500), events([1], ending="reset")):
                world = World()
                backends = [world.backend(f"i-{number}", service) for number in range(5)]
                for backend in backends:
                    backend.answers(script)
                world.run(world.ask(path))
                self.assertTrue(sum(bool(backend.asked) for backend in backends) <= most, path)

    def test_a_client_that_takes_a_stream_up_is_one_more_try(self):
        world = World()
        backends = [world.backend(f"i-{number}", "models") for number in range(3)]
        for backend in backends:
            backend.answers(events([5], ending="reset"), events([6], ending="reset"), events([7]))
        got = world.run(world.ask("/turns/x", fields={"last-event-id": "4"}))
        self.assertEqual((event(5) + event(6) + event(7), True), (got.body, got.complete))
        self.assertEqual([0, 0, 3], sorted(len(backend.asked) for backend in backends))


class Deadlines(testtools.TestCase):
    """What is left of the client's deadline and of the route's timeout goes on with each send."""

    def test_each_later_send_gets_what_is_left(self):
        for path, service, fields in (
            ("/read2/x", "tools", {"x-kestrelbend-deadline-ms": "1500"}),
            ("/read2/x", "tools", {"x-kestrelbend-deadline-ms": "99999"}),
            ("/turns/x", "models", {"x-kestrelbend-deadline-ms": "3000"}),
        ):
            world = World()
            backends = [world.backend(f"i-{number}", service) for number in range(3)]
            for backend in backends:
                backend.answers(breaks(after=0.4), breaks(after=0.4), whole())
            world.run(world.ask(path, fields=fields))
            self.check(backends, fields)

    def test_where_the_client_sent_none_it_is_the_routes_timeout(self):
        world = World()
        backends = [world.backend(f"i-{number}") for number in range(3)]
        for backend in backends:
            backend.answers(breaks(after=0.4), breaks(after=0.4), whole())
        world.run(world.ask("/read2/x", without=("x-kestrelbend-deadline-ms",)))
        self.check(backends, {"x-kestrelbend-deadline-ms": "2000"})

    def check(self, backends, fields):
        timeout_ms = 2000 if backends[0].backend.service == "tools" else 4000
        allowed = min(timeout_ms, int(fields["x-kestrelbend-deadline-ms"]))
        asked = [one for backend in backends for one in backend.asked]
        self.assertTrue(len(asked) >= 2)
        for one in asked:
            left = int(one.fields["x-kestrelbend-deadline-ms"])
            self.assertTrue(abs(one.at + left / 1000 - 100 - allowed / 1000) < 0.005, (one.at, left))

    def test_a_deadline_that_is_over_is_no_reason_for_more_time(self):
        for told in ("0", "-5"):
            world = World()
            backend = world.backend("i-1")
            got = world.run(world.ask("/pay/x", fields={"x-kestrelbend-deadline-ms": told}))
            self.assertEqual((503, []), (got.status, backend.asked))


class TimeOver(testtools.TestCase):
    """The final answer comes by the route's timeout, whatever the request waits for."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.none = {"without": ("x-kestrelbend-deadline-ms",)}

    def play(self, path, **how):
        got = self.world.run(self.world.ask(path, **{**self.none, **how}))
        limit_s = 4.0 if path == "/turns/x" else 2.0
        self.assertTrue(got.at - 100 <= limit_s + 0.01, got.at)
        return got

    def test_a_stream_in_the_middle_breaks(self):
        self.world.backend("i-1", "models").answers(events(range(1, 100), pause=0.1))
        got = self.play("/once/x")
        self.assertEqual((200, False), (got.status, got.complete))

    def test_a_turn_whose_budget_does_not_answer_is_refused(self):
        backend = self.world.backend("i-1", "models")
        self.world.budget.delay = 60.0
        fields = {name: value for name, value in turn().items() if name != "x-kestrelbend-deadline-ms"}
        got = self.play("/turns/x", fields=fields)
        self.assertEqual((503, []), (got.status, backend.asked))

    def test_a_request_that_waits_for_room_is_refused(self):
        backend = self.world.backend("i-1").answers(turned_away())
        got = self.play("/pay/x", fields={"program": "p"})
        self.assertEqual(503, got.status)
        self.assertTrue(backend.asked)

    def test_a_request_whose_body_comes_slowly_is_refused(self):
        backend = self.world.backend("i-1")
        got = self.play("/pay/x", chunks=(b"a",), body_after=2.9)
        self.assertEqual((408, []), (got.status, backend.asked))

    def test_a_request_at_a_gateway_that_is_starting_is_refused(self):
        backend = self.world.backend("i-1")
        self.world.plane.lifecycle = Lifecycle()
        got = self.world.run(self.world.ask("/read/x", fields={"x-kestrelbend-deadline-ms": "300"}))
        self.assertEqual((503, []), (got.status, backend.asked))
        self.assertTrue(got.at <= 100.31, got.at)

    def test_a_client_that_does_not_read_holds_nothing(self):
        self.world.backend("i-1", "models").answers(events(range(1, 100), pause=0.1))
        got = self.play("/once/x", reads=False)
        self.assertFalse(got.complete)
        self.assertEqual(0, self.world.lifecycle.in_flight)


class Gone(testtools.TestCase):
    """The client has left."""

    def setUp(self):
        super().setUp()
        self.world = World()

    def test_the_backends_work_ends_for_what_may_be_repeated_and_for_streams(self):
        for path, service in (("/read/x", "tools"), ("/turns/x", "models"), ("/once/x", "models")):
            for script in (whole(after=1), silent(), events(range(1, 50), pause=0.1)):
                world = World()
                backend = world.backend("i-1", service).answers(script)
                got = world.run(world.ask(path, leave_after=0.25))
                self.assertTrue(got.at < 100.26, got.at)
                self.assertTrue(all(one.gateway_closed for one in backend.connections))

    def test_work_that_may_run_once_runs_to_its_end_and_is_not_sent_again(self):
        for script, ends in ((whole(after=1), 101.0), (breaks(after=1), 101.0), (silent(), 101.5)):
            world = World()
            backend = world.backend("i-1").answers(script)
            closed = []

            async def story(world=world, backend=backend, closed=closed):
                asked = asyncio.ensure_future(world.ask("/pay/x", leave_after=0.2))
                await asyncio.sleep(0.9)
                closed.append(backend.connections[0].gateway_closed)
                return await asked

            got = world.run(story())
            self.assertEqual((None, [False], 1), (got.status, closed, len(backend.asked)))
            self.assertTrue(abs(got.at - ends) < 0.02, got.at)
            self.assertEqual(0, world.lifecycle.in_flight)

    def test_nothing_is_sent_once_it_has_left(self):
        for path, service in (("/pay/x", "tools"), ("/read/x", "tools"), ("/once/x", "models")):
            for script in (turned_away(), breaks(after=0.3), whole(b"no", 500, 0.3)):
                world = World()
                backends = [world.backend(f"i-{number}", service) for number in (1, 2)]
                for backend in backends:
                    backend.answers(script)
                fields = {"program": "p", "finish-ms": "9000"}
                world.run(self.left_at(world, path, fields))
                asked = [one for backend in backends for one in backend.asked]
                self.assertTrue(all(one.at <= 100.21 for one in asked), [one.at for one in asked])

    async def left_at(self, world, path, fields):
        await world.ask(path, fields=fields, leave_after=0.2)
        await asyncio.sleep(3)

    def test_one_that_left_while_the_gateway_had_no_configuration_is_not_sent(self):
        backend = self.world.backend("i-1")
        starting = Lifecycle()

        async def story():
            await self.world.ask("/read/x")  # a connection rests: a send needs no wait
            self.world.plane.lifecycle = starting
            left = asyncio.ensure_future(self.world.ask("/read/x", leave_after=0.2))
            await asyncio.sleep(1)
            starting.set_ready(True)
            await left

        self.world.run(story())
        self.assertEqual(1, len(backend.asked))


class Refusals(testtools.TestCase):
    """A gateway that cannot know that it is current refuses nothing for good."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.backend = self.world.backend("i-1")

    async def refused(self):
        ask = self.world.ask
        return [
            (await ask("/nowhere/x")).status,
            (await ask("/read/x", fields={"content-length": "99999999"})).status,
            (await ask("/read/x", chunks=(b"x" * 4000000, b"x" * 4000000))).status,
            (await ask("/read/x", fields={"x-large": "x" * 20000})).status,
        ]

    def test_what_an_older_configuration_refuses_is_503_with_a_time_to_come_back(self):
        self.world.configuration_is_current = False
        self.assertEqual([503] * 4, self.world.run(self.refused()))
        self.assertEqual([], self.backend.asked)

    def test_what_it_allows_is_served(self):
        self.world.configuration_is_current = False
        self.assertEqual(200, self.world.run(self.world.ask("/read/x")).status)

    def test_one_that_knows_refuses(self):
        self.assertEqual([404, 413, 413, 431], self.world.run(self.refused()))

    def test_without_a_configuration_all_is_503(self):
        self.world.table = None
        self.assertEqual([503] * 4, self.world.run(self.refused()))
