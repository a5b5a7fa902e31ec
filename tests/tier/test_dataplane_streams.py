"""Event streams, the budget check for a program's turns, and session affinity."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.tier.budgets.messages import TurnEnd, Verdict
from kestrelbend.tier.dataplane.errors import DataPlaneError
from kestrelbend.tier.dataplane.events import EventSplitter
from tests.tier.dataplane_world import (
    Simulation,
    drop_connection,
    chunked_stream,
    event,
    event_stream,
    no_response,
    turn_headers,
    rejection,
    complete_response,
)

NINE_EVENTS = b"".join(event(number) for number in range(1, 10))


class EventSplitterTest(testtools.TestCase):
    """Splits bytes into events."""

    def test_only_complete_events_are_returned_for_any_chunk_size(self):
        for size in range(1, len(NINE_EVENTS)):
            splitter = EventSplitter()
            out, count = b"", 0
            for start in range(0, len(NINE_EVENTS), size):
                batch = splitter.feed(NINE_EVENTS[start : start + size])
                self.assertTrue(batch.data == b"" or batch.data.endswith(b"\n\n"))
                out += batch.data
                count += batch.count
            splitter.end()
            self.assertEqual((NINE_EVENTS, 9, 9), (out, count, splitter.last_id))

    def test_crlf_line_ends_and_other_fields_are_kept(self):
        splitter = EventSplitter()
        text = b"versions: 3\r\nid: 4\r\ndata: x\r\n\r\n"
        self.assertEqual((text, 1), (splitter.feed(text).data, 1))
        self.assertEqual(4, splitter.last_id)

    def test_event_id_that_does_not_increase_raises(self):
        splitter = EventSplitter(4)
        self.assertRaises(DataPlaneError, splitter.feed, event(4))

    def test_version_line_before_an_event_is_kept(self):
        splitter = EventSplitter()
        text = event(1) + b"versions: 8\n" + event(2) + event(3)
        batch = splitter.feed(text)
        self.assertEqual((text, 3, 3), (batch.data, batch.count, splitter.position))

    def test_blocks_without_data_or_an_id_are_kept_but_not_counted(self):
        splitter = EventSplitter()
        text = b": hello\n\nretry: 10\n\n" + event(1) + b"\n: bye\n\n"
        batch = splitter.feed(text)
        self.assertEqual((text, 1, 1), (batch.data, batch.count, splitter.position))

    def test_position_is_unknown_after_an_event_without_a_numeric_id(self):
        for event_without_id in (b"data: x\n\n", b"id: a7\ndata: x\n\n", b"id\ndata: x\n\n"):
            splitter = EventSplitter(4)
            self.assertEqual(4, splitter.position)
            splitter.feed(event(5) + event_without_id)
            self.assertEqual(None, splitter.position)
            splitter.feed(event(6))
            self.assertEqual(6, splitter.position)

    def test_blank_lines_at_the_end_are_kept(self):
        for blank in (b"\n", b"\r\n", b"\n\r\n"):
            splitter = EventSplitter()
            batch = splitter.feed(event(1)), splitter.feed(blank)
            self.assertEqual(event(1) + blank, batch[0].data + batch[1].data + splitter.end())
            self.assertEqual(b"", splitter.end())

    def test_end_within_an_event_raises(self):
        splitter = EventSplitter()
        splitter.feed(event(1) + b"id: 2\n")
        self.assertRaises(DataPlaneError, splitter.end)


class EventStreamTest(testtools.TestCase):
    """Forwards and resumes event streams."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.backend = self.simulation.backend("i-1", "models")

    def test_events_are_forwarded_as_they_arrive(self):
        self.backend.respond_with(event_stream(range(1, 10), pause=0.1))
        response = self.simulation.run(self.simulation.send_request("/turns/x"))
        self.assertEqual((200, NINE_EVENTS, True), (response.status, response.body, response.complete))
        self.assertEqual(9, len(response.parts))
        for number, (at, _) in enumerate(response.parts):
            self.assertTrue(abs(at - 100.1 - 0.1 * number) < 0.005, at)

    def test_broken_resumable_stream_continues_in_the_same_response(self):
        for ending in ("reset", "close"):
            simulation = Simulation()
            backend = simulation.backend("i-1", "models")
            backend.respond_with(
                event_stream(range(1, 5), ending=ending, part=b"id: 5\nda"), event_stream(range(5, 10))
            )
            response = simulation.run(simulation.send_request("/turns/x"))
            self.assertEqual((200, NINE_EVENTS, True), (response.status, response.body, response.complete))
            self.assertEqual(
                [None, "4"], [received.fields.get("last-event-id") for received in backend.requests]
            )

    def test_stream_resumes_at_another_backend_after_a_crash(self):
        other = self.simulation.backend("i-2", "models")
        backends_by_name = {"i-1": self.backend, "i-2": other}

        async def crash(received):
            name = received.fields["x-kestrelbend-expect-instance"]
            backends_by_name[name].refusing = True
            for backend in backends_by_name.values():
                backend.respond_with(event_stream(range(4, 10)))
            await event_stream(range(1, 4), ending="reset")(received)

        for backend in backends_by_name.values():
            backend.respond_with(crash)
        response = self.simulation.run(self.simulation.send_request("/turns/x"))
        self.assertEqual((NINE_EVENTS, True), (response.body, response.complete))
        self.assertEqual([1, 1], [len(backend.requests) for backend in backends_by_name.values()])

    def test_stream_broken_at_any_byte_resumes_after_its_last_complete_event(self):
        """With one- and two-digit ids and a version line within the stream."""
        text = [event(8), b"versions: 3\n" + event(9), event(10), event(11)]
        whole_stream = b"".join(text)
        event_ends = [len(b"".join(text[:count])) for count in range(5)]
        for size in range(len(whole_stream)):
            for ending in ("reset", "close"):
                forwarded_size = max(end for end in event_ends if end <= size)
                remaining = whole_stream[forwarded_size:]
                simulation = Simulation()
                backend = simulation.backend("i-1", "models")
                backend.respond_with(
                    chunked_stream(whole_stream[:size], ending), chunked_stream(remaining, "end")
                )
                response = simulation.run(simulation.send_request("/turns/x", fields={"expect-version": "2"}))
                self.assertEqual((whole_stream, True), (response.body, response.complete), (size, ending))
                last = {0: None, event_ends[1]: "8", event_ends[2]: "9", event_ends[3]: "10"}[forwarded_size]
                resumed = backend.requests[1].fields
                self.assertEqual((last, "2"), (resumed.get("last-event-id"), resumed["expect-version"]))

    def test_stream_is_not_resumed_after_an_event_without_an_id(self):
        for fields in ({}, {"last-event-id": "4"}):
            simulation = Simulation()
            backend = simulation.backend("i-1", "models")
            backend.respond_with(
                chunked_stream(event(5) + b"data: x\n\n", "reset"), event_stream(range(6, 8))
            )
            response = simulation.run(simulation.send_request("/turns/x", fields=fields))
            self.assertEqual((event(5) + b"data: x\n\n", False), (response.body, response.complete))
            self.assertEqual(1, len(backend.requests))

    def test_bytes_around_events_are_forwarded(self):
        for text in (b": hello\n\n" + event(1) + b"\n", b": hello\n\n", b"\n\n", event(1) + b"\r\n"):
            simulation = Simulation()
            simulation.backend("i-1", "models").respond_with(chunked_stream(text, "end", pause=0.01))
            response = simulation.run(simulation.send_request("/turns/x"))
            self.assertEqual((text, True), (response.body, response.complete))

    def test_stream_starts_after_the_clients_last_event_id(self):
        self.backend.respond_with(
            drop_connection(), event_stream(range(5, 7), ending="reset"), event_stream(range(7, 10))
        )
        response = self.simulation.run(
            self.simulation.send_request("/turns/x", fields={"last-event-id": "4"})
        )
        self.assertEqual((NINE_EVENTS[len(event(1)) * 4 :], True), (response.body, response.complete))
        self.assertEqual(
            ["4", "4", "6"], [received.fields["last-event-id"] for received in self.backend.requests]
        )

    def test_second_run_that_starts_over_is_not_appended(self):
        self.backend.respond_with(event_stream(range(1, 5), ending="reset"), event_stream(range(1, 10)))
        response = self.simulation.run(self.simulation.send_request("/turns/x"))
        self.assertEqual((NINE_EVENTS[: len(event(1)) * 4], False), (response.body, response.complete))

    def test_broken_non_resumable_stream_breaks_at_the_client(self):
        self.backend.respond_with(event_stream(range(1, 5), ending="reset"))
        response = self.simulation.run(self.simulation.send_request("/once/x"))
        self.assertEqual(
            (200, NINE_EVENTS[: len(event(1)) * 4], False),
            (response.status, response.body, response.complete),
        )
        self.assertEqual(1, len(self.backend.requests))

    def test_non_resumable_stream_without_a_response_runs_once(self):
        self.backend.respond_with(drop_connection())
        response = self.simulation.run(self.simulation.send_request("/once/x"))
        self.assertEqual((502, 1), (response.status, len(self.backend.requests)))

    def test_error_response_to_a_resumption_is_retried(self):
        self.backend.respond_with(
            event_stream(range(1, 5), ending="reset"),
            complete_response(b"no", 500),
            event_stream(range(5, 10)),
        )
        response = self.simulation.run(self.simulation.send_request("/turns/x"))
        self.assertEqual((NINE_EVENTS, True), (response.body, response.complete))

    def test_empty_stream_is_complete(self):
        self.backend.respond_with(event_stream([]))
        response = self.simulation.run(self.simulation.send_request("/turns/x"))
        self.assertEqual((200, b"", True), (response.status, response.body, response.complete))

    def test_stalled_stream_is_resumed(self):
        self.backend.respond_with(event_stream([1, 2], ending="silence"), event_stream(range(3, 10)))
        response = self.simulation.run(
            self.simulation.send_request("/turns/x", fields={"x-kestrelbend-deadline-ms": "4000"})
        )
        self.assertEqual(
            (NINE_EVENTS, True, 2), (response.body, response.complete, len(self.backend.requests))
        )
        self.assertTrue(response.at - 100 < 1.5, response.at)
        self.assertTrue(self.backend.connections[0].gateway_closed)

    def test_stalled_non_resumable_stream_is_not_resent(self):
        self.backend.respond_with(event_stream([1, 2], pause=1.3))
        response = self.simulation.run(
            self.simulation.send_request("/once/x", fields={"x-kestrelbend-deadline-ms": "4000"})
        )
        self.assertEqual((event(1), 1), (response.body, len(self.backend.requests)))

    def test_deadline_breaks_a_started_stream(self):
        self.backend.respond_with(event_stream([1], ending="silence"))
        response = self.simulation.run(
            self.simulation.send_request("/turns/x", fields={"x-kestrelbend-deadline-ms": "900"})
        )
        self.assertEqual((200, event(1), False), (response.status, response.body, response.complete))
        self.assertTrue(abs(response.at - 100.9) < 0.01, response.at)

    def test_client_disconnect_midway_cancels_the_run(self):
        self.backend.respond_with(event_stream(range(1, 10), pause=0.1))
        response = self.simulation.run(self.simulation.send_request("/turns/x", disconnect_after=0.35))
        self.assertEqual((3, False), (len(response.parts), response.complete))
        self.assertTrue(self.backend.connections[0].gateway_closed)

    def test_requests_of_a_session_prefer_one_backend_until_it_is_busier(self):
        backends = [self.backend, *(self.simulation.backend(f"i-{n}", "models") for n in (2, 3, 4))]
        for backend in backends:
            backend.respond_with(event_stream(range(1, 3)))
        fields = {"session": "s-1"}

        async def scenario():
            for _ in range(5):
                await self.simulation.send_request("/turns/x", fields=fields)
            request_counts = [len(backend.requests) for backend in backends]
            await asyncio.gather(
                *(self.simulation.send_request("/turns/x", fields=fields) for _ in range(12))
            )
            return request_counts

        self.assertEqual([0, 0, 0, 5], sorted(self.simulation.run(scenario())))
        self.assertTrue(all(backend.requests for backend in backends))


class TurnBudgetTest(testtools.TestCase):
    """A turn is reserved before its first send and settled once, however it ends."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.budget = self.simulation.budget
        self.backend = self.simulation.backend("i-1", "models").respond_with(event_stream(range(1, 10)))

    def settled(self):
        return [(settle.used_tokens, TurnEnd(settle.end)) for settle in self.budget.settled]

    def run_scenario(self, **options):
        return self.simulation.run(self.simulation.send_request("/turns/x", fields=turn_headers(), **options))

    def test_turn_reserves_its_maximum_and_settles_the_tokens_delivered(self):
        response = self.run_scenario()
        self.assertEqual(200, response.status)
        reserve = self.budget.reserved[0]
        self.assertEqual(
            ("p1", "s1", "try-1", 80, 1000, True),
            (reserve.program, reserve.session, reserve.reservation, reserve.max_tokens,
             reserve.budget, reserve.spare_capacity),
        )  # fmt: skip
        self.assertEqual([(72, TurnEnd.COMPLETE)], self.settled())

    def test_retry_has_the_fingerprint_of_its_turn_and_the_next_turn_has_another(self):
        async def scenario():
            await self.simulation.send_request("/turns/x", fields=turn_headers())
            await self.simulation.send_request("/turns/x", fields=turn_headers())
            await self.simulation.send_request("/turns/x", fields=turn_headers(max_tokens=81))

        self.simulation.run(scenario())
        one, again, following = (reserve.fingerprint for reserve in self.budget.reserved)
        self.assertEqual(one, again)
        self.assertNotEqual(one, following)

    def test_spent_budget_gives_402_without_a_send(self):
        for locally in (True, False):
            simulation = Simulation()
            backend = simulation.backend("i-1", "models")
            simulation.budget.spent = {"p1"} if locally else set()
            simulation.budget.verdict = Verdict.BUDGET_EXCEEDED
            response = simulation.run(simulation.send_request("/turns/x", fields=turn_headers()))
            self.assertEqual((402, [], []), (response.status, backend.requests, simulation.budget.settled))
            self.assertEqual(0 if locally else 1, len(simulation.budget.reserved))

    def test_other_budget_rejections_have_retry_after(self):
        for verdict, status in ((Verdict.RETRY_LATER, 429), (Verdict.OWNER_UNAVAILABLE, 503)):
            simulation = Simulation()
            backend = simulation.backend("i-1", "models")
            simulation.budget.verdict = verdict
            response = simulation.run(simulation.send_request("/turns/x", fields=turn_headers()))
            self.assertEqual(
                (status, "0.250", []), (response.status, response.fields["retry-after"], backend.requests)
            )

    def test_turn_rejected_by_all_backends_settles_zero_tokens(self):
        self.backend.respond_with(rejection())
        self.assertEqual(503, self.run_scenario().status)
        self.assertEqual([(0, TurnEnd.NOT_EXECUTED)], self.settled())

    def test_broken_turn_settles_the_tokens_delivered(self):
        self.backend.respond_with(event_stream([1, 2, 3], ending="silence"))
        self.assertFalse(self.run_scenario().complete)
        self.assertEqual([(24, TurnEnd.INTERRUPTED)], self.settled())

    def test_resumed_turn_counts_each_event_once(self):
        self.backend.respond_with(event_stream([1, 2, 3], ending="reset"), event_stream(range(4, 10)))
        self.assertTrue(self.run_scenario().complete)
        self.assertEqual([(72, TurnEnd.COMPLETE)], self.settled())

    def test_failed_turn_settles_as_broken_off(self):
        self.backend.respond_with(complete_response(b"no", 500))
        self.assertEqual(500, self.run_scenario().status)
        self.assertEqual([(0, TurnEnd.INTERRUPTED)], self.settled())

    def test_client_disconnect_during_silence_settles_once(self):
        self.backend.respond_with(no_response())
        self.run_scenario(disconnect_after=0.4)
        self.assertEqual([(0, TurnEnd.INTERRUPTED)], self.settled())

    def test_client_disconnect_during_the_reservation_prevents_the_send(self):
        self.budget.delay = 0.5
        self.run_scenario(disconnect_after=0.1)
        self.assertEqual(([], []), (self.settled(), self.backend.requests))

    def test_request_that_is_not_a_turn_needs_no_reservation(self):
        fields = {key: value for key, value in turn_headers().items() if key != "budget"}
        response = self.simulation.run(self.simulation.send_request("/turns/x", fields=fields))
        self.assertEqual((200, []), (response.status, self.budget.reserved))


class AffinityTest(testtools.TestCase):
    """The backend that requests with the same affinity key prefer."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        for number in range(1, 7):
            zone = "here" if number % 2 else "there"
            self.simulation.backend(f"i-{number}", "models", zone=zone).respond_with(event_stream([1]))

    def used_backends(self, keys):
        async def scenario():
            for key in keys:
                await self.simulation.send_request("/turns/x", fields={"program": key})

        self.simulation.run(scenario())
        return {
            scripted.backend.identity for scripted in self.simulation.scripted.values() if scripted.requests
        }

    def test_affinity_keys_spread_over_the_backends_of_the_zone(self):
        self.assertEqual({"i-1", "i-3", "i-5"}, self.used_backends(f"p{number}" for number in range(40)))

    def test_other_zones_serve_if_this_zone_has_no_backends(self):
        for identity in ("i-1", "i-3", "i-5"):
            self.simulation.mark_departed(identity)
        self.assertEqual({"i-2", "i-4", "i-6"}, self.used_backends(f"p{number}" for number in range(40)))

    def test_burst_with_one_key_spreads_to_all_backends(self):
        async def scenario():
            burst = [self.simulation.send_request("/turns/x", fields={"program": "p"}) for _ in range(24)]
            await asyncio.gather(*burst)

        self.simulation.run(scenario())
        counts = [len(scripted.requests) for scripted in self.simulation.scripted.values()]
        self.assertTrue(max(counts) <= 6 and min(counts) >= 2, counts)
