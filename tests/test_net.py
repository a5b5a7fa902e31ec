"""Tests of a gateway on loopback sockets, connected to stub servers."""

import asyncio
import json
import logging
import os
import select
import signal
import socket
import subprocess
import sys
import time
from dataclasses import astuple, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from kestrelbend.gateway.decisions.admission import Admission
from kestrelbend.gateway.decisions.outcomes import Outcomes
from kestrelbend.gateway.settings import model
from kestrelbend.gateway.settings import platform as terms
from kestrelbend.gateway.hosting import Task
from kestrelbend.gateway.interface import Delivery, Invocation, Result, EndpointState
from kestrelbend.gateway.net import accept_queue, clients, configuration, connections, key_value_logging
from kestrelbend.gateway.net.requests import Request
from kestrelbend.gateway.net.gateway import reload, start
from kestrelbend.gateway.net.accept_queue import AcceptQueue, HeldConnection
from kestrelbend.gateway.net.events import TimerDue, CounterReplied, RequestTaken
from kestrelbend.gateway.net.endpoint_discovery import parse_endpoint_list
from kestrelbend.gateway.net.metrics import counters

from .helpers import BASE, StubCounter, StubDiscovery, StubServices, World, connect, reserve_address, row, run


def build_request(owner, customer):
    fields = CIMultiDict({"X-Request-ID": "1", "Api-Plan": "plan", "X-Timeout": "1"})
    return Request("GET", f"/op/00000000000000{customer}", fields, b"", owner.clock(), owner.settings)


def test_request_and_response_bytes_are_forwarded_unchanged():
    async def test():
        async with World() as world:
            backend, body = world.backends[0], bytes(range(256)) * 16
            backend.play = [b"200 OK\r\nContent-Type: x/y\r\nX-Server-Load: {oops\r\n\r\n" + body[::-1]]
            path = "/op/%2e%2E/a//b;c=%zz/00000000000000c1?x=%20+&y=/../"
            status, headers, answer = await world.ask(path, "POST", body)
            assert (status, headers["content-type"], answer) == (200, "x/y", body[::-1])
            line, headers, received = backend.seen[0]
            assert line == f"POST {path} HTTP/1.1" and received == body
            assert headers["x-request-id"] == "39711" and headers["x-odd"] == "\u00e9 b"
            assert 0.5 < float(headers["x-timeout"]) < 1.0 and len(world.counter.calls) == 1

    run(test())


def test_all_headers_but_connection_headers_are_forwarded():
    async def test():
        async with World() as world:
            reader, writer = await connect(*world.listen)
            writer.write(
                b"POST /op/00000000000000c1 HTTP/1.1\r\nHost: api\r\nApi-Plan: plan\r\n"
                b"X-Request-ID: 1\r\nX-Timeout: 1\r\n"
                b"Twice: 1\r\nTwice: 2\r\nConnection: X-Own\r\nX-Own: 3\r\nExpect: 100-continue\r\n"
                b"Content-Length: 4\r\n\r\n"
            )
            assert b" 100 " in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            writer.write(b"body")
            assert b" 200 " in await asyncio.wait_for(reader.readline(), 1)
            (_, headers, body), twice = world.backends[0].seen[0], world.backends[0].raw[0]
            assert body == b"body" and headers["host"] == "api" and not {"x-own", "expect"} & headers.keys()
            assert b"Twice: 1\r\nTwice: 2\r\n" in twice

    run(test())


@pytest.mark.parametrize(
    "first, effect, status, seen",
    [
        (b"500 No\r\n\r\n", "at_most_once", 502, 1),
        (b"503 Busy\r\n\r\n", "at_most_once", 502, 1),  # does not say that it was not processed
        (b"503 Busy\r\nX-Not-Processed: 1\r\n\r\n", "at_most_once", 200, 2),
        (b"504 Late\r\nX-Not-Processed: 1\r\n\r\n", "at_most_once", 200, 2),
        ("cut", "at_most_once", 502, 1),
        ("cut", "idempotent", 200, 2),
        ("hang", "at_most_once", 502, 1),
        (b'200 OK\r\nX-Server-Load: {"queue":2}\r\nApi-Charge: 3\r\n\r\n', "at_most_once", 200, 1),
    ],
)
def test_outcome_of_a_delivery_decides_status_and_number_of_attempts(first, effect, status, seen):
    """aiohttp's client by itself repeats a GET when a reused connection breaks; the gateway must not."""

    async def test():
        async with World(classes__0__effect=effect) as world:
            assert (await world.ask())[0] == 200  # leaves an idle connection in the pool
            world.backends[0].play = [first]
            assert (await world.ask(wait="0.4"))[0] == status
            assert len(world.backends[0].seen) == 1 + seen

    run(test())


def test_refused_connection_is_retried_even_if_the_operation_is_not_repeatable():
    async def test():
        async with World(2, classes__0__effect="at_most_once") as world:
            world.backends[0].server.close()
            for _ in range(6):
                assert (await world.ask())[0] == 200
            assert len(world.backends[1].seen) == 6

    run(test())


def test_nothing_is_sent_to_a_backend_that_starts_draining_while_connecting():
    async def test():
        async with World() as world:
            owner, sent = world.owner, asyncio.Queue()
            target, request = owner.backends["s0"], build_request(owner, "c1")
            inv = Invocation(
                owner.operations["op"], owner.customer_state("plan", "c1", 1), 0, 1 << 62, 1.0, False
            )
            peer, target.state = owner.backend_client, EndpointState.DRAINING
            peer.queue = sent
            until = owner.clock() + 500_000
            peer.deliver(Delivery(inv, target, owner.clock(), until, 0, until), request)
            assert (await sent.get()).result is Result.VOID and not world.backends[0].seen

    run(test())


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.data())
def test_rules_one_and_two_hold_on_sockets_whatever_backends_and_counter_do(data):
    """The plain model: what a backend has read whole and not turned away unseen has run."""
    refusals = b"503 Busy\r\nX-Not-Processed: 1\r\n\r\n"
    done = [
        b"200 OK\r\n\r\nfine",
        b"500 No\r\n\r\n",
        b"503 No\r\n\r\n",
        b"200 OK\r\nContent-Encoding: odd\r\n\r\n",
        "cut",
        "hang",
        "half",
    ]
    plays = [data.draw(st.lists(st.sampled_from([refusals, refusals, *done]), max_size=12)) for _ in range(3)]
    counts = data.draw(
        st.lists(st.sampled_from([None, "silent", "cut", b"-BUSY", b"-ERR", b"$1\r\n9"]), max_size=9)
    )
    waits = data.draw(st.lists(st.sampled_from(["0.05", "0.15", "0.3"]), min_size=1, max_size=9))

    async def test():
        async with World(3, classes__0__effect="at_most_once", classes__0__objective=100) as world:
            world.counter.play, played = list(counts), []
            for backend, play in zip(world.backends, plays, strict=True):
                backend.play = list(play)
                backend.played = played

            async def ask(number, wait):
                began = time.monotonic()
                status, headers, _ = await world.ask(f"/op/{number:016}", wait=wait)
                assert status in (200, 429, 502) and time.monotonic() - began < float(wait) + 0.25
                ran = [what for path, what in played if path == f"/op/{number:016}" and what != refusals]
                assert len(ran) <= 1 and (status != 429 or not ran)
                assert status != 200 or ran in ([done[0]], [done[3]])

            await asyncio.gather(*(ask(n, wait) for n, wait in enumerate(waits)))
            await world.until(lambda: not world.owner.requests)

    run(test())


def test_client_disconnect_cancels_its_delivery():
    async def test():
        async with World() as world:
            world.backends[0].play = ["hang"]
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(world.ask(wait="3"), 0.2)
            await world.until(lambda: world.backends[0].disconnects == 1)
            await world.until(lambda: not world.owner.requests and not world.owner.tasks)
            assert len(world.backends[0].seen) == 1

    run(test())


def test_idle_connections_are_discarded_after_a_backend_timed_out():
    async def test():
        async with World(classes__0__objective=100) as world:
            target, backend = world.owner.backends["s0"], world.backends[0]
            backend.play = ["hang"]
            before = world.owner.backend_client.pool_for(target)
            assert (await world.ask(wait="0.3"))[0] in (429, 502)
            await world.until(lambda: before.session.closed)
            assert world.owner.backend_client.pool_for(target) is not before

    run(test())


@pytest.mark.parametrize(
    "play, result",
    [
        ([b"-BUSY"], Result.REJECTED),
        ([b"-ERR no"], Result.UNREACHABLE),
        (["silent"], Result.TIMED_OUT),
        (["cut"], Result.TIMED_OUT),
        ([b"+?"], Result.TIMED_OUT),
        ([b"$3\r\ninf"], Result.TIMED_OUT),
        ([b"-ODD"], Result.TIMED_OUT),
        ([b"*1\r\n:3"], Result.TIMED_OUT),
        ([b"!"], Result.TIMED_OUT),
        ([], Result.SUCCEEDED),
    ],
)
def test_reply_of_the_counter_decides_the_result_of_the_call(play, result):
    async def test():
        async with World() as world:
            service, world.counter.play = world.owner.counter, list(play)
            service.queue = asyncio.Queue()
            service.add(5, 1.5, 4_000_000)
            total = 1.5 if result is Result.SUCCEEDED else 0.0
            assert await service.queue.get() == CounterReplied(5, result, total)
            if play and type(play[0]) is bytes and not play[0].startswith((b"-BUSY", b"-ERR")):
                world.counter.play = []  # the connection of the failed call is not reused
                service.add(5, 1, 4_000_000)
                assert (await service.queue.get()).result is Result.SUCCEEDED
                assert len(service.connections) == 1

    run(test())


def test_gateway_short_of_cpu_counts_timeouts_from_arrival_and_shortens_deadlines():
    """At 0.15 of a core, responses came after the clients' timeouts and counter replies were taken as lost.

    Times must count from the arrival of the bytes, not from their reading, and later deadlines be shortened.
    """

    async def test():
        async with World(policyLimits__tryLimit=1) as world:
            world.backends[0].play = ["hang"] * 3
            out = asyncio.create_task(world.ask(wait="0.6"))
            await asyncio.sleep(0)
            reader, writer = await connect(*world.listen)
            writer.write(
                b"GET /op/00000000000000c2 HTTP/1.1\r\nHost: x\r\nApi-Plan: plan\r\n"
                b"X-Request-ID: 2\r\nX-Timeout: 1\r\n\r\n"
            )
            time.sleep(0.2)
            stalled = world.owner.clock()
            await world.until(lambda: len(world.owner.requests) == 2)
            assert max(inv.arrived_at for inv in world.owner.requests) < stalled - 150_000
            world.owner.timer_lateness, world.owner.gateway.now = 0, world.owner.clock()
            world.owner.on_timer_due(TimerDue(Task(None), world.owner.gateway.now - 80_000))
            request = build_request(world.owner, "c3")
            world.owner.on_request_taken(RequestTaken(request))
            assert request.inv.deadline - request.inv.arrived_at == 920_000
            writer.close()
            assert (await out)[0] in (429, 502)
            service, world.counter.play = world.owner.counter, ["stall"]
            service.queue = asyncio.Queue()
            service.add(5, 1, 4_000_000)
            assert astuple(await service.queue.get())[1:] == (Result.SUCCEEDED, 9.0)

    run(test())


def test_silent_counter_connection_is_replaced_and_calls_stay_in_order():
    async def test():
        async with World() as world:
            service, counter = world.owner.counter, world.counter
            service.queue = asyncio.Queue()
            counter.play = ["silent"] * 2
            for _ in range(2):
                service.add(5, 1, 4_000_000)
            assert [(await service.queue.get()).result for _ in range(2)] == [Result.TIMED_OUT] * 2
            service.add(6, 1, 4_000_000)  # called at once, on a new connection
            assert (await service.queue.get()).result is Result.SUCCEEDED and len(service.connections) == 2
            await asyncio.sleep(2 * service.call_timeout)
            for _ in range(2):
                service.add(5, 1, 4_000_000)
            assert [(await service.queue.get()).total for _ in range(2)] == [1.0, 2.0]
            counter.close()
            service.add(6, 1, 4_000_000)
            assert (await service.queue.get()).result in (Result.UNREACHABLE, Result.TIMED_OUT)

    run(test())


def test_requests_succeed_while_counter_and_discovery_are_silent():
    async def test():
        async with World() as world:
            world.counter.play, world.discovery.silent = ["silent"] * 9, True
            world.discovery.changed.set()
            assert [(await world.ask())[0] for _ in range(3)] == [200] * 3

    run(test())


def test_changes_to_the_endpoint_list_are_applied_even_after_discovery_restarts():
    async def test():
        async with World(2) as world:
            owner, rows = world.owner, world.rows
            world.discovery.tell(rows[0] | {"state": "draining"}, rows[1])
            await world.until(lambda: owner.backends["s0"].state is EndpointState.DRAINING)
            world.discovery.tell(rows[1] | {"boot_ms": 5})
            await world.until(lambda: owner.backends["s0"].state is EndpointState.GONE)
            assert owner.backends["s1"].started == 5000 and len(owner.backend_client.endpoints) == 1
            owner.departed_at["s0"] -= owner.settings["cold"]  # departed long ago: its state is removed
            world.discovery.tell(rows[1] | {"boot_ms": 5})
            await world.until(lambda: "s0" not in owner.backends)
            assert len(owner.backend_ids) == 1 and not owner.departed_at
            assert "since=2&" in world.discovery.asked[2]
            world.discovery.close()  # discovery stops and comes back
            await world.until(lambda: counters["discovery_failed"])
            world.discovery.rows = rows
            await world.discovery.open()
            world.discovery.tell(*rows)
            await world.until(lambda: len(owner.listed) == 2)

    run(test())


def test_silent_watch_is_renewed_before_its_changes_must_be_known():
    """The watch waits 2 s; a missed change must be known 6 s after its silence, or 2 s after the wait."""

    async def test():
        async with World(2) as world:
            owner, rows, loop = world.owner, world.rows, asyncio.get_running_loop()
            await world.until(lambda: len(world.discovery.asked) == 2)
            began, world.discovery.silent = loop.time(), True
            world.discovery.rows, world.discovery.rev = [rows[0] | {"state": "draining"}, rows[1]], 2
            await asyncio.sleep(2.5)
            world.discovery.silent = False  # responds to new calls before the watch times out
            await world.until(lambda: owner.backends["s0"].state is EndpointState.DRAINING, 4)
            assert loop.time() - began < 4

    run(test())


def test_new_process_starts_with_the_known_endpoints_and_no_other_state():
    """New settings take effect in a new process, which has the last endpoint list but no quota units."""

    async def test():
        async with World(2, contracts__0__ceilingRate=2, contracts__0__capDepth=8) as world:
            config, rows = world.config, world.rows
            assert (await world.ask())[0] == 429  # its share of the ceiling starts empty
            await asyncio.sleep(1.6)
            assert (await world.ask())[0] == 200
            world.discovery.silent = True  # the new process gets no list
            known = {"rev": 1, "all": True, "targets": [rows[0] | {"state": "draining"}, rows[1]]}
            settings = terms.settings(
                {
                    k: str(v)
                    for k, v in {
                        **world.pairs,
                        "policyLimits.retryAfter": "false",
                        "familyInfo.metering": 1000,
                    }.items()
                }
            )
            listen = reserve_address()
            owner, serving = await start(
                replace(config, listen=listen, known_endpoints=known, settings=settings)
            )
            owner.gateway.context.started_at = (
                owner.clock() + 100_000
            )  # as if its start had taken a while, with no units allocated since
            on = await connect(*listen)
            status, headers, _ = await world.ask(on=on)
            assert status == 429 and "retry-after" not in headers  # no units of the ceiling are carried over
            owner.gateway.context.started_at -= 10_000_000
            for customer in owner.customers.values():
                customer.limit_allocated = None
            before = [len(b.seen) for b in world.backends]
            on = await connect(*listen)
            assert (await world.ask(on=on))[0] == 200
            assert [len(b.seen) for b in world.backends] == [before[0], before[1] + 1]
            assert not owner.backends["s0"].latencies.count
            await world.end(owner, serving)

    run(test())


@pytest.mark.parametrize("used, asked", [("400", True), ("x", False), ("-1", False), ("inf", False)])
@pytest.mark.parametrize("metering", [1000, 0])
def test_usage_in_a_response_is_applied_if_valid_and_metering_is_on(used, asked, metering):
    async def test():
        async with World(familyInfo__metering=metering) as world:
            world.backends[0].play = [b"200 OK\r\nApi-Used: %s\r\n\r\n" % used.encode()]
            assert (await world.ask())[0] == 200
            (customer,) = world.owner.customers.values()
            assert bool(customer.demand) == (asked and metering > 0)

    run(test())


CUSTOMER_PATH = "/op/00000000000000c1"


@pytest.mark.parametrize(
    "given",
    [
        {"path": "/op"},
        {"path": "http://x" + CUSTOMER_PATH},
        {"path": "/op/c1"},
        {"path": "/op/00000002000000c1"},
        {"path": "/nothing/00000000000000c1"},
        {"plan": "other"},
        {"number": ""},
        {"number": "a b"},
        *({"wait": wait} for wait in ("nan", "-1", "0", "soon", "", "1e30")),
        *(
            {"terms": terms}
            for terms in (
                "units=7",
                "units=0",
                "units=nan",
                "units=x",
                "spread=3",
                "spread=0",
                "spread=1.5",
                "spread=2,first=2",
                "first=-1",
            )
        ),
        *(
            {"more": more}
            for more in (
                "X-Request-ID: 2\r\n",
                "Api-Plan: plan\r\n",
                "X-Priority-Class: other\r\n",
                "Content-Length: 3\r\n",
                "Transfer-Encoding: chunked\r\n",
            )
        ),
    ],
)
def test_malformed_request_gets_400_and_its_connection_is_closed(given):
    """Requests with infinite or invalid units in a customer's name once blocked this customer."""

    async def test():
        async with World(familyInfo__mostUnits=6) as world:
            on = await connect(*world.listen)
            assert (await world.ask(**given, on=on))[0] == 400
            assert await asyncio.wait_for(on[0].read(), 1) == b""  # the connection is closed
            assert not world.backends[0].seen and not world.owner.customers

    run(test())


def test_duplicate_id_of_an_open_request_gets_400():
    async def test():
        async with World() as world:
            world.backends[0].play = ["hang"]
            first = asyncio.create_task(world.ask(number=5, wait="0.3"))
            await world.until(lambda: world.backends[0].seen)
            assert (await world.ask(number=5))[0] == 400 and (await first)[0] in (429, 502)
            assert len(world.backends[0].seen) == 1 and (await world.ask(number=5))[0] == 200

    run(test())


def test_pipelined_requests_are_dropped_and_the_connection_closes_after_the_response():
    async def test():
        async with World() as world:
            for later in (False, True):
                reader, writer = await connect(*world.listen)
                asked = [
                    f"GET {CUSTOMER_PATH} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {n}{later}\r\n"
                    "Api-Plan: plan\r\n\r\n"
                    for n in range(9)
                ]
                world.backends[0].play = [b"raw <a moment later>" + VALID_RESPONSE]
                writer.write(asked[0].encode())
                if later:
                    await world.until(lambda: world.owner.clients.server.busy)
                writer.write("".join(asked[1:]).encode())
                head, _, body = (await asyncio.wait_for(reader.read(), 1)).partition(b"\r\n\r\n")
                assert b" 200 " in head and b"close" in head and body == b"good"
            assert len(world.backends[0].seen) == 2

    run(test())


def test_inactive_connections_and_incomplete_requests_time_out(monkeypatch):
    monkeypatch.setattr(connections, "IDLE_TIMEOUT_S", 0.2)

    async def test():
        async with World() as world:
            kept = await connect(*world.listen)
            assert (await world.ask(on=kept))[0] == 200
            for said in (
                b"",
                b"GET " + CUSTOMER_PATH.encode() + b" HTTP/1.1\r\nX-Pad: ",
                b"POST " + CUSTOMER_PATH.encode() + b" HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
            ):
                reader, writer = await connect(*world.listen)
                writer.write(said)
                received = await asyncio.wait_for(reader.read(), 1)
                assert received.startswith(b"HTTP/1.1 408 ") if said else received == b""
            assert not world.owner.clients.server.busy and (await world.ask(on=kept))[0] == 200
            await asyncio.sleep(0.3)  # idle for longer than a request may take to arrive
            reader, writer = kept
            for part in (
                b"GET " + CUSTOMER_PATH.encode() + b" HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\n",
                b"Api-Plan: plan\r\n\r\n",
            ):
                writer.write(part)
                await asyncio.sleep(0.02)
                world.owner.clients.server.close_inactive()
            assert b" 200 " in await asyncio.wait_for(reader.readuntil(b"fine"), 1)
            kept[1].write(b"GET ")
            assert b" 408 " in await asyncio.wait_for(kept[0].read(), 1)

    run(test())


VALID_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


@pytest.mark.parametrize(
    "malformed_response",
    [
        b"ICY 200 OK\r\nContent-Length: 4\r\n\r\nodd!",
        b"\x00\x01noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Pad: ",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nodd!",
        b"HTTP/1.1 200 OK\r\n\r\nodd!",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nodd!",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nodd!",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\nzz\r\n",
    ],
)
def test_malformed_response_fails_its_delivery_at_once(malformed_response):
    async def test():
        async with World() as world:
            for status, effect in ((200, "idempotent"), (502, "at_most_once")):
                world.owner.operations["op"].effect = model.IDEMPOTENCY_BY_NAME[terms.EFFECT_NAMES[effect]]
                world.backends[0].play, at = (
                    [b"raw " + malformed_response, b"raw " + VALID_RESPONSE],
                    time.monotonic(),
                )
                assert (await world.ask())[::2] == (status, b"good" if status == 200 else b"")
                assert time.monotonic() - at < 0.5
            assert len(world.backends[0].seen) == 3

    run(test())


@pytest.mark.parametrize(
    "answer",
    [
        VALID_RESPONSE + VALID_RESPONSE,
        VALID_RESPONSE + b"noise\r\n\r\n",
        VALID_RESPONSE + b"<a moment later>" + VALID_RESPONSE,
        VALID_RESPONSE + b"<a moment later>noise",
        VALID_RESPONSE[:30] + b"<a moment later>" + VALID_RESPONSE[30:] + VALID_RESPONSE,
        b"HTTP/1.1 102 Wait\r\n\r\n" + VALID_RESPONSE,
        b"HTTP/1.1 103 Soon\r\nLink: x\r\n\r\n<a moment later>" + VALID_RESPONSE + b"n",
    ],
)
def test_extra_data_around_a_valid_response_is_discarded(answer):
    """aiohttp's client would take data after a response as the response to the next request."""

    async def test():
        async with World() as world:
            world.backends[0].play = [b"raw " + answer]
            assert (await world.ask())[::2] == (200, b"good")
            await asyncio.sleep(0.05)
            assert [(await world.ask())[2] for _ in range(2)] == [b"fine"] * 2
            assert len(world.backends[0].seen) == 3

    run(test())


@pytest.mark.parametrize("charge", ["inf", "1e300", "nan", "-2", "x", "7"])
def test_invalid_charges_are_ignored(charge):
    async def test():
        async with World(familyInfo__mostUnits=6) as world:
            world.backends[0].play = [b"200 OK\r\nApi-Charge: %s\r\n\r\n" % charge.encode()]
            assert [(await world.ask())[0] for _ in range(2)] == [200] * 2
            assert next(iter(world.owner.customers.values())).unreported == 0.0

    run(test())


def test_oversized_and_endless_bodies_and_garbage_are_rejected(caplog):
    async def test():
        async with World(classes__0__deadline=300) as world:
            assert (await world.ask(method="POST", body=bytes(1 << 17)))[0] == 413
            world.backends[0].play = ["endless"]
            assert (await world.ask())[0] == 200 and len(world.backends[0].seen) == 2
            logging.getLogger("aiohttp.server").addFilter(key_value_logging.drop_malformed_requests)
            for garbage in (b"\x00garbage\r\n\r\n", b"GET /op/c1 HTTP/1.1\r\n\r\n"):
                reader, writer = await connect(*world.listen)
                writer.write(garbage)
                assert b" 400 " in await asyncio.wait_for(reader.readline(), 1)

    before = counters["malformed"]
    run(test())
    assert counters["malformed"] > before and not [r for r in caplog.records if r.name == "aiohttp.server"]


def test_exception_in_the_decisions_ends_its_request_with_an_error(monkeypatch):
    async def test():
        async with World() as world:

            def broken(*_):
                raise ZeroDivisionError

            monkeypatch.setattr(Outcomes, "ended", broken)
            assert (await world.ask())[0] in (200, 502)
            monkeypatch.setattr(Admission, "admit", broken)
            assert (await world.ask())[0] == 502
            await world.until(lambda: not world.owner.tasks)
            monkeypatch.undo()
            monkeypatch.setattr(Outcomes, "wake_waiting", broken)  # one request resumes another
            assert (await world.ask())[0] == 200 and counters["faults"] >= 3

    run(test())


def test_longest_idle_connection_is_closed_at_the_descriptor_limit():
    async def test():
        async with World() as world:
            world.owner.clients.descriptor_limits.max_descriptors = 2 * 2
            world.owner.clients.descriptor_limits.open_descriptors = lambda: 0
            first = await connect(*world.listen)
            assert (await world.ask(on=first))[0] == 200
            others = [await connect(*world.listen) for _ in range(2)]
            assert await asyncio.wait_for(first[0].read(), 1) == b""
            assert [(await world.ask(on=other))[0] for other in others] == [200] * 2

    run(test())


def test_request_sent_while_an_idle_connection_closes_is_read_and_dropped():
    """The client sees the connection close without a response and repeats the request.

    A reset instead could lose the previous response.
    """

    async def test():
        async with World() as world:
            on, server = await connect(*world.listen), world.owner.clients.server
            assert (await world.ask(on=on))[0] == 200
            server.close_gracefully(next(iter(server.all_connections)))
            with pytest.raises(asyncio.IncompleteReadError) as seen:
                await world.ask(on=on)
            assert seen.value.partial == b"" and len(world.backends[0].seen) == 1
            assert counters["bytes_after_the_shutdown"]
            on[1].close()
            await world.until(
                lambda: (
                    not server.all_connections
                    and not world.owner.clients.descriptor_limits.half_closed_clients
                )
            )

    run(test())


def test_no_backend_connection_is_made_beyond_the_descriptor_limit():
    async def test():
        async with World() as world:
            peer, target = world.owner.backend_client, world.owner.backends["s0"]
            on = await connect(*world.listen)
            await world.until(lambda: world.owner.clients.server.all_connections)
            allowed, peer.descriptor_limits.max_descriptors = peer.descriptor_limits.max_descriptors, 40
            held, peer.descriptor_limits.open_descriptors = (
                peer.descriptor_limits.open_descriptors,
                lambda: 39,
            )
            assert (await world.ask(wait="0.3", on=on))[0] == 429 and not world.backends[0].seen
            assert not target.failure_evidence and not target.ejected_until  # not the backend's failure
            peer.descriptor_limits.max_descriptors, peer.descriptor_limits.open_descriptors = allowed, held
            assert (await world.ask(on=on))[0] == 200 and not peer.connecting
            peer.descriptor_limits.max_descriptors = 40  # an idle connection is still usable
            assert (await world.ask(on=on))[0] == 200

    run(test())


def test_sigterm_serves_open_requests_and_new_connections_before_the_exit(tmp_path):
    """Runs the gateway in its own process, as operators start it."""

    async def test():
        async with GatewayProcess(tmp_path) as (world, process, given):
            idle = await connect_when_listening(world)
            # Until the gateway is loaded, it rejects a request with a timeout of 1 s after 0.4 s.
            await world.until(lambda: world.discovery.asked, 10)
            world.backends[0].play = ["hang"]
            out = asyncio.create_task(world.ask(wait="1.2"))
            await world.until(lambda: world.backends[0].seen)
            moved = await StubDiscovery(*world.rows).open()
            (tmp_path / "config.json").write_text(json.dumps(given | {"discovery": moved.address}))
            process.send_signal(signal.SIGHUP)
            await world.until(lambda: moved.asked)
            process.send_signal(signal.SIGTERM)
            at = time.monotonic()
            await asyncio.sleep(0.3)
            status, headers, _ = await world.ask()
            assert status == 200 and headers["connection"] == "close"
            assert await asyncio.wait_for(idle[0].read(), 1) == b"" and time.monotonic() - at < 0.7
            assert (await out)[0] in (429, 502)
            log = (await process.communicate())[1].decode()
            assert process.returncode == 0 and "event=counters" in log and "taken=2" in log

    run(test())


class GatewayProcess:
    """A gateway in its own process, connected to stub servers."""

    def __init__(self, folder):
        self.folder = folder

    async def __aenter__(self):
        self.world = world = await StubServices().__aenter__()
        given = {
            "name": "n0",
            "listen": "%s:%d" % world.listen,
            "discovery": world.discovery.address,
            "counter": world.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 1024},
            "settings": nest_settings(world.pairs),
            "known": {"rev": 1, "all": True, "targets": world.rows},
        }
        (self.folder / "config.json").write_text(json.dumps(given))
        env = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_DISCOVERY": world.discovery.address,
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "kestrelbend", env=env, stderr=subprocess.PIPE
        )
        return world, self.process, given

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.communicate()


async def connect_when_listening(world):
    for _ in range(400):
        try:
            return await connect(*world.listen)
        except OSError:
            await asyncio.sleep(0.01)
    raise TimeoutError


def test_requests_during_startup_are_answered_within_their_timeouts(tmp_path):
    """Four requests were lost when 144 gateways restarted at once: their timeouts ran during the startup."""

    async def test():
        async with GatewayProcess(tmp_path) as (world, process, _):
            on = [await connect_when_listening(world)]
            on += [await connect_when_listening(world) for _ in range(3)]
            assert not world.discovery.asked  # it is still starting up
            short_timeout, at = asyncio.create_task(world.ask(wait="0.05", on=on[0])), time.monotonic()
            long_timeout = asyncio.create_task(world.ask(wait="9", on=on[1]))
            on[2][1].close()
            process.send_signal(signal.SIGTERM)  # takes effect only after the responses
            status, headers, _ = await short_timeout
            assert status == 503 and headers["retry-after"] and time.monotonic() - at < 0.1
            assert (await long_timeout)[0] == 200 and (await world.ask(on=on[3]))[0] == 200
            log = (await process.communicate())[1].decode()
            assert process.returncode == 0 and "refused_while_loading=1" in log and "taken=2" in log

    run(test())


def test_accept_queue_counts_timeouts_from_arrival():
    """The accept queue's thread may get no CPU time during the imports, so it reads bytes late."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        held = HeldConnection(server.accept()[0])
        client.sendall(b"GET /")
        time.sleep(0.2)
        assert held.read(time.monotonic_ns()) and 0.15e9 < time.monotonic_ns() - held.received_at < 2e9
        held.socket.close()


def test_accept_queue_hands_over_received_bytes_and_their_times():
    async def test():
        accept_queue = AcceptQueue(socket.create_server(("127.0.0.1", 0)))
        at, on = accept_queue.listener.getsockname(), []
        for said in (
            b"GET / HTTP/1.1\r\n",
            b"GET / HTTP/1.1\r\nX-Timeout: 9\r\n\r\n",
            b"GET / HTTP/1.1\r\nX-Timeout: no.\r\n\r\n",
            b"a" * (1 << 15),
        ):
            on.append(await connect(*at))
            on[-1][1].write(said)
        refused = await connect(*at)
        refused[1].write(b"GET / HTTP/1.1\r\nX-Timeout: 1.0\r\n\r\n")
        assert b" 503 " in await asyncio.wait_for(refused[0].readline(), 1)  # well before its timeout
        more = [await connect(*at) for _ in range(100)]
        before = time.monotonic_ns()
        await asyncio.sleep(0.1)
        listener, held = accept_queue.hand_over()
        left, _ = listener.accept()
        assert len(held) == 64 and accept_queue.rejected_count == 1
        assert [bytes(h.data[:5]) for h in held[:4]] == [b"GET /"] * 3 + [b"aaaaa"]
        assert all(h.received_at < before for h in held[:4]) and len(held[3].data) <= 2 << 14
        for each in (*on, *more, refused):
            each[1].close()
        for each in (left, listener, *(connection.socket for connection in held)):
            each.close()

    run(test())


@pytest.mark.parametrize("most", [64, 1])
def test_timeouts_of_requests_that_waited_during_startup_count_from_then(most, monkeypatch):
    """When many gateways started at once, the accept queue's thread got no CPU time.

    Requests stayed unread for 0.4 s and the system did not report their age, so a deadline was that much too
    late and its client got no response.
    """
    monkeypatch.setattr(accept_queue, "microseconds_since_last_data", lambda _: 0)
    monkeypatch.setattr(clients, "microseconds_since_last_data", lambda _: 0)
    monkeypatch.setattr(accept_queue, "MAX_HELD", most)
    # The thread accepts nothing.
    monkeypatch.setattr(AcceptQueue, "serve", lambda self: select.select([self.wake_read], [], []))

    async def test():
        async with World() as world:
            waits = AcceptQueue(socket.create_server(("127.0.0.1", 0)))
            at, on = waits.listener.getsockname(), []
            before = world.owner.clock()

            async def ask(n, connection=None):
                on.append(connection or await connect(*at))
                on[-1][1].write(
                    b"GET /op/00000000000000c1 HTTP/1.1\r\nHost: api\r\nApi-Plan: plan\r\n"
                    b"X-Request-ID: %d\r\nX-Timeout: 9\r\n\r\n" % n
                )

            for n in range(3):
                await ask(n)
            silent = await connect(*at)  # waits as long and sends its request later
            await asyncio.sleep(0.3)
            owner, queue = world.owner, asyncio.Queue()
            server = clients.Clients(
                queue, owner.clock, owner.settings, owner.clients.descriptor_limits, lambda: None, 9
            )
            await server.start(None, waits)
            taken = [(await queue.get()).request for _ in on]
            assert all(request.received_at <= before + 100_000 for request in taken)
            for n, connection in ((7, None), (8, silent)):
                after = world.owner.clock()
                await ask(n, connection)
                assert (await queue.get()).request.received_at >= after
            for each in on:
                each[1].close()
            server.accepting.cancel()
            server.inspecting.cancel()
            server.listener.close()

    run(test())


def test_sighup_changes_discovery_and_counter_addresses_under_load(tmp_path, monkeypatch):
    async def test():
        async with World() as world:
            path, owner = tmp_path / "config.json", world.owner
            monkeypatch.setenv("ROUTER_CONFIG", str(path))
            monkeypatch.setenv("ROUTER_DISCOVERY", world.discovery.address)  # the address at startup
            discovery, counter = await StubDiscovery().open(), await StubCounter().open()
            discovery.rows = [world.rows[0], row("s9", world.backends[0])]
            given = {
                "name": "n0",
                "listen": "%s:%d" % world.listen,
                "discovery": discovery.address,
                "counter": counter.address,
                "limits": {"sockets": 99},
                "settings": nest_settings(world.pairs),
            }
            path.write_text(json.dumps(given)[:-9])
            reload(world.config, owner)  # an incomplete file changes nothing
            assert (await world.ask())[0] == 200 and owner.counter.address[1] == world.counter.port
            path.write_text(json.dumps(given))
            owner.counter.queue = asyncio.Queue()
            owner.counter.add(5, 1, 4_000_000)  # in flight while the address changes
            reload(world.config, owner)
            owner.counter.add(5, 1, 4_000_000)  # ordered after the previous call
            owner.counter.add(6, 1, 4_000_000)
            ended = [await owner.counter.queue.get() for _ in range(3)]
            assert [e.total for e in ended if e.name == 5] == [1.0, 2.0]
            assert counter.calls == ["6"] and owner.clients.descriptor_limits.max_descriptors == 99
            owner.counter.queue = owner.queue
            await world.until(lambda: set(owner.listed) == {"s0", "s9"})
            assert "since" not in discovery.asked[0]
            for stand in (world.discovery, world.counter):
                stand.close()
            assert (await world.ask())[0] == 200 and len(counter.calls) == 2
            discovery.close()
            counter.close()

    run(test())


def test_sighup_logs_each_changed_key_that_applies_only_at_the_next_start(caplog):
    async def test():
        async with World() as world:
            config = replace(world.config)
            others = {"listen": ("127.0.0.1", 9), "logs": ("json", "debug"), "authorisers": ("another",)}
            config.reread = lambda: replace(world.config, **others)
            with caplog.at_level(logging.WARNING):
                reload(config, world.owner)
                named = [record.key for record in caplog.records]
                config.reread = lambda: world.config
                reload(config, world.owner)
            assert named == [record.key for record in caplog.records] == ["listen", "logs", "authorisers"]

    run(test())


def test_gateway_waits_for_an_address_that_its_previous_process_still_uses():
    async def test():
        async with World() as world:
            later = asyncio.create_task(start(world.config))
            await asyncio.sleep(0.2)
            assert not later.done()
            world.owner.clients.accepting.cancel()
            world.owner.clients.listener.close()
            world.owner.discovery.watch_task.cancel()
            await world.owner.discovery.session.close()
            world.owner, serving = await later
            await world.until(lambda: world.owner.listed)
            assert (await world.ask())[0] == 200
            serving.cancel()

    run(test())


def nest_settings(pairs):
    """Convert path=value settings to the nested form of a configuration file."""
    tree = {}
    for path, value in pairs.items():
        *way, last = path.split(".")
        if last == "count":
            continue
        node = tree
        for part in way:
            node = node.setdefault(part, {})
        node[last] = {"true": True, "false": False}.get(value, value)
    for name in ("classes", "contracts"):
        tree[name] = list(tree[name].values())
    return tree


def test_settings_are_equal_from_the_wire_and_from_a_configuration():
    pairs = {k: str(v) for k, v in BASE.items()} | {"feedback.fields": "pending,cpu_share"}
    given = nest_settings(pairs) | {"feedback": {"fields": ["pending", "cpu_share"]}, "new": None}
    assert repr(terms.settings(dict(terms.flatten(given)))) == repr(terms.settings(pairs))


@pytest.mark.parametrize(
    "given, what",
    [
        (None, "ROUTER_CONFIG"),
        ("{", "config.json"),
        ('{"settings": 3}', "no settings"),
        ('{"settings": {"tick": "x"}, "name": "n", "listen": "a:1", "discovery": "b:2"}', "tick"),
        ('{"settings": {}, "name": "n", "listen": "here", "discovery": "b:2"}', "listen"),
    ],
)
def test_invalid_configuration_is_rejected_with_a_message_that_names_the_error(given, what, tmp_path):
    path = tmp_path / "config.json"
    path.write_text(given or "")
    with pytest.raises(terms.Malformed, match=what):
        configuration.read({"ROUTER_CONFIG": str(path)} if given else {})


def test_invalid_endpoint_list_is_rejected_and_invalid_entries_are_dropped():
    with pytest.raises(terms.Malformed, match="discovery"):
        parse_endpoint_list({"rev": 1, "all": True})
    good = {"uid": "s1", "state": "ready", "endpoint": "127.0.0.1:80"}
    bad = [
        {"uid": "s0", "state": "odd", "endpoint": "127.0.0.1:80"},
        good | {"endpoint": "x"},
        3,
        good | {"boot_ms": "soon"},
        good | {"boot_ms": 1e999},
    ]
    assert [row[0] for row in parse_endpoint_list({"rev": 1, "all": True, "targets": [*bad, good]})[2]] == [
        "s1"
    ]


def test_log_lines_are_key_value_or_json():
    record = logging.makeLogRecord({"msg": "two words", "levelname": "INFO", "about": 'a"b', "n": 3})
    assert (
        key_value_logging.LogFormatter()
        .format(record)
        .endswith('level=info event="two words" about="a\\"b" n=3')
    )
    line = json.loads(key_value_logging.LogFormatter("json").format(record))
    assert line.pop("at").endswith("Z")
    assert line == {"level": "info", "event": "two words", "about": 'a"b', "n": 3}
