"""Machines and their processes: started, killed, held, without power, emptied, and started again.

A process that ends by itself is started again after `RESTART_S`, as the platform does, and counts as a fault.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from ..roles.start import load_role
from ..roles.settings import Settings
from .disks import MemoryDisk, SteppedJournal
from .loop import Execution
from .settings import Place

RESTART_S = 0.3
STARTING_S = (0.05, 0.5)  # a process needs this long to load
WALL_CLOCK_S = 1_700_000_000.0


class FleetEnvironment:
    """A process's surroundings, see `roles.environment.Environment`."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._fleet = process.fleet
        self._machine = process.machine

    def now(self) -> float:
        return self._fleet.loop.time()

    def new_incarnation(self) -> int:
        return int(self._machine.wall_clock() * 1_000_000)

    def new_disk_identity(self) -> str:
        return f"{self._fleet.random.getrandbits(32):08x}"

    def disk(self) -> MemoryDisk:
        return self._machine.disk

    def journal(self, folder: str, capacity_bytes: int, written) -> SteppedJournal:
        journal = SteppedJournal(folder, capacity_bytes, written, self._machine.disk)
        self._process.journal = journal
        return journal

    async def close_journal(self, journal: SteppedJournal, within: float) -> None:
        await journal.close_within(within)

    async def run_off_loop(self, function: Callable[[], object]) -> object:
        await asyncio.sleep(0)
        return function()

    def on_signals(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        self._process.stop, self._process.reload = stop, reload

    def settings_changed_at(self, path: str) -> int:
        return self._fleet.settings_version

    def read_settings(self, path: str) -> Settings:
        return self._fleet.settings_for(self._machine, self._process.role, False)

    async def serve(self, listeners, **options) -> None:
        await self._fleet.http.serve(self._process.execution, listeners)

    def abort(self) -> None:
        self._process.ended_by_itself("an invariant was broken")


@attrs.define(eq=False)
class Process:
    """One role on one machine, over its lives."""

    fleet: object
    machine: Machine
    role: str
    execution: Execution | None = None
    instance: object | None = None
    task: asyncio.Task | None = None
    journal: SteppedJournal | None = None
    stop: Callable[[], None] | None = None
    reload: Callable[[], None] | None = None
    started_at: float = 0.0
    wanted: bool = False

    @property
    def name(self) -> str:
        """The role and its machine."""
        return f"{self.role}@{self.machine.place.node}"

    @property
    def running(self) -> bool:
        """Whether its callbacks run now."""
        return self.instance is not None and not self.execution.held

    def start(self, bootstrap: bool = False) -> None:
        """Begins a life, after the time that loading takes."""
        self.wanted = True
        life = Execution(self.name, self.machine.place.ip)
        self.execution = life
        self.fleet.network.later(self.fleet.random.uniform(*STARTING_S), self._begin, life, bootstrap)

    def _begin(self, life: Execution, bootstrap: bool) -> None:
        if life is self.execution and not life.ended:
            self.fleet.loop.call_soon(self._run, life, bootstrap, context=life.context)

    def _run(self, life: Execution, bootstrap: bool) -> None:
        settings = self.fleet.settings_for(self.machine, self.role, bootstrap)
        self.started_at = self.fleet.loop.time()
        try:
            self.instance = load_role(self.role)(settings, "boot.yaml", FleetEnvironment(self))
        except Exception as fault:
            self.ended_by_itself(f"did not start: {fault!r}")
            return
        self.task = self.fleet.loop.create_task(self.instance.run())
        self.task.add_done_callback(lambda task: self._done(life, task))

    def _done(self, life: Execution, task: asyncio.Task) -> None:
        if life is not self.execution or life.ended:
            return
        if task.cancelled() or task.exception() is not None:
            self.ended_by_itself(f"ended: {task.exception()!r}")
        else:
            self.fleet.note(f"{self.name} has stopped")
            self.end(told=True)

    def ended_by_itself(self, reason: str) -> None:
        """The process failed; the platform starts it again."""
        self.fleet.process_failed(self, reason)
        self.end(told=True)
        self.fleet.network.later(RESTART_S, self._restart)

    def _restart(self) -> None:
        if self.wanted and self.execution.ended and self.machine.has_power:
            self.start()

    def end(self, told: bool) -> None:
        """The life is over at once; `told`: the machine closes its connections."""
        if self.execution is None or self.execution.ended:
            return
        self.execution.end(self.fleet.loop.time())
        if self.journal is not None:
            self.journal.cut_short()
        self.fleet.network.end_execution(self.execution, told)
        self.fleet.http.end_execution(self.execution, told)
        self.instance = self.task = self.journal = self.stop = self.reload = None

    def hold(self) -> None:
        """The process stands still."""
        if self.execution is not None:
            self.execution.hold()

    def release(self) -> None:
        """The process goes on."""
        if self.execution is not None and self.execution.held:
            self.execution.release(self.fleet.loop)


class Machine:
    """A machine with its disk and the processes of its roles."""

    def __init__(self, fleet, place: Place, roles: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.place = place
        self.disk = MemoryDisk(fleet.seed, place.node) if place.has_disk else None
        self.processes = {role: Process(fleet, self, role) for role in roles}
        self.has_power = True
        self.removed = False
        self.clock_step_s = 0.0
        self._skew_s = random.Random(f"{place.node} {fleet.seed}").uniform(-0.05, 0.05)

    @property
    def name(self) -> str:
        return self.place.node

    def wall_clock(self) -> float:
        """The time of day here."""
        return WALL_CLOCK_S + self.fleet.loop.time() + self._skew_s + self.clock_step_s

    def start(self, bootstrap: bool = False) -> None:
        """Starts all processes that don't run, with power."""
        self.has_power = True
        self.fleet.network.lighten(self.place.ip)
        for process in self.processes.values():
            if not process.wanted:
                process.start(bootstrap)

    def kill(self, role: str | None = None) -> None:
        """SIGKILL to all processes, or that of one role."""
        for process in self.processes.values():
            if role in (None, process.role):
                process.wanted = False
                process.end(told=True)

    def lose_power(self) -> None:
        """All is gone that was not synced; nobody is told."""
        self.has_power = False
        self.fleet.network.darken(self.place.ip)
        for process in self.processes.values():
            process.wanted = False
            process.end(told=False)
        if self.disk is not None:
            self.disk.lose_power()

    def freeze(self, silent: bool) -> None:
        """All processes stand still; `silent`: the machine's system, too."""
        for process in self.processes.values():
            process.hold()
        if silent:
            self.fleet.network.darken(self.place.ip)

    def thaw(self) -> None:
        """All goes on."""
        if self.has_power:
            self.fleet.network.lighten(self.place.ip)
        for process in self.processes.values():
            process.release()

    def terminate(self) -> None:
        """SIGTERM to all processes."""
        for process in self.processes.values():
            process.wanted = False
            if process.stop is not None:
                self.fleet.loop.call_soon(process.stop, context=process.execution.context)
