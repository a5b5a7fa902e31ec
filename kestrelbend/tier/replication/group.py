"""The voters of a shard, and the one safe step from today's group to the one wished for.

Invariant: two consecutive groups differ in one voter at most, so their majorities meet (Ongaro 2014,
section 4.1), and no two leaders of one term can both reach a quorum.
Hazard: a voter that is taken in before it holds the log: the group would bear fewer losses than its size
says; `is_caught_up` is asked first.
"""

from __future__ import annotations

from collections.abc import Callable

from .messages import ReplicaId

Voters = tuple[ReplicaId, ...]


NUMBER_MARK = "="  # begins the line that holds the placement's number; no replica's name begins with it


def encode_group(voters: Voters, placement_number: int = 0) -> bytes:
    """The data of a GROUP entry: the placement's number, then the voters in the order of leadership.

    The number 0 is left out, as in entries that were written before placements had numbers.
    """
    prefix = (f"{NUMBER_MARK}{placement_number}",) if placement_number else ()
    return "\n".join((*prefix, *voters)).encode()


def decode_group(data: bytes) -> Voters:
    """The voters that a GROUP entry holds."""
    lines = data.decode().split("\n") if data else []
    return tuple(line for line in lines if not line.startswith(NUMBER_MARK))


def decode_placement_number(data: bytes) -> int:
    """The number of the placement that a GROUP entry moves towards."""
    first = data.decode().split("\n", 1)[0]
    return int(first[len(NUMBER_MARK) :]) if first.startswith(NUMBER_MARK) else 0


def quorum_size(voters: Voters) -> int:
    """How many of the voters make a majority."""
    return len(voters) // 2 + 1


def has_quorum(voters: Voters, holds: Callable[[ReplicaId], bool]) -> bool:
    """Whether a majority of the voters satisfies `holds`; an empty group never does."""
    return sum(1 for voter in voters if holds(voter)) >= quorum_size(voters)


def next_group(
    voters: Voters,
    target: Voters,
    leader: ReplicaId,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """The next group on the way to `target`, or None where no step is safe yet or none is left.

    One voter is added, then one removed, the dead first: a group on its way is never larger than its
    target by more than one, so it bears as many losses.  The leader is never removed: it transfers its
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
    """The group with the first of the missing that can be relied on from its first entry on."""
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
    """The group without one that should leave; a live one leaves only once the others can do without."""
    surplus = [voter for voter in voters if voter not in target and voter != leader]
    for removed in sorted(surplus, key=is_live):
        group = remove_voter(voters, removed, target)
        can_do_without = not is_live(removed) or all(map(is_caught_up, filter(is_live, group)))
        if can_do_without and has_quorum(group, is_live):
            return group
    return None


def remove_voter(voters: Voters, removed: ReplicaId, target: Voters) -> Voters:
    """The voters but for one, in the order of `target`."""
    return order_voters(tuple(voter for voter in voters if voter != removed), target)


def order_voters(voters: Voters, target: Voters) -> Voters:
    """The voters in the order of `target`; those that it lacks come last, in their old order."""
    known = [voter for voter in target if voter in voters]
    return (*known, *(voter for voter in voters if voter not in target))
