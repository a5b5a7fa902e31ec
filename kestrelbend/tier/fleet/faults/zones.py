"""Whole zones or regions lose their disks or their power, or are replaced."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from ...membership.fault_tolerance import Losses
from ..machines import Machine
from ..world import World
from .kinds import fault
from .picking import acknowledging_machine, owner_machine, start_all

LONG_S = 9.0  # long enough for others to take the place of what is gone
ONE_ZONE = Losses(zones=1)
ONE_REGION = Losses(regions=1)


@fault("wipe_zones", affects_quorum=True, tolerated=ONE_ZONE)
async def wipe_zones(world: World, rng: random.Random) -> None:
    """As many zones as may go at once lose their disks right after an acknowledgement."""
    acknowledging = await acknowledging_machine(world)
    await _wipe(world, rng, _pick_zones(world, rng, acknowledging))


@fault("wipe_regions", affects_quorum=True, tolerated=ONE_REGION)
async def wipe_regions(world: World, rng: random.Random) -> None:
    """As many regions as may go at once lose their disks right after an acknowledgement."""
    acknowledging = await acknowledging_machine(world)
    await _wipe(world, rng, _pick_regions(world, rng, acknowledging))


@fault("zones_power", affects_quorum=True, tolerated=ONE_ZONE)
async def zones_power(world: World, rng: random.Random) -> None:
    """Zones are without power, at times until their voters are replaced, and return with their disks."""
    machines = _machines(world, _pick_zones(world, rng, owner_machine(world)))
    for machine in machines:
        world.fleet.lose_power(machine)
    await start_all(world, rng, machines, LONG_S if rng.random() < 0.5 else rng.uniform(0.5, 4.0))


@fault("replace_zones", affects_quorum=True, tolerated=ONE_ZONE)
async def replace_zones(world: World, rng: random.Random) -> None:
    """All machines of zones are gone for good, and empty ones come there at other addresses."""
    lost = _machines(world, _pick_zones(world, rng, owner_machine(world)))
    for machine in lost:
        world.fleet.remove(machine)
    for machine in lost:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        spec = machine.spec
        world.fleet.add_machine(spec.machine_class, spec.zone, spec.has_disk, tuple(machine.processes))


async def _wipe(world: World, rng: random.Random, zones: Iterable[str]) -> None:
    """The machines of zones lose their disks, at times while all others that count lose power."""
    lost = _machines(world, zones)
    others = [machine for machine in world.fleet.quorum_machines() if machine not in lost]
    for machine in lost:
        world.fleet.wipe_or_darken(machine)
    dark = [other for other in others if other.has_power] if rng.random() < 0.3 else []
    for other in dark:
        world.fleet.lose_power(other)
    await start_all(world, rng, [*lost, *dark], rng.uniform(0.5, 3.0))


def _machines(world: World, zones: Iterable[str]) -> list[Machine]:
    """The machines of zones that have power."""
    return [machine for machine in world.fleet.machines_in(zones) if machine.has_power]


def _pick_zones(world: World, rng: random.Random, preferred: Machine | None) -> list[str]:
    """As many zones as may go at once, at times with that of a machine."""
    zones = sorted({machine.spec.zone for machine in world.fleet.quorum_machines()})
    picked = rng.sample(zones, world.fleet.tolerance.losses.zones)
    if preferred is not None and preferred.spec.zone not in picked and rng.random() < 0.6:
        picked[0] = preferred.spec.zone
    return picked


def _pick_regions(world: World, rng: random.Random, preferred: Machine | None) -> list[str]:
    """The zones of as many regions as may go at once, at times with that of a machine."""
    region_of_zone = world.fleet.tolerance.region_of_zone
    picked = rng.sample(sorted(set(region_of_zone.values())), world.fleet.tolerance.losses.regions)
    if preferred is not None and rng.random() < 0.6:
        region = region_of_zone[preferred.spec.zone]
        picked = [region, *(other for other in picked if other != region)][: len(picked)]
    return [zone for zone, region in region_of_zone.items() if region in picked]
