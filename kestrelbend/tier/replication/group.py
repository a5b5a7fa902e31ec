"""The voters of a shard, and the one safe step from today's group to the one wished for.

Invariant: two consecutive groups differ in one voter at most, so their majorities meet (Ongaro 2014,
section 4.1), and no two owners of one epoch can both reach a quorum.
"""

from __future__ import annotations

from collections.abc import Callable

from .messages import ReplicaId

Voters = tuple[ReplicaId, ...]


def encode_group(voters: Voters) -> bytes:
    """The data of a GROUP entry: the voters in the order of ownership."""
    return "\n".join(voters).encode()


def decode_group(data: bytes) -> Voters:
    """The voters that a GROUP entry holds."""
    return tuple(data.decode().split("\n")) if data else ()


def quorum_size(voters: Voters) -> int:
    """How many of the voters make a majority."""
    return len(voters) // 2 + 1


def has_quorum(voters: Voters, holds: Callable[[ReplicaId], bool]) -> bool:
    """Whether a majority of the voters satisfies `holds`; an empty group never does."""
    return sum(1 for voter in voters if holds(voter)) >= quorum_size(voters)


def next_group(
    voters: Voters,
    target: Voters,
    owner: ReplicaId,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """The next group on the way to `target`, or None where no step is safe yet or none is left.

    Voters are added before others are removed, live ones first; a step is taken only where a majority
    of its outcome lives.  The owner is never removed: it hands over first.
    """
    missing = [voter for voter in target if voter not in voters]
    for added in missing:
        group = in_order((*voters, added), target)
        if is_live(added) and is_caught_up(added) and has_quorum(group, is_live):
            return group
    if missing:
        return None
    surplus = [voter for voter in voters if voter not in target and voter != owner]
    for removed in sorted(surplus, key=is_live):
        group = in_order(tuple(voter for voter in voters if voter != removed), target)
        if has_quorum(group, is_live):
            return group
    if surplus:
        return None
    group = in_order(voters, target)
    return group if group != voters else None


def in_order(voters: Voters, target: Voters) -> Voters:
    """The voters in the order of `target`; those that it lacks come last, in their old order."""
    known = [voter for voter in target if voter in voters]
    return (*known, *(voter for voter in voters if voter not in target))
