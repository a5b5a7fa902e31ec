"""A seeded random search: backends with random faults and clients that disconnect; checks the invariants.

`run_seed(seed)` replays a failing seed.
"""

from __future__ import annotations

import asyncio
import random

import attrs
import testtools

from kestrelbend.tier.dataplane import health
from tests.tier.dataplane_world import (
    BackendRequest,
    ClientResponse,
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

SEEDS = 60
REQUESTS = 40
EVENTS = 6


@attrs.define
class Run:
    """What a backend did with one request."""

    identity: str
    kind: str
    at: float
    ends_at: float  # by the forwarded deadline
    sent: bytes | None = None  # the whole body of a valid plain response


class FaultSimulation:
    """A simulation whose backends draw a random script for each request; checks each client's response."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.simulation = Simulation()
        self.runs: dict[str, list[Run]] = {}
        self.ended: set[str] = set()  # backends that crashed or whose address rejected them with 421
        for number in range(1, 4):
            self.simulation.backend(f"m-{number}", "models").respond_with(self.stream)
            self.simulation.backend(f"t-{number}", "tools", slots=3).respond_with(self.plain)

    def record_run(self, received: BackendRequest, sent: bytes | None = None) -> None:
        remaining_s = int(received.fields["x-kestrelbend-deadline-ms"]) / 1000
        identity, kind = received.fields["x-kestrelbend-expect-instance"], received.target.split("/")[1]
        run = Run(identity, kind, received.at, received.at + remaining_s, sent)
        self.runs.setdefault(received.fields["x-kestrelbend-request-id"], []).append(run)

    async def inject_fault(self, received: BackendRequest) -> bool:
        """Injects one of the faults that streams and plain responses share; returns whether one was drawn."""
        draw = self.random.random()
        if draw < 0.12:
            status = self.random.choice([503, 429, 421])
            if status == 421 and "expect-version" not in received.fields:
                self.ended.add(received.fields["x-kestrelbend-expect-instance"])
            await rejection(status)(received)
        elif draw < 0.15:  # a duplicate rejection, perhaps during the next request
            await rejection()(received)
            duplicate = response_head(received, 503, b"Content-Length: 0", b"X-Kestrelbend-Not-Executed: 1")
            loop = asyncio.get_running_loop()
            loop.call_later(self.random.random() * 0.06, received.connection.send, duplicate)
        elif draw < 0.20:
            self.record_run(received)
            await drop_connection(self.random.choice(["reset", "close"]))(received)
        elif draw < 0.22:
            self.record_run(received)
            await no_response()(received)
        elif draw < 0.24:
            self.record_run(received)
            await raw_response(b"HTTP/1.1 2x0 garbled\r\n\r\n", self.random.choice(["", "close"]))(received)
        elif draw < 0.26:
            self.record_run(received)
            await complete_response(b"failed", 500)(received)
        else:
            return False
        return True

    async def plain(self, received: BackendRequest) -> None:
        if await self.inject_fault(received):
            return
        body = f"{received.fields['x-kestrelbend-request-id']} {self.random.random()}".encode()
        self.record_run(received, body)
        draw = self.random.random()
        other_request = BackendRequest(
            "GET", "/", {"x-kestrelbend-request-id": "other"}, b"", 0, received.connection
        )
        stale_response = response_head(other_request, 200, b"Content-Length: 7") + b"surplus"
        if draw < 0.05:
            await raw_response(
                response_head(received, 200, b"Content-Length: %d" % len(body)) + body[:-1], "close"
            )(received)
        elif draw < 0.07:
            await raw_response(response_head(received, 200) + body, "close")(received)
        elif draw < 0.09:
            await raw_response(response_head(received, 200) + body[:-1], "reset")(received)
        elif draw < 0.1:
            await complete_response(b"zipped", 200, 0.01, b"Content-Encoding: gzip")(received)
        elif draw < 0.2:
            received.connection.send(stale_response)
            await complete_response(body)(received)
        elif draw < 0.3:
            await complete_response(body, trailing_bytes=stale_response)(received)
        elif draw < 0.4:
            await complete_response(body)(received)
            asyncio.get_running_loop().call_later(
                self.random.random(), received.connection.send, stale_response
            )
        else:
            await complete_response(body, after=self.random.random() * 0.1)(received)

    async def stream(self, received: BackendRequest) -> None:
        if await self.inject_fault(received):
            return
        first = int(received.fields.get("last-event-id", 0)) + 1
        self.record_run(received)
        last = self.random.choice([EVENTS, EVENTS, self.random.randint(first, EVENTS)])
        ending = "end" if last == EVENTS else self.random.choice(["close", "reset"])
        part = b"" if ending == "end" else event(last + 1)[: self.random.randint(0, 8)]
        if part and self.random.random() < 0.2:
            ending = "end"  # a proper end of the body, but within an event
        await event_stream(range(first, last + 1), self.random.random() * 0.05, ending, part)(received)

    async def change_backends(self) -> None:
        """Lets backends leave, crash and return at random."""
        simulation = self.simulation
        while True:
            await asyncio.sleep(self.random.random())
            scripted = self.random.choice(list(simulation.scripted.values()))
            backend = scripted.backend
            draw = self.random.random()
            if draw < 0.3:
                scripted.refusing = not scripted.refusing
                self.ended.add(backend.identity)
                for connection in scripted.connections if scripted.refusing else ():
                    connection.reset()
            elif draw < 0.5 and backend.identity in simulation.live:
                del simulation.live[backend.identity]
            else:
                simulation.live[backend.identity] = backend

    async def client(self) -> None:
        await asyncio.sleep(self.random.random() * 3)
        kind = self.random.choice(["turns", "turns", "once", "read", "read2", "pay"])
        deadline_ms = self.random.choice([300, 1000, 3000])
        fields = {"x-kestrelbend-deadline-ms": str(deadline_ms)}
        if self.random.random() < 0.05:
            fields["expect-version"] = "7"
        if kind == "turns" and self.random.random() < 0.7:
            fields = {**turn_headers(program=str(self.random.randint(1, 5))), **fields}
        disconnect_after = self.random.random() if self.random.random() < 0.1 else None
        number = self.simulation.next_request_number
        started_at = self.simulation.loop.time()
        response = await self.simulation.send_request(
            f"/{kind}/x", fields=fields, disconnect_after=disconnect_after
        )
        runs = self.runs.get(f"try-{number}", [])
        self.check(kind, runs, response, disconnect_after is not None)
        self.check_times(runs, started_at, deadline_ms / 1000, disconnect_after)

    def check_times(
        self, runs: list[Run], started_at: float, deadline_s: float, disconnect_after: float | None
    ) -> None:
        """Each run got the time left of the deadline, and none was sent after the client's disconnect."""
        for run in runs:
            assert run.ends_at <= started_at + deadline_s + 0.002, "a run got more time than was left"
            assert disconnect_after is None or run.at <= started_at + disconnect_after + 0.001, (
                "sent after the client disconnected"
            )
        assert self.simulation.loop.time() <= started_at + deadline_s + 0.002, "held beyond the deadline"

    def check(self, kind: str, runs: list[Run], response: ClientResponse, disconnects: bool) -> None:
        """The invariants of one request."""
        assert {run.kind for run in runs} <= {kind}
        if kind in ("once", "pay"):
            assert len(runs) <= 1, "ran twice"
        if response.status in (421, 429, 503):
            assert not runs and "retry-after" in response.fields, "rejected although it ran"
        live_retries = 2 if kind == "read2" else 1
        assert len({run.identity for run in runs} - self.ended) <= live_retries, "more backends than retries"
        assert disconnects or response.status is not None, "no response"
        if response.status is None or response.status >= 300:
            assert response.complete or disconnects
            assert not response.has_stamp or response.body == b"failed"
        elif kind in ("turns", "once"):
            whole_stream = b"".join(event(number) for number in range(1, EVENTS + 1))
            assert response.has_stamp and whole_stream.startswith(response.body)
            assert not response.complete or response.body == whole_stream, "truncated but complete"
        else:
            assert response.has_stamp and (disconnects or response.complete)
            assert not response.complete or response.body in [run.sent for run in runs]

    async def scenario(self) -> None:
        change_backends = asyncio.ensure_future(self.change_backends())
        try:
            await asyncio.gather(*(self.client() for _ in range(REQUESTS)))
        finally:
            change_backends.cancel()
        await asyncio.sleep(0.01)
        reserved = sorted(reserve.reservation for reserve in self.simulation.budget.reserved)
        assert reserved == sorted(settle.reservation for settle in self.simulation.budget.settled)
        assert self.simulation.lifecycle.in_flight == 0
        assert not self.simulation.plane.load_balancer.in_flight
        assert self.simulation.plane.connections.open == self.simulation.plane.connections.idle_count


def run_seed(seed: int) -> FaultSimulation:
    faults = FaultSimulation(seed)
    faults.simulation.run(faults.scenario())
    return faults


class RandomFaultsTest(testtools.TestCase):
    """Runs many seeds and checks that they cause retries."""

    def test_invariants_hold_under_random_faults(self):
        repeated = 0
        for seed in range(SEEDS):
            try:
                faults = run_seed(seed)
            except Exception as error:
                raise AssertionError(f"seed {seed}") from error
            repeated += sum(len(runs) > 1 for runs in faults.runs.values())
        self.assertTrue(repeated > SEEDS, "the search causes too few retries to be meaningful")

    def test_half_of_the_backends_stay_healthy(self):
        faults = FaultSimulation(1)
        tracker = health.Health()
        backends = list(faults.simulation.live.values())
        for backend in backends:
            tracker.record_connection_failure(backend.identity, 0.0)
        self.assertEqual(3, len(tracker.healthy(backends, 0.0)))
        self.assertEqual(6, len(tracker.healthy(backends, 30.0)))
