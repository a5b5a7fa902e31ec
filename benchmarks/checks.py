"""External authorisation, measured side by side on one machine, real processes on loopback.

python benchmarks/checks.py answering      checks a second of CPU, latency; beside one that allows all
python benchmarks/checks.py open           memory and descriptors with 1, 100 and 5,000 calls open
python benchmarks/checks.py frozen         an authoriser frozen for 10 s, with and without its breaker
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

GATEWAY = """
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
CHECKS = """
[checks]
listen = "127.0.0.1:{checks}"
upstream = true
settle = {settle}
[checks.rules]
customer = [{{source = "header", name = "x-customer"}}]
plan = [{{source = "constant", name = "plan"}}]
operation = [{{source = "path", pattern = "^/([a-z]+)"}}]
"""


def free_port():
    import socket

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


class Gateway:
    def __init__(self, more="", timeout="3s", **ports):
        self.ports = {"http": free_port(), "checks": free_port(), "discovery": 1, **ports}
        text = (GATEWAY + more).format(timeout=timeout, **self.ports)
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

    def status(self, name):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        return 0.0

    def cpu(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def ready(proxy):
    for _ in range(200):
        try:
            return await proxy.ask("/op", x_customer="first", timeout=1.0)
        except grpc.aio.AioRpcError:
            await asyncio.sleep(0.05)
    raise TimeoutError


async def drive(proxy, seconds, workers):
    """(answers, latencies) of so many callers one call after the other."""
    latencies, end, count = HdrHistogram(1, 60_000_000, 3), time.monotonic() + seconds, [0]

    async def caller(n):
        while time.monotonic() < end:
            began = time.monotonic_ns()
            await proxy.ask("/op", x_customer=f"{n}-{count[0]}", timeout=10.0)
            latencies.record_value(max(1, (time.monotonic_ns() - began) // 1000))
            count[0] += 1

    await asyncio.gather(*(caller(n) for n in range(workers)))
    return count[0], latencies


ALLOWS_ALL = """
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


def answering(seconds: float = 8.0, workers: int = 32):
    async def measure(name, port, cpu):
        proxy = StandProxy(port)
        await ready(proxy)
        for callers in (1, workers):
            began = cpu()
            count, latencies = await drive(proxy, seconds, callers)
            spent = cpu() - began
            median, high = (latencies.get_value_at_percentile(q) / 1000 for q in (50, 99))
            print(
                f"{name}, {callers} callers: {count / seconds:.0f} checks a second, "
                f"{count / spent:.0f} a second of CPU, median {median:.2f} ms, 99th {high:.2f} ms"
            )
        await proxy.close()

    with Gateway(CHECKS, settle=0.02) as gateway:
        uvloop.run(measure("gateway", gateway.ports["checks"], gateway.cpu))
    port = free_port()
    plain = Gateway()
    plain.process = subprocess.Popen(
        [sys.executable, "-O", "-c", ALLOWS_ALL.format(root=str(Path(__file__).parent.parent), port=port)]
    )
    try:
        uvloop.run(measure("allows all", port, plain.cpu))
    finally:
        plain.process.kill()
        plain.process.wait()


def opened():
    """Checks that wait: the gateway has no room for them."""

    async def measure(gateway):
        proxy = StandProxy(gateway.ports["checks"])
        await ready(proxy)
        for count in (1, 100, 5000):
            # What was let in is out until its time; those after it wait for a place as long as they may.
            calls = [proxy.ask("/op", x_customer=f"{n}", timeout=20.0) for n in range(count)]
            most, held = 0.0, 0
            tasks = asyncio.gather(*calls)
            while not tasks.done():
                most, held = max(most, gateway.status("VmRSS")), max(held, gateway.descriptors())
                await asyncio.sleep(0.02)
            answers = [r.denied_response.status.code or 200 for r in await tasks]
            print(f"{count} calls open: {most:.1f} MB, {held} descriptors, {answers.count(200)} let in")
        await proxy.close()

    with Gateway(CHECKS, settle=0.5) as gateway:
        uvloop.run(measure(gateway))
    with Gateway() as gateway:
        time.sleep(1.5)
        print(f"front off: {gateway.status('VmRSS'):.1f} MB, {gateway.descriptors()} descriptors")


def frozen(rate: float = 100.0):
    """Thirty seconds of clients at a gateway whose authoriser stands still from 10 s to 20 s."""
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

        http = free_port()
        stated = parse_toml(GATEWAY.format(http=http, discovery=port, timeout="3s"), Installation)
        told = GatewayConfiguration(
            "bench", ("127.0.0.1", http), f"127.0.0.1:{port}", None, 7, 4000, None, stated.settings()
        )
        owner, serving = await start(told)
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
        good, late, other, began = [0] * 3, [0] * 3, [0] * 3, time.monotonic()
        took = [HdrHistogram(1, 60_000_000, 3) for _ in range(3)]
        async with ClientSession() as session:

            async def one(n):
                third, sent = min(2, int((time.monotonic() - began) / 10)), time.monotonic()
                async with session.get(
                    f"http://127.0.0.1:{http}/op/{n % 500:016x}",
                    headers={"X-Request-ID": str(n), "Api-Plan": "plan", "X-Timeout": "3"},
                ) as answer:
                    await answer.read()
                spent = time.monotonic() - sent
                took[third].record_value(max(1, int(spent * 1e6)))
                (other if answer.status != 200 else late if spent > 1 else good)[third] += 1

            tasks = []
            for n in range(int(30 * rate)):
                await asyncio.sleep(max(0.0, began + n / rate - time.monotonic()))
                stand.usual = "stall" if 10 <= time.monotonic() - began < 20 else "allow"
                tasks.append(asyncio.create_task(one(n)))
            await asyncio.gather(*tasks)
        for third, text in enumerate(("before", "frozen", "after")):
            whole = good[third] + late[third] + other[third]
            median, high = (took[third].get_value_at_percentile(q) / 1000 for q in (50, 99))
            print(
                f"{name}, {text}: served in time {good[third] / whole:.3f}, "
                f"refused {other[third] / whole:.3f}, median {median:.1f} ms, 99th {high:.1f} ms"
            )
        serving.cancel()
        await owner.discovery.session.close()
        for target in list(owner.backend_client.pools):
            owner.backend_client.remove_endpoint(target)
        await asyncio.gather(*owner.backend_client.background_tasks, return_exceptions=True)
        await owner.authorisers.end()
        await stand.stop()
        await runner.cleanup()

    uvloop.run(measure("with its breaker"))
    authoriser.EVIDENCE_LIMIT = 1e9
    uvloop.run(measure("without"))


if __name__ == "__main__":
    verbs = {"answering": answering, "open": opened, "frozen": frozen}
    if len(sys.argv) != 2 or sys.argv[1] not in verbs:
        sys.exit(__doc__)
    verbs[sys.argv[1]]()
