"""The whole data plane on the loopback: FIN and RST at the end of responses, and clients that disconnect."""

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
from kestrelbend.tier.http_server.server import Listener, serve_all
from kestrelbend.tier.discovery.messages import Backend
from tests.tier.dataplane_world import ROUTES, SERVICES, ZONE, FakeBudget, event

TEST_TIMEOUT_S = 20
LONG_MS = 1000 * TEST_TIMEOUT_S * 10  # long enough that nothing here ends by a timeout
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, zero seconds
REQUEST_ID = b"X-Kestrelbend-Request-Id: one\r\n"
HEAD = b"HTTP/1.1 200 X\r\n" + REQUEST_ID + b"X-Kestrelbend-Server-Stamp: 1\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a RST, as a crash does."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()


def half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


class GatewayUnderTest:
    """A gateway's data plane under hypercorn, and one scripted backend."""

    def __init__(self, service: str, script) -> None:
        self._service, self._script = service, script
        routes = tuple(attrs.evolve(route, timeout_ms=LONG_MS) for route in ROUTES)
        self._table = RoutingTable(1, routes, SERVICES, Limits())
        self.request_received = asyncio.Event()
        self.connection_closed = asyncio.Event()  # the gateway closed its connection to the backend
        self.lifecycle = Lifecycle()
        self.lifecycle.set_ready(True)
        dependencies = Dependencies(self, self, FakeBudget(), TcpNetwork(), ZONE, lambda: 1)
        self.plane = build_data_plane(dependencies, self.lifecycle, random.Random(1))

    def current(self) -> RoutingTable:
        return self._table

    def of(self, service: str) -> tuple[Backend, ...]:
        return (self.backend,) if service == self._service else ()

    def mark_departed(self, identity: str) -> None:
        raise AssertionError("no backend departs in these tests")

    async def serve_backend(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.request_received.set()
        await self._script(writer)
        try:
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass
        self.connection_closed.set()
        writer.close()

    async def run_scenario(self, scenario):
        server = await asyncio.start_server(self.serve_backend, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.backend = Backend("i-1", self._service, address, ZONE, "v1", 4, 0, 0, 1)
        reservations, self.writers = AddressReservations(), []
        _, self.port = reservations.reserve(host="127.0.0.1")
        shutdown = asyncio.Event()
        listener = Listener(self.plane, f"127.0.0.1:{self.port}", shutdown.wait)
        serving = asyncio.ensure_future(serve_all([listener]))
        try:
            return await asyncio.wait_for(scenario(self), TEST_TIMEOUT_S)
        finally:
            shutdown.set()
            server.close()
            for writer in self.writers:
                writer.close()
            await asyncio.wait_for(serving, TEST_TIMEOUT_S)
            reservations.close()

    async def send_request(self, route: str, last: bool = True):
        """Opens a client connection and sends a request; `last` adds `Connection: close`."""
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


def run_scenario(service: str, script, scenario):
    async def main():
        return await GatewayUnderTest(service, script).run_scenario(scenario)

    return asyncio.run(main())


async def never_respond(writer) -> None:
    """Never responds."""


class ResponsesWithoutLengthOverTcpTest(testtools.TestCase):
    """Responses without a length that end with a FIN or a RST."""

    def test_response_ended_by_fin_is_complete_and_by_reset_is_not(self):
        for end, status, body in ((close, b"200", b"all of it"), (reset, b"502", b"lost")):

            async def script(writer, end=end):
                writer.write(HEAD + b"\r\nall of it")
                await writer.drain()
                end(writer)

            async def scenario(gateway):
                reader, _ = await gateway.send_request("pay")
                return await reader.read(-1)

            answer = run_scenario("tools", script, scenario)
            self.assertEqual(status, answer[9:12], answer)
            self.assertTrue(body in answer and answer.endswith(b"\r\n0\r\n\r\n") == (end is close), answer)

    def test_started_stream_looks_complete_to_the_client_only_after_a_fin(self):
        for end in (close, reset):
            first_event_read = asyncio.Event()

            async def script(writer, end=end, first_event_read=first_event_read):
                writer.write(STREAM + b"\r\n" + event(1))
                await first_event_read.wait()
                end(writer)

            async def scenario(gateway, first_event_read=first_event_read):
                reader, _ = await gateway.send_request("once")
                first = await reader.readuntil(event(1))
                first_event_read.set()
                return first + await reader.read(-1)

            answer = run_scenario("models", script, scenario)
            self.assertEqual(end is close, answer.endswith(b"\r\n0\r\n\r\n"), answer)


class ClientDisconnectOverTcpTest(testtools.TestCase):
    """Clients that close, reset or half-close their connection: the work for them is cancelled."""

    def test_client_disconnect_closes_the_backend_connection(self):
        for route, service in (("read", "tools"), ("once", "models"), ("turns", "models")):
            for end_connection in (close, reset, half_close):

                async def scenario(gateway, route=route, end_connection=end_connection):
                    _, writer = await gateway.send_request(route, last=end_connection is not half_close)
                    await gateway.request_received.wait()
                    end_connection(writer)
                    await gateway.connection_closed.wait()
                    return await gateway.lifecycle.wait_idle()

                run_scenario(service, never_respond, scenario)  # ends well before the routes' timeout
