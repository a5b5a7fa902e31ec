"""Backends as the system sees them: heartbeats, `draining`, `Leave`, and silence."""

from __future__ import annotations

import asyncio
import enum
import json
import random

from .answers import check_contact
from .fleet import Fleet
from .http import Reply

HEARTBEAT_S = 1.2  # between two reports, give or take 5 %
CALL_TIMEOUT_S = 1.0
DRAIN_S = 2.0  # DrainMs
LEAVE_ANYWAY_S = 5.0
ACK_S = 4.0  # AckMs: with a stable core `draining` is acknowledged within this


class BackendPhase(enum.StrEnum):
    """What a backend says of itself in `State`; one that is gone says nothing."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Backend:
    """One incarnation of a backend."""

    def __init__(self, fleet: Fleet, identity: str, service: str, zone: str, address: str) -> None:
        self.fleet = fleet
        self.identity = identity
        self.service = service
        self.zone = zone
        self.address = address
        self.started_at = fleet.now()
        self.state = BackendPhase.READY
        self.draining_acknowledged_at: float | None = None
        self.ended_at: float | None = None
        self._sequence = 0
        self._random = random.Random(f"backend {identity} {fleet.seed}")
        self._target = ""
        self._task = asyncio.create_task(self._live())

    async def _live(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, HEARTBEAT_S))
        while self.state == BackendPhase.READY:
            await self._heartbeat()
            await asyncio.sleep(HEARTBEAT_S * self._random.uniform(0.95, 1.05))

    async def _heartbeat(self) -> bool:
        """One report, to another control node after a failure; whether it was acknowledged."""
        self._sequence += 1
        report = {
            "Upstream": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Ver": "v1",
            "Slots": 16,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._sequence,
        }
        return await self._call("Heartbeat", json.dumps(report).encode(), max_attempts=3)

    async def _call(self, call: str, body: bytes, max_attempts: int) -> bool:
        addresses = list(self.fleet.published_control_addresses())
        self._random.shuffle(addresses)
        if self._target in addresses:
            addresses.remove(self._target)
            addresses.insert(0, self._target)
        path = f"/api/Instances.{call}/{self.identity}"
        for address in addresses[:max_attempts]:
            requested_at = self.fleet.now()
            reply = await self.fleet.http.call(address, "POST", path, (), body, CALL_TIMEOUT_S)
            if self.state != BackendPhase.READY:
                check_contact(self.fleet, address, requested_at, reply)
            if isinstance(reply, Reply) and 200 <= reply.status < 300:
                self._target = address
                return True
        self._target = ""
        return False

    def is_drained(self, latest: float) -> bool:
        """Whether its end was acknowledged before a moment, in seconds of the loop."""
        acknowledged_at = self.draining_acknowledged_at
        return acknowledged_at is not None and acknowledged_at < latest

    def report_first_to(self, address: str) -> None:
        """The backend reports to this control node first."""
        self._target = address

    def crash(self) -> None:
        """The backend falls silent."""
        self.fleet.log(f"backend {self.identity} crashes")
        self._end()

    async def drain_and_leave(self) -> None:
        """A planned end: says so until it is acknowledged, serves on a while, leaves."""
        self.fleet.log(f"backend {self.identity} drains")
        self.state = BackendPhase.DRAINING
        announced_at = self.fleet.now()
        while self.draining_acknowledged_at is None and self.fleet.now() - announced_at < LEAVE_ANYWAY_S:
            if await self._heartbeat():
                self.draining_acknowledged_at = self.fleet.now()
            else:
                await asyncio.sleep(0.1)
            self._check_time(announced_at)
        await asyncio.sleep(DRAIN_S + self._random.uniform(0.5, 3.0))
        await self._call("Leave", b"", max_attempts=3)
        self._end()

    def _check_time(self, announced_at: float) -> None:
        stable_since = max(announced_at, self.fleet.contact.core_stable_since())
        if self.draining_acknowledged_at is None and self.fleet.now() - stable_since > ACK_S:
            self.fleet.report_violation(f"backend {self.identity} has no acknowledgement in a calm time")

    def _end(self) -> None:
        self.state = BackendPhase.GONE
        self.ended_at = self.fleet.now()
        self._task.cancel()


class Backends:
    """All backends of the day."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.all: dict[str, Backend] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, service: str, zone: str) -> Backend:
        """A new incarnation at an address of its own."""
        number = len(self.all) + 1
        backend = Backend(self.fleet, f"i-{number}", service, zone, f"10.9.0.{number}:8080")
        self.all[backend.identity] = backend
        return backend

    def ready(self, service: str | None = None) -> list[Backend]:
        """Those that say that they are ready."""
        ready = (backend for backend in self.all.values() if backend.state == BackendPhase.READY)
        return [backend for backend in ready if service in (None, backend.service)]

    def replace(self, backend: Backend) -> None:
        """The next one starts, and the old one drains."""
        self.start(backend.service, backend.zone)
        task = asyncio.create_task(backend.drain_and_leave())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
