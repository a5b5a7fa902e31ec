"""Disks are lost, stall, are slow, or take no more bytes."""

from __future__ import annotations

import asyncio
import random

from ...membership.fault_tolerance import Losses
from ..disks import DiskFault
from ..world import World
from .kinds import fault
from .picking import acknowledging_machine, pick_quorum_machine, reserving_store, start_all


@fault("after_ack_wipe", affects_quorum=True)
async def after_ack_wipe(world: World, rng: random.Random) -> None:
    """The machine that acknowledged a change, or another one, loses its disk right after it."""
    machine = await acknowledging_machine(world)
    if machine is None or rng.random() < 0.4:
        machine = rng.choice(world.fleet.quorum_machines())
    world.fleet.wipe(machine)
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    world.fleet.start(machine)


@fault("wipe_tolerated", affects_quorum=True, tolerated=Losses(nodes=2))
async def wipe_tolerated(world: World, rng: random.Random) -> None:
    """As many machines as may be lost lose their disks at once, at times the others their power."""
    machine = await acknowledging_machine(world)
    count = world.fleet.tolerance.losses.nodes
    candidates = world.fleet.control_machines() if rng.random() < 0.5 else world.fleet.quorum_machines()
    wiped = rng.sample(candidates, count)
    if machine is not None and machine not in wiped and rng.random() < 0.6:
        wiped[0] = machine
    others = [other for other in world.fleet.quorum_machines() if other not in wiped and other.has_power]
    for lost in wiped:
        world.fleet.wipe(lost)
    dark = others if rng.random() < 0.3 else []
    for other in dark:
        world.fleet.lose_power(other)
    await start_all(world, rng, [*wiped, *dark], rng.uniform(0.5, 3.0))


@fault("wipe_and_power", affects_quorum=True)
async def wipe_and_power(world: World, rng: random.Random) -> None:
    """A machine loses its disk while all others that count lose power."""
    machine = await (acknowledging_machine(world) if rng.random() < 0.5 else reserving_store(world, rng))
    await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.004))))
    if machine is None or rng.random() < 0.7:
        machine = rng.choice(world.fleet.quorum_machines())
    others = [other for other in world.fleet.quorum_machines() if other is not machine and other.has_power]
    world.fleet.wipe(machine)
    for other in others:
        world.fleet.lose_power(other)
    await start_all(world, rng, [machine, *others], rng.uniform(0.5, 2.0))


@fault("disk_trouble", affects_quorum=True)
async def disk_trouble(world: World, rng: random.Random) -> None:
    """A disk answers nothing, is slow, or takes no more bytes."""
    machine = pick_quorum_machine(world, rng)
    disk_fault = rng.choice((DiskFault.STALL, DiskFault.SLOW, DiskFault.FULL))
    world.fleet.degrade_disk(machine, disk_fault)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    world.fleet.restore_disk(machine)
