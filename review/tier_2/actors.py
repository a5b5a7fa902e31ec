"""Stand-ins for the operator, for backends and for clients, as `PROTOCOL.md` describes them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
from typing import Any

from . import http
from .deployment import Deployment, Machine, Record

HEARTBEAT_S = 1.2
_ids = itertools.count(1)


def new_id() -> str:
    """A request id."""
    return f"{next(_ids):08x}{random.getrandbits(32):08x}"


def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """A route of the configuration."""
    values = {
        "Name": name, "Hostname": "service.example", "PathPrefix": prefix, "RouteType": kind,
        "TimeoutMs": 4000, "SloMs": 500, "Prio": 0, "Upstream": service, "Retries": 1, "Stored": False,
        "RetainS": 60.0, "Sticky": kind == "streaming", "Resumable": kind == "streaming", "gap_aim_ms": 200,
    }  # fmt: skip
    return {**values, **fields}


def configuration(version: int, routes: list[dict[str, Any]], **limits: int) -> dict[str, Any]:
    """A whole configuration with the services `model` and `tools`."""
    engine = {"Slots": 16, "KvTokens": 161129, "Stride": 8, "Models": [{"Name": "m"}]}
    common = {"HealthPath": "/healthz", "MaxConns": 190, "Protocol": "h1", "Tls": False}
    named = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Ver": version,
        "Routes": routes,
        "Services": [{"Name": "model", **common, "Engine": engine}, {"Name": "tools", **common}],
        "Limits": {**named, **limits},
    }


class Operator:
    """Puts and reads the configuration; each call goes to one gateway after the other until it is clear."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record

    async def put(self, document: dict[str, Any], base: int, within_s: float = 20.0) -> int:
        """The status of the first clear answer; 0 if there was none in time."""
        headers = {"X-Kestrelbend-Base-Version": str(base), "Content-Type": "application/json"}
        body = json.dumps(document).encode()
        answer = await self._until_clear("POST", "/api/Config.Put", headers, body, within_s)
        status = 0 if answer is None else answer.status
        self._record.line(f"operator: Config.Put version {document['Ver']} on {base}: {status}")
        return status

    async def get(self, within_s: float) -> dict[str, Any] | None:
        """The configuration; None if no clear answer came in time."""
        answer = await self._until_clear("GET", "/api/Config.Get", {}, b"", within_s)
        document = None if answer is None or answer.status != 200 else json.loads(answer.body)
        shown = "no clear answer" if answer is None else answer.status
        version = None if document is None else document["Ver"]
        self._record.line(f"operator: Config.Get: {shown}, version {version}")
        return document

    async def _until_clear(
        self, method: str, path: str, headers: dict[str, str], body: bytes, within_s: float
    ) -> http.Message | None:
        ends_at = self._record.now() + within_s
        backoff_s = 0.05
        for machine in itertools.cycle(self._deployment.controls()):
            if self._record.now() > ends_at:
                return None
            with contextlib.suppress(OSError, TimeoutError, http.Broken):
                address = self._deployment.control(machine)
                answer = await http.call(address, method, path, headers, body, timeout_s=1.0)
                if answer.status < 500 and answer.status not in (408, 429):
                    return answer
            await asyncio.sleep(backoff_s)
            backoff_s = min(0.5, backoff_s * 1.5)
        return None


class Backend:
    """One backend: answers plain requests after `work_s`, turns as streams of events; beats and leaves.

    `runs` lists the ids of the requests that it began to run, each with the time.
    """

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        service: str,
        zone: int = 1,
        work_s: float = 0.02,
        events: int = 6,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.events = events
        self.identity = f"i-{random.getrandbits(40):010x}"
        self.state = "ready"
        self.sequence = 0
        self.runs: list[tuple[str, float]] = []
        self.beats = True
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens and begins to beat."""
        host = f"127.{random.randint(1, 19)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._server = await http.serve(host, 0, self._handle)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self._beating = asyncio.create_task(self._beat_on())
        self._record.line(f"backend {self.identity} of {self.service} at {self.address}")

    def report(self) -> dict[str, Any]:
        """The body of the next beat."""
        self.sequence += 1
        values: dict[str, Any] = {
            "Upstream": self.service, "Address": self.address, "Zone": f"zone-{self.zone}", "Ver": "v1",
            "Slots": 16, "State": self.state, "ColdLeftMs": 0, "Seq": self.sequence,
        }  # fmt: skip
        if self.service == "model":
            values |= {"Phase": "both", "Models": [{"Name": "m", "Ver": 1, "Adapters": []}]}
        return values

    async def beat(self, body: dict[str, Any] | None = None) -> bool:
        """Sends one beat to one gateway after the other until one acknowledges it."""
        path = f"/api/Instances.Heartbeat/{self.identity}"
        return await self._tell(path, json.dumps(body or self.report()).encode())

    async def leave(self) -> bool:
        """Says that it leaves; it serves on."""
        self.beats = False
        done = await self._tell(f"/api/Instances.Leave/{self.identity}", b"")
        self._record.line(f"backend {self.identity}: Leave {'acknowledged' if done else 'not acknowledged'}")
        return done

    async def _tell(self, path: str, body: bytes) -> bool:
        machines = self._deployment.controls()
        for machine in random.sample(machines, len(machines)):
            with contextlib.suppress(OSError, TimeoutError, http.Broken):
                answer = await http.call(self._deployment.control(machine), "POST", path, {}, body, 1.0)
                if answer.status < 300:
                    return True
        return False

    async def _beat_on(self) -> None:
        while self.beats:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: http.Message, writer: asyncio.StreamWriter) -> None:
        if request.path.startswith("/healthz"):
            writer.write(http.answer_bytes(200, {"X-Kestrelbend-Instance-Id": self.identity}, b""))
            return
        identity = request.headers.get("x-kestrelbend-request-id", "")
        own = {
            "X-Kestrelbend-Request-Id": identity,
            "X-Kestrelbend-Server-Stamp": f"{self.identity}.{identity}",
        }
        if request.headers.get("x-kestrelbend-expect-instance", self.identity) != self.identity:
            writer.write(http.answer_bytes(421, {"X-Kestrelbend-Instance-Id": self.identity, **own}, b""))
            return
        self.runs.append((identity, self._record.now()))
        self._record.line(f"backend {self.identity} runs {identity} {request.method} {request.path}")
        if self.service == "model":
            await self._stream(request, writer, own)
            return
        await asyncio.sleep(self.work_s)
        writer.write(http.answer_bytes(200, own, b"done " + identity.encode()))
        self._record.line(f"backend {self.identity} answered {identity}")

    async def _stream(self, request: http.Message, writer: asyncio.StreamWriter, own: dict[str, str]) -> None:
        head = {**own, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = b"id: %d\ndata: %s\n\n" % (number, request.headers["x-kestrelbend-request-id"].encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def until_ready(deployment: Deployment, record: Record, within_s: float = 30.0) -> bool:
    """Waits until every gateway calls itself ready."""
    ends_at = record.now() + within_s
    waiting = {machine.name for machine in deployment.gateways()}
    while waiting and record.now() < ends_at:
        for name in sorted(waiting):
            if await is_ready(deployment, deployment.machines[name]):
                waiting.discard(name)
        await asyncio.sleep(0.1)
    record.line("all gateways are ready" if not waiting else f"not ready: {sorted(waiting)}")
    return not waiting


async def is_ready(deployment: Deployment, machine: Machine) -> bool:
    """Asks one gateway as the platform does."""
    with contextlib.suppress(OSError, TimeoutError, http.Broken):
        answer = await http.call(deployment.ready(machine), "GET", "/api/readyz", timeout_s=1.0)
        return answer.status == 200
    return False
