"""Cuts between machines, one way and both, and connections that are reset."""

from __future__ import annotations

import asyncio
import random

from ..world import World
from .kinds import trouble
from .picking import pick_counted, plain_gateways


@trouble("core_cut", counted=True)
async def core_cut(world: World, rng: random.Random) -> None:
    """A machine is cut off from the others that count, one way or both; orders race meanwhile."""
    machine = pick_counted(world, rng)
    others = [other for other in world.fleet.counted() if other is not machine]
    world.fleet.cut(machine, others, one_way=rng.random() < 0.4)
    if rng.random() < 0.5:
        race = asyncio.create_task(world.operator.race())
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        world.fleet.join(machine, others)
        await race
    else:
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        world.fleet.join(machine, others)


@trouble("seed_turnover", counted=True)
async def seed_turnover(world: World, rng: random.Random) -> None:
    """New seeds that begin with a machine that is cut off, and a restart under them."""
    machine = rng.choice(world.fleet.core())
    others = [other for other in world.fleet.counted() if other is not machine]
    addresses = [other.place.control_address for other in world.fleet.core() if other is not machine]
    rng.shuffle(addresses)
    world.fleet.cut(machine, others)
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    world.fleet.turn_seeds((machine.place.control_address, *addresses)[:3])
    restarted = rng.choice([machine, rng.choice(plain_gateways(world) or [machine])])
    world.fleet.kill(restarted)
    await asyncio.sleep(rng.uniform(0.3, 1.0))
    world.fleet.start(restarted)
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    world.fleet.join(machine, others)


@trouble("gateway_cut", counted=False)
async def gateway_cut(world: World, rng: random.Random) -> None:
    """A gateway without a disk is cut off from the machines that count."""
    machine = rng.choice(plain_gateways(world))
    others = world.fleet.counted()
    world.fleet.cut(machine, others, one_way=rng.random() < 0.3)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    world.fleet.join(machine, others)


@trouble("reset_conns", counted=False)
async def reset_conns(world: World, rng: random.Random) -> None:
    """Connections are reset."""
    for machine in list(world.fleet.machines.values()):
        if rng.random() < 0.3:
            world.fleet.reset_connections(machine, rng.uniform(0.2, 0.8))
