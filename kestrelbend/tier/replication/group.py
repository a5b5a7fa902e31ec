"""The voters of a shard, and the single safe step from the present group towards a target group.

Invariant: two consecutive groups differ in at most one voter, so their majorities overlap (Ongaro 2014,
section 4.1), and no two leaders of one term can both reach a quorum.
Hazard: a voter that is added before it holds the log: the group would tolerate fewer failures than its size
suggests; `is_caught_up` is checked first.
"""

from __future__ import annotations

from collections.abc import Callable

from .messages import ReplicaId

Voters = tuple[ReplicaId, ...]


NUMBER_PREFIX = "="  # starts the line with the placement's number; no replica ID starts with it


def encode_group(voters: Voters, placement_number: int = 0) -> bytes:
    """Encodes the data of a GROUP entry: the placement's number, then the voters in their order.

    The number 0 is left out, as in entries that were written before placements had numbers.
    """
    prefix = (f"{NUMBER_PREFIX}{placement_number}",) if placement_number else ()
    return "\n".join((*prefix, *voters)).encode()


def decode_group(data: bytes) -> Voters:
    """The voters in the data of a GROUP entry."""
    lines = data.decode().split("\n") if data else []
    return tuple(line for line in lines if not line.startswith(NUMBER_PREFIX))


def decode_placement_number(data: bytes) -> int:
    """The number of the placement in the data of a GROUP entry."""
    first = data.decode().split("\n", 1)[0]
    return int(first[len(NUMBER_PREFIX) :]) if first.startswith(NUMBER_PREFIX) else 0


def quorum_size(voters: Voters) -> int:
    """How many of the voters make a majority."""
    return len(voters) // 2 + 1


def has_quorum(voters: Voters, predicate: Callable[[ReplicaId], bool]) -> bool:
    """Whether a majority of the voters satisfies `predicate`; an empty group never does."""
    return sum(1 for voter in voters if predicate(voter)) >= quorum_size(voters)


def next_group(
    voters: Voters,
    target: Voters,
    leader: ReplicaId,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """The next group on the way to `target`, or None if no step is safe yet or needed.

    One voter is added, then one removed, dead voters first: a group in transition exceeds the target's size
    by at most one, so it tolerates as many failures.  The leader is never removed; it transfers its
    leadership first.
    """
    if len(voters) <= len(target):
        group = _add_one_voter(voters, target, is_live, is_caught_up)
    else:
        group = _remove_one_voter(voters, target, leader, is_live, is_caught_up)
    if group is not None or set(voters) != set(target):
        return group
    ordered = order_voters(voters, target)
    return ordered if ordered != voters else None


def _add_one_voter(
    voters: Voters,
    target: Voters,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """The group with the first missing voter that is live and caught up, if a majority is live then."""
    for added in target:
        group = order_voters((*voters, added), target)
        ready = added not in voters and is_live(added) and is_caught_up(added)
        if ready and has_quorum(group, is_live):
            return group
    return None


def _remove_one_voter(
    voters: Voters,
    target: Voters,
    leader: ReplicaId,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """The group without one surplus voter; a live voter leaves only if the live others are caught up."""
    surplus = [voter for voter in voters if voter not in target and voter != leader]
    for removed in sorted(surplus, key=is_live):
        group = remove_voter(voters, removed, target)
        is_dispensable = not is_live(removed) or all(map(is_caught_up, filter(is_live, group)))
        if is_dispensable and has_quorum(group, is_live):
            return group
    return None


def remove_voter(voters: Voters, removed: ReplicaId, target: Voters) -> Voters:
    """The voters except one, in the order of `target`."""
    return order_voters(tuple(voter for voter in voters if voter != removed), target)


def order_voters(voters: Voters, target: Voters) -> Voters:
    """The voters in the order of `target`; those it lacks come last, in their present order."""
    known = [voter for voter in target if voter in voters]
    return (*known, *(voter for voter in voters if voter not in target))
