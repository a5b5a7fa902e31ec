"""The troubles of a day: what each does to the world, and how it ends.

Each is drawn by its own generator, so that leaving others out changes nothing about it.  A trouble of
machines whose loss is counted keeps to what `Tolerate` allows; `day.py` keeps such troubles apart in time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from .fleet import GRACE_S, ZONES
from .machines import Machine
from .world import World

CORE = ("control", "gateway")
ACK_WAIT_S = 3.0  # for an acknowledgement to strike after
REPLACED_AFTER_S = 1.0
RETIRE_S = 20.0

Play = Callable[[World, random.Random], Awaitable[None]]


@attrs.frozen
class Kind:
    """One kind of trouble; `counted`: it takes a machine of those whose loss is counted."""

    name: str
    counted: bool
    play: Play


KINDS: dict[str, Kind] = {}


def trouble(name: str, counted: bool) -> Callable[[Play], Play]:
    """Adds a kind."""

    def add(play: Play) -> Play:
        KINDS[name] = Kind(name, counted, play)
        return play

    return add


# Picking machines


def owner_machine(world: World, shard: str = "configuration") -> Machine | None:
    """The machine whose process owns a shard now."""
    for role in ("control", "store"):
        for process in world.fleet.processes(role):
            replica = process.instance.host.replica(shard)
            if replica is not None and replica.is_owner:
                return process.machine
    return None


def pick_counted(world: World, rng: random.Random) -> Machine:
    """The owner of the configuration or of a budget, or any machine with a disk."""
    shard = rng.choice(("configuration", "configuration", f"budget-{rng.randrange(6)}", ""))
    return (owner_machine(world, shard) if shard else None) or rng.choice(world.fleet.counted())


def plain_gateways(world: World) -> list[Machine]:
    """The machines whose loss is not counted."""
    return [machine for machine in world.fleet.machines.values() if not machine.place.has_disk]


async def acknowledged(world: World) -> Machine | None:
    """Makes a change; the machine that has just acknowledged it."""
    order = await world.operator.change()
    if order.acknowledged_at is None:
        return None
    by_ip = {machine.place.ip: machine for machine in world.fleet.core()}
    return by_ip.get(world.operator.acknowledged_by)


async def taken(world: World, rng: random.Random) -> Machine | None:
    """The store that has just recorded a reservation."""
    ends = world.fleet.now() + ACK_WAIT_S
    count = world.programs.admitted
    while world.programs.admitted == count and world.fleet.now() < ends:
        await asyncio.sleep(0.001)
    return owner_machine(world, f"budget-{rng.randrange(6)}")


# Machines with a disk


@trouble("kill", counted=True)
async def kill(world: World, rng: random.Random) -> None:
    """SIGKILL, and back after a while."""
    machine = pick_counted(world, rng)
    world.fleet.kill(machine)
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    world.fleet.start(machine)


@trouble("power", counted=True)
async def power(world: World, rng: random.Random) -> None:
    """No power for a while."""
    machine = pick_counted(world, rng)
    world.fleet.lose_power(machine)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    world.fleet.start(machine)


@trouble("after_ack_kill", counted=True)
async def after_ack_kill(world: World, rng: random.Random) -> None:
    """The machine that acknowledged a change loses power right after it."""
    machine = await acknowledged(world)
    await asyncio.sleep(rng.uniform(0.0, 0.004))
    if machine is None:
        return
    world.fleet.lose_power(machine)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.start(machine)


@trouble("owner_killed_midway", counted=True)
async def owner_killed_midway(world: World, rng: random.Random) -> None:
    """The owner goes down while a change is under way."""
    machine = owner_machine(world) or pick_counted(world, rng)
    change = asyncio.create_task(world.operator.change())
    await asyncio.sleep(rng.uniform(0.003, 0.4) if rng.random() < 0.3 else rng.uniform(0.003, 0.02))
    world.fleet.lose_power(machine)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.start(machine)
    await change


@trouble("after_ack_wipe", counted=True)
async def after_ack_wipe(world: World, rng: random.Random) -> None:
    """The machine that acknowledged a change, or another one, loses its disk right after it."""
    machine = await acknowledged(world)
    if machine is None or rng.random() < 0.4:
        machine = rng.choice(world.fleet.counted())
    world.fleet.wipe(machine)
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    world.fleet.start(machine)


@trouble("wipe_and_power", counted=True)
async def wipe_and_power(world: World, rng: random.Random) -> None:
    """A machine loses its disk while all others that count lose power."""
    machine = await acknowledged(world)
    if machine is None or rng.random() < 0.5:
        machine = rng.choice(world.fleet.counted())
    others = [other for other in world.fleet.counted() if other is not machine and other.has_power]
    world.fleet.wipe(machine)
    for other in others:
        world.fleet.lose_power(other)
    await start_all(world, rng, [machine, *others], rng.uniform(0.5, 2.0))


async def start_all(world: World, rng: random.Random, machines: list[Machine], down_s: float) -> None:
    """Brings machines back one shortly after the other, in any order."""
    await asyncio.sleep(down_s)
    machines = list(machines)
    rng.shuffle(machines)
    for machine in machines:
        world.fleet.start(machine)
        await asyncio.sleep(rng.uniform(0.0, 0.2))


@trouble("store_taken_power", counted=True)
async def store_taken_power(world: World, rng: random.Random) -> None:
    """A store loses power, or its disk, right after a reservation."""
    machine = await taken(world, rng)
    if machine is None or "store" not in machine.processes:
        return
    if rng.random() < 0.5:
        world.fleet.lose_power(machine)
    else:
        world.fleet.wipe(machine)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.fleet.start(machine)


@trouble("herd_kill", counted=True)
async def herd_kill(world: World, rng: random.Random) -> None:
    """All processes of the core, or of all machines, are killed or without power at once."""
    machines = rng.choice((world.fleet.core(), world.fleet.counted(), list(world.fleet.machines.values())))
    machines = [machine for machine in machines if machine.has_power]
    dark = rng.random() < 0.4
    for machine in machines:
        (world.fleet.lose_power if dark else world.fleet.kill)(machine)
    await start_all(world, rng, machines, rng.uniform(0.2, 1.0))


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


@trouble("freeze", counted=True)
async def freeze(world: World, rng: random.Random) -> None:
    """A machine stands still and goes on."""
    machine = pick_counted(world, rng)
    world.fleet.freeze(machine, silent=rng.random() < 0.5)
    await asyncio.sleep(rng.choice((rng.uniform(0.1, 0.6), rng.uniform(0.6, 4.5))))
    world.fleet.thaw(machine)


@trouble("replace_core", counted=True)
async def replace_core(world: World, rng: random.Random) -> None:
    """A machine is replaced by an empty one at another address, planned or not."""
    old = pick_counted(world, rng)
    place, roles = old.place, tuple(old.processes)
    if rng.random() < 0.5:
        world.fleet.remove(old)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        world.fleet.add_machine(place.machine_class, place.zone, True, roles)
    else:
        world.fleet.add_machine(place.machine_class, place.zone, True, roles)
        await asyncio.sleep(rng.uniform(1.0, 2.0))
        world.fleet.terminate_and_remove(old)
        await asyncio.sleep(GRACE_S)


@trouble("add_store", counted=True)
async def add_store(world: World, rng: random.Random) -> None:
    """A storage machine comes."""
    world.fleet.add_machine("storage", rng.choice(ZONES), True, ("store",))


@trouble("retire", counted=True)
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


@trouble("disk_trouble", counted=True)
async def disk_trouble(world: World, rng: random.Random) -> None:
    """A disk answers nothing, is slow, or takes no more bytes."""
    machine = pick_counted(world, rng)
    how = rng.choice(("stall", "slow", "full"))
    world.fleet.harm_disk(machine, how)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    world.fleet.mend_disk(machine)


@trouble("core_term", counted=True)
async def core_term(world: World, rng: random.Random) -> None:
    """SIGTERM to a machine that counts, which starts again."""
    await restart(world, pick_counted(world, rng))


async def restart(world: World, machine: Machine) -> None:
    """SIGTERM, SIGKILL after the grace, and a start."""
    world.fleet.begin_restart(machine)
    ends = world.fleet.now() + GRACE_S
    while world.fleet.now() < ends and any(process.running for process in machine.processes.values()):
        await asyncio.sleep(0.1)
    machine.kill()
    await asyncio.sleep(0.2)
    world.fleet.start(machine)


@trouble("clock_step", counted=True)
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


# Everything else


@trouble("gateway_kill", counted=False)
async def gateway_kill(world: World, rng: random.Random) -> None:
    """Gateways without a disk are killed, lose power, or stand still."""
    machines = [machine for machine in plain_gateways(world) if rng.random() < 0.6]
    how = rng.choice(("kill", "power", "freeze"))
    for machine in machines:
        if how == "freeze":
            world.fleet.freeze(machine)
        else:
            (world.fleet.kill if how == "kill" else world.fleet.lose_power)(machine)
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    for machine in machines:
        (world.fleet.thaw if how == "freeze" else world.fleet.start)(machine)


@trouble("gateway_term", counted=False)
async def gateway_term(world: World, rng: random.Random) -> None:
    """Gateways without a disk are restarted in turn."""
    for machine in plain_gateways(world):
        await restart(world, machine)


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


@trouble("config_change", counted=False)
async def config_change(world: World, rng: random.Random) -> None:
    """Some changes, one after the other; the last one goes out again."""
    order = None
    for _ in range(rng.randint(1, 4)):
        order = await world.operator.change()
        await asyncio.sleep(rng.uniform(0.0, 0.6))
    if order.acknowledged_at is not None:
        await world.operator.send(order)


@trouble("config_race", counted=False)
async def config_race(world: World, rng: random.Random) -> None:
    """Pairs of changes on the same version."""
    for _ in range(rng.randint(1, 3)):
        await world.operator.race()
        await asyncio.sleep(rng.uniform(0.0, 0.5))


@trouble("bad_config", counted=False)
async def bad_config(world: World, rng: random.Random) -> None:
    """Invalid configurations."""
    for _ in range(rng.randint(1, 3)):
        await world.operator.send(world.operator.invalid())


@trouble("ack_lost", counted=False)
async def ack_lost(world: World, rng: random.Random) -> None:
    """Acknowledgements are lost on their way, and the same orders sent again."""
    world.operator.lost_acknowledgements = 0.7
    for _ in range(2):
        await world.operator.change()
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    world.operator.lost_acknowledgements = 0.0


@trouble("release", counted=False)
async def release(world: World, rng: random.Random) -> None:
    """Backends are replaced one after the other."""
    for backend in world.backends.ready():
        if rng.random() < 0.5:
            world.backends.replace(backend)
            await asyncio.sleep(rng.uniform(0.1, 1.0))


@trouble("backend_crash", counted=False)
async def backend_crash(world: World, rng: random.Random) -> None:
    """A backend falls silent, and another one comes."""
    backend = rng.choice(world.backends.ready())
    backend.crash()
    world.backends.start(backend.service, backend.zone)


@trouble("add_gateway", counted=False)
async def add_gateway(world: World, rng: random.Random) -> None:
    """A front machine without a disk comes."""
    world.fleet.add_machine("front", rng.choice(ZONES), False, ("gateway",))
