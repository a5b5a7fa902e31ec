"""What a process of the tier takes before it does anything, and what its tables and frames take."""

from __future__ import annotations

import asyncio
import functools
import gc
import socket
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

import logbook

from benchmarks.hollow_control import HollowGateway, configuration, member, report_of
from kestrelbend.tier.budgets.messages import Reserve, Settle
from kestrelbend.tier.budgets.table import BudgetTable
from kestrelbend.tier.configuration.document import read_accepted
from kestrelbend.tier.configuration.routing import RoutingTable
from kestrelbend.tier.discovery.messages import BackendUpdate
from kestrelbend.tier.discovery.registry import BackendRegistry
from kestrelbend.tier.discovery.view import BackendView
from kestrelbend.tier.membership.messages import Heartbeat, Hello
from kestrelbend.tier.membership.table import MemberTable
from kestrelbend.tier.protocol.codec import decode, encode
from kestrelbend.tier.protocol.links import Links

TURNS_A_PROGRAM = 20
FRAMES = 3_000
MICRO = 1e6


def table_of(programs: int) -> BudgetTable:
    """A shard's table after some turns of each program."""
    table = BudgetTable()
    for number in range(programs):
        name = f"{number:08x}"
        for turn in range(TURNS_A_PROGRAM):
            reservation = f"{name}-{turn}"
            table.apply(Reserve(name, "77d20b", reservation, turn, 600, 680_000, False))
            table.apply(Settle(name, reservation, 236, 0))
    return table


def memory_of(make: Callable[[], object]) -> int:
    """Bytes that stay allocated for what `make` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return used


def _member_table(count: int) -> MemberTable:
    table = MemberTable()
    for number in range(count):
        table.heard(decode(encode(Heartbeat(member(number), 1, 1, False, ()))), 0.0)
    return table


def _registry(count: int) -> BackendRegistry:
    registry = BackendRegistry()
    for number in range(count):
        registry.beat(f"backend-{number:05d}", report_of(number, 1), 0.0)
    return registry


def _view(count: int) -> BackendView:
    view = BackendView()
    update = BackendUpdate("control", 1, True, _registry(count).all())
    view.take(decode(encode(update)), 0.0)
    return view


def _gateway_with_configuration(count: int) -> HollowGateway:
    gateway = HollowGateway(1)
    gateway.table = RoutingTable.from_document(1, read_accepted(configuration(1, count)).values)
    return gateway


def memory_figures() -> dict[str, float]:
    """Bytes for each thing, between two sizes of its table."""
    makers = {
        "member in a table or directory": (_member_table, 100, 500),
        "backend in a control node's registry": (_registry, 200, 1_000),
        "backend in a gateway's view": (_view, 200, 1_000),
        "route in a gateway's table": (_gateway_with_configuration, 200, 1_000),
        f"program in use, {TURNS_A_PROGRAM} turns": (table_of, 500, 1_500),
        "program laid aside": (table_of, 4_000, 8_000),
    }
    return {
        name: (memory_of(functools.partial(make, more)) - memory_of(functools.partial(make, few)))
        / (more - few)
        for name, (make, few, more) in makers.items()
    }


def process_memory(role: str) -> float:
    """Megabytes of a process that has imported a role's modules and done nothing."""
    module = f"import kestrelbend.tier.roles.{role}, resource; "
    program = module + "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True, text=True)
    return int(done.stdout) / 1024


async def frame_us(burst: int) -> float:
    """Microseconds of both ends for a heartbeat over the loopback, so many sent together; coding included."""
    log = logbook.Logger("bench")
    ready, taken = asyncio.Event(), asyncio.Event()
    with socket.socket() as probe, socket.socket() as other:
        probe.bind(("127.0.0.1", 0))
        other.bind(("127.0.0.1", 0))
        here, there = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in (probe, other))
    count = 0

    def take(link, message, sequence) -> None:
        nonlocal count
        count += 1
        if count % burst == 0:
            taken.set()

    far = Links(Hello(there, "", 1), log, take, lambda _: None, lambda _: None)
    near = Links(Hello(here, "", 1), log, lambda *_: None, lambda _: ready.set(), lambda _: None)
    await far.listen()
    near.keep([there])
    await ready.wait()
    beat = Heartbeat(member(1), 1, 1, False, ())
    begun = time.process_time()
    for _ in range(FRAMES // burst):
        taken.clear()
        for _ in range(burst):
            near.to(there).send(beat)
        await taken.wait()
    used = time.process_time() - begun
    await near.close()
    await far.close()
    return used / FRAMES * MICRO
