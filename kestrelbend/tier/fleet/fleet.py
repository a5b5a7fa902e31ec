"""The fleet: machines, network, callers from outside, and the log of what happened to them.

Faults are methods here, so that `Contact` knows of each of them.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs

from ..membership.fault_tolerance import Losses, Tolerance
from ..roles.settings import Settings
from .contact import Contact
from .disks import DiskFault
from .http import Http
from .loop import VirtualLoop
from .machines import Machine, Process
from .network import Network
from .settings import MachineSpec, make_settings
from .topology import ALL_ZONES, ONE_REGION, ZONES, PublishedAddresses, Topology

START_SPREAD_S = 0.3  # the first start of all machines
GRACE_S = 8.0  # from SIGTERM to SIGKILL
SLOW_DISK = 30.0  # times the time of a disk that works


@attrs.frozen
class Size:
    """How many machines there are at first, where they stand, and which losses are tolerated.

    Machines of a kind stand in the zones of that kind in turn.
    """

    control: int = 3
    stores: int = 3
    gateways: int = 2  # machines without a disk
    tolerated: Losses = Losses(nodes=1)
    control_zones: tuple[str, ...] = ZONES
    store_zones: tuple[str, ...] = ZONES
    region_of_zone: Mapping[str, str] = attrs.field(factory=lambda: dict(ONE_REGION))

    @property
    def tolerance(self) -> Tolerance:
        """The losses that are tolerated, and the regions."""
        return Tolerance(self.tolerated, self.region_of_zone)


class Fleet:
    """All machines on one loop; `seed` decides all that is left to chance."""

    def __init__(self, loop: VirtualLoop, seed: int = 0, size: Size | None = None) -> None:
        self.loop = loop
        self.seed = seed
        self.random = random.Random(f"fleet {seed}")
        self._topology = Topology()
        self.network = Network(loop, seed, self._topology.distance)
        loop.network = self.network
        self.http = Http(loop, self.network)
        self.contact = Contact(loop.time)
        self.machines: dict[str, Machine] = {}
        self.log_lines: list[str] = []
        self.violations: list[str] = []
        self.settings_version = 1
        self._partitioned_since: dict[str, float] = {}
        self._published_addresses = PublishedAddresses()
        self._numbers = {"front": 0, "storage": 0}
        loop.set_exception_handler(self._unhandled)
        size = size or Size()
        self.tolerance = size.tolerance
        for _, zone in zip(range(size.control), itertools.cycle(size.control_zones)):
            self.create_machine("front", zone, True, ("control", "gateway"))
        for _, zone in zip(range(size.gateways), itertools.cycle(ZONES)):
            self.create_machine("front", zone, False, ("gateway",))
        for _, zone in zip(range(size.stores), itertools.cycle(size.store_zones)):
            self.create_machine("storage", zone, True, ("store",))
        self.seeds = tuple(self.control_addresses()[:3])

    # What is there

    def now(self) -> float:
        """Seconds since the world began."""
        return self.loop.time()

    def create_machine(
        self, machine_class: str, zone: str, has_disk: bool, roles: tuple[str, ...]
    ) -> Machine:
        """Adds a machine without starting it."""
        self._numbers[machine_class] += 1
        number = self._numbers[machine_class]
        offset = 0 if machine_class == "front" else 100
        ip = f"10.{ALL_ZONES.index(zone) + 1}.0.{offset + number}"
        machine = Machine(
            self, MachineSpec(f"{machine_class}-{number}", machine_class, zone, ip, has_disk), roles
        )
        self.machines[machine.name] = machine
        self._topology.add(ip, zone)
        self.contact.add(machine.name, has_disk)
        self._publish_control_addresses()
        return machine

    def control_machines(self) -> list[Machine]:
        """The machines with a disk that serve control."""
        return [machine for machine in self.machines.values() if "control" in machine.processes]

    def stores(self) -> list[Machine]:
        """The storage machines."""
        return [machine for machine in self.machines.values() if "store" in machine.processes]

    def quorum_machines(self) -> list[Machine]:
        """The machines whose loss is counted."""
        return [machine for machine in self.machines.values() if machine.spec.has_disk]

    def processes(self, role: str) -> list[Process]:
        """The processes of a role that run now."""
        found = (machine.processes.get(role) for machine in self.machines.values())
        return [process for process in found if process is not None and process.running]

    def control_addresses(self) -> list[str]:
        """The control addresses that the platform lists now."""
        return [machine.spec.control_address for machine in self.control_machines()]

    def published_control_addresses(self) -> tuple[str, ...]:
        """The list as callers know it, `SeedLagS` late."""
        return self._published_addresses.known(self.now())

    def _publish_control_addresses(self) -> None:
        self._published_addresses.publish(self.now(), tuple(self.control_addresses()))

    def settings_for(self, machine: Machine, role: str, bootstrap: bool) -> Settings:
        """What the platform writes for a process now."""
        return make_settings(machine.spec, role, self.seeds, bootstrap, self.tolerance)

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings name other seeds from now on."""
        self.seeds = seeds
        self.settings_version += 1
        self.log(f"seeds are {seeds}")

    def change_tolerated_losses(self, losses: Losses) -> None:
        """The settings ask for another tolerance from now on."""
        self.tolerance = attrs.evolve(self.tolerance, losses=losses)
        self.settings_version += 1
        self.log(f"tolerated are {losses}")

    def machines_in(self, zones: Iterable[str]) -> list[Machine]:
        """The machines that stand in one of the zones."""
        chosen = set(zones)
        return [machine for machine in self.machines.values() if machine.spec.zone in chosen]

    # What has happened

    def log(self, text: str) -> None:
        """Adds a line to the account of the day."""
        self.log_lines.append(f"{self.now():8.3f} {text}")

    def report_violation(self, rule: str) -> None:
        """A rule is broken: the day has failed."""
        line = f"{self.now():8.3f} BROKEN {rule}"
        self.log_lines.append(line)
        self.violations.append(line)

    def process_crashed(self, process: Process, reason: str) -> None:
        """A process ended by itself."""
        self.report_violation(f"{process.name} ended by itself: {reason}")

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            self.report_violation(f"unhandled: {context['message']}: {error!r}")

    # Beginning, and faults

    def start_all(self, order: Iterable[Machine] | None = None) -> None:
        """The first start, within 0.3 s, in any order."""
        for machine in order or self.machines.values():
            delay = self.random.uniform(0.0, START_SPREAD_S)
            self.network.call_later(delay, machine.start, True)

    def add_machine(self, machine_class: str, zone: str, has_disk: bool, roles: tuple[str, ...]) -> Machine:
        """A machine that comes later, with an empty disk."""
        machine = self.create_machine(machine_class, zone, has_disk, roles)
        machine.start()
        self.log(f"{machine.name} is added in {zone}")
        return machine

    def remove(self, machine: Machine) -> None:
        """A machine and its disk are gone for good."""
        machine.lose_power()
        machine.removed = True
        del self.machines[machine.name]
        self.contact.remove(machine.name)
        self._publish_control_addresses()
        self.log(f"{machine.name} is gone for good")

    def terminate_and_remove(self, machine: Machine) -> None:
        """SIGTERM, and the machine leaves once its processes have ended or after the grace."""
        machine.terminate()
        self.contact.record_event(machine.name)
        self.log(f"{machine.name} is told to end")
        self.network.call_later(GRACE_S, self._remove_if_there, machine)

    def _remove_if_there(self, machine: Machine) -> None:
        if not machine.removed:
            self.remove(machine)

    def kill(self, machine: Machine, role: str | None = None) -> None:
        """SIGKILL to all of a machine's processes, or to that of one role."""
        self.log(f"{machine.name} is killed{f' ({role})' if role else ''}")
        self.contact.fault_began(machine.name)
        machine.kill(role)

    def lose_power(self, machine: Machine) -> None:
        """A machine goes dark."""
        self.log(f"{machine.name} loses power")
        self.contact.fault_began(machine.name)
        machine.lose_power()

    def wipe(self, machine: Machine) -> None:
        """A machine goes dark and loses its disk."""
        self.log(f"{machine.name} loses its disk")
        self.contact.fault_began(machine.name)
        machine.lose_power()
        machine.present_disk().wipe()

    def wipe_or_darken(self, machine: Machine) -> None:
        """A machine goes dark and loses its disk, if it has one."""
        if machine.spec.has_disk:
            self.wipe(machine)
        else:
            self.lose_power(machine)

    def start(self, machine: Machine) -> None:
        """A machine that was killed or dark comes back."""
        if machine.removed:
            return
        self.log(f"{machine.name} is back")
        self.contact.fault_ended(machine.name)
        machine.start()

    def freeze(self, machine: Machine, silent: bool = False) -> None:
        """A machine's processes stand still."""
        self.log(f"{machine.name} stands still")
        self.contact.fault_began(machine.name)
        machine.freeze(silent)

    def thaw(self, machine: Machine) -> None:
        """They go on."""
        self.log(f"{machine.name} goes on")
        self.contact.fault_ended(machine.name)
        machine.thaw()

    def partition(self, machine: Machine, others: Sequence[Machine], one_way: bool = False) -> None:
        """Packets of a machine to others are dropped, and with `one_way` only these."""
        self.log(f"{machine.name} is cut off from {', '.join(other.name for other in others)}")
        self._begin_partition(machine, others)
        for other in others:
            self.network.block(machine.spec.ip, other.spec.ip)
            if not one_way:
                self.network.block(other.spec.ip, machine.spec.ip)

    def partition_inbound(self, machine: Machine, others: Sequence[Machine]) -> None:
        """Packets of others to a machine are dropped."""
        self.log(f"{machine.name} hears nothing of {', '.join(other.name for other in others)}")
        self._begin_partition(machine, others)
        for other in others:
            self.network.block(other.spec.ip, machine.spec.ip)

    def _begin_partition(self, machine: Machine, others: Sequence[Machine]) -> None:
        self.contact.fault_began(machine.name)
        if machine in self.control_machines() and all(
            other in others for other in self.control_machines() if other is not machine
        ):
            self._partitioned_since[machine.spec.ip] = self.now()

    def is_partitioned(self, ip: str, since: float) -> bool:
        """Whether a control machine is cut off, one way at least, from all others, and was at `since`."""
        return self._partitioned_since.get(ip, float("inf")) <= since

    def heal(self, machine: Machine, others: Sequence[Machine]) -> None:
        """The cut is over."""
        self.log(f"{machine.name} is joined again")
        self._partitioned_since.pop(machine.spec.ip, None)
        self.contact.fault_ended(machine.name)
        for other in others:
            self.network.unblock(machine.spec.ip, other.spec.ip)
            self.network.unblock(other.spec.ip, machine.spec.ip)

    def degrade_disk(self, machine: Machine, disk_fault: DiskFault) -> None:
        """A disk stalls, is slow, or takes no more bytes."""
        self.log(f"the disk of {machine.name}: {disk_fault}")
        self.contact.fault_began(machine.name)
        disk = machine.present_disk()
        disk.stalled = disk_fault == DiskFault.STALL
        disk.full = disk_fault == DiskFault.FULL
        disk.slowness = SLOW_DISK if disk_fault == DiskFault.SLOW else 1.0

    def restore_disk(self, machine: Machine) -> None:
        """The disk works again."""
        self.log(f"the disk of {machine.name} works again")
        self.contact.fault_ended(machine.name)
        disk = machine.present_disk()
        disk.stalled = False
        disk.full = False
        disk.slowness = 1.0

    def begin_restart(self, machine: Machine) -> None:
        """SIGTERM to a machine that is started again later."""
        self.log(f"{machine.name} is restarted")
        self.contact.fault_began(machine.name)
        machine.terminate()

    def reload(self, process: Process) -> None:
        """SIGHUP: the process reads its settings file again."""
        self.log(f"{process.name} gets SIGHUP")
        assert process.reload is not None, "a process that runs has set what SIGHUP does"
        self.loop.call_soon(process.reload, context=process.current().context)

    def step_clock(self, machine: Machine, seconds: float) -> None:
        """The time of day jumps."""
        self.log(f"the clock of {machine.name} jumps by {seconds:.1f} s")
        self.contact.record_event(machine.name)
        machine.clock_step_s += seconds

    def reset_connections(self, machine: Machine, share: float) -> None:
        """A share of a machine's connections is reset."""
        self.log(f"{machine.name} loses {share:.0%} of its connections")
        self.contact.record_event(machine.name)
        self.network.reset_some(machine.spec.ip, share)
