"""Decides which placements of budget shards must change now.

Invariant: a changed placement gets the next number, so two placements of one shard with one number are equal.
A placement that was written before placements had numbers is written again with a number.
"""

from __future__ import annotations

from collections.abc import Callable

from .messages import ShardPlacement
from .placement import FIRST_NUMBER, AbsenceLookup, Candidate, Spread, next_voters
from .table import RETENTION_S, MemberTable


def due_placements(
    placements: tuple[ShardPlacement, ...],
    size: int,
    available: list[Candidate],
    members: MemberTable,
    retiring: tuple[str, ...],
    now: float,
    absence_of: AbsenceLookup,
    is_storage_disk: Callable[[str], bool],
    spread: Spread,
) -> list[ShardPlacement]:
    """Returns new placements for the shards whose voters should change.

    `size` is the number of voters of a group, `retiring` names the nodes being retired, `now` is in seconds,
    `is_storage_disk` tells stores from control nodes, also of replicas that are absent.
    """
    retiring_nodes = set(retiring)
    remembered = members.members(now, RETENTION_S)
    retiring_replicas = [member.replica for member in remembered if member.node in retiring_nodes]
    due = []
    for placement in placements:
        fallback = [voter for voter in placement.voters if not is_storage_disk(voter)]
        voters = next_voters(
            placement.voters, size, available, absence_of, retiring_replicas, fallback, spread
        )
        if voters != placement.voters or placement.number < FIRST_NUMBER:
            due.append(ShardPlacement(placement.shard, placement.founders, voters, placement.number + 1))
    return due
