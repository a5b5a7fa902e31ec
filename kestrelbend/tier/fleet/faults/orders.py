"""Orders of the operator: changes, races, repeats, mistakes, and machines to be emptied."""

from __future__ import annotations

import asyncio
import random

from ..topology import ZONES
from ..world import World
from .kinds import fault
from .picking import owner_machine

RETIRE_S = 20.0
ABSENT_CHANGES = 30


@fault("retire", affects_quorum=True)
async def retire(world: World, rng: random.Random) -> None:
    """A storage machine is emptied and taken away; right after, another one may lose its disk."""
    if len(world.fleet.stores()) < 4:
        world.fleet.add_machine("storage", rng.choice(ZONES), True, ("store",))
        await asyncio.sleep(4.0)
    machine = rng.choice(world.fleet.stores())
    if not await world.operator.retire(machine.name, RETIRE_S):
        return
    world.fleet.remove(machine)
    if rng.random() < 0.5:
        other = rng.choice(world.fleet.stores())
        world.fleet.wipe(other)
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        world.fleet.start(other)


@fault("config_change", affects_quorum=False)
async def config_change(world: World, rng: random.Random) -> None:
    """Some changes, one after the other; the last one goes out again."""
    orders = []
    for _ in range(rng.randint(1, 4)):
        orders.append(await world.operator.change())
        await asyncio.sleep(rng.uniform(0.0, 0.6))
    order = orders[-1]
    if order.acknowledged_at is not None:
        await world.operator.send(order)


@fault("config_race", affects_quorum=False)
async def config_race(world: World, rng: random.Random) -> None:
    """Pairs of changes on the same version."""
    for _ in range(rng.randint(1, 3)):
        await world.operator.race()
        await asyncio.sleep(rng.uniform(0.0, 0.5))


@fault("bad_config", affects_quorum=False)
async def bad_config(world: World, rng: random.Random) -> None:
    """Invalid configurations."""
    for _ in range(rng.randint(1, 3)):
        await world.operator.send(world.operator.invalid())


@fault("ack_lost", affects_quorum=False)
async def ack_lost(world: World, rng: random.Random) -> None:
    """Acknowledgements are lost on their way, and the same orders sent again."""
    world.operator.acknowledgement_loss = 0.7
    for _ in range(2):
        await world.operator.change()
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    world.operator.acknowledgement_loss = 0.0


@fault("lost_answers", affects_quorum=True)
async def lost_answers(world: World, rng: random.Random) -> None:
    """Two operators race under one number, at every control node, with lost answers and a change of owner."""
    world.operator.acknowledgement_loss = 0.5
    rivals = world.operator.rivals()
    sending = [asyncio.create_task(world.operator.send_everywhere(order)) for order in rivals]
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    machine = owner_machine(world) if rng.random() < 0.7 else None
    if machine is not None:
        world.fleet.kill(machine, "control")
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        world.fleet.start(machine)
    await asyncio.gather(*sending)
    world.operator.acknowledgement_loss = 0.0
    for order in rivals:
        if order.acknowledged_at is not None:
            await world.operator.send(order)


@fault("absent", affects_quorum=True)
async def absent(world: World, rng: random.Random) -> None:
    """A control machine is away for many changes, and killed again at some moment of its catching up."""
    machine = rng.choice(world.fleet.control_machines())
    world.fleet.kill(machine)
    for _ in range(ABSENT_CHANGES):
        await world.operator.change()
    world.fleet.start(machine)
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    world.fleet.kill(machine)
    await asyncio.sleep(rng.uniform(0.1, 0.5))
    world.fleet.start(machine)
