"""Stories of event streams, and of the budget check round a program's turns."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.tier.budgets.messages import TurnEnd, Verdict
from kestrelbend.tier.dataplane.errors import DataPlaneError
from kestrelbend.tier.dataplane.events import EventSplitter
from tests.tier.dataplane_world import (
    World,
    breaks,
    chunks,
    event,
    events,
    silent,
    turn,
    turned_away,
    whole,
)

NINE = b"".join(event(number) for number in range(1, 10))


class Splitting(testtools.TestCase):
    """Bytes into events."""

    def test_only_whole_events_leave_whatever_the_pieces(self):
        for size in range(1, len(NINE)):
            splitter = EventSplitter()
            out, count = b"", 0
            for start in range(0, len(NINE), size):
                events = splitter.feed(NINE[start : start + size])
                self.assertTrue(events.data == b"" or events.data.endswith(b"\n\n"))
                out += events.data
                count += events.count
            splitter.end()
            self.assertEqual((NINE, 9, 9), (out, count, splitter.last_id))

    def test_other_line_ends_and_fields_are_kept(self):
        splitter = EventSplitter()
        text = b"versions: 3\r\nid: 4\r\ndata: x\r\n\r\n"
        self.assertEqual((text, 1), (splitter.feed(text).data, 1))
        self.assertEqual(4, splitter.last_id)

    def test_ids_that_do_not_rise_break_the_run(self):
        splitter = EventSplitter(4)
        self.assertRaises(DataPlaneError, splitter.feed, event(4))

    def test_the_first_line_may_tell_the_version_from_which_on_it_holds(self):
        splitter = EventSplitter()
        text = event(1) + b"versions: 8\n" + event(2) + event(3)
        events = splitter.feed(text)
        self.assertEqual((text, 3, 3), (events.data, events.count, splitter.position))

    def test_blocks_without_data_or_an_id_are_no_events_and_are_kept(self):
        splitter = EventSplitter()
        text = b": hello\n\nretry: 10\n\n" + event(1) + b"\n: bye\n\n"
        events = splitter.feed(text)
        self.assertEqual((text, 1, 1), (events.data, events.count, splitter.position))

    def test_behind_an_event_without_an_id_nothing_can_go_on(self):
        for unnamed in (b"data: x\n\n", b"id: a7\ndata: x\n\n", b"id\ndata: x\n\n"):
            splitter = EventSplitter(4)
            self.assertEqual(4, splitter.position)
            splitter.feed(event(5) + unnamed)
            self.assertEqual(None, splitter.position)
            splitter.feed(event(6))
            self.assertEqual(6, splitter.position)

    def test_blank_lines_at_the_end_are_kept(self):
        for blank in (b"\n", b"\r\n", b"\n\r\n"):
            splitter = EventSplitter()
            events = splitter.feed(event(1)), splitter.feed(blank)
            self.assertEqual(event(1) + blank, events[0].data + events[1].data + splitter.end())
            self.assertEqual(b"", splitter.end())

    def test_an_end_within_an_event_is_no_end(self):
        splitter = EventSplitter()
        splitter.feed(event(1) + b"id: 2\n")
        self.assertRaises(DataPlaneError, splitter.end)


class Streams(testtools.TestCase):
    """Events on their way to the client."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.backend = self.world.backend("i-1", "models")

    def test_events_are_passed_on_as_they_come(self):
        self.backend.answers(events(range(1, 10), pause=0.1))
        got = self.world.run(self.world.ask("/turns/x"))
        self.assertEqual((200, NINE, True), (got.status, got.body, got.complete))
        self.assertEqual(9, len(got.parts))
        for number, (at, _) in enumerate(got.parts):
            self.assertTrue(abs(at - 100.1 - 0.1 * number) < 0.005, at)

    def test_a_resumable_stream_that_breaks_goes_on_in_the_same_answer(self):
        for ending in ("reset", "close"):
            world = World()
            backend = world.backend("i-1", "models")
            backend.answers(events(range(1, 5), ending=ending, part=b"id: 5\nda"), events(range(5, 10)))
            got = world.run(world.ask("/turns/x"))
            self.assertEqual((200, NINE, True), (got.status, got.body, got.complete))
            self.assertEqual([None, "4"], [asked.fields.get("last-event-id") for asked in backend.asked])

    def test_it_goes_on_elsewhere_if_the_backend_crashed(self):
        other = self.world.backend("i-2", "models")
        pair = {"i-1": self.backend, "i-2": other}

        async def crash(asked):
            name = asked.fields["x-kestrelbend-expect-instance"]
            pair[name].refusing = True
            for backend in pair.values():
                backend.answers(events(range(4, 10)))
            await events(range(1, 4), ending="reset")(asked)

        for backend in pair.values():
            backend.answers(crash)
        got = self.world.run(self.world.ask("/turns/x"))
        self.assertEqual((NINE, True), (got.body, got.complete))
        self.assertEqual([1, 1], [len(backend.asked) for backend in pair.values()])

    def test_a_stream_that_breaks_at_any_byte_goes_on_after_its_last_whole_event(self):
        """With ids of one and of two digits, and the version told within the stream."""
        text = [event(8), b"versions: 3\n" + event(9), event(10), event(11)]
        whole_stream = b"".join(text)
        ends = [len(b"".join(text[:count])) for count in range(5)]
        for size in range(len(whole_stream)):
            for ending in ("reset", "close"):
                passed = max(end for end in ends if end <= size)
                rest = whole_stream[passed:]
                world = World()
                backend = world.backend("i-1", "models")
                backend.answers(chunks(whole_stream[:size], ending), chunks(rest, "end"))
                got = world.run(world.ask("/turns/x", fields={"expect-version": "2"}))
                self.assertEqual((whole_stream, True), (got.body, got.complete), (size, ending))
                last = {0: None, ends[1]: "8", ends[2]: "9", ends[3]: "10"}[passed]
                resumed = backend.asked[1].fields
                self.assertEqual((last, "2"), (resumed.get("last-event-id"), resumed["expect-version"]))

    def test_a_stream_is_not_resumed_behind_an_event_without_an_id(self):
        for fields in ({}, {"last-event-id": "4"}):
            world = World()
            backend = world.backend("i-1", "models")
            backend.answers(chunks(event(5) + b"data: x\n\n", "reset"), events(range(6, 8)))
            got = world.run(world.ask("/turns/x", fields=fields))
            self.assertEqual((event(5) + b"data: x\n\n", False), (got.body, got.complete))
            self.assertEqual(1, len(backend.asked))

    def test_bytes_round_the_events_are_passed_on(self):
        for text in (b": hello\n\n" + event(1) + b"\n", b": hello\n\n", b"\n\n", event(1) + b"\r\n"):
            world = World()
            world.backend("i-1", "models").answers(chunks(text, "end", pause=0.01))
            got = world.run(world.ask("/turns/x"))
            self.assertEqual((text, True), (got.body, got.complete))

    def test_a_clients_own_last_event_id_is_the_start(self):
        self.backend.answers(breaks(), events(range(5, 7), ending="reset"), events(range(7, 10)))
        got = self.world.run(self.world.ask("/turns/x", fields={"last-event-id": "4"}))
        self.assertEqual((NINE[len(event(1)) * 4 :], True), (got.body, got.complete))
        self.assertEqual(["4", "4", "6"], [asked.fields["last-event-id"] for asked in self.backend.asked])

    def test_a_second_run_that_starts_over_is_not_joined(self):
        self.backend.answers(events(range(1, 5), ending="reset"), events(range(1, 10)))
        got = self.world.run(self.world.ask("/turns/x"))
        self.assertEqual((NINE[: len(event(1)) * 4], False), (got.body, got.complete))

    def test_a_stream_that_may_not_be_resumed_breaks_at_the_client(self):
        self.backend.answers(events(range(1, 5), ending="reset"))
        got = self.world.run(self.world.ask("/once/x"))
        self.assertEqual((200, NINE[: len(event(1)) * 4], False), (got.status, got.body, got.complete))
        self.assertEqual(1, len(self.backend.asked))

    def test_a_stream_that_may_not_be_resumed_runs_once_though_nothing_came(self):
        self.backend.answers(breaks())
        got = self.world.run(self.world.ask("/once/x"))
        self.assertEqual((502, 1), (got.status, len(self.backend.asked)))

    def test_a_failure_in_the_place_of_the_rest_does_not_reach_the_client(self):
        self.backend.answers(events(range(1, 5), ending="reset"), whole(b"no", 500), events(range(5, 10)))
        got = self.world.run(self.world.ask("/turns/x"))
        self.assertEqual((NINE, True), (got.body, got.complete))

    def test_a_stream_without_an_event_that_ends_properly_is_complete(self):
        self.backend.answers(events([]))
        got = self.world.run(self.world.ask("/turns/x"))
        self.assertEqual((200, b"", True), (got.status, got.body, got.complete))

    def test_a_stream_that_falls_silent_midway_is_resumed(self):
        self.backend.answers(events([1, 2], ending="silence"), events(range(3, 10)))
        got = self.world.run(self.world.ask("/turns/x", fields={"x-kestrelbend-deadline-ms": "4000"}))
        self.assertEqual((NINE, True, 2), (got.body, got.complete, len(self.backend.asked)))
        self.assertTrue(got.at - 100 < 1.5, got.at)
        self.assertTrue(self.backend.connections[0].gateway_closed)

    def test_the_silence_of_a_stream_that_may_not_be_resumed_is_borne(self):
        self.backend.answers(events([1, 2], pause=1.3))
        got = self.world.run(self.world.ask("/once/x", fields={"x-kestrelbend-deadline-ms": "4000"}))
        self.assertEqual((event(1), 1), (got.body, len(self.backend.asked)))

    def test_the_deadline_breaks_a_stream_that_was_begun(self):
        self.backend.answers(events([1], ending="silence"))
        got = self.world.run(self.world.ask("/turns/x", fields={"x-kestrelbend-deadline-ms": "900"}))
        self.assertEqual((200, event(1), False), (got.status, got.body, got.complete))
        self.assertTrue(abs(got.at - 100.9) < 0.01, got.at)

    def test_a_client_that_goes_midway_ends_the_run(self):
        self.backend.answers(events(range(1, 10), pause=0.1))
        got = self.world.run(self.world.ask("/turns/x", leave_after=0.35))
        self.assertEqual((3, False), (len(got.parts), got.complete))
        self.assertTrue(self.backend.connections[0].gateway_closed)

    def test_requests_of_a_session_prefer_one_backend_until_it_is_busier(self):
        backends = [self.backend, *(self.world.backend(f"i-{n}", "models") for n in (2, 3, 4))]
        for backend in backends:
            backend.answers(events(range(1, 3)))
        fields = {"session": "s-1"}

        async def story():
            for _ in range(5):
                await self.world.ask("/turns/x", fields=fields)
            calm = [len(backend.asked) for backend in backends]
            await asyncio.gather(*(self.world.ask("/turns/x", fields=fields) for _ in range(12)))
            return calm

        self.assertEqual([0, 0, 0, 5], sorted(self.world.run(story())))
        self.assertTrue(all(backend.asked for backend in backends))


class Budgets(testtools.TestCase):
    """A turn is reserved before its first send and settled once, however it ends."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.budget = self.world.budget
        self.backend = self.world.backend("i-1", "models").answers(events(range(1, 10)))

    def settled(self):
        return [(settle.used_tokens, TurnEnd(settle.end)) for settle in self.budget.settled]

    def play(self, **how):
        return self.world.run(self.world.ask("/turns/x", fields=turn(), **how))

    def test_a_turn_is_reserved_with_its_most_and_settled_by_what_it_got(self):
        got = self.play()
        self.assertEqual(200, got.status)
        reserve = self.budget.reserved[0]
        self.assertEqual(
            ("p1", "s1", "try-1", 80, 1000, True),
            (reserve.program, reserve.session, reserve.reservation, reserve.max_tokens,
             reserve.budget, reserve.spare_capacity),
        )  # fmt: skip
        self.assertEqual([(72, TurnEnd.COMPLETE)], self.settled())

    def test_a_repeat_has_the_fingerprint_of_its_turn_and_the_next_turn_another(self):
        async def story():
            await self.world.ask("/turns/x", fields=turn())
            await self.world.ask("/turns/x", fields=turn())
            await self.world.ask("/turns/x", fields=turn(most=81))

        self.world.run(story())
        one, again, following = (reserve.fingerprint for reserve in self.budget.reserved)
        self.assertEqual(one, again)
        self.assertNotEqual(one, following)

    def test_a_spent_budget_is_402_without_a_send(self):
        for locally in (True, False):
            world = World()
            backend = world.backend("i-1", "models")
            world.budget.spent = {"p1"} if locally else set()
            world.budget.verdict = Verdict.SPENT
            got = world.run(world.ask("/turns/x", fields=turn()))
            self.assertEqual((402, [], []), (got.status, backend.asked, world.budget.settled))
            self.assertEqual(0 if locally else 1, len(world.budget.reserved))

    def test_other_refusals_tell_when_to_come_back(self):
        for verdict, status in ((Verdict.RETRY_LATER, 429), (Verdict.NO_ANSWER, 503)):
            world = World()
            backend = world.backend("i-1", "models")
            world.budget.verdict = verdict
            got = world.run(world.ask("/turns/x", fields=turn()))
            self.assertEqual((status, "0.250", []), (got.status, got.fields["retry-after"], backend.asked))

    def test_a_turn_that_no_backend_took_gives_all_back(self):
        self.backend.answers(turned_away())
        self.assertEqual(503, self.play().status)
        self.assertEqual([(0, TurnEnd.NOT_RUN)], self.settled())

    def test_a_turn_that_broke_off_keeps_what_was_handed_out(self):
        self.backend.answers(events([1, 2, 3], ending="silence"))
        self.assertFalse(self.play().complete)
        self.assertEqual([(24, TurnEnd.BROKEN_OFF)], self.settled())

    def test_a_resumed_turn_counts_each_event_once(self):
        self.backend.answers(events([1, 2, 3], ending="reset"), events(range(4, 10)))
        self.assertTrue(self.play().complete)
        self.assertEqual([(72, TurnEnd.COMPLETE)], self.settled())

    def test_a_failed_turn_is_not_complete(self):
        self.backend.answers(whole(b"no", 500))
        self.assertEqual(500, self.play().status)
        self.assertEqual([(0, TurnEnd.BROKEN_OFF)], self.settled())

    def test_silence_and_clients_that_go_settle_once(self):
        self.backend.answers(silent())
        self.play(leave_after=0.4)
        self.assertEqual([(0, TurnEnd.BROKEN_OFF)], self.settled())

    def test_a_client_that_goes_while_the_budget_is_asked_leaves_nothing_sent(self):
        self.budget.delay = 0.5
        self.play(leave_after=0.1)
        self.assertEqual(([], []), (self.settled(), self.backend.asked))

    def test_requests_that_are_no_turns_need_no_budget(self):
        fields = {key: value for key, value in turn().items() if key != "budget"}
        got = self.world.run(self.world.ask("/turns/x", fields=fields))
        self.assertEqual((200, []), (got.status, self.budget.reserved))


class Choice(testtools.TestCase):
    """Which backend a thing's requests prefer."""

    def setUp(self):
        super().setUp()
        self.world = World()
        for number in range(1, 7):
            zone = "here" if number % 2 else "there"
            self.world.backend(f"i-{number}", "models", zone=zone).answers(events([1]))

    def used(self, keys):
        async def story():
            for key in keys:
                await self.world.ask("/turns/x", fields={"program": key})

        self.world.run(story())
        return {scripted.backend.identity for scripted in self.world.scripted.values() if scripted.asked}

    def test_things_spread_over_the_backends_of_the_zone(self):
        self.assertEqual({"i-1", "i-3", "i-5"}, self.used(f"p{number}" for number in range(40)))

    def test_other_zones_serve_where_this_one_has_none(self):
        for identity in ("i-1", "i-3", "i-5"):
            self.world.mark_departed(identity)
        self.assertEqual({"i-2", "i-4", "i-6"}, self.used(f"p{number}" for number in range(40)))

    def test_a_burst_spills_to_all(self):
        async def story():
            asks = [self.world.ask("/turns/x", fields={"program": "p"}) for _ in range(24)]
            await asyncio.gather(*asks)

        self.world.run(story())
        counts = [len(scripted.asked) for scripted in self.world.scripted.values()]
        self.assertTrue(max(counts) <= 6 and min(counts) >= 2, counts)
