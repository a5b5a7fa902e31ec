"""What the tier costs by size: hollow gateways against real parts of a control node and stores.

Prints for three sizes what one member, one backend, one change and one turn cost in bytes and processor time,
a line through the three (least squares), and its value at the target size; then what each role takes there.
All run in one process, one part after another.  Processor time is that of this process
(`time.process_time`), so a busy machine changes it less than the clock on the wall.  Sockets cost extra: see
the heartbeat over the loopback.  HTTP, disks and the operator's API are left out.

    python -m benchmarks.tier_hollow
"""

from __future__ import annotations

import asyncio
import functools
import resource
import time
from collections.abc import Callable

import attrs

from benchmarks.hollow_budgets import BudgetWorld
from benchmarks.hollow_control import (
    SAMPLE,
    STORES,
    ControlWorld,
    configuration,
    report_of,
)
from benchmarks.hollow_process import frame_us, memory_figures, process_memory, table_of
from benchmarks.hollow_target import print_target
from kestrelbend.tier.budgets.table import IDLE_PROGRAMS, RECENT_PROGRAMS, BudgetTable

SIZES = (10, 50, 200)  # gateways
TARGET_GATEWAYS = 390
BACKENDS_PER_GATEWAY = 1000 / 390
ROUTES_PER_GATEWAY = 5300 / 390  # one for each tenant: the largest configuration to reckon with
PROGRAMS_A_SHARD = (2_000, 10_667, 30_000)  # 10,667: 64,000 over six shards
BEAT_S = 1.2
TURN_S = 0.25
TURNS = 8
TICKS = 100
BUDGET_WARM_UP_S = 1.0
BUDGET_RUN_S = 2.0
BURST = 10
REPEATS = 3
BY_PAIRS = ("directory built and compared, unchanged: ms", "directory changed, sent to all gateways: ms")
MICRO = 1e6
MILLI = 1e3


@attrs.frozen
class Row:
    """One figure at each size; `x` is what it grows with."""

    name: str
    unit: str
    x: tuple[float, ...]
    values: tuple[float, ...]
    target_x: float

    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the line through the values."""
        count = len(self.x)
        mean_x, mean_y = sum(self.x) / count, sum(self.values) / count
        spread = sum((x - mean_x) ** 2 for x in self.x)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(self.x, self.values, strict=True)) / spread
        return slope, mean_y - slope * mean_x

    def __str__(self) -> str:
        slope, intercept = self.fit()
        values = "".join(f"{value:>12,.2f}" for value in self.values)
        target = intercept + slope * self.target_x
        return f"{self.name:<58}{self.unit:>6}{values}{slope:>14.5f}{intercept:>12.2f}{target:>14,.2f}"


def backends_of(gateways: int) -> int:
    """Backends in proportion."""
    return round(gateways * BACKENDS_PER_GATEWAY)


def control_figures(gateways: int) -> dict[str, float]:
    """One size of the control node's world."""
    backends = backends_of(gateways)
    world = ControlWorld(gateways, backends)
    for number in range(backends):
        world.control.registry.beat(f"backend-{number:05d}", report_of(number, 1), 0.0)
    world.control.take_changes()
    figures = _subscribe(world)
    figures |= _members(world)
    figures |= _directory_change(world)
    figures |= _backend_beats(world)
    figures |= _configuration_change(world, round(gateways * ROUTES_PER_GATEWAY))
    return figures


def _subscribe(world: ControlWorld) -> dict[str, float]:
    meter = world.meter
    meter.clear()
    for _, downward in world.links:
        meter.run("control.subscribe", world.control.subscribe, downward)
    world.wires.deliver()
    count = len(world.links)
    return {
        "all backends, to one gateway: bytes": meter.bytes["control.subscribe"] / count,
        "all backends, at the gateway: ms": meter.seconds["gateway.BackendUpdate"] / SAMPLE * MILLI,
    }


def _members(world: ControlWorld) -> dict[str, float]:
    """Turns in which nothing changes but the beats."""
    meter, gateways = world.meter, len(world.gateways)
    members = gateways + STORES
    world.at(TURN_S)
    world.member_beats()
    world.turn()
    meter.clear()
    for turn in range(TURNS):
        world.at((turn + 2) * TURN_S)
        world.member_beats()
        world.turn()
    return {
        "heartbeat, made by a gateway: us": _each(meter, "gateway.heartbeat", gateways * TURNS, MICRO),
        "heartbeat: bytes": meter.bytes["gateway.heartbeat"] / gateways / TURNS,
        "heartbeat, taken by a control node: us": _each(meter, "control.Heartbeat", members * TURNS, MICRO),
        "summary taken from one control node: ms": _each(meter, "control.MemberSummary", TURNS, MILLI),
        "summary sent to one control node: ms": _each(meter, "control.summary", TURNS, MILLI),
        "summary: bytes": meter.bytes["control.summary"] / TURNS,
        "directory built and compared, unchanged: ms": _each(meter, "control.directory", TURNS, MILLI),
    }


def _directory_change(world: ControlWorld) -> dict[str, float]:
    meter, gateways = world.meter, len(world.gateways)
    meter.clear()
    world.control.applied += 1
    meter.run("control.directory", world.control.send_directory)
    world.wires.deliver()
    return {
        "directory: bytes": meter.bytes["control.directory"] / gateways,
        "directory changed, sent to all gateways: ms": _each(meter, "control.directory", 1, MILLI),
        "directory taken by a gateway: ms": _each(meter, "gateway.Directory", SAMPLE, MILLI),
    }


def _backend_beats(world: ControlWorld) -> dict[str, float]:
    """Two beats of each backend, of which one is streamed, as its counters are streamed every 2 s at most."""
    meter, gateways, backends = world.meter, len(world.gateways), world.backends
    meter.clear()
    begun = world.control.now + 2 * BEAT_S
    for round_number in range(2):
        for number in range(backends):
            world.at(begun + (round_number + number / backends) * BEAT_S)
            world.backend_beat(number, round_number + 2)
    streamed = meter.frames["gateway.BackendUpdate"] / SAMPLE
    downward = meter.bytes["control.beat"] + meter.bytes["control.BackendUpdate"]
    own = -(-backends // 2)
    acks = meter.frames["gateway.BackendUpdate"]
    return {
        "updates streamed to a gateway in two beats of all": streamed,
        "backend's beat here, streamed to all: ms": _each(meter, "control.beat", own * 2, MILLI),
        "backend's beat told by another, streamed to all: ms": _each(
            meter, "control.BackendUpdate", (backends - own) * 2, MILLI
        ),
        "update to a gateway: bytes": downward / (streamed * (gateways + 0.5)),
        "update taken by a gateway: us": meter.seconds["gateway.BackendUpdate"] / acks * MICRO,
        "acknowledgement of an update: bytes": meter.bytes["gateway.BackendUpdate"] / acks,
        "acknowledgement taken by a control node: us": _each(meter, "control.BackendAck", acks, MICRO),
    }


def _configuration_change(world: ControlWorld, routes: int) -> dict[str, float]:
    meter, control = world.meter, world.control
    meter.clear()
    control.applied += 1
    control.body = configuration(control.applied, routes)
    meter.run("control.configuration", control.stream_configuration)
    world.wires.deliver()
    figures = {
        "configuration of one route a tenant: bytes": float(len(control.body)),
        "configuration sent to all gateways: ms": _each(meter, "control.configuration", 1, MILLI),
        "configuration put in force by a gateway: ms": _each(meter, "gateway.ConfigUpdate", SAMPLE, MILLI),
    }
    meter.clear()
    for _ in range(TICKS):
        meter.run("control.tick", control.stream_configuration)
    figures["a tick that finds nothing to stream: us"] = _each(meter, "control.tick", TICKS, MICRO)
    return figures


def _each(meter, label: str, count: float, scale: float) -> float:
    return meter.seconds[label] / count * scale


def budget_figures(gateways: int) -> dict[str, float]:
    """One size of the stores' world."""
    world = BudgetWorld(gateways)
    world.run(BUDGET_WARM_UP_S)
    journals = [store.journal for store in world.stores.values()]
    admitted = sum(gateway.admitted for gateway in world.gateways)
    records = sum(journal.records for journal in journals)
    written = sum(journal.bytes for journal in journals)
    groups = sum(journal.groups for journal in journals)
    meter = world.meter
    meter.clear()
    world.run(BUDGET_RUN_S)
    turns = sum(gateway.admitted for gateway in world.gateways) - admitted
    stores = [label for label in meter.seconds if label.startswith("store.")]
    requests = meter.frames["gateway.turns"]
    between = sum(meter.bytes[label] for label in stores) - meter.bytes["store.disk_and_tick"]
    assert all(gateway.refused == 0 for gateway in world.gateways)
    return {
        "turns a second": turns / BUDGET_RUN_S,
        "requests to owners a turn": requests / turns,
        "three stores, processor time a second: ms": sum(meter.seconds[name] for name in stores)
        / BUDGET_RUN_S
        * MILLI,
        "three stores, frames sent a second": sum(meter.frames[name] for name in stores) / BUDGET_RUN_S,
        "three stores, bytes sent a second": (between + meter.bytes["store.disk_and_tick"]) / BUDGET_RUN_S,
        "one store, records to disk a second": (sum(journal.records for journal in journals) - records)
        / len(journals)
        / BUDGET_RUN_S,
        "one store, syncs a second (5 ms each)": (sum(journal.groups for journal in journals) - groups)
        / len(journals)
        / BUDGET_RUN_S,
        "one store, bytes to disk a second": (sum(journal.bytes for journal in journals) - written)
        / len(journals)
        / BUDGET_RUN_S,
        "gateway, processor time a turn: us": meter.seconds["gateway.BudgetReply"] / turns * MICRO,
        "frames a turn, all kinds": sum(meter.kinds.values()) / turns,
        "frames a turn, commit index or heartbeat alone": meter.kinds["AppendEntries without entries"]
        / turns,
        "frames a turn, followers' replies": meter.kinds["AppendReply"] / turns,
        "gateway, requests sent a turn: bytes": meter.bytes["gateway.turns"] / turns,
    }


def snapshot_figures(programs: int) -> dict[str, float]:
    """A snapshot's time and size; a process does it between other work, so the least is a lower bound."""
    table = table_of(programs)
    state = table.snapshot()
    return {
        "snapshot made: ms": _least(table.snapshot),
        "snapshot taken: ms": _least(functools.partial(BudgetTable().restore, state)),
        "snapshot: bytes": float(len(state)),
    }


def _least(work: Callable[[], object]) -> float:
    """The least of a few calls' processor times, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        work()
        times.append(time.process_time() - begun)
    return min(times) * MILLI


def rows(figures: list[dict[str, float]], x: tuple[float, ...], target_x: float) -> list[Row]:
    """The figures of all sizes as rows."""
    found = []
    for name in figures[0]:
        title, _, unit = name.partition(": ")
        found.append(Row(title, unit, x, tuple(at_size[name] for at_size in figures), target_x))
    return found


def report(title: str, x_name: str, x: tuple[float, ...], found: list[Row]) -> None:
    """Prints one group of figures."""
    heads = "".join(f"{value:>12,.0f}" for value in x)
    target = f"at {found[0].target_x:,.0f}"
    print(f"\n{title}; grows with {x_name}")
    print(f"{'':<58}{'':>6}{heads}{'slope':>14}{'intercept':>12}{target:>14}")
    for row in found:
        print(row)


def main() -> None:
    """Runs all parts one after another."""
    begun = time.monotonic()
    frame = asyncio.run(frame_us(1))
    print(f"a heartbeat over the loopback, both ends: {frame:.1f} us alone, ", end="")
    print(f"{asyncio.run(frame_us(BURST)):.1f} us of {BURST} sent together")
    for role in ("gateway", "control", "store"):
        print(f"memory of an idle process, {role}: {process_memory(role):.1f} MB")
    for name, used in memory_figures().items():
        print(f"memory, {name}: {used:,.0f} bytes")
    control = [control_figures(size) for size in SIZES]
    straight = [{name: at[name] for name in at if name not in BY_PAIRS} for at in control]
    control_rows = rows(straight, SIZES, TARGET_GATEWAYS)
    report("Control node", "gateways", SIZES, control_rows)
    pairs = tuple(size * (size + STORES) for size in SIZES)
    compared = [{name: at[name] for name in BY_PAIRS} for at in control]
    pair_rows = rows(compared, pairs, TARGET_GATEWAYS * (TARGET_GATEWAYS + STORES))
    report("Directory", "gateways x members", pairs, pair_rows)
    budget_rows = rows([budget_figures(size) for size in SIZES], SIZES, TARGET_GATEWAYS)
    report("Budgets", "gateways", SIZES, budget_rows)
    snapshots = [snapshot_figures(programs) for programs in PROGRAMS_A_SHARD]
    snapshot_rows = rows(snapshots, PROGRAMS_A_SHARD, IDLE_PROGRAMS + RECENT_PROGRAMS)
    report("Snapshots", "programs a shard", PROGRAMS_A_SHARD, snapshot_rows)
    by_name = {row.name: row for row in control_rows + pair_rows + budget_rows + snapshot_rows}
    coding = by_name["heartbeat, made by a gateway"].values[-1]
    coding += by_name["heartbeat, taken by a control node"].values[-1]
    print_target(by_name, frame - coding)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    took = time.monotonic() - begun
    print(f"\n{time.process_time():.1f} s of processor time, {took:.0f} s, peak {peak:.0f} MB")


if __name__ == "__main__":
    main()
