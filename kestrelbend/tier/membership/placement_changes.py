"""The changes of placement that are due."""

from __future__ import annotations

from collections.abc import Callable

from .messages import ShardPlacement
from .placement import FIRST_NUMBER, Candidate, next_voters
from .table import MemberTable

KNOWN_S = 600.0


def due_placements(
    placements: tuple[ShardPlacement, ...],
    size: int,
    available: list[Candidate],
    members: MemberTable,
    retiring: tuple[str, ...],
    now: float,
    silence: Callable[[str], float],
) -> list[ShardPlacement]:
    """The shards that should be held by others than today, with their new voters."""
    emptied = set(retiring)
    leaving = [member.replica for member in members.members(now, KNOWN_S) if member.node in emptied]
    due = []
    for placed in placements:
        voters = next_voters(placed.voters, size, available, silence, leaving)
        if voters != placed.voters or placed.number < FIRST_NUMBER:
            due.append(ShardPlacement(placed.shard, placed.founders, voters, placed.number + 1))
    return due
