"""The kinds of fault that a day may hold."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from ..world import World

Play = Callable[[World, random.Random], Coroutine[Any, Any, None]]


@attrs.frozen
class FaultKind:
    """One kind of fault; `affects_quorum`: it takes a machine of those whose loss is counted.

    `tolerated` is the least number of losses to be tolerated where it may be played.
    """

    name: str
    affects_quorum: bool
    play: Play
    tolerated: int = 1


KINDS: dict[str, FaultKind] = {}


def fault(name: str, affects_quorum: bool, tolerated: int = 1) -> Callable[[Play], Play]:
    """Adds a kind."""

    def add(play: Play) -> Play:
        KINDS[name] = FaultKind(name, affects_quorum, play, tolerated)
        return play

    return add
