"""Programs come in crowds."""

from __future__ import annotations

import asyncio
import random

from ..world import World
from .kinds import fault

MAX_CROWD = 40
END_WITHIN_S = 15.0


@fault("burst", affects_quorum=False)
async def burst(world: World, rng: random.Random) -> None:
    """Many programs begin within a second, and some of them through two gateways at once."""
    running = []
    for _ in range(rng.randint(10, MAX_CROWD)):
        begins = rng.random() < 0.8
        running.append(world.programs.begin() if begins else _begin_twofold(world))
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    await asyncio.wait(running, timeout=END_WITHIN_S)


def _begin_twofold(world: World) -> asyncio.Task[None]:
    return asyncio.create_task(world.programs.begin_in_two_sessions())
