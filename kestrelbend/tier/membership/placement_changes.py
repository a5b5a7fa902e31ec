"""Which placements of budget shards have to change now.

Invariant: a placement that changes gets the next number, so that two placements of one shard with one number
are equal; one that was written before placements had numbers is written again with one.
"""

from __future__ import annotations

from .messages import ShardPlacement
from .placement import FIRST_NUMBER, AbsenceOf, Candidate, next_voters
from .table import REMEMBERED_S, MemberTable


def due_placements(
    placements: tuple[ShardPlacement, ...],
    size: int,
    available: list[Candidate],
    members: MemberTable,
    retiring: tuple[str, ...],
    now: float,
    absence_of: AbsenceOf,
) -> list[ShardPlacement]:
    """The shards that should be held by others than today, with their new voters.

    `size` is that of a group, `retiring` names the nodes to be emptied; `now` is in seconds.
    """
    emptied_nodes = set(retiring)
    remembered = members.members(now, REMEMBERED_S)
    retiring_replicas = [member.replica for member in remembered if member.node in emptied_nodes]
    due = []
    for placed in placements:
        voters = next_voters(placed.voters, size, available, absence_of, retiring_replicas)
        if voters != placed.voters or placed.number < FIRST_NUMBER:
            due.append(ShardPlacement(placed.shard, placed.founders, voters, placed.number + 1))
    return due
