"""The kinds of fault that a day may hold."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from ...membership.fault_tolerance import Losses, find_shortfalls
from ..world import World

NONE_TOLERATED = Losses()

Play = Callable[[World, random.Random], Coroutine[Any, Any, None]]


@attrs.frozen
class FaultKind:
    """One kind of fault; `affects_quorum`: it takes a machine of those whose loss is counted.

    `tolerated` are the least losses to be tolerated where it may be played.
    """

    name: str
    affects_quorum: bool
    play: Play
    tolerated: Losses = NONE_TOLERATED

    def is_borne(self, losses: Losses) -> bool:
        """Whether it may be played where these losses are tolerated."""
        return not find_shortfalls(losses, self.tolerated)


KINDS: dict[str, FaultKind] = {}


def fault(name: str, affects_quorum: bool, tolerated: Losses = NONE_TOLERATED) -> Callable[[Play], Play]:
    """Adds a kind."""

    def add(play: Play) -> Play:
        KINDS[name] = FaultKind(name, affects_quorum, play, tolerated)
        return play

    return add
