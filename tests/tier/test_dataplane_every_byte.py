"""Connections that end at each byte of a request and of its response, for each kind of route.

A non-retryable request is sent once, only an unsent request is reported as not executed, and a response is
complete only if all of its bytes arrived.
"""

from __future__ import annotations

import asyncio

import testtools

from tests.tier.dataplane_world import (
    BackendRequest,
    Interruption,
    Simulation,
    event,
    event_stream,
    response_head,
    raw_response,
)

LONG_S = 1e6
RECOVERY_S = 30.0  # between two requests: suspicion has decayed and idle connections have expired
DEADLINE_S = 0.5
ENDINGS = ("reset", "close", "silence")
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
SERVICES = {"pay": "tools", "read": "tools", "once": "models", "turns": "models"}
NON_RETRYABLE = ("pay", "once")
FIELDS = {"x-kestrelbend-deadline-ms": str(int(DEADLINE_S * 1000))}
REQUEST_ID_LINE = b"X-Kestrelbend-Request-Id: try-1\r\n"
THREE_EVENTS = b"".join(event(number) for number in range(1, 4))


def chunked(*parts: bytes) -> bytes:
    """A body in chunked encoding, including its end."""
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b""))


def plain_response(received: BackendRequest) -> bytes:
    return response_head(received, 200, b"Content-Length: 9") + b"the whole"


def chunked_response(received: BackendRequest) -> bytes:
    return response_head(received, 200, b"Transfer-Encoding: chunked") + chunked(b"the ", b"whole")


def stream_response(received: BackendRequest) -> bytes:
    lines = (b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
    return response_head(received, 200, *lines) + chunked(event(1), event(2), event(3))


class FaultCase:
    """A simulation with one backend of a kind, for requests that are interrupted in one way."""

    def __init__(self, kind: str, ending: str) -> None:
        self.kind, self.ending = kind, ending
        self.simulation = Simulation()
        self.backend = self.simulation.backend("i-1", SERVICES[kind])
        self.complete_script = (
            event_stream(range(1, 4)) if kind in ("once", "turns") else script_of(plain_response)
        )

    async def send_request(self):
        return await self.simulation.send_request(f"/{self.kind}/x", fields=FIELDS)

    async def prepare_connection(self, reused: bool) -> None:
        """Waits until no idle connection is left, then creates one if `reused`."""
        await asyncio.sleep(RECOVERY_S)
        self.backend.interruption = None
        self.backend.respond_with(self.complete_script)
        if reused:
            assert (await self.send_request()).complete

    async def request_size(self) -> int:
        await self.send_request()
        return len(self.backend.connections[0].received)


def script_of(build_response):
    """A script that sends exactly the bytes of `answer`."""

    async def script(received: BackendRequest) -> None:
        await raw_response(build_response(received))(received)

    return script


class TruncatedRequestTest(testtools.TestCase):
    """The connection ends at byte N of the request."""

    def run_case(self, kind: str, ending: str, reused: bool) -> int:
        case = FaultCase(kind, ending)

        async def every_byte():
            size = await case.request_size()
            for read in range(size + 1):
                await case.prepare_connection(reused)
                number = case.simulation.next_request_number
                case.backend.interruption = Interruption(read, ending)
                response = await case.send_request()
                self.check(case, read, number, response)
            return size

        return case.simulation.run(every_byte(), LONG_S)

    def check(self, case, read, number, response):
        context = (case.kind, case.ending, read, response.status)
        sends = case.backend.count_sends(number)
        if case.kind in NON_RETRYABLE:
            self.assertEqual(1, sends, context)
            self.assertEqual(504 if case.ending == "silence" else 502, response.status, context)
        else:
            self.assertTrue(1 < sends <= 3, context)
            self.assertEqual((200, True), (response.status, response.complete), context)

    def test_non_retryable_request_is_sent_once_and_gives_502_or_504(self):
        for kind in NON_RETRYABLE:
            for ending in ENDINGS:
                for reused in (False, True):
                    self.assertTrue(self.run_case(kind, ending, reused) > 150)

    def test_retryable_request_is_served_by_a_retry(self):
        for kind in ("read", "turns"):
            for ending in ("reset", "close"):
                for reused in (False, True):
                    self.assertTrue(self.run_case(kind, ending, reused) > 150)


class StaleIdleConnectionTest(testtools.TestCase):
    """A backend resets or closes an idle connection at any time around the next request."""

    STEPS = 30  # event loop steps, from before the gateway reads the request until after it was sent

    def run_case(self, kind: str, ending: str) -> set[int]:
        case = FaultCase(kind, ending)
        seen = set()

        async def every_step():
            for step in range(self.STEPS):
                await case.prepare_connection(True)
                number = case.simulation.next_request_number
                idle_connection = case.backend.connections[-1]
                task = asyncio.ensure_future(case.send_request())
                for _ in range(step):
                    await asyncio.sleep(0)
                getattr(idle_connection, ending)()
                response = await task
                sends = case.backend.count_sends(number)
                if kind in NON_RETRYABLE:
                    self.assertEqual(1, sends, (kind, ending, step))
                self.assertIn(response.status, (200, 502), (kind, ending, step))
                seen.add(response.status)

        case.simulation.run(every_step(), LONG_S)
        return seen

    def test_non_retryable_request_is_sent_once_whenever_the_idle_connection_ends(self):
        for ending in ("reset", "close"):
            for kind in NON_RETRYABLE:
                self.assertEqual({200, 502}, self.run_case(kind, ending))
            for kind in ("read", "turns"):
                self.assertEqual({200}, self.run_case(kind, ending))


class TruncatedResponseTest(testtools.TestCase):
    """The connection ends at byte N of the response."""

    def run_case(self, kind: str, build_response, ending: str, reused: bool) -> list[tuple[int, bool]]:
        case = FaultCase(kind, ending)
        seen = []

        def truncated_at(size: int):
            async def script(received: BackendRequest) -> None:
                await raw_response(build_response(received)[:size], "" if ending == "silence" else ending)(
                    received
                )

            return script

        async def every_byte():
            await case.send_request()
            size = len(build_response(case.backend.requests[0])) + 4  # later request ids have more digits
            for sent in range(size + 1):
                await case.prepare_connection(reused)
                number = case.simulation.next_request_number
                case.backend.respond_with(truncated_at(sent))
                response = await case.send_request()
                received = [
                    request
                    for request in case.backend.requests
                    if request.fields["x-kestrelbend-request-id"] == f"try-{number}"
                ]
                is_complete = sent >= len(build_response(received[0]))
                self.check(case, (kind, ending, sent), len(received), is_complete, response)
                seen.append((response.status, response.complete))

        case.simulation.run(every_byte(), LONG_S)
        return seen

    def check(self, case, context, runs, is_complete, response):
        context = (*context, response)
        self.assertNotIn(response.status, NOT_EXECUTED_STATUSES, context)
        if case.kind in NON_RETRYABLE:
            self.assertEqual(1, runs, context)
        if is_complete:
            self.assertEqual((200, True), (response.status, response.complete), context)
            self.assertIn(response.body, (b"the whole", THREE_EVENTS), context)
        elif response.status == 200:
            self.assertFalse(response.complete, context)
            self.assertTrue(THREE_EVENTS.startswith(response.body) and response.body, context)
            self.assertTrue(response.body.endswith(b"\n\n"), context)
        else:
            self.assertEqual(504 if case.ending == "silence" else 502, response.status, context)

    def test_truncated_response_is_never_complete_and_not_retried(self):
        cases = (("pay", plain_response), ("pay", chunked_response), ("once", stream_response))
        for kind, build_response in cases:
            for ending in ENDINGS:
                for reused in (False, True):
                    seen = self.run_case(kind, build_response, ending, reused)
                    self.assertIn((200, True), seen)


class PartlyReadBodyTest(testtools.TestCase):
    """The backend reads N bytes of a long request, then ends the connection, responds, or does nothing."""

    BODY = bytes(range(256)) * 8
    STEP = 61

    def run_case(self, kind: str, reaction, window: int):
        simulation = Simulation()
        backend = simulation.backend("i-1", SERVICES[kind])
        backend.window = window
        fields = {"x-kestrelbend-deadline-ms": "500"}

        async def case():
            task = asyncio.ensure_future(simulation.send_request(f"/{kind}/x", body=self.BODY, fields=fields))
            await asyncio.sleep(0.1)
            first = backend.connections[0]
            backend.window = None  # for later connections
            reaction(first)
            response = await task
            first.open_window()
            await asyncio.sleep(1)
            return response

        response = simulation.run(case())
        return response, backend

    def windows(self):
        return range(0, len(self.BODY) + 400, self.STEP)

    def test_partly_read_request_is_sent_once_and_gives_no_503(self):
        reactions = (
            (lambda connection: connection.reset(), 502),
            (lambda connection: connection.close(), 502),
            (lambda connection: None, 504),
            (lambda connection: connection.send(b"HTTP/1.1 503 X\r\n" + REQUEST_ID_LINE + b"\r\n"), 502),
            (
                lambda connection: connection.send(
                    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n" + REQUEST_ID_LINE + b"\r\n"
                ),
                500,
            ),
        )
        for kind in NON_RETRYABLE:
            for reaction, status in reactions:
                for window in self.windows():
                    response, backend = self.run_case(kind, reaction, window)
                    context = (kind, status, window, response)
                    if response.status == 200:  # the whole request was read
                        self.assertTrue(window > len(self.BODY), context)
                    else:
                        self.assertEqual(status, response.status, context)
                    self.assertEqual(1, len(backend.connections), context)

    def test_rejection_before_the_body_is_read_allows_a_retry_on_another_connection(self):
        rejection_bytes = (
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Kestrelbend-Not-Executed: 1\r\n"
            + REQUEST_ID_LINE
            + b"\r\n"
        )
        for window in range(0, len(self.BODY), self.STEP):
            response, backend = self.run_case(
                "pay", lambda connection: connection.send(rejection_bytes), window
            )
            self.assertIn(response.status, (200, 503), window)
            first = backend.connections[0]
            self.assertTrue(first.gateway_closed, window)
            self.assertEqual(response.status == 200, len(backend.requests) == 1, window)
