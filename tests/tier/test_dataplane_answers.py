"""Matching responses to requests, the end of responses, deadlines, and clients that disconnect."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from tests.tier.dataplane_world import (
    BackendRequest,
    Simulation,
    drop_connection,
    event,
    event_stream,
    response_head,
    raw_response,
    no_response,
    turn_headers,
    rejection,
    complete_response,
)

STAMP_LINE = b"X-Kestrelbend-Server-Stamp: 1"
NOT_EXECUTED = b"X-Kestrelbend-Not-Executed: 1"
STREAM = b"Content-Type: text/event-stream"


def response_without_length(body: bytes, ending: str, *lines: bytes):
    """A response without a length; `ending` says how its connection ends."""

    async def script(received: BackendRequest) -> None:
        await raw_response(response_head(received, 200, *lines) + body, ending)(received)

    return script


def response_script(status: int, *lines: bytes, stamp: bool = True, body: bytes = b"whole"):
    async def script(received: BackendRequest) -> None:
        length = b"Content-Length: %d" % len(body)
        await raw_response(response_head(received, status, length, *lines, stamp=stamp) + body)(received)

    return script


def for_instance_only(identity: str, script, ran: list[str]):
    """A backend that rejects requests for another instance with 421 and records in `ran` what it ran."""

    async def check(received: BackendRequest) -> None:
        if received.fields.get("x-kestrelbend-expect-instance", identity) != identity:
            await rejection(421, marked=False)(received)
        else:
            ran.append(received.fields["x-kestrelbend-request-id"])
            await script(received)

    return check


class ResponseMatchingTest(testtools.TestCase):
    """A response is matched to its request by id and to the send that caused it."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.backend = self.simulation.backend("i-1")

    def send_request(self, path="/pay/x", **options):
        return self.simulation.run(self.simulation.send_request(path, **options))

    def test_duplicate_rejection_of_the_first_send_is_not_matched_to_the_second(self):
        async def reject_again(received):
            rejection_head = response_head(received, 503, b"Content-Length: 0", NOT_EXECUTED)
            if received.connection is self.backend.requests[0].connection:
                received.connection.send(rejection_head)
            await complete_response(b"mine")(received)

        self.backend.respond_with(rejection(), reject_again)
        response = self.send_request(fields={"program": "p", "finish-ms": "900"})
        self.assertEqual((200, b"mine", 2), (response.status, response.body, len(self.backend.requests)))

    def test_response_with_two_request_ids_is_invalid(self):
        for ids in ((b"try-1", b"other"), (b"other", b"try-1")):
            self.simulation = Simulation()
            self.backend = self.simulation.backend("i-1")
            lines = b"".join(b"X-Kestrelbend-Request-Id: %s\r\n" % one for one in ids)
            data = b"HTTP/1.1 200 X\r\n" + lines + STAMP_LINE + b"\r\nContent-Length: 1\r\n\r\nx"
            self.backend.respond_with(raw_response(data, "close"))
            self.assertEqual((502, 1), (self.send_request().status, len(self.backend.requests)))

    def test_response_that_may_not_be_forwarded_gives_502(self):
        without_id = b"HTTP/1.1 200 X\r\n" + STAMP_LINE + b"\r\nContent-Length: 1\r\n\r\nx"
        scripts = {
            "without a request id": raw_response(without_id),
            "encoded": response_script(200, b"Content-Encoding: gzip"),
            "encoded failure": response_script(500, b"Content-Encoding: br"),
            "unstamped": response_script(200, stamp=False),
            "switching protocols": response_script(101, b"Upgrade: other", b"Connection: upgrade"),
            "two framings": response_script(200, b"Transfer-Encoding: chunked", body=b"1\r\nx\r\n0\r\n\r\n"),
            "429 without the not-executed header": response_script(429),
        }
        for name, script in scripts.items():
            self.simulation = Simulation()
            self.backend = self.simulation.backend("i-1").respond_with(script)
            response = self.send_request()
            self.assertEqual(
                (502, False, 1), (response.status, response.has_stamp, len(self.backend.requests)), name
            )

    def test_interim_responses_are_skipped(self):
        async def interim(received):
            received.connection.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n")
            await complete_response()(received)

        self.backend.respond_with(interim)
        response = self.send_request()
        self.assertEqual((200, b"whole"), (response.status, response.body))

    def test_connection_closed_after_an_interim_response_gives_502(self):
        self.backend.respond_with(raw_response(b"HTTP/1.1 100 Continue\r\n\r\n", "close"))
        self.assertEqual((502, 1), (self.send_request().status, len(self.backend.requests)))

    def test_trailing_bytes_never_reach_the_next_client(self):
        """The bytes arrive with the response, while the connection is idle, or during the next request."""
        for after in (0.0, 0.05, 0.2):
            self.simulation = Simulation()
            self.backend = self.simulation.backend("i-1")

            async def doubled(received, after=after):
                await complete_response(b"first")(received)
                again = response_head(received, 200, b"Content-Length: 5") + b"again"
                asyncio.get_running_loop().call_later(after, received.connection.send, again)

            self.backend.respond_with(doubled, complete_response(b"second", after=0.3))

            async def scenario():
                one = await self.simulation.send_request("/pay/x")
                await asyncio.sleep(0.1)
                return one, await self.simulation.send_request("/pay/x")

            one, two = self.simulation.run(scenario())
            self.assertEqual((b"first", b"second"), (one.body, two.body), after)

    def test_request_that_ran_gives_502_when_its_connection_breaks_in_the_next_request(self):
        """The next request on a connection must not reset the state of the previous send."""
        statuses = {self.failed_then_reused(step) for step in range(30)}
        self.assertEqual({502}, statuses)

    def failed_then_reused(self, step: int) -> int:
        """The status of a failed request whose connection breaks `step` loop steps into the next one."""
        simulation = Simulation()
        rejecting = response_script(503, NOT_EXECUTED, b"Connection: close")
        backend = simulation.backend("i-1").respond_with(complete_response(b"no", 500), rejecting)

        async def scenario():
            first = asyncio.ensure_future(simulation.send_request("/read/x"))
            await asyncio.sleep(0.013)
            second = asyncio.ensure_future(simulation.send_request("/pay/x"))
            for _ in range(step):
                await asyncio.sleep(0)
            backend.connections[0].reset()
            await second
            return (await first).status

        return simulation.run(scenario())


class ResponsesWithoutLengthTest(testtools.TestCase):
    """Responses that end with their connection are complete unless the connection was reset."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()

    def run_scenario(self, path, *scripts):
        service = "models" if path.split("/")[1] in ("once", "turns") else "tools"
        self.backend = self.simulation.backend("i-1", service).respond_with(*scripts)
        return self.simulation.run(self.simulation.send_request(path))

    def test_closed_connection_completes_the_response(self):
        response = self.run_scenario("/pay/x", response_without_length(b"all of it", "close"))
        self.assertEqual((200, b"all of it", True), (response.status, response.body, response.complete))
        self.assertEqual(1, len(self.backend.requests))

    def test_reset_before_forwarding_gives_502(self):
        response = self.run_scenario("/pay/x", response_without_length(b"some of", "reset"))
        self.assertEqual((502, 1), (response.status, len(self.backend.requests)))

    def test_reset_of_a_started_response_leaves_it_incomplete(self):
        response = self.run_scenario("/pay/x", response_without_length(b"x" * 600_000, "reset"))
        self.assertEqual((200, False, 1), (response.status, response.complete, len(self.backend.requests)))

    def test_silence_until_the_deadline_gives_504(self):
        response = self.run_scenario("/pay/x", response_without_length(b"some of", ""))
        self.assertEqual((504, 1), (response.status, len(self.backend.requests)))

    def test_closed_connection_completes_a_stream(self):
        response = self.run_scenario("/once/x", response_without_length(event(1) + event(2), "close", STREAM))
        self.assertEqual(
            (200, event(1) + event(2), True), (response.status, response.body, response.complete)
        )

    def test_stream_reset_or_closed_within_an_event_is_incomplete(self):
        for body, ending in ((event(1), "reset"), (event(1) + b"id: 2\n", "close")):
            self.simulation = Simulation()
            response = self.run_scenario("/once/x", response_without_length(body, ending, STREAM))
            self.assertEqual((200, event(1), False), (response.status, response.body, response.complete))

    def test_resumable_stream_continues_after_a_reset(self):
        continuation = response_without_length(event(2) + event(3), "close", STREAM)
        response = self.run_scenario(
            "/turns/x", response_without_length(event(1) + event(2)[:7], "reset", STREAM), continuation
        )
        self.assertEqual((event(1) + event(2) + event(3), True), (response.body, response.complete))
        self.assertEqual("1", self.backend.requests[1].fields["last-event-id"])

    def test_connection_of_a_response_without_length_is_not_reused(self):
        self.backend = self.simulation.backend("i-1").respond_with(
            response_without_length(b"x", "close"), complete_response()
        )

        async def scenario():
            await self.simulation.send_request("/pay/x")
            return await self.simulation.send_request("/pay/x")

        self.assertEqual(200, self.simulation.run(scenario()).status)
        self.assertEqual(2, len(self.backend.connections))

    def test_locally_aborted_connection_does_not_complete_a_response(self):
        self.backend = self.simulation.backend("i-1").respond_with(response_without_length(b"some of", ""))

        async def scenario():
            task = asyncio.ensure_future(self.simulation.send_request("/pay/x"))
            await asyncio.sleep(0.1)
            self.backend.connections[0].stream.abort()
            return await task

        self.assertEqual(502, self.simulation.run(scenario()).status)


class EarlyResponseTest(testtools.TestCase):
    """A backend that responds before it has read a long body and reads the rest later."""

    BODY = bytes(range(256)) * 2000

    def run_scenario(self, script, then):
        simulation = Simulation()
        backend = simulation.backend("i-1").respond_with(complete_response())
        backend.window = 1000

        async def early(received):
            await script(received)

        async def scenario():
            task = asyncio.ensure_future(simulation.send_request("/pay/x", body=self.BODY))
            await asyncio.sleep(0.1)
            first = backend.connections[0]
            read_head = bytes(first.received).decode("latin1").split("\r\n\r\n")[0].split("\r\n")[1:]
            fields = dict(line.lower().split(": ", 1) for line in read_head)
            await early(BackendRequest("POST", "/pay/x", fields, b"", 0, first))
            response = await task
            backend.window = None
            if then == "reads on at once":
                first.open_window()
            second = await simulation.send_request("/pay/x")
            first.open_window()
            await asyncio.sleep(1)
            return response, second, first

        return simulation.run(scenario())

    def test_backend_reads_only_the_rest_of_the_body_or_the_connection_is_closed(self):
        for then in ("reads on at once", "reads on later"):
            for script in (complete_response(after=0), rejection()):
                response, second, first = self.run_scenario(script, then)
                self.assertEqual(200, second.status)
                _, _, read = bytes(first.received).partition(b"\r\n\r\n")
                body, following_bytes = read[: len(self.BODY)], read[len(self.BODY) :]
                self.assertTrue(self.BODY.startswith(body), "bytes that are not part of the body")
                self.assertTrue(not following_bytes or len(body) == len(self.BODY))

    def test_connection_with_an_unread_body_is_not_reused(self):
        _, second, first = self.run_scenario(complete_response(after=0), "reads on later")
        self.assertEqual(200, second.status)
        self.assertTrue(first.gateway_closed)


class MisdirectedRequestTest(testtools.TestCase):
    """421: another instance uses the address, or the model weights are not those the client expects."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.ran = []

    def test_backend_at_a_reused_address_of_another_service_runs_nothing(self):
        """On a new connection, on an idle one, and when a stream is resumed."""
        streaming_backend = self.simulation.backend("i-1", "models")
        streaming_backend.respond_with(
            event_stream([1, 2], ending="reset"), for_instance_only("i-9", complete_response(), self.ran)
        )
        plain_backend = self.simulation.backend("i-2")
        plain_backend.respond_with(
            complete_response(), for_instance_only("i-8", complete_response(), self.ran)
        )

        async def scenario():
            resumed = await self.simulation.send_request("/turns/x")
            await self.simulation.send_request("/read/x")
            reused = await self.simulation.send_request("/pay/x")
            return resumed, reused

        resumed, reused = self.simulation.run(scenario())
        self.assertEqual((False, 503, []), (resumed.complete, reused.status, self.ran))
        self.assertEqual({"i-1", "i-2"}, set(self.simulation.departed))

    def test_unexpected_weights_give_421_and_the_backend_stays_in_use(self):
        backends = [self.simulation.backend(name, "models") for name in ("i-1", "i-2")]
        for backend in backends:
            backend.respond_with(rejection(421), event_stream([1, 2]))

        async def scenario():
            rejected = await self.simulation.send_request("/once/x", fields={"expect-version": "7"})
            return rejected, await self.simulation.send_request("/once/x")

        rejected, served = self.simulation.run(scenario())
        self.assertEqual((421, False), (rejected.status, rejected.has_stamp))
        self.assertEqual([], self.simulation.departed)
        self.assertEqual([1, 2], sorted(len(backend.requests) for backend in backends))
        self.assertEqual(200, served.status)

    def test_backend_with_the_expected_weights_serves_the_request(self):
        self.simulation.backend("i-1", "models").respond_with(rejection(421))
        self.simulation.backend("i-2", "models").respond_with(event_stream([1, 2]))
        response = self.simulation.run(
            self.simulation.send_request("/once/x", fields={"expect-version": "7"})
        )
        self.assertEqual((200, []), (response.status, self.simulation.departed))

    def test_unexpected_weights_do_not_lift_the_retry_limit(self):
        """The backend where the request may have run is still alive, so no other backend may run it."""
        backends = [self.simulation.backend(name, "tools") for name in ("i-1", "i-2", "i-3")]
        for backend in backends:
            backend.respond_with(drop_connection(), rejection(421), complete_response())
        response = self.simulation.run(
            self.simulation.send_request("/read/x", fields={"expect-version": "7"})
        )
        self.assertEqual([0, 0, 2], sorted(len(backend.requests) for backend in backends))
        self.assertEqual(502, response.status)

    def test_only_the_expected_instance_gets_the_request(self):
        for name in ("i-1", "i-2"):
            self.simulation.backend(name).respond_with(
                for_instance_only(name, complete_response(name.encode()), self.ran)
            )

        async def scenario():
            named = [
                await self.simulation.send_request("/pay/x", fields={"x-kestrelbend-expect-instance": "i-2"})
                for _ in range(6)
            ]
            return named, await self.simulation.send_request(
                "/pay/x", fields={"x-kestrelbend-expect-instance": "i-7"}
            )

        named, gone = self.simulation.run(scenario())
        self.assertEqual({(200, b"i-2")}, {(response.status, response.body) for response in named})
        self.assertEqual((421, False), (gone.status, gone.has_stamp))
        self.assertEqual(6, len(self.ran))


class RunLimitTest(testtools.TestCase):
    """A request never runs at more backends than the route's retries allow."""

    def test_hedges_failures_and_resumptions_use_at_most_the_allowed_backends(self):
        for path, max_backends in (("/read/x", 1), ("/read2/x", 2), ("/turns/x", 1)):
            service = "models" if path == "/turns/x" else "tools"
            for script in (
                no_response(),
                drop_connection(),
                complete_response(b"no", 500),
                event_stream([1], ending="reset"),
            ):
                simulation = Simulation()
                backends = [simulation.backend(f"i-{number}", service) for number in range(5)]
                for backend in backends:
                    backend.respond_with(script)
                simulation.run(simulation.send_request(path))
                self.assertTrue(sum(bool(backend.requests) for backend in backends) <= max_backends, path)

    def test_stream_continued_by_the_client_has_its_own_retries(self):
        simulation = Simulation()
        backends = [simulation.backend(f"i-{number}", "models") for number in range(3)]
        for backend in backends:
            backend.respond_with(
                event_stream([5], ending="reset"), event_stream([6], ending="reset"), event_stream([7])
            )
        response = simulation.run(simulation.send_request("/turns/x", fields={"last-event-id": "4"}))
        self.assertEqual((event(5) + event(6) + event(7), True), (response.body, response.complete))
        self.assertEqual([0, 0, 3], sorted(len(backend.requests) for backend in backends))


class ForwardedDeadlineTest(testtools.TestCase):
    """Each send forwards the time left of the client's deadline, capped by the route's timeout."""

    def test_each_retry_forwards_the_remaining_time(self):
        for path, service, fields in (
            ("/read2/x", "tools", {"x-kestrelbend-deadline-ms": "1500"}),
            ("/read2/x", "tools", {"x-kestrelbend-deadline-ms": "99999"}),
            ("/turns/x", "models", {"x-kestrelbend-deadline-ms": "3000"}),
        ):
            simulation = Simulation()
            backends = [simulation.backend(f"i-{number}", service) for number in range(3)]
            for backend in backends:
                backend.respond_with(
                    drop_connection(after=0.4), drop_connection(after=0.4), complete_response()
                )
            simulation.run(simulation.send_request(path, fields=fields))
            self.check(backends, fields)

    def test_without_a_client_deadline_the_route_timeout_applies(self):
        simulation = Simulation()
        backends = [simulation.backend(f"i-{number}") for number in range(3)]
        for backend in backends:
            backend.respond_with(drop_connection(after=0.4), drop_connection(after=0.4), complete_response())
        simulation.run(simulation.send_request("/read2/x", omitted_headers=("x-kestrelbend-deadline-ms",)))
        self.check(backends, {"x-kestrelbend-deadline-ms": "2000"})

    def check(self, backends, fields):
        timeout_ms = 2000 if backends[0].backend.service == "tools" else 4000
        allowed = min(timeout_ms, int(fields["x-kestrelbend-deadline-ms"]))
        received = [one for backend in backends for one in backend.requests]
        self.assertTrue(len(received) >= 2)
        for one in received:
            remaining_ms = int(one.fields["x-kestrelbend-deadline-ms"])
            self.assertTrue(
                abs(one.at + remaining_ms / 1000 - 100 - allowed / 1000) < 0.005, (one.at, remaining_ms)
            )

    def test_expired_deadline_is_rejected_without_a_send(self):
        for deadline_ms in ("0", "-5"):
            simulation = Simulation()
            backend = simulation.backend("i-1")
            response = simulation.run(
                simulation.send_request("/pay/x", fields={"x-kestrelbend-deadline-ms": deadline_ms})
            )
            self.assertEqual((503, []), (response.status, backend.requests))


class RouteTimeoutTest(testtools.TestCase):
    """Every request ends by the route's timeout, whatever it waits for."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.none = {"omitted_headers": ("x-kestrelbend-deadline-ms",)}

    def run_scenario(self, path, **options):
        response = self.simulation.run(self.simulation.send_request(path, **{**self.none, **options}))
        limit_s = 4.0 if path == "/turns/x" else 2.0
        self.assertTrue(response.at - 100 <= limit_s + 0.01, response.at)
        return response

    def test_started_stream_breaks_at_the_timeout(self):
        self.simulation.backend("i-1", "models").respond_with(event_stream(range(1, 100), pause=0.1))
        response = self.run_scenario("/once/x")
        self.assertEqual((200, False), (response.status, response.complete))

    def test_turn_is_rejected_when_the_budget_does_not_reply(self):
        backend = self.simulation.backend("i-1", "models")
        self.simulation.budget.delay = 60.0
        fields = {
            name: value for name, value in turn_headers().items() if name != "x-kestrelbend-deadline-ms"
        }
        response = self.run_scenario("/turns/x", fields=fields)
        self.assertEqual((503, []), (response.status, backend.requests))

    def test_request_waiting_for_capacity_is_rejected(self):
        backend = self.simulation.backend("i-1").respond_with(rejection())
        response = self.run_scenario("/pay/x", fields={"program": "p"})
        self.assertEqual(503, response.status)
        self.assertTrue(backend.requests)

    def test_request_with_a_slow_body_is_rejected(self):
        backend = self.simulation.backend("i-1")
        response = self.run_scenario("/pay/x", chunks=(b"a",), body_delay=2.9)
        self.assertEqual((408, []), (response.status, backend.requests))

    def test_request_at_a_starting_gateway_is_rejected(self):
        backend = self.simulation.backend("i-1")
        self.simulation.plane.lifecycle = Lifecycle()
        response = self.simulation.run(
            self.simulation.send_request("/read/x", fields={"x-kestrelbend-deadline-ms": "300"})
        )
        self.assertEqual((503, []), (response.status, backend.requests))
        self.assertTrue(response.at <= 100.31, response.at)

    def test_client_that_does_not_read_is_dropped_at_the_timeout(self):
        self.simulation.backend("i-1", "models").respond_with(event_stream(range(1, 100), pause=0.1))
        response = self.run_scenario("/once/x", reads_response=False)
        self.assertFalse(response.complete)
        self.assertEqual(0, self.simulation.lifecycle.in_flight)


class ClientDisconnectTest(testtools.TestCase):
    """The effects of a client's disconnect on its request."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()

    def test_disconnect_cancels_retryable_requests_and_streams(self):
        for path, service in (("/read/x", "tools"), ("/turns/x", "models"), ("/once/x", "models")):
            for script in (complete_response(after=1), no_response(), event_stream(range(1, 50), pause=0.1)):
                simulation = Simulation()
                backend = simulation.backend("i-1", service).respond_with(script)
                response = simulation.run(simulation.send_request(path, disconnect_after=0.25))
                self.assertTrue(response.at < 100.26, response.at)
                self.assertTrue(all(one.gateway_closed for one in backend.connections))

    def test_disconnect_does_not_cancel_a_request_that_may_run_only_once(self):
        for script, ends_at in (
            (complete_response(after=1), 101.0),
            (drop_connection(after=1), 101.0),
            (no_response(), 101.5),
        ):
            simulation = Simulation()
            backend = simulation.backend("i-1").respond_with(script)
            closed = []

            async def scenario(simulation=simulation, backend=backend, closed=closed):
                task = asyncio.ensure_future(simulation.send_request("/pay/x", disconnect_after=0.2))
                await asyncio.sleep(0.9)
                closed.append(backend.connections[0].gateway_closed)
                return await task

            response = simulation.run(scenario())
            self.assertEqual((None, [False], 1), (response.status, closed, len(backend.requests)))
            self.assertTrue(abs(response.at - ends_at) < 0.02, response.at)
            self.assertEqual(0, simulation.lifecycle.in_flight)

    def test_nothing_is_sent_after_a_disconnect(self):
        for path, service in (("/pay/x", "tools"), ("/read/x", "tools"), ("/once/x", "models")):
            for script in (rejection(), drop_connection(after=0.3), complete_response(b"no", 500, 0.3)):
                simulation = Simulation()
                backends = [simulation.backend(f"i-{number}", service) for number in (1, 2)]
                for backend in backends:
                    backend.respond_with(script)
                fields = {"program": "p", "finish-ms": "9000"}
                simulation.run(self.disconnect_and_wait(simulation, path, fields))
                received = [one for backend in backends for one in backend.requests]
                self.assertTrue(all(one.at <= 100.21 for one in received), [one.at for one in received])

    async def disconnect_and_wait(self, simulation, path, fields):
        await simulation.send_request(path, fields=fields, disconnect_after=0.2)
        await asyncio.sleep(3)

    def test_disconnect_while_the_gateway_starts_prevents_the_send(self):
        backend = self.simulation.backend("i-1")
        starting = Lifecycle()

        async def scenario():
            await self.simulation.send_request("/read/x")  # leaves an idle connection: no wait to connect
            self.simulation.plane.lifecycle = starting
            abandoned = asyncio.ensure_future(self.simulation.send_request("/read/x", disconnect_after=0.2))
            await asyncio.sleep(1)
            starting.set_ready(True)
            await abandoned

        self.simulation.run(scenario())
        self.assertEqual(1, len(backend.requests))


class StaleConfigurationTest(testtools.TestCase):
    """A gateway whose configuration may be stale rejects no request permanently."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.backend = self.simulation.backend("i-1")

    async def rejection_statuses(self):
        send_request = self.simulation.send_request
        return [
            (await send_request("/nowhere/x")).status,
            (await send_request("/read/x", fields={"content-length": "99999999"})).status,
            (await send_request("/read/x", chunks=(b"x" * 4000000, b"x" * 4000000))).status,
            (await send_request("/read/x", fields={"x-large": "x" * 20000})).status,
        ]

    def test_rejection_by_a_possibly_stale_configuration_is_a_503(self):
        self.simulation.configuration_is_current = False
        self.assertEqual([503] * 4, self.simulation.run(self.rejection_statuses()))
        self.assertEqual([], self.backend.requests)

    def test_request_allowed_by_a_possibly_stale_configuration_is_served(self):
        self.simulation.configuration_is_current = False
        self.assertEqual(200, self.simulation.run(self.simulation.send_request("/read/x")).status)

    def test_current_configuration_rejects_permanently(self):
        self.assertEqual([404, 413, 413, 431], self.simulation.run(self.rejection_statuses()))

    def test_without_a_configuration_every_request_gives_503(self):
        self.simulation.table = None
        self.assertEqual([503] * 4, self.simulation.run(self.rejection_statuses()))
