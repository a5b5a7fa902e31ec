"""Benchmarks of external authorisation, with real processes on the loopback interface of one machine.

python benchmarks/checks.py answering      checks per second of CPU and latency, of the gateway and of a
                                           service that allows all
python benchmarks/checks.py open           memory and descriptors with 1, 100 and 5,000 open calls
python benchmarks/checks.py frozen         an authoriser that hangs for 10 s, with and without circuit breaker
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import grpc
import uvloop
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).parent.parent))
from kestrelbend.lab.grpc_stands import StandAuthoriser, StandProxy  # noqa: E402

GATEWAY_SETTINGS = """
name = "bench"
listen = "127.0.0.1:{http}"
discovery = "127.0.0.1:{discovery}"
seed = "7"
[limits]
sockets = 20000
[backends]
idle_close = "30s"
most_deliveries = 3
cancelling = true
[[operations]]
name = "op"
effect = "idempotent"
objective = "1s"
timeout = "{timeout}"
[[plans]]
name = "plan"
rate = 100000
burst = 100000
"""
CHECK_SETTINGS = """
[checks]
listen = "127.0.0.1:{checks}"
upstream = true
settle = {settle}
[checks.rules]
customer = [{{source = "header", name = "x-customer"}}]
plan = [{{source = "constant", name = "plan"}}]
operation = [{{source = "path", pattern = "^/([a-z]+)"}}]
"""


def find_free_port():
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Gateway:
    def __init__(self, extra_settings="", timeout="3s", **ports):
        self.ports = {"http": find_free_port(), "checks": find_free_port(), "discovery": 1, **ports}
        text = (GATEWAY_SETTINGS + extra_settings).format(timeout=timeout, **self.ports)
        self.file = Path(tempfile.mkdtemp()) / "gateway.toml"
        self.file.write_text(text)

    def __enter__(self):
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "kestrelbend", "serve", str(self.file)],
            stderr=subprocess.DEVNULL,
            cwd=Path(__file__).parent.parent,
        )
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()

    def memory_mb(self, name):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        return 0.0

    def cpu_seconds(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def descriptor_count(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def wait_until_ready(proxy):
    for _ in range(200):
        try:
            return await proxy.ask("/op", x_customer="first", timeout=1.0)
        except grpc.aio.AioRpcError:
            await asyncio.sleep(0.05)
    raise TimeoutError


async def run_callers(proxy, seconds, caller_count):
    """Runs concurrent callers, each with one call at a time; returns (count of responses, latencies)."""
    latencies, deadline, count = HdrHistogram(1, 60_000_000, 3), time.monotonic() + seconds, [0]

    async def caller(n):
        while time.monotonic() < deadline:
            started_at = time.monotonic_ns()
            await proxy.ask("/op", x_customer=f"{n}-{count[0]}", timeout=10.0)
            latencies.record_value(max(1, (time.monotonic_ns() - started_at) // 1000))
            count[0] += 1

    await asyncio.gather(*(caller(n) for n in range(caller_count)))
    return count[0], latencies


ALLOW_ALL_SERVICE = """
import asyncio, sys
sys.path.insert(0, {root!r})
import grpc, uvloop
from kestrelbend.lab.grpc_stands import StandAuthoriser
class Plain(StandAuthoriser):
    async def Check(self, request, context):
        from envoy.service.auth.v3 import external_auth_pb2 as a
        return a.CheckResponse(ok_response=a.OkHttpResponse())
async def main():
    stand = Plain()
    stand.port = {port}
    await stand.start()
    await asyncio.Event().wait()
uvloop.run(main())
"""


def measure_throughput(seconds: float = 8.0, max_callers: int = 32):
    async def measure(name, port, cpu_seconds):
        proxy = StandProxy(port)
        await wait_until_ready(proxy)
        for callers in (1, max_callers):
            cpu_before = cpu_seconds()
            count, latencies = await run_callers(proxy, seconds, callers)
            cpu_used = cpu_seconds() - cpu_before
            median, percentile_99 = (latencies.get_value_at_percentile(q) / 1000 for q in (50, 99))
            print(
                f"{name}, {callers} callers: {count / seconds:.0f} checks per second, "
                f"{count / cpu_used:.0f} per CPU second, median {median:.2f} ms, 99th {percentile_99:.2f} ms"
            )
        await proxy.close()

    with Gateway(CHECK_SETTINGS, settle=0.02) as gateway:
        uvloop.run(measure("gateway", gateway.ports["checks"], gateway.cpu_seconds))
    port = find_free_port()
    plain = Gateway()
    plain.process = subprocess.Popen(
        [
            sys.executable,
            "-O",
            "-c",
            ALLOW_ALL_SERVICE.format(root=str(Path(__file__).parent.parent), port=port),
        ]
    )
    try:
        uvloop.run(measure("allows all", port, plain.cpu_seconds))
    finally:
        plain.process.kill()
        plain.process.wait()


def measure_open_calls():
    """Measures the gateway with more open checks than it may admit, so that they wait."""

    async def measure(gateway):
        proxy = StandProxy(gateway.ports["checks"])
        await wait_until_ready(proxy)
        for count in (1, 100, 5000):
            # An admitted call holds its place until `settle` has passed; later calls wait for a place
            # until their timeout.
            calls = [proxy.ask("/op", x_customer=f"{n}", timeout=20.0) for n in range(count)]
            max_memory, max_descriptors = 0.0, 0
            tasks = asyncio.gather(*calls)
            while not tasks.done():
                max_memory, max_descriptors = (
                    max(max_memory, gateway.memory_mb("VmRSS")),
                    max(max_descriptors, gateway.descriptor_count()),
                )
                await asyncio.sleep(0.02)
            statuses = [r.denied_response.status.code or 200 for r in await tasks]
            print(
                f"{count} calls open: {max_memory:.1f} MB, {max_descriptors} descriptors, "
                f"{statuses.count(200)} admitted"
            )
        await proxy.close()

    with Gateway(CHECK_SETTINGS, settle=0.5) as gateway:
        uvloop.run(measure(gateway))
    with Gateway() as gateway:
        time.sleep(1.5)
        print(f"checks off: {gateway.memory_mb('VmRSS'):.1f} MB, {gateway.descriptor_count()} descriptors")


def measure_frozen_authoriser(rate: float = 100.0):
    """Sends requests for 30 s through a gateway whose authoriser hangs from 10 s to 20 s."""
    from aiohttp import ClientSession, web

    from kestrelbend.gateway.external_authorization import authoriser

    async def measure(name):
        stand = await StandAuthoriser().start()

        async def backend(request):
            if request.path.startswith("/catalog"):
                if "since" in request.query:
                    await asyncio.sleep(1.9)
                return web.json_response(
                    {
                        "rev": 1,
                        "all": True,
                        "targets": [
                            {
                                "uid": "s0",
                                "endpoint": f"127.0.0.1:{port}",
                                "az": "a",
                                "model": "m",
                                "pod_group": 1,
                                "state": "ready",
                                "capacity_hint": 1.0,
                                "boot_ms": 0,
                            }
                        ],
                    }
                )
            return web.Response(text="ok")

        runner = web.ServerRunner(web.Server(backend))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        from kestrelbend.gateway.settings.installation import Installation
        from kestrelbend.gateway.settings.toml_files import parse_toml
        from kestrelbend.gateway.external_authorization.grpc.authorisers import Authorisers
        from kestrelbend.gateway.net.configuration import GatewayConfiguration
        from kestrelbend.gateway.net.gateway import start

        http = find_free_port()
        installation = parse_toml(
            GATEWAY_SETTINGS.format(http=http, discovery=port, timeout="3s"), Installation
        )
        configuration = GatewayConfiguration(
            "bench", ("127.0.0.1", http), f"127.0.0.1:{port}", None, 7, 4000, None, installation.settings()
        )
        owner, serving = await start(configuration)
        owner.authorisers = Authorisers(
            [
                authoriser.AuthoriserSettings(
                    "a", f"127.0.0.1:{stand.port}", budget=0.25, when_silent="allow", repeats=0
                )
            ],
            owner.queue,
            owner.clock,
        )
        await asyncio.sleep(0.5)
        in_time, late, refused, started_at = [0] * 3, [0] * 3, [0] * 3, time.monotonic()
        phase_latencies = [HdrHistogram(1, 60_000_000, 3) for _ in range(3)]
        async with ClientSession() as session:

            async def send_request(n):
                phase, sent_at = min(2, int((time.monotonic() - started_at) / 10)), time.monotonic()
                async with session.get(
                    f"http://127.0.0.1:{http}/op/{n % 500:016x}",
                    headers={"X-Request-ID": str(n), "Api-Plan": "plan", "X-Timeout": "3"},
                ) as response:
                    await response.read()
                duration = time.monotonic() - sent_at
                phase_latencies[phase].record_value(max(1, int(duration * 1e6)))
                (refused if response.status != 200 else late if duration > 1 else in_time)[phase] += 1

            tasks = []
            for n in range(int(30 * rate)):
                await asyncio.sleep(max(0.0, started_at + n / rate - time.monotonic()))
                stand.usual = "stall" if 10 <= time.monotonic() - started_at < 20 else "allow"
                tasks.append(asyncio.create_task(send_request(n)))
            await asyncio.gather(*tasks)
        for phase, phase_name in enumerate(("before", "frozen", "after")):
            total = in_time[phase] + late[phase] + refused[phase]
            median, percentile_99 = (
                phase_latencies[phase].get_value_at_percentile(q) / 1000 for q in (50, 99)
            )
            print(
                f"{name}, {phase_name}: served in time {in_time[phase] / total:.3f}, "
                f"refused {refused[phase] / total:.3f}, median {median:.1f} ms, 99th {percentile_99:.1f} ms"
            )
        serving.cancel()
        await owner.discovery.session.close()
        for target in list(owner.backend_client.pools):
            owner.backend_client.remove_endpoint(target)
        await asyncio.gather(*owner.backend_client.background_tasks, return_exceptions=True)
        await owner.authorisers.end()
        await stand.stop()
        await runner.cleanup()

    uvloop.run(measure("with its circuit breaker"))
    authoriser.EVIDENCE_LIMIT = 1e9
    uvloop.run(measure("without"))


if __name__ == "__main__":
    commands = {
        "answering": measure_throughput,
        "open": measure_open_calls,
        "frozen": measure_frozen_authoriser,
    }
    if len(sys.argv) != 2 or sys.argv[1] not in commands:
        sys.exit(__doc__)
    commands[sys.argv[1]]()
