"""Computes a SHA-256 of each simulated day and each model script, to show whether a change altered behaviour.

python -m benchmarks.behaviour_digest                     prints a line for each day and script
python -m benchmarks.behaviour_digest --check FILE        compares with recorded lines
python -m benchmarks.behaviour_digest --events SEED FILE  writes the events of a day, to locate a difference

The digest of a day covers these events in order, with their virtual time: all bytes written to and received
from connections, with both endpoints; each disk operation with its path and bytes; each HTTP call from
outside with its response; and the outcome of each program's turns.  Notes and the log are left out, as their
wording may change.  The line of a script holds the number of states, the length of the longest run, and the
digest of the messages in flight after each step.

Limitation: faults are drawn from the ordered names of their kinds, so renaming a kind changes the days.
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
LONG_SCRIPTS = frozenset(ORDER_SCRIPTS) - {"orders_race"}  # searched without faults: a fault takes too long
MAX_STATES = 2000  # of a script; a search without orders stops there
QUICK_SCRIPTS = 8
PROCESSES = 4
GC_THRESHOLD = 50_000  # allocated objects, as in the processes of the roles
DAY, MODEL = "fleet", "model"


class EventDigest:
    """Hashes events in order; their encoding contains no class or attribute names."""

    def __init__(self, copy: BinaryIO | None = None) -> None:
        self._hash = hashlib.sha256()
        self._copy = copy

    def add(self, kind: str, *values: Any) -> None:
        """Adds an event with the current virtual time."""
        self._update((kind, asyncio.get_running_loop().time(), *values))

    def add_at_end(self, kind: str, *values: Any) -> None:
        """Adds a result that is known once the day is over, without a time."""
        self._update((kind, *values))

    def hexdigest(self) -> str:
        """Returns the digest of all events so far."""
        return self._hash.hexdigest()

    def _update(self, event: tuple[Any, ...]) -> None:
        line = (repr(tuple(_encode(value) for value in event)) + "\n").encode()
        self._hash.update(line)
        if self._copy is not None:
            self._copy.write(line)


def _encode(value: Any) -> Any:
    """Converts to numbers, strings, bytes and tuples of them; an enumeration member to its index."""
    if isinstance(value, enum.IntEnum):
        return int(value)
    if isinstance(value, enum.Enum):
        return "member", list(type(value)).index(value)
    if isinstance(value, memoryview | bytearray):
        return bytes(value)
    if isinstance(value, list | tuple):
        return tuple(_encode(item) for item in value)
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return value
    raise TypeError(f"an event cannot contain a {type(value).__name__}")


def _record_connections(digest: EventDigest) -> None:
    write, deliver, close, abort = (
        connection.Connection.write,
        connection.Connection.deliver,
        connection.Connection.close,
        connection.Connection.abort,
    )

    def endpoint_names(end: connection.Connection) -> tuple[str, str]:
        return end.execution.name, end.peer.execution.name

    def recorded_write(end: connection.Connection, data: bytes) -> None:
        digest.add("write", *endpoint_names(end), end.closed, data)
        write(end, data)

    def recorded_deliver(end: connection.Connection, data: bytes | None) -> None:
        digest.add("deliver", *endpoint_names(end), end.closed, data)
        deliver(end, data)

    def recorded_close(end: connection.Connection) -> None:
        digest.add("close", *endpoint_names(end), end.closed)
        close(end)

    def recorded_abort(end: connection.Connection) -> None:
        digest.add("abort", *endpoint_names(end), end.closed)
        abort(end)

    connection.Connection.write = recorded_write
    connection.Connection.deliver = recorded_deliver
    connection.Connection.close = recorded_close
    connection.Connection.abort = recorded_abort


def _record_disks(digest: EventDigest) -> None:
    disk_class = disks.MemoryDisk
    original_init = disk_class.__init__
    disk_numbers: dict[Any, int] = {}

    def recorded_init(disk: Any, *arguments: Any) -> None:
        disk_numbers[disk] = len(disk_numbers)
        original_init(disk, *arguments)

    def recorded(kind: str, operation: Callable[..., Any]) -> Callable[..., Any]:
        def call(disk: Any, *arguments: Any) -> Any:
            digest.add(kind, disk_numbers[disk], arguments)
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


def _record_calls(digest: EventDigest) -> None:
    call = http.Http.call

    async def recorded_call(caller: http.Http, address: str, method: str, path: str, *more, **named):
        arguments = (*more, *(value for _, value in sorted(named.items())))
        digest.add("call", address, method, path, arguments)
        reply = await call(caller, address, method, path, *more, **named)
        answer = (reply.status, reply.body) if isinstance(reply, http.Reply) else reply
        digest.add("answer", address, method, path, answer)
        return reply

    http.Http.call = recorded_call


def _record_programs(digest: EventDigest) -> Callable[[], None]:
    """Records the turns of all programs; call the returned function at the end of the day to add them."""
    original_init = programs.Turn.__init__
    turns: list[programs.Turn] = []

    def recorded_init(turn: programs.Turn, *arguments: Any, **named: Any) -> None:
        original_init(turn, *arguments, **named)
        turns.append(turn)

    def add_turns() -> None:
        for turn in turns:
            values = [getattr(turn, field.name) for field in attrs.fields(programs.Turn)]
            turn_values = [value for value in values if _is_plain(value)]
            digest.add_at_end("turn", *turn_values)

    programs.Turn.__init__ = recorded_init
    return add_turns


def _is_plain(value: Any) -> bool:
    return value is None or isinstance(value, bool | int | float | str | bytes | enum.Enum)


def record_day(seed: int, copy: BinaryIO | None = None) -> str:
    """Plays the day of a seed and returns its digest.  Patches the fleet: use a separate process."""
    digest = EventDigest(copy)
    _record_connections(digest)
    _record_disks(digest)
    _record_calls(digest)
    add_turns = _record_programs(digest)
    gc.set_threshold(GC_THRESHOLD)
    with logbook.NullHandler().applicationbound():
        result = play_day(Day.draw(seed))
    add_turns()
    digest.add_at_end("day", result.day.closing, len(result.violations), result.turns, result.orders)
    return digest.hexdigest()


def _record_steps(steps: Any) -> None:
    take = world.World.apply_step

    def recorded_take(state: world.World, step: world.Step) -> None:
        take(state, step)
        last = state.queue[-1] if state.queue else None
        content = encode(last.content) if isinstance(last, world.Message) else b""
        steps.update(b"%d %d %s\n" % (state.next_line, len(state.queue), content))

    world.World.apply_step = recorded_take


def search_script(name: str) -> str:
    """Searches a script with faults and returns the result.  Patches the model: use a separate process."""
    steps = hashlib.sha256()
    _record_steps(steps)
    if name in ORDER_SCRIPTS:
        found = search_orders(name, 0 if name in LONG_SCRIPTS else MODEL_FAULTS)
    else:
        found = search(SCRIPTS[name], MODEL_FAULTS, MAX_STATES)
    outcome = "broken" if found.violation else "whole" if found.complete else "cut"
    counted = f"{found.states} states longest {found.longest} {outcome} {','.join(found.group) or '-'}"
    return f"{counted} {steps.hexdigest()}"


def line_of(task: tuple[str, str]) -> str:
    """Returns the line of a day or a script."""
    kind, name = task
    return f"{kind} {name} {record_day(int(name)) if kind == DAY else search_script(name)}"


def tasks(quick: bool) -> list[tuple[str, str]]:
    """Returns all days and scripts, or the subset that is run after each small change."""
    scripts = sorted(SCRIPTS) + sorted(ORDER_SCRIPTS)
    searched = [(MODEL, name) for name in (scripts[:QUICK_SCRIPTS] if quick else scripts)]
    return searched + [(DAY, str(seed)) for seed in (QUICK_SEEDS if quick else ALL_SEEDS)]


def compare(lines: Iterable[str], recorded: Iterable[str]) -> list[str]:
    """Returns the lines that differ from the recorded ones or have no recorded one."""
    expected = {_key(line): line for line in recorded if line.strip()}
    mismatches = []
    for line in lines:
        recorded_line = expected.get(_key(line))
        if recorded_line is None:
            mismatches.append(f"not recorded: {line}")
        elif recorded_line != line:
            mismatches.append(f"recorded: {recorded_line}\n  played: {line}")
    return mismatches


def _key(line: str) -> tuple[str, ...]:
    return tuple(line.split()[:2])


def _play(asked: list[tuple[str, str]], processes: int) -> Iterable[str]:
    with multiprocessing.get_context("fork").Pool(processes, maxtasksperchild=1) as pool:
        yield from pool.imap(line_of, asked, chunksize=1)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--check", type=Path, help="compare with the lines in this file")
    parser.add_argument("--quick", action="store_true", help="run fewer days and scripts")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument(
        "--events", nargs=2, metavar=("SEED", "FILE"), help="write the events of a day to a file"
    )
    return parser.parse_args()


def main() -> int:
    """Runs the command; see the module docstring."""
    options = _parse()
    if options.events:
        seed, path = options.events
        with Path(path).open("wb") as copy:
            print(f"{DAY} {seed} {record_day(int(seed), copy)}")
        return 0
    started_at = time.monotonic()
    lines = []
    for line in _play(tasks(options.quick), options.processes):
        lines.append(line)
        if options.check is None:
            print(line, flush=True)
    if options.check is None:
        return 0
    differences = compare(lines, options.check.read_text().splitlines())
    print(*differences, sep="\n", end="\n" if differences else "")
    print(f"{len(lines)} compared, {len(differences)} differ, {time.monotonic() - started_at:.0f} s")
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
