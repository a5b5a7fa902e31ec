"""The next change of placement, if one is due: one shard at a time."""

from __future__ import annotations

from .messages import ShardPlacement
from .placement import Candidate, next_voters
from .table import MemberTable

KNOWN_S = 600.0


def next_placement(
    placements: tuple[ShardPlacement, ...],
    size: int,
    available: list[Candidate],
    members: MemberTable,
    retiring: tuple[str, ...],
    now: float,
) -> ShardPlacement | None:
    """The first shard that should be held by others than today, with its new voters."""
    emptied = set(retiring)
    leaving = [
        member.replica for member in members.members(now, KNOWN_S) if member.node in emptied
    ]
    for placed in placements:
        voters = next_voters(
            placed.voters,
            size,
            available,
            lambda replica: members.silence(replica, now),
            leaving,
        )
        if voters != placed.voters:
            return ShardPlacement(placed.shard, placed.founders, voters)
    return None
