"""One SHA-256 for each day of the fleet in memory and each script of the model: did a change alter behaviour?

python -m benchmarks.behaviour_digest                     prints a line for each day and script
python -m benchmarks.behaviour_digest --check FILE        compares with recorded lines
python -m benchmarks.behaviour_digest --events SEED FILE  writes what a day's digest covers, to find the place

A day's digest covers, in their order and with their virtual time: all bytes that a process writes to a
connection and all that arrive, with both ends; each operation on a disk with its path and bytes; each call
from outside with its answer; and what each program's turns came to.  Notes and the log are left out, as their
wording may change.  A script's line holds the number of states, the length of the longest run, and the digest
of what was under way after each step.

Hazard: faults are drawn from their names in order, so a kind of fault that is renamed changes the days.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import gc
import hashlib
import multiprocessing
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, BinaryIO

import attrs
import logbook

from kestrelbend.tier.fleet import connection, disks, http, programs
from kestrelbend.tier.fleet.day import Day, play_day
from kestrelbend.tier.model import world
from kestrelbend.tier.model.orders import search_orders
from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS
from kestrelbend.tier.model.search import search
from kestrelbend.tier.protocol.codec import encode

ALL_SEEDS = range(1, 65)
QUICK_SEEDS = range(1, 17)
MODEL_FAULTS = 1
LONG_SCRIPTS = frozenset(ORDER_SCRIPTS) - {"orders_race"}  # searched without a fault, as one takes too long
MOST_STATES = 2000  # of a script; a search without orders ends there
QUICK_SCRIPTS = 8
PROCESSES = 4
COLLECT_AFTER = 50_000  # objects, as the roles' own processes have it
DAY, MODEL = "fleet", "model"


class Recording:
    """Takes events in their order, as bytes that need no class or attribute names."""

    def __init__(self, copy: BinaryIO | None = None) -> None:
        self._hash = hashlib.sha256()
        self._copy = copy

    def add(self, kind: str, *values: Any) -> None:
        """One event at this moment of virtual time."""
        self._take((kind, asyncio.get_running_loop().time(), *values))

    def add_at_end(self, kind: str, *values: Any) -> None:
        """What was there once the day was over."""
        self._take((kind, *values))

    def hexdigest(self) -> str:
        """The digest of all events up to now."""
        return self._hash.hexdigest()

    def _take(self, event: tuple[Any, ...]) -> None:
        line = (repr(tuple(_plain(value) for value in event)) + "\n").encode()
        self._hash.update(line)
        if self._copy is not None:
            self._copy.write(line)


def _plain(value: Any) -> Any:
    """Numbers, strings, bytes and sequences of them; a member of an enumeration by its place in it."""
    if isinstance(value, enum.IntEnum):
        return int(value)
    if isinstance(value, enum.Enum):
        return "member", list(type(value)).index(value)
    if isinstance(value, memoryview | bytearray):
        return bytes(value)
    if isinstance(value, list | tuple):
        return tuple(_plain(item) for item in value)
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return value
    raise TypeError(f"an event can't hold a {type(value).__name__}")


def _record_connections(recording: Recording) -> None:
    write, deliver, close, abort = (
        connection.Connection.write,
        connection.Connection.deliver,
        connection.Connection.close,
        connection.Connection.abort,
    )

    def names(end: connection.Connection) -> tuple[str, str]:
        return end.execution.name, end.peer.execution.name

    def recorded_write(end: connection.Connection, data: bytes) -> None:
        recording.add("write", *names(end), end.closed, data)
        write(end, data)

    def recorded_deliver(end: connection.Connection, data: bytes | None) -> None:
        recording.add("deliver", *names(end), end.closed, data)
        deliver(end, data)

    def recorded_close(end: connection.Connection) -> None:
        recording.add("close", *names(end), end.closed)
        close(end)

    def recorded_abort(end: connection.Connection) -> None:
        recording.add("abort", *names(end), end.closed)
        abort(end)

    connection.Connection.write = recorded_write
    connection.Connection.deliver = recorded_deliver
    connection.Connection.close = recorded_close
    connection.Connection.abort = recorded_abort


def _record_disks(recording: Recording) -> None:
    disk_class = disks.MemoryDisk
    made = disk_class.__init__
    numbers: dict[Any, int] = {}

    def recorded_init(disk: Any, *arguments: Any) -> None:
        numbers[disk] = len(numbers)
        made(disk, *arguments)

    def recorded(kind: str, operation: Callable[..., Any]) -> Callable[..., Any]:
        def call(disk: Any, *arguments: Any) -> Any:
            recording.add(kind, numbers[disk], arguments)
            return operation(disk, *arguments)

        return call

    disk_class.__init__ = recorded_init
    disk_class.create = recorded("create", disk_class.create)
    disk_class.write = recorded("write file", disk_class.write)
    disk_class.append = recorded("append", disk_class.append)
    disk_class.sync = recorded("sync", disk_class.sync)
    disk_class.rename = recorded("rename", disk_class.rename)
    disk_class.remove = recorded("remove", disk_class.remove)
    disk_class.sync_directory = recorded("sync folder", disk_class.sync_directory)
    disk_class.lose_power = recorded("lose power", disk_class.lose_power)
    disk_class.wipe = recorded("wipe", disk_class.wipe)


def _record_calls(recording: Recording) -> None:
    call = http.Http.call

    async def recorded_call(caller: http.Http, address: str, method: str, path: str, *more, **named):
        arguments = (*more, *(value for _, value in sorted(named.items())))
        recording.add("call", address, method, path, arguments)
        reply = await call(caller, address, method, path, *more, **named)
        answer = (reply.status, reply.body) if isinstance(reply, http.Reply) else reply
        recording.add("answer", address, method, path, answer)
        return reply

    http.Http.call = recorded_call


def _record_programs(recording: Recording) -> Callable[[], None]:
    """The turns of all programs; the function that is returned adds them at the end of the day."""
    made = programs.Turn.__init__
    turns: list[programs.Turn] = []

    def recorded_init(turn: programs.Turn, *arguments: Any, **named: Any) -> None:
        made(turn, *arguments, **named)
        turns.append(turn)

    def add_turns() -> None:
        for turn in turns:
            values = [getattr(turn, field.name) for field in attrs.fields(programs.Turn)]
            told = [value for value in values if _is_plain(value)]
            recording.add_at_end("turn", *told)

    programs.Turn.__init__ = recorded_init
    return add_turns


def _is_plain(value: Any) -> bool:
    return value is None or isinstance(value, bool | int | float | str | bytes | enum.Enum)


def record_day(seed: int, copy: BinaryIO | None = None) -> str:
    """Plays a seed's day and returns its digest.  Wraps classes of the fleet: for a process of its own."""
    recording = Recording(copy)
    _record_connections(recording)
    _record_disks(recording)
    _record_calls(recording)
    add_turns = _record_programs(recording)
    gc.set_threshold(COLLECT_AFTER)
    with logbook.NullHandler().applicationbound():
        result = play_day(Day.draw(seed))
    add_turns()
    recording.add_at_end("day", result.day.closing, len(result.violations), result.turns, result.orders)
    return recording.hexdigest()


def _record_steps(steps: Any) -> None:
    take = world.World.apply_step

    def recorded_take(state: world.World, step: world.Step) -> None:
        take(state, step)
        last = state.queue[-1] if state.queue else None
        content = encode(last.content) if isinstance(last, world.Message) else b""
        steps.update(b"%d %d %s\n" % (state.next_line, len(state.queue), content))

    world.World.apply_step = recorded_take


def search_script(name: str) -> str:
    """What the search of a script with its faults came to.  Wraps the model: for a process of its own."""
    steps = hashlib.sha256()
    _record_steps(steps)
    if name in ORDER_SCRIPTS:
        found = search_orders(name, 0 if name in LONG_SCRIPTS else MODEL_FAULTS)
    else:
        found = search(SCRIPTS[name], MODEL_FAULTS, MOST_STATES)
    outcome = "broken" if found.violation else "whole" if found.complete else "cut"
    counted = f"{found.states} states longest {found.longest} {outcome} {','.join(found.group) or '-'}"
    return f"{counted} {steps.hexdigest()}"


def line_of(task: tuple[str, str]) -> str:
    """A day's or a script's line."""
    kind, name = task
    return f"{kind} {name} {record_day(int(name)) if kind == DAY else search_script(name)}"


def tasks(quick: bool) -> list[tuple[str, str]]:
    """All days and scripts, or those that are played after each small change."""
    scripts = sorted(SCRIPTS) + sorted(ORDER_SCRIPTS)
    searched = [(MODEL, name) for name in (scripts[:QUICK_SCRIPTS] if quick else scripts)]
    return searched + [(DAY, str(seed)) for seed in (QUICK_SEEDS if quick else ALL_SEEDS)]


def compare(lines: Iterable[str], recorded: Iterable[str]) -> list[str]:
    """The differences of what was played; a line that has no recorded one is a difference, too."""
    expected = {_key(line): line for line in recorded if line.strip()}
    told = []
    for line in lines:
        wanted = expected.get(_key(line))
        if wanted is None:
            told.append(f"not recorded: {line}")
        elif wanted != line:
            told.append(f"recorded: {wanted}\n  played: {line}")
    return told


def _key(line: str) -> tuple[str, ...]:
    return tuple(line.split()[:2])


def _play(asked: list[tuple[str, str]], processes: int) -> Iterable[str]:
    with multiprocessing.get_context("fork").Pool(processes, maxtasksperchild=1) as pool:
        yield from pool.imap(line_of, asked, chunksize=1)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--check", type=Path, help="compare with this file")
    parser.add_argument("--quick", action="store_true", help="fewer days and scripts")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--events", nargs=2, metavar=("SEED", "FILE"), help="write a day's events to a file")
    return parser.parse_args()


def main() -> int:
    """The command; see the module's text."""
    options = _parse()
    if options.events:
        seed, path = options.events
        with Path(path).open("wb") as copy:
            print(f"{DAY} {seed} {record_day(int(seed), copy)}")
        return 0
    begun = time.monotonic()
    lines = []
    for line in _play(tasks(options.quick), options.processes):
        lines.append(line)
        if options.check is None:
            print(line, flush=True)
    if options.check is None:
        return 0
    differences = compare(lines, options.check.read_text().splitlines())
    print(*differences, sep="\n", end="\n" if differences else "")
    print(f"{len(lines)} compared, {len(differences)} differ, {time.monotonic() - begun:.0f} s")
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
