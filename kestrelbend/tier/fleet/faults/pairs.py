"""Two matters of machines: as soon after each other as `CatchupS` allows, or a loss beside a retirement."""

from __future__ import annotations

import asyncio
import random

from ..rules.groups import CATCH_UP_S
from ..world import World
from .disks import after_ack_wipe
from .kinds import Play, fault
from .machines import core_term, kill, replace_core
from .orders import retire

# loss, repair, replacement, retirement, restart
MATTERS = (kill, after_ack_wipe, replace_core, retire, core_term)


@fault("pair", affects_quorum=True)
async def pair(world: World, rng: random.Random) -> None:
    """Any two of loss, repair, replacement, retirement and restart, `CatchupS` apart."""
    first, second = rng.choice(MATTERS), rng.choice(MATTERS)
    await _play(world, rng, first)
    quiet = world.fleet.contact.core_fault_free_since()
    await asyncio.sleep(max(0.0, quiet + CATCH_UP_S - world.fleet.now()))
    await _play(world, rng, second)


@fault("retire_beside_loss", affects_quorum=True)
async def retire_beside_loss(world: World, rng: random.Random) -> None:
    """A store is emptied while another machine is lost or restarted."""
    retiring = asyncio.create_task(retire(world, rng))
    await asyncio.sleep(rng.uniform(0.0, 6.0))
    await _play(world, rng, rng.choice((kill, core_term)))
    await retiring


async def _play(world: World, rng: random.Random, matter: Play) -> None:
    world.fleet.log(f"-- {matter.__name__}")
    await matter(world, rng)
