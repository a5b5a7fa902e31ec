"""Backends are replaced, or fall silent."""

from __future__ import annotations

import asyncio
import random

from ..world import World
from .kinds import fault


@fault("release", affects_quorum=False)
async def release(world: World, rng: random.Random) -> None:
    """Backends are replaced one after the other."""
    for backend in world.backends.ready():
        if rng.random() < 0.5:
            world.backends.replace(backend)
            await asyncio.sleep(rng.uniform(0.1, 1.0))


@fault("backend_crash", affects_quorum=False)
async def backend_crash(world: World, rng: random.Random) -> None:
    """A backend falls silent, and another one comes."""
    backend = rng.choice(world.backends.ready())
    backend.crash()
    world.backends.start(backend.service, backend.zone)
