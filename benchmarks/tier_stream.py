"""Measures the processor time of a streamed request through the data plane: 4 KB in, nine events out.

A simulated backend and the clients run in separate processes on the loopback interface, so only the processor
time of the gateway is counted.  Prints milliseconds per request.

    python -m benchmarks.tier_stream [REQUESTS] [CLIENTS] [--profile FILE]
"""

from __future__ import annotations

import asyncio
import cProfile
import multiprocessing
import random
import socket
import sys
import time

import attrs

from kestrelbend.tier.budgets.messages import ReserveOutcome, Verdict
from kestrelbend.tier.configuration.routing import Target
from kestrelbend.tier.dataplane.app import build_data_plane
from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from kestrelbend.tier.dataplane.network import TcpNetwork
from kestrelbend.tier.dataplane.ports import Dependencies
from kestrelbend.tier.dataplane.server import Listener, serve_all
from kestrelbend.tier.discovery.messages import Backend

EVENTS = 9
EVENT_PAUSE_S = 0.005
BODY = b"x" * 4096


@attrs.frozen
class Route:
    name: str = "turns"
    kind: str = "streaming"
    timeout_ms: int = 4000
    slo_ms: int = 200
    priority: int = 0
    retries: int = 1
    sticky: bool = True
    resumable: bool = True
    retain_s: int = 60
    inter_token_target_ms: float = 200
    targets: tuple = (Target("models", 1),)


@attrs.frozen
class Service:
    name: str = "models"
    max_conns: int = 1000
    slots: int = 64
    stride: int = 8
    is_model: bool = True


@attrs.frozen
class Limits:
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@attrs.frozen
class Table:
    version: int = 1
    services: dict = attrs.field(factory=lambda: {"models": Service()})
    limits: Limits = Limits()

    def find_route(self, host: str, path: str) -> Route:
        return Route()


@attrs.frozen
class StaticEnvironment:
    """Routing and backends that never change."""

    backends: tuple[Backend, ...]
    table: Table = Table()

    def current(self) -> Table:
        return self.table

    def of(self, service: str) -> tuple[Backend, ...]:
        return self.backends

    def mark_departed(self, identity: str) -> None:
        raise AssertionError(identity)


class UnlimitedBudget:
    """A budget that admits every request."""

    def reservation_name(self, request_id) -> str:
        return request_id

    async def reserve(self, service, command) -> ReserveOutcome:
        return ReserveOutcome(command.reservation, Verdict.ADMITTED, 0, 0, 0)

    def settle(self, service, command) -> None:
        pass

    def spent_locally(self, program, max_tokens, budget) -> bool:
        return False


async def _backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while head := await reader.readuntil(b"\r\n\r\n"):
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
            await reader.readexactly(int(fields[b"content-length"]))
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"X-Kestrelbend-Server-Stamp: 1.2.3\r\nKeep-Alive: timeout=5\r\n"
                b"Transfer-Encoding: chunked\r\nX-Kestrelbend-Request-Id: "
                + fields[b"x-kestrelbend-request-id"]
                + b"\r\n\r\n"
            )
            for number in range(EVENTS):
                event = b"id: %d\ndata: abcdefghijklmnopqrstuvwxyz\n\n" % (number + 1)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(EVENT_PAUSE_S)
            writer.write(b"0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def _run_backend(port: int) -> None:
    async def main() -> None:
        server = await asyncio.start_server(_backend, "127.0.0.1", port)
        await server.serve_forever()

    asyncio.run(main())


async def _client(port: int, count: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(count):
        head = (
            "POST /a/b HTTP/1.1\r\nHost: bench.example\r\n"
            f"X-Kestrelbend-Request-Id: {random.getrandbits(64):016x}\r\n"
            "X-Kestrelbend-Model: m\r\nX-Kestrelbend-Token-Count: 1460,80\r\n"
            "X-Kestrelbend-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
            f"X-Kestrelbend-Deadline-Ms: 4000\r\nProgram: {random.getrandbits(24):06x}\r\n"
            f"Session: 77d20b\r\nFinish-Ms: 5200\r\nBudget: 2304\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        writer.write(head.encode() + BODY)
        response = await reader.readuntil(b"0\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 200") and response.count(b"\nid: ") == EVENTS, response
    writer.close()


def _run_clients(port: int, clients: int, requests: int) -> None:
    async def main() -> None:
        await asyncio.gather(*(_client(port, requests // clients) for _ in range(clients)))

    asyncio.run(main())


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def _serve(port: int, backend_port: int, clients: multiprocessing.Process) -> None:
    backend = Backend("i-1", "models", f"127.0.0.1:{backend_port}", "a", "v1", 64, 0, 0, 1)
    environment = StaticEnvironment((backend,))
    lifecycle = Lifecycle()
    lifecycle.set_ready(True)
    plane = build_data_plane(
        Dependencies(environment, environment, UnlimitedBudget(), TcpNetwork(), "a"), lifecycle
    )

    async def run_load() -> None:
        await asyncio.sleep(0.3)
        clients.start()
        await asyncio.to_thread(clients.join)

    await serve_all([Listener(plane, f"127.0.0.1:{port}", run_load)])


def main() -> None:
    arguments = [argument for argument in sys.argv[1:] if argument != "--profile"]
    requests = int(arguments[0]) if arguments else 2000
    clients = int(arguments[1]) if len(arguments) > 1 else 8
    port, backend_port = _free_port(), _free_port()
    backend = multiprocessing.Process(target=_run_backend, args=(backend_port,), daemon=True)
    backend.start()
    load = multiprocessing.Process(target=_run_clients, args=(port, clients, requests), daemon=True)
    profile = cProfile.Profile() if "--profile" in sys.argv else None
    started_at = time.process_time()
    if profile:
        profile.enable()
    asyncio.run(_serve(port, backend_port, load))
    if profile:
        profile.disable()
        profile.dump_stats(arguments[2])
    cpu_seconds = time.process_time() - started_at
    backend.kill()
    if load.exitcode != 0:
        raise SystemExit("the client process failed")
    print(f"{cpu_seconds / requests * 1000:.3f} ms of processor time per request ({requests} requests)")


if __name__ == "__main__":
    main()
