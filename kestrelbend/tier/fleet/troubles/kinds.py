"""The kinds of trouble that a day may hold."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import attrs

from ..world import World

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
