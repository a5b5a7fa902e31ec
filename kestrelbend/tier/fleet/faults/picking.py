"""Which machine a fault takes, and the moments at which it strikes."""

from __future__ import annotations

import asyncio
import random

from ..machines import Machine
from ..world import World

ACK_WAIT_S = 3.0  # for an acknowledgement to strike after


def owner_machine(world: World, shard: str = "configuration") -> Machine | None:
    """The machine whose process owns a shard now."""
    for role in ("control", "store"):
        for process in world.fleet.processes(role):
            replica = process.host.replica(shard)
            if replica is not None and replica.is_leader:
                return process.machine
    return None


def pick_quorum_machine(world: World, rng: random.Random) -> Machine:
    """The owner of the configuration or of a budget, or any machine with a disk."""
    shard = rng.choice(("configuration", "configuration", f"budget-{rng.randrange(6)}", ""))
    return (owner_machine(world, shard) if shard else None) or rng.choice(world.fleet.quorum_machines())


def diskless_gateways(world: World) -> list[Machine]:
    """The machines whose loss is not counted."""
    return [machine for machine in world.fleet.machines.values() if not machine.spec.has_disk]


async def acknowledging_machine(world: World) -> Machine | None:
    """Makes a change; the machine that has just acknowledged it."""
    order = await world.operator.change()
    if order.acknowledged_at is None:
        return None
    by_ip = {machine.spec.ip: machine for machine in world.fleet.control_machines()}
    return by_ip.get(world.operator.acknowledged_by)


async def reserving_store(world: World, rng: random.Random) -> Machine | None:
    """The store that has just recorded a reservation."""
    ends = world.fleet.now() + ACK_WAIT_S
    count = world.programs.admitted
    while world.programs.admitted == count and world.fleet.now() < ends:  # noqa: ASYNC110 -- virtual time
        await asyncio.sleep(0.001)
    return owner_machine(world, f"budget-{rng.randrange(6)}")


async def start_all(world: World, rng: random.Random, machines: list[Machine], down_s: float) -> None:
    """Brings machines back one shortly after the other, in any order."""
    await asyncio.sleep(down_s)
    machines = list(machines)
    rng.shuffle(machines)
    for machine in machines:
        world.fleet.start(machine)
        await asyncio.sleep(rng.uniform(0.0, 0.2))
