"""The data plane's responses under hypercorn on the loopback: how they end, and what the application sees."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.lab.addresses import AddressReservations
from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from kestrelbend.tier.dataplane.ready import ReadyApplication
from kestrelbend.tier.http_server.server import Listener, serve_all
from kestrelbend.tier.dataplane.client import Client

HOST = b" HTTP/1.1\r\nHost: a.example\r\n"


class Application:
    """An ASGI application that ends its response as the path says."""

    def __init__(self) -> None:
        self.disconnected = asyncio.Event()
        self.bodies: list[bytes] = []

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        body = b""
        while (message := await receive())["type"] == "http.request":
            body += message["body"]
            if not message["more_body"]:
                break
        self.bodies.append(body)
        client = Client(send, lambda: False, scope["http_version"])
        if scope["path"] == "/wait":
            await receive()
            self.disconnected.set()
        elif scope["path"] == "/cut":
            await client.start(200, [(b"content-type", b"text/event-stream")])
            await client.body(b"id: 1\n\n", more=True)
        elif scope["path"] == "/no-length":
            await client.start(200, [(b"content-type", b"text/event-stream")])
            await client.body(b"id: 1\n\n", more=True)
            await client.body(b"id: 2\n\n", more=False)
        elif scope["path"] == "/short":
            await client.start(200, [(b"content-length", b"10")])
            await client.body(b"12345", more=True)
        else:
            await client.start(200, [(b"content-length", b"%d" % len(body))])
            await client.body(body, more=False)


class HttpServerTest(testtools.TestCase):
    """Real connections; no scenario depends on a delay."""

    def run_scenario(self, scenario):
        async def main():
            reservations, self.writers = AddressReservations(), []
            _, self.port = reservations.reserve(host="127.0.0.1")
            self.application, self.shut_down, self.closing_calls = Application(), asyncio.Event(), []
            listener = Listener(
                self.application,
                f"127.0.0.1:{self.port}",
                self.shut_down.wait,
                lambda: self.closing_calls.append(1),
            )
            serving = asyncio.ensure_future(serve_all([listener]))
            try:
                return await asyncio.wait_for(scenario(), 20)
            finally:
                self.shut_down.set()
                for writer in self.writers:
                    writer.close()
                await asyncio.wait_for(serving, 20)
                reservations.close()

        return asyncio.run(main())

    async def connect(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionRefusedError:
                await asyncio.sleep(0)
                continue
            self.writers.append(writer)
            return reader, writer

    async def send_and_read(self, data: bytes) -> bytes:
        """Sends `data` and returns all bytes until the server closes the connection."""
        reader, writer = await self.connect()
        writer.write(data)
        out = await reader.read(-1)
        writer.close()
        return out

    def test_response_without_its_last_part_does_not_look_complete(self):
        cut = self.run_scenario(lambda: self.send_and_read(b"GET /cut" + HOST + b"\r\n"))
        self.assertTrue(cut.endswith(b"7\r\nid: 1\n\n\r\n"), cut)
        short = self.run_scenario(lambda: self.send_and_read(b"GET /short" + HOST + b"\r\n"))
        self.assertTrue(short.endswith(b"content-length: 10\r\n\r\n12345"), short)

    def test_incomplete_response_without_length_does_not_look_complete_to_an_http_1_0_client(self):
        """An HTTP/1.0 client takes the end of the connection for the end of such a response."""
        old = b" HTTP/1.0\r\nHost: a.example\r\n\r\n"
        cut = self.run_scenario(lambda: self.send_and_read(b"GET /cut" + old))
        self.assertNotIn(b"200", cut.split(b"\r\n")[0])
        no_length = self.run_scenario(lambda: self.send_and_read(b"GET /no-length" + old))
        self.assertIn(b"\r\ncontent-length: 14\r\n", no_length)
        self.assertTrue(no_length.endswith(b"\r\n\r\nid: 1\n\nid: 2\n\n"), no_length)

    def test_pipelined_requests_are_answered_in_order_and_head_has_no_body(self):
        one = b"POST /a" + HOST + b"Content-Length: 1\r\n\r\nA"
        head = b"HEAD /b" + HOST + b"Content-Length: 1\r\n\r\nB"
        last = b"POST /c" + HOST + b"Content-Length: 1\r\nConnection: close\r\n\r\nC"
        out = self.run_scenario(lambda: self.send_and_read(one + head + last))
        self.assertEqual(3, out.count(b"HTTP/1.1 200"))
        self.assertEqual(
            (1, 0, 1), (out.count(b"\r\n\r\nA"), out.count(b"\r\n\r\nB"), out.count(b"\r\n\r\nC"))
        )
        self.assertEqual([b"A", b"B", b"C"], self.application.bodies)

    def test_expect_100_continue_gets_an_interim_response(self):
        async def scenario():
            reader, writer = await self.connect()
            fields = b"Content-Length: 2\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n"
            writer.write(b"POST /a" + HOST + fields)
            interim = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"ok")
            return interim, await reader.read(-1)

        interim, answer = self.run_scenario(scenario)
        self.assertTrue(interim.startswith(b"HTTP/1.1 100"))
        self.assertTrue(answer.endswith(b"\r\n\r\nok"))

    def test_client_disconnect_reaches_the_application(self):
        async def scenario():
            _, writer = await self.connect()
            writer.write(b"GET /wait" + HOST + b"\r\n")
            writer.close()
            await self.application.disconnected.wait()
            return True

        self.assertTrue(self.run_scenario(scenario))

    def test_connection_that_is_closed_before_its_pipelined_requests_leaves_no_task(self):
        first = b"GET /cut" + HOST + b"\r\n"

        async def scenario():
            await self.send_and_read(first)
            for _ in range(1000):  # turns of the loop, in which the first connection ends
                await asyncio.sleep(0)
            before = len(asyncio.all_tasks())
            out = await self.send_and_read(first + b"GET /b" + HOST + b"\r\n")
            while len(asyncio.all_tasks()) > before:
                await asyncio.sleep(0.01)
            return out

        out = self.run_scenario(scenario)
        self.assertEqual(1, out.count(b"HTTP/1.1 200"))

    def test_shutdown_calls_closing_and_responses_have_no_server_or_date_header(self):
        out = self.run_scenario(lambda: self.send_and_read(b"GET /a" + HOST + b"Connection: close\r\n\r\n"))
        self.assertEqual([1], self.closing_calls)
        self.assertNotIn(b"server:", out.lower())
        self.assertNotIn(b"date:", out.lower())


class ReadinessTest(testtools.TestCase):
    """The readiness that is reported to the platform."""

    def test_ready_only_while_serviceable_and_not_draining(self):
        lifecycle = Lifecycle()
        application = ReadyApplication(lifecycle)

        async def get_status(path="/api/readyz"):
            sent = []

            async def send(message):
                sent.append(message)

            await application({"type": "http", "path": path}, None, send)
            return sent[0]["status"]

        async def scenario():
            statuses = [await get_status()]
            lifecycle.set_ready(True)
            statuses += [await get_status(), await get_status("/other")]
            lifecycle.drain()
            lifecycle.set_ready(True)
            return [*statuses, await get_status()]

        self.assertEqual([503, 200, 404, 503], asyncio.run(scenario()))
