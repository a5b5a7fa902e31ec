"""Which replicas should hold a shard: pure functions of who is there.

A replica stays where it is while it is live or was so lately.  One is replaced when its process stayed away,
when its node came back with an emptied disk (another identity), or when its node is to be emptied.  A spare
of the preferred class replaces it soon, as it was added for that; another one only after a long absence.

Invariant: a group never shrinks below what is live: where nobody can replace a lost replica, it stays a
voter.

`control.shard_placer` makes orders of what is decided here, `configuration.placements` checks and keeps them,
`replication.placement` has the steps of a shard's leader.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from ..budgets.shards import shard_names
from .messages import Member, ShardPlacement

SPARE_TIMEOUT_S = 1.5  # of absence, until a spare of the preferred class replaces a replica
LOST_TIMEOUT_S = 5.0  # and until another one does
BUDGET_SHARD_COUNT = 6  # never changes, see `budget_shards`
FIRST_NUMBER = 1  # of a shard's placements; see `ShardPlacement`
CONFIGURATION_SHARD = "configuration"
PREFERRED = 0  # the preference of a candidate that is taken first
LESSER = 1

AbsenceOf = Callable[[str], float]
"""For how many seconds a replica has been away; 0 for one that is live."""


@attrs.frozen
class Candidate:
    """A live disk that could hold replicas; the lower `preference` is taken first."""

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
    """The live disks that may hold a shard's replicas, those to be taken first in front.

    `stores_first`: stores are preferred to control nodes; else control nodes alone may hold them.
    """
    emptied = set(retiring)
    found = []
    for member in members:
        if not member.replica or member.node in emptied:
            continue
        if not stores_first and not member.serves_control:
            continue
        preference = PREFERRED if member.serves_storage == stores_first else LESSER
        found.append(Candidate(member.replica, member.address, member.node, member.zone, preference))
    return sorted(found, key=lambda candidate: (candidate.preference, candidate.address))


def next_voters(
    current: tuple[str, ...],
    size: int,
    available: list[Candidate],
    absence_of: AbsenceOf,
    retiring_replicas: Iterable[str] = (),
) -> tuple[str, ...]:
    """The voters wanted from now on, in the order of ownership; `current` unless somebody must go."""
    by_replica = {candidate.replica: candidate for candidate in available}
    voters = list(current)
    _replace_lost(voters, available, by_replica, absence_of, set(retiring_replicas))
    while len(voters) < size:
        added = _best(available, voters, by_replica, len(voters))
        if added is None:
            break
        voters.append(added.replica)
    while len(voters) > size:
        voters.remove(_superfluous(voters, by_replica))
    _prefer(voters, available, by_replica)
    return tuple(voters)


def _replace_lost(
    voters: list[str],
    available: list[Candidate],
    by_replica: dict[str, Candidate],
    absence_of: AbsenceOf,
    retiring: set[str],
) -> None:
    """Replaces the voters that are not available, as far as that is due and somebody can."""
    by_address = {candidate.address: candidate for candidate in available}
    for index, replica in enumerate(voters):
        if replica in by_replica:
            continue
        reborn = by_address.get(address_of(replica))
        if reborn is not None and reborn.replica not in voters:
            voters[index] = reborn.replica  # the same machine with an emptied disk
            continue
        substitute = _best(available, voters, by_replica, index)
        if substitute is None:
            continue
        timeout = SPARE_TIMEOUT_S if substitute.preference == PREFERRED else LOST_TIMEOUT_S
        if replica in retiring or absence_of(replica) > timeout:
            voters[index] = substitute.replica


def _superfluous(voters: list[str], by_replica: dict[str, Candidate]) -> str:
    """The voter that a group which is too large needs least: one that is away, or else the last."""
    return next((voter for voter in voters if voter not in by_replica), voters[-1])


def _best(
    available: list[Candidate], voters: list[str], by_replica: dict[str, Candidate], index: int
) -> Candidate | None:
    """The candidate to be the voter at `index`: preferred class, a zone of its own, then by address."""
    zones = {
        by_replica[replica].zone
        for other, replica in enumerate(voters)
        if other != index and replica in by_replica
    }
    free = [candidate for candidate in available if candidate.replica not in voters]
    if not free:
        return None
    return min(free, key=lambda candidate: (candidate.preference, candidate.zone in zones, candidate.address))


def _prefer(voters: list[str], available: list[Candidate], by_replica: dict[str, Candidate]) -> None:
    """Replaces one voter of a lesser class where one of the preferred class is free."""
    free = [
        candidate
        for candidate in available
        if candidate.preference == PREFERRED and candidate.replica not in voters
    ]
    for index, replica in enumerate(voters):
        known = by_replica.get(replica)
        if free and known is not None and known.preference > PREFERRED:
            voters[index] = free[0].replica
            return


def budget_shards() -> list[str]:
    """The names of all budget shards.  Their number never changes: it decides where a program's total is."""
    return shard_names(BUDGET_SHARD_COUNT)


def initial_budget_placements(
    placed: Iterable[str], size: int, available: list[Candidate]
) -> list[ShardPlacement]:
    """The first placement of the budget shards not placed yet, their owners spread over the replicas.

    None as long as there are fewer disks than a complete group has: fewer could not bear the losses.
    """
    if len(available) < size:
        return []
    known = set(placed)
    chosen = next_voters((), size, available, _nobody_is_absent)
    placements = []
    for index, shard in enumerate(budget_shards()):
        first = index % len(chosen)
        voters = chosen[first:] + chosen[:first]
        if shard not in known:
            placements.append(ShardPlacement(shard, voters, voters, FIRST_NUMBER))
    return placements


def _nobody_is_absent(replica: str) -> float:
    return 0.0
