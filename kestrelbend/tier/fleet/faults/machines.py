"""Machines and processes are killed, held, without power, restarted, replaced and added."""

from __future__ import annotations

import asyncio
import enum
import random

from ...membership.fault_tolerance import Losses
from ..fleet import GRACE_S
from ..machines import Machine
from ..rules.groups import CATCH_UP_S
from ..topology import ZONES
from ..world import World
from .kinds import fault
from .picking import (
    acknowledging_machine,
    diskless_gateways,
    owner_machine,
    pick_quorum_machine,
    reserving_store,
    start_all,
)

MAX_ROLLED = 3  # machines of one rolling restart
LONG_S = 9.0  # long enough for others to take the place of what is gone


class Outage(enum.Enum):
    """How the processes of a machine come to rest."""

    KILL = enum.auto()
    POWER = enum.auto()
    FREEZE = enum.auto()


@fault("kill", affects_quorum=True)
async def kill(world: World, rng: random.Random) -> None:
    """SIGKILL to a machine's processes or one of them, and back after a while, a long one at times."""
    machine = pick_quorum_machine(world, rng)
    world.fleet.kill(machine, rng.choice((None, *machine.processes)))
    await asyncio.sleep(rng.uniform(0.3, 4.0) if rng.random() < 0.8 else LONG_S)
    world.fleet.start(machine)


@fault("power", affects_quorum=True)
async def power(world: World, rng: random.Random) -> None:
    """No power for a while."""
    machine = pick_quorum_machine(world, rng)
    world.fleet.lose_power(machine)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    world.fleet.start(machine)


@fault("after_ack_kill", affects_quorum=True)
async def after_ack_kill(world: World, rng: random.Random) -> None:
    """The machine that acknowledged a change loses power right after it."""
    machine = await acknowledging_machine(world)
    await asyncio.sleep(rng.uniform(0.0, 0.004))
    if machine is None:
        return
    world.fleet.lose_power(machine)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.start(machine)


@fault("owner_killed_midway", affects_quorum=True)
async def owner_killed_midway(world: World, rng: random.Random) -> None:
    """The owner goes down while a change is under way."""
    machine = owner_machine(world) or pick_quorum_machine(world, rng)
    change = asyncio.create_task(world.operator.change())
    await asyncio.sleep(rng.uniform(0.003, 0.4) if rng.random() < 0.3 else rng.uniform(0.003, 0.02))
    world.fleet.lose_power(machine)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.start(machine)
    await change


@fault("store_taken_power", affects_quorum=True)
async def store_taken_power(world: World, rng: random.Random) -> None:
    """A store loses power, or its disk, right after a reservation."""
    machine = await reserving_store(world, rng)
    if machine is None or "store" not in machine.processes:
        return
    if rng.random() < 0.5:
        world.fleet.lose_power(machine)
    else:
        world.fleet.wipe(machine)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.start(machine)


@fault("herd_kill", affects_quorum=True)
async def herd_kill(world: World, rng: random.Random) -> None:
    """All processes of the core, or of all machines, are killed or without power at once."""
    machines = rng.choice(
        (world.fleet.control_machines(), world.fleet.quorum_machines(), list(world.fleet.machines.values()))
    )
    machines = [machine for machine in machines if machine.has_power]
    dark = rng.random() < 0.4
    for machine in machines:
        (world.fleet.lose_power if dark else world.fleet.kill)(machine)
    await start_all(world, rng, machines, rng.uniform(0.2, 1.0))


@fault("freeze", affects_quorum=True)
async def freeze(world: World, rng: random.Random) -> None:
    """A machine stands still and goes on."""
    machine = pick_quorum_machine(world, rng)
    world.fleet.freeze(machine, silent=rng.random() < 0.5)
    await asyncio.sleep(rng.choice((rng.uniform(0.1, 0.6), rng.uniform(0.6, 4.5))))
    world.fleet.thaw(machine)


@fault("replace_core", affects_quorum=True)
async def replace_core(world: World, rng: random.Random) -> None:
    """A machine is replaced by an empty one at another address, planned or not."""
    old = pick_quorum_machine(world, rng)
    spec = old.spec
    roles = tuple(old.processes)
    if rng.random() < 0.5:
        world.fleet.remove(old)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        world.fleet.add_machine(spec.machine_class, spec.zone, True, roles)
    else:
        world.fleet.add_machine(spec.machine_class, spec.zone, True, roles)
        await asyncio.sleep(rng.uniform(1.0, 2.0))
        world.fleet.terminate_and_remove(old)
        await asyncio.sleep(GRACE_S)


@fault("replace_tolerated", affects_quorum=True, tolerated=Losses(nodes=2))
async def replace_tolerated(world: World, rng: random.Random) -> None:
    """As many machines as may be lost are gone for good, and empty ones come at other addresses."""
    lost = rng.sample(world.fleet.quorum_machines(), world.fleet.tolerance.losses.nodes)
    for machine in lost:
        world.fleet.remove(machine)
    for machine in lost:
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        spec = machine.spec
        world.fleet.add_machine(spec.machine_class, spec.zone, True, tuple(machine.processes))


@fault("add_store", affects_quorum=True)
async def add_store(world: World, rng: random.Random) -> None:
    """A storage machine comes."""
    world.fleet.add_machine("storage", rng.choice(ZONES), True, ("store",))


@fault("core_term", affects_quorum=True)
async def core_term(world: World, rng: random.Random) -> None:
    """SIGTERM to a machine that counts, which starts again."""
    await restart(world, pick_quorum_machine(world, rng))


async def restart(world: World, machine: Machine) -> None:
    """SIGTERM, SIGKILL after the grace, and a start."""
    world.fleet.begin_restart(machine)
    ends = world.fleet.now() + GRACE_S
    while world.fleet.now() < ends and any(process.running for process in machine.processes.values()):  # noqa: ASYNC110 -- virtual time
        await asyncio.sleep(0.1)
    machine.kill()
    await asyncio.sleep(0.2)
    world.fleet.start(machine)


@fault("clock_step", affects_quorum=True)
async def clock_step(world: World, rng: random.Random) -> None:
    """The time of day jumps on some machines and back later; processes may start meanwhile."""
    step = rng.choice((-1, 1)) * rng.uniform(1.0, 3.0)
    machines = [machine for machine in world.fleet.machines.values() if rng.random() < 0.4]
    for machine in machines:
        world.fleet.step_clock(machine, step)
    if machines and rng.random() < 0.7:
        restarted = rng.choice(machines)
        world.fleet.kill(restarted)
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        world.fleet.start(restarted)
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    for machine in machines:
        world.fleet.step_clock(machine, -step)


@fault("gateway_kill", affects_quorum=False)
async def gateway_kill(world: World, rng: random.Random) -> None:
    """Gateways without a disk are killed, lose power, or stand still."""
    machines = [machine for machine in diskless_gateways(world) if rng.random() < 0.6]
    outage = rng.choice((Outage.KILL, Outage.POWER, Outage.FREEZE))
    for machine in machines:
        match outage:
            case Outage.KILL:
                world.fleet.kill(machine)
            case Outage.POWER:
                world.fleet.lose_power(machine)
            case Outage.FREEZE:
                world.fleet.freeze(machine)
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    for machine in machines:
        if outage == Outage.FREEZE:
            world.fleet.thaw(machine)
        else:
            world.fleet.start(machine)


@fault("gateway_term", affects_quorum=False)
async def gateway_term(world: World, rng: random.Random) -> None:
    """Gateways without a disk are restarted in turn."""
    for machine in diskless_gateways(world):
        await restart(world, machine)


@fault("add_gateway", affects_quorum=False)
async def add_gateway(world: World, rng: random.Random) -> None:
    """A front machine without a disk comes."""
    world.fleet.add_machine("front", rng.choice(ZONES), False, ("gateway",))


@fault("roll_term", affects_quorum=True)
async def roll_term(world: World, rng: random.Random) -> None:
    """SIGTERM to some machines that count, one after the other, each once the one before has caught up."""
    machines = rng.sample(world.fleet.quorum_machines(), MAX_ROLLED)
    for machine in machines:
        if machine.has_power:
            await restart(world, machine)
            await asyncio.sleep(CATCH_UP_S + 0.5)


@fault("hup", affects_quorum=False)
async def hup(world: World, rng: random.Random) -> None:
    """SIGHUP to some processes one after the other; their settings may name the seeds in another order."""
    if rng.random() < 0.5:
        seeds = list(world.fleet.seeds)
        rng.shuffle(seeds)
        world.fleet.change_seeds(tuple(seeds))
    for machine in list(world.fleet.machines.values()):
        for process in machine.processes.values():
            if process.running and rng.random() < 0.3:
                world.fleet.reload(process)
                await asyncio.sleep(rng.uniform(0.0, 0.2))
