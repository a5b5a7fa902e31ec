"""Cuts between machines, one way and both, and connections that are reset."""

from __future__ import annotations

import asyncio
import enum
import random

from ..machines import Machine
from ..topology import ZONES
from ..world import World
from .kinds import fault
from .picking import diskless_gateways, owner_machine, pick_quorum_machine


@fault("core_cut", affects_quorum=True)
async def core_cut(world: World, rng: random.Random) -> None:
    """A machine is cut off from the others that count, one way or both; orders race meanwhile."""
    machine = pick_quorum_machine(world, rng)
    others = [other for other in world.fleet.quorum_machines() if other is not machine]
    world.fleet.partition(machine, others, one_way=rng.random() < 0.4)
    if rng.random() < 0.5:
        race = asyncio.create_task(world.operator.race())
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        world.fleet.heal(machine, others)
        await race
    else:
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        world.fleet.heal(machine, others)


@fault("seed_turnover", affects_quorum=True)
async def seed_turnover(world: World, rng: random.Random) -> None:
    """New seeds that begin with a machine that is cut off, and a restart under them."""
    machine = rng.choice(world.fleet.control_machines())
    others = [other for other in world.fleet.quorum_machines() if other is not machine]
    addresses = [
        other.spec.control_address for other in world.fleet.control_machines() if other is not machine
    ]
    rng.shuffle(addresses)
    world.fleet.partition(machine, others)
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    world.fleet.change_seeds((machine.spec.control_address, *addresses)[:3])
    restarted = rng.choice([machine, rng.choice(diskless_gateways(world) or [machine])])
    world.fleet.kill(restarted)
    await asyncio.sleep(rng.uniform(0.3, 1.0))
    world.fleet.start(restarted)
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    world.fleet.heal(machine, others)


@fault("gateway_cut", affects_quorum=False)
async def gateway_cut(world: World, rng: random.Random) -> None:
    """A gateway without a disk is cut off from the machines that count."""
    machine = rng.choice(diskless_gateways(world))
    others = world.fleet.quorum_machines()
    world.fleet.partition(machine, others, one_way=rng.random() < 0.3)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    world.fleet.heal(machine, others)


@fault("reset_conns", affects_quorum=False)
async def reset_conns(world: World, rng: random.Random) -> None:
    """Connections are reset."""
    for machine in list(world.fleet.machines.values()):
        if rng.random() < 0.3:
            world.fleet.reset_connections(machine, rng.uniform(0.2, 0.8))


LONG_CUT_S = (18.0, 22.0)


class Dropped(enum.Enum):
    """Which packets of a machine a partition drops."""

    BOTH = enum.auto()
    OUTBOUND = enum.auto()
    INBOUND = enum.auto()


@fault("long_cut", affects_quorum=True)
async def long_cut(world: World, rng: random.Random) -> None:
    """A control machine is cut off for about 20 s, either way or both; others begin and change beside it."""
    machine = (owner_machine(world) if rng.random() < 0.5 else None) or rng.choice(
        world.fleet.control_machines()
    )
    others = [other for other in world.fleet.machines.values() if other is not machine]
    dropped = rng.choice((Dropped.BOTH, Dropped.OUTBOUND, Dropped.INBOUND))
    if dropped == Dropped.INBOUND:
        world.fleet.partition_inbound(machine, others)
    else:
        world.fleet.partition(machine, others, one_way=dropped == Dropped.OUTBOUND)
    ends = world.fleet.now() + rng.uniform(*LONG_CUT_S)
    while world.fleet.now() < ends:
        await rng.choice(BESIDE)(world, rng, machine)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.heal(machine, others)


async def _change(world: World, rng: random.Random, machine: Machine) -> None:
    await world.operator.change()


async def _race(world: World, rng: random.Random, machine: Machine) -> None:
    await asyncio.gather(*(world.operator.send_everywhere(order) for order in world.operator.rivals()))


async def _gateway_begins_there(world: World, rng: random.Random, machine: Machine) -> None:
    gateway = machine.processes.get("gateway")
    if gateway is not None:
        gateway.end(notify_peers=True)
        gateway.start()


async def _gateway_begins(world: World, rng: random.Random, machine: Machine) -> None:
    plain = rng.choice(diskless_gateways(world))
    world.fleet.kill(plain)
    await asyncio.sleep(rng.uniform(0.2, 0.6))
    world.fleet.start(plain)


async def _lure(world: World, rng: random.Random, machine: Machine) -> None:
    """A backend reports to the machine first, and another one takes its place."""
    backend = world.backends.start("model", rng.choice(ZONES))
    backend.report_first_to(machine.spec.control_address)
    old = rng.choice(world.backends.ready("model"))
    old.report_first_to(machine.spec.control_address)
    world.backends.replace(old)


BESIDE = (_change, _race, _gateway_begins_there, _gateway_begins, _lure)
