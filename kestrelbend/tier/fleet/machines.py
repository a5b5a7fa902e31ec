"""Machines and their processes: started, killed, held, without power, emptied, and started again.

A process that ends by itself is started again after `RESTART_S`, as the platform does, and counts as a fault.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeVar, cast

import attrs

from ..roles.environment import Written, no_limits
from ..roles.settings import Settings
from ..roles.start import load_role
from ..storage.journal import DiskJournal
from .disks import MemoryDisk, SteppedJournal
from .loop import Execution
from .settings import MachineSpec

if TYPE_CHECKING:
    from ..http_server.server import CurrentLimits, Listener
    from ..replication.host import ShardHost
    from ..replication.interfaces import StateMachine
    from ..replication.replica import Replica
    from ..roles.control import ControlProcess
    from ..roles.gateway import GatewayProcess
    from ..roles.process import TierProcess
    from .fleet import Fleet

T = TypeVar("T")

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
        """Seconds since the fleet began, the same on all machines."""
        return self._fleet.loop.time()

    def new_incarnation(self) -> int:
        """Microseconds of the machine's time of day, as the system's environment does it."""
        return int(self._machine.wall_clock() * 1_000_000)

    def new_disk_identity(self) -> str:
        """A name by the fleet's generator."""
        return f"{self._fleet.random.getrandbits(32):08x}"

    def disk(self) -> MemoryDisk:
        """The machine's."""
        return self._machine.present_disk()

    def journal(self, folder: str, capacity_bytes: int, written: Written) -> SteppedJournal:
        """A journal that the machine interrupts where the process is killed."""
        journal = SteppedJournal(folder, capacity_bytes, written, self._machine.present_disk())
        self._process.journal = journal
        return journal

    async def close_journal(self, journal: DiskJournal, within: float) -> None:
        """Writes what waits, for `within` seconds at most."""
        await cast(SteppedJournal, journal).close_within(within)

    async def run_off_loop(self, function: Callable[[], T]) -> T:
        """Runs the function in a later step of the loop: there are no threads here."""
        await asyncio.sleep(0)
        return function()

    def on_signals(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Keeps what to call at SIGTERM and after a change of the settings."""
        self._process.stop = stop
        self._process.reload = reload

    def settings_changed_at(self, path: str) -> int:
        """The version of the fleet's settings."""
        return self._fleet.settings_version

    def read_settings(self, path: str) -> Settings:
        """What the platform would write now, without the first start's `Bootstrap`."""
        return self._fleet.settings_for(self._machine, self._process.role, False)

    async def serve(self, listeners: Sequence[Listener], limits: CurrentLimits = no_limits) -> None:
        """Serves over the fleet's HTTP, which knows no limits of connections."""
        await self._fleet.http.serve(self._process.current(), listeners)

    def abort(self) -> None:
        """Ends the process and breaks a rule of the day."""
        self._process.report_crash("an invariant was broken")


@attrs.define(eq=False)
class Process:
    """One role on one machine, over its incarnations.

    `execution` is the present or the last one; `instance` is None while the process does not run.
    """

    fleet: Fleet
    machine: Machine
    role: str
    execution: Execution | None = None
    instance: TierProcess | None = None
    task: asyncio.Task[None] | None = None
    journal: SteppedJournal | None = None
    stop: Callable[[], None] | None = None
    reload: Callable[[], None] | None = None
    started_at: float = 0.0  # in seconds of the loop
    should_run: bool = False

    @property
    def name(self) -> str:
        """The role and its machine."""
        return f"{self.role}@{self.machine.spec.node}"

    @property
    def running(self) -> bool:
        """Whether its callbacks run now."""
        return self.instance is not None and not self.current().suspended

    def current(self) -> Execution:
        """The present execution, or the last one; for a process that was started."""
        if self.execution is None:
            raise RuntimeError(f"{self.name} was never started")
        return self.execution

    def _running_instance(self, role: str | None = None) -> TierProcess:
        if self.instance is None or role not in (None, self.role):
            raise RuntimeError(f"{self.name} does not run as {role or self.role}")
        return self.instance

    @property
    def address(self) -> str:
        """The address for other processes, of a process that runs."""
        return self._running_instance().address

    @property
    def control(self) -> ControlProcess:
        """The control process that runs here."""
        return cast("ControlProcess", self._running_instance("control"))

    @property
    def gateway(self) -> GatewayProcess:
        """The gateway that runs here."""
        return cast("GatewayProcess", self._running_instance("gateway"))

    @property
    def host(self) -> ShardHost:
        """The replicas' host of a control process or store that runs."""
        host = self._running_instance().host
        if host is None:
            raise RuntimeError(f"{self.name} has no disk")
        return host

    def state_machine(self, shard: str) -> StateMachine:
        """The state machine of a shard that has a replica here."""
        machine = self.host.state_machine(shard)
        if machine is None:
            raise RuntimeError(f"{self.name} holds no replica of {shard}")
        return machine

    def replicas(self) -> list[Replica]:
        """The replicas that a control process or store holds, in the order in which they were opened."""
        host = self.host
        found = (host.replica(shard) for shard in host.shards())
        return [replica for replica in found if replica is not None]

    def start(self, bootstrap: bool = False) -> None:
        """Begins an incarnation, after the time that loading takes."""
        self.should_run = True
        execution = Execution(self.name, self.machine.spec.ip)
        self.execution = execution
        self.fleet.network.call_later(
            self.fleet.random.uniform(*STARTING_S), self._begin, execution, bootstrap
        )

    def _begin(self, execution: Execution, bootstrap: bool) -> None:
        if execution is self.execution and not execution.ended:
            self.fleet.loop.call_soon(self._run, execution, bootstrap, context=execution.context)

    def _run(self, execution: Execution, bootstrap: bool) -> None:
        settings = self.fleet.settings_for(self.machine, self.role, bootstrap)
        self.started_at = self.fleet.loop.time()
        try:
            self.instance = load_role(self.role)(settings, "boot.yaml", FleetEnvironment(self))
        except Exception as fault:  # noqa: BLE001 -- whatever it is, the day must report it
            self.report_crash(f"did not start: {fault!r}")
            return
        task = self.fleet.loop.create_task(self.instance.run())
        self.task = task
        task.add_done_callback(lambda task: self._done(execution, task))

    def _done(self, execution: Execution, task: asyncio.Task[None]) -> None:
        if execution is not self.execution or execution.ended:
            return
        if task.cancelled() or task.exception() is not None:
            self.report_crash(f"ended: {task.exception()!r}")
        else:
            self.fleet.log(f"{self.name} has stopped")
            self.end(notify_peers=True)

    def report_crash(self, reason: str) -> None:
        """The process failed; the platform starts it again."""
        self.fleet.process_crashed(self, reason)
        self.end(notify_peers=True)
        self.fleet.network.call_later(RESTART_S, self._restart)

    def _restart(self) -> None:
        if self.should_run and self.current().ended and self.machine.has_power:
            self.start()

    def end(self, notify_peers: bool) -> None:
        """The incarnation is over at once; `notify_peers`: the machine closes its connections."""
        if self.execution is None or self.execution.ended:
            return
        self.execution.end(self.fleet.loop.time())
        if self.journal is not None:
            self.journal.interrupt()
        self.fleet.network.end_execution(self.execution, notify_peers)
        self.fleet.http.end_execution(self.execution, notify_peers)
        self.instance = None
        self.task = None
        self.journal = None
        self.stop = None
        self.reload = None

    def suspend(self) -> None:
        """The process stands still."""
        if self.execution is not None:
            self.execution.suspend()

    def resume(self) -> None:
        """The process goes on."""
        if self.execution is not None and self.execution.suspended:
            self.execution.resume(self.fleet.loop)


class Machine:
    """A machine with its disk and the processes of its roles."""

    def __init__(self, fleet: Fleet, spec: MachineSpec, roles: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.spec = spec
        self.disk = MemoryDisk(fleet.seed, spec.node) if spec.has_disk else None
        self.processes = {role: Process(fleet, self, role) for role in roles}
        self.has_power = True
        self.removed = False
        self.clock_step_s = 0.0
        self._skew_s = random.Random(f"{spec.node} {fleet.seed}").uniform(-0.05, 0.05)

    @property
    def name(self) -> str:
        """The node that the platform calls it."""
        return self.spec.node

    def present_disk(self) -> MemoryDisk:
        """The disk of a machine that has one."""
        if self.disk is None:
            raise RuntimeError(f"{self.name} has no disk")
        return self.disk

    def wall_clock(self) -> float:
        """The time of day here, in seconds since 1970."""
        return WALL_CLOCK_S + self.fleet.loop.time() + self._skew_s + self.clock_step_s

    def start(self, bootstrap: bool = False) -> None:
        """Starts all processes that don't run, with power."""
        self.has_power = True
        self.fleet.network.reconnect(self.spec.ip)
        for process in self.processes.values():
            if not process.should_run:
                process.start(bootstrap)

    def kill(self, role: str | None = None) -> None:
        """SIGKILL to all processes, or that of one role."""
        for process in self.processes.values():
            if role in (None, process.role):
                process.should_run = False
                process.end(notify_peers=True)

    def lose_power(self) -> None:
        """All is gone that was not synced; no peer is notified."""
        self.has_power = False
        self.fleet.network.isolate(self.spec.ip)
        for process in self.processes.values():
            process.should_run = False
            process.end(notify_peers=False)
        if self.disk is not None:
            self.disk.lose_power()

    def freeze(self, silent: bool) -> None:
        """All processes stand still; `silent`: the machine's system, too."""
        for process in self.processes.values():
            process.suspend()
        if silent:
            self.fleet.network.isolate(self.spec.ip)

    def thaw(self) -> None:
        """All goes on."""
        if self.has_power:
            self.fleet.network.reconnect(self.spec.ip)
        for process in self.processes.values():
            process.resume()

    def terminate(self) -> None:
        """SIGTERM to all processes."""
        for process in self.processes.values():
            process.should_run = False
            if process.stop is not None:
                self.fleet.loop.call_soon(process.stop, context=process.current().context)
