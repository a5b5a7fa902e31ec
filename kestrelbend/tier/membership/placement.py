"""Which replicas should hold a shard: pure functions of who is there.

A replica stays where it is while it is live or was so lately.  One is replaced when its process stayed away,
when its node came back with an emptied disk (another identity), or when its node is to be emptied.  A spare
of the preferred class takes a place soon, as it was added for that; another one only after a long silence.
A group never shrinks below what is live: where nobody can take a place, the lost replica keeps it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from ..budgets.shards import shard_names
from .messages import Member, ShardPlacement

SPARE_S = 1.5  # a silent replica is replaced after this where a spare of the preferred class is there
LOST_S = 5.0  # and by another one after this
BUDGET_SHARDS = 6
FIRST_NUMBER = 1  # of a shard's placements; see `ShardPlacement`
CONFIGURATION_SHARD = "configuration"


@attrs.frozen
class Candidate:
    """A live disk that could hold replicas; `preference` 0 is taken first."""

    replica: str
    address: str
    node: str
    zone: str
    preference: int


def group_size(tolerated_nodes: int) -> int:
    """Voters of a group that bears the loss of so many."""
    return 2 * tolerated_nodes + 1


def address_of(replica: str) -> str:
    """Where a replica's process listens."""
    return replica.split("#", 1)[0]


def candidates(members: Iterable[Member], retiring: Iterable[str], stores_first: bool) -> list[Candidate]:
    """The live disks that may hold a shard's replicas."""
    emptied = set(retiring)
    found = []
    for member in members:
        if not member.replica or member.node in emptied:
            continue
        if not stores_first and not member.serves_control:
            continue
        preference = 0 if member.serves_storage == stores_first else 1
        found.append(Candidate(member.replica, member.address, member.node, member.zone, preference))
    return sorted(found, key=lambda candidate: (candidate.preference, candidate.address))


def next_voters(
    current: tuple[str, ...],
    size: int,
    available: list[Candidate],
    silence: Callable[[str], float],
    retiring_replicas: Iterable[str] = (),
) -> tuple[str, ...]:
    """The voters wanted from now on, in the order of ownership; `current` unless somebody must go."""
    leaving = set(retiring_replicas)
    by_replica = {candidate.replica: candidate for candidate in available}
    by_address = {candidate.address: candidate for candidate in available}
    voters = list(current)
    for place, replica in enumerate(voters):
        if replica in by_replica:
            continue
        reborn = by_address.get(address_of(replica))
        if reborn is not None and reborn.replica not in voters:
            voters[place] = reborn.replica  # the same machine with an emptied disk
            continue
        substitute = _best(available, voters, by_replica, place)
        if substitute is None:
            continue
        patience = SPARE_S if substitute.preference == 0 else LOST_S
        if replica in leaving or silence(replica) > patience:
            voters[place] = substitute.replica
    while len(voters) < size:
        added = _best(available, voters, by_replica, len(voters))
        if added is None:
            break
        voters.append(added.replica)
    while len(voters) > size:
        voters.remove(_superfluous(voters, by_replica))
    _prefer(voters, available, by_replica)
    return tuple(voters)


def _superfluous(voters: list[str], by_replica: dict[str, Candidate]) -> str:
    """The voter that a group which is too large needs least: one that is away, or else the last."""
    return next((voter for voter in voters if voter not in by_replica), voters[-1])


def _best(available, voters, by_replica, place) -> Candidate | None:
    """The candidate to take a place: preferred class, a zone of its own, then spread by the place."""
    zones = {
        by_replica[replica].zone
        for index, replica in enumerate(voters)
        if index != place and replica in by_replica
    }
    free = [candidate for candidate in available if candidate.replica not in voters]
    if not free:
        return None
    return min(free, key=lambda candidate: (candidate.preference, candidate.zone in zones, candidate.address))


def _prefer(voters: list[str], available: list[Candidate], by_replica: dict[str, Candidate]) -> None:
    """Replaces one voter of a lesser class where one of the preferred class is free."""
    free = [
        candidate for candidate in available if candidate.preference == 0 and candidate.replica not in voters
    ]
    for place, replica in enumerate(voters):
        held = by_replica.get(replica)
        if free and held is not None and held.preference > 0:
            voters[place] = free[0].replica
            return


def budget_shards() -> list[str]:
    """The names of all budget shards.  Their number never changes: it decides where a program's total is."""
    return shard_names(BUDGET_SHARDS)


def found_budget_shards(placed: Iterable[str], size: int, available: list[Candidate]) -> list[ShardPlacement]:
    """The first placement of the budget shards not placed yet, their owners spread over the replicas.

    None as long as there are fewer disks than a whole group has: what fewer held could not bear the losses.
    """
    if len(available) < size:
        return []
    known = set(placed)
    chosen = next_voters((), size, available, lambda replica: 0.0)
    placements = []
    for number, shard in enumerate(budget_shards()):
        turn = number % len(chosen)
        voters = chosen[turn:] + chosen[:turn]
        if shard not in known:
            placements.append(ShardPlacement(shard, voters, voters, FIRST_NUMBER))
    return placements
