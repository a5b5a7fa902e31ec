"""The whole data plane on the loopback: how connections that really end are told apart, and who leaves."""

from __future__ import annotations

import asyncio
import random
import socket
import struct

import attrs
import testtools

from kestrelbend.lab.addresses import AddressReservations
from kestrelbend.tier.configuration.routing import Limits, RoutingTable
from kestrelbend.tier.dataplane.app import build_data_plane
from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from kestrelbend.tier.dataplane.network import TcpNetwork
from kestrelbend.tier.dataplane.ports import Dependencies
from kestrelbend.tier.dataplane.server import Listener, serve_all
from kestrelbend.tier.discovery.messages import Backend
from tests.tier.dataplane_world import ROUTES, SERVICES, ZONE, FakeBudget, event

STORY_S = 20
LONG_MS = 1000 * STORY_S * 10  # nothing here ends by a timeout
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, no time
REQUEST_ID = b"X-Kestrelbend-Request-Id: one\r\n"
HEAD = b"HTTP/1.1 200 X\r\n" + REQUEST_ID + b"X-Kestrelbend-Server-Stamp: 1\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection as a crash does."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()


def half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


class Stack:
    """A gateway's data plane under hypercorn, and one backend by script."""

    def __init__(self, service: str, script) -> None:
        self._service, self._script = service, script
        routes = tuple(attrs.evolve(route, timeout_ms=LONG_MS) for route in ROUTES)
        self._table = RoutingTable(1, routes, SERVICES, Limits())
        self.asked = asyncio.Event()
        self.left = asyncio.Event()  # the gateway ended its connection to the backend
        self.lifecycle = Lifecycle()
        self.lifecycle.set_ready(True)
        dependencies = Dependencies(self, self, FakeBudget(), TcpNetwork(), ZONE, lambda: 1)
        self.plane = build_data_plane(dependencies, self.lifecycle, random.Random(1))

    def current(self) -> RoutingTable:
        return self._table

    def of(self, service: str) -> tuple[Backend, ...]:
        return (self.backend,) if service == self._service else ()

    def mark_departed(self, identity: str) -> None:
        raise AssertionError("nobody is gone here")

    async def serve_backend(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.asked.set()
        await self._script(writer)
        try:
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass
        self.left.set()
        writer.close()

    async def play(self, story):
        server = await asyncio.start_server(self.serve_backend, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.backend = Backend("i-1", self._service, address, ZONE, "v1", 4, 0, 0, 1)
        reservations, self.writers = AddressReservations(), []
        _, self.port = reservations.reserve(host="127.0.0.1")
        over = asyncio.Event()
        listener = Listener(self.plane, f"127.0.0.1:{self.port}", over.wait)
        serving = asyncio.ensure_future(serve_all([listener]))
        try:
            return await asyncio.wait_for(story(self), STORY_S)
        finally:
            over.set()
            server.close()
            for writer in self.writers:
                writer.close()
            await asyncio.wait_for(serving, STORY_S)
            reservations.close()

    async def ask(self, route: str, last: bool = True):
        """A client's connection on which a request was sent, the last one or not."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0)
        self.writers.append(writer)
        head = b"GET /%s/x HTTP/1.1\r\nHost: a.example\r\n" % route.encode() + REQUEST_ID
        writer.write(head + (b"Connection: close\r\n\r\n" if last else b"\r\n"))
        return reader, writer


def play(service: str, script, story):
    async def main():
        return await Stack(service, script).play(story)

    return asyncio.run(main())


async def silence(writer) -> None:
    """Never answers."""


class Endings(testtools.TestCase):
    """Answers without a length, ended by a FIN and by a RST."""

    def test_a_closed_one_is_whole_and_a_reset_one_is_not(self):
        for end, status, body in ((close, b"200", b"all of it"), (reset, b"502", b"lost")):

            async def script(writer, end=end):
                writer.write(HEAD + b"\r\nall of it")
                await writer.drain()
                end(writer)

            async def story(stack):
                reader, _ = await stack.ask("pay")
                return await reader.read(-1)

            answer = play("tools", script, story)
            self.assertEqual(status, answer[9:12], answer)
            self.assertTrue(body in answer and answer.endswith(b"\r\n0\r\n\r\n") == (end is close), answer)

    def test_a_stream_that_was_begun_ends_in_the_same_way_at_its_client(self):
        for end in (close, reset):
            begun = asyncio.Event()

            async def script(writer, end=end, begun=begun):
                writer.write(STREAM + b"\r\n" + event(1))
                await begun.wait()
                end(writer)

            async def story(stack, begun=begun):
                reader, _ = await stack.ask("once")
                first = await reader.readuntil(event(1))
                begun.set()
                return first + await reader.read(-1)

            answer = play("models", script, story)
            self.assertEqual(end is close, answer.endswith(b"\r\n0\r\n\r\n"), answer)


class Leaving(testtools.TestCase):
    """Clients that close, reset or half-close: the work made for them ends."""

    def test_the_backends_connection_ends_with_the_clients(self):
        for route, service in (("read", "tools"), ("once", "models"), ("turns", "models")):
            for leave in (close, reset, half_close):

                async def story(stack, route=route, leave=leave):
                    _, writer = await stack.ask(route, last=leave is not half_close)
                    await stack.asked.wait()
                    leave(writer)
                    await stack.left.wait()
                    return await stack.lifecycle.wait_idle()

                play(service, silence, story)  # well within the routes' timeout here
