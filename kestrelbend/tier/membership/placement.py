"""Decides which replicas should hold a shard: pure functions of the live members.

A replica keeps its place while it is live or was live recently.  It is replaced when its process has been
absent for too long, when its node came back with an emptied disk (which has another identity), or when its
node is being retired.  A spare of the preferred class replaces it soon, as it was added for that purpose; any
other candidate only after a long absence, unless the group has such voters already: then there are too few of
the preferred class, and nothing better is to be waited for.

The configuration's shard belongs to the control nodes.  Stores complete its group where there are fewer
control disks than it needs, and are replaced by control nodes that come later.

Voters are spread over zones and regions so that the group survives the tolerated losses (`fault_tolerance`).
This outranks the preferred class: a candidate of another class is taken where only that one makes the spread
even enough, and a live voter is exchanged for a candidate elsewhere.

Invariant: voters are removed without a replacement only from a group that is too large; a lost replica that
no candidate can replace stays a voter.

`control.shard_placer` turns these decisions into orders, `configuration.placements` checks and stores the
placements, `replication.placement` has the steps by which a shard's leader applies them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import attrs

from ..budgets.shards import shard_names
from .fault_tolerance import Tolerance, Unevenness, best_move, excess_voters, unevenness
from .messages import Member, ShardPlacement

SPARE_TIMEOUT_S = 1.5  # absence after which a spare of the preferred class replaces a replica
LOST_TIMEOUT_S = 5.0  # absence after which any other candidate replaces it
BUDGET_SHARD_COUNT = 6  # must never change, see `budget_shards`
FIRST_NUMBER = 1  # number of a shard's first placement, see `ShardPlacement`
CONFIGURATION_SHARD = "configuration"
PREFERRED = 0  # preference of candidates that are taken first
FALLBACK = 1
LAST_RESORT = 2

AbsenceLookup = Callable[[str], float]
"""Returns for how many seconds a replica has been absent; 0 for a live one."""


@attrs.frozen
class Candidate:
    """A live disk that could hold replicas; candidates of lower `preference` are taken first."""

    replica: str
    address: str
    node: str
    zone: str
    preference: int


@attrs.frozen
class Spread:
    """The tolerated losses, and the zone of each known replica, live or absent."""

    tolerance: Tolerance = Tolerance()
    zone_of: Mapping[str, str] = attrs.field(factory=dict)

    def with_candidates(self, candidates: Iterable[Candidate]) -> Spread:
        """Returns the same with the zones of these candidates."""
        live = {candidate.replica: candidate.zone for candidate in candidates}
        return attrs.evolve(self, zone_of={**self.zone_of, **live})

    def zones(self, voters: Iterable[str]) -> list[str]:
        """Returns the zone of each voter; a replica that is not known counts as a zone of its own."""
        return [self.zone_of.get(voter, voter) for voter in voters]

    def excess(self, voters: Iterable[str], size: int) -> int:
        """Returns how many voters too many stand in the tolerated zones or regions."""
        if not self.tolerance.depends_on_zones:
            return 0
        return excess_voters(self.zones(voters), size, self.tolerance)

    def unevenness(self, voters: Iterable[str], size: int) -> Unevenness:
        """Returns how uneven the voters are spread."""
        return unevenness(self.zones(voters), size, self.tolerance)


ANY_SPREAD = Spread()


def zones_of_replicas(members: Iterable[Member]) -> dict[str, str]:
    """Returns the zone of each disk of the members."""
    return {member.replica: member.zone for member in members if member.replica}


def address_of(replica: str) -> str:
    """Returns the address of a replica's process."""
    return replica.split("#", 1)[0]


def budget_candidates(members: Iterable[Member], retiring: Iterable[str]) -> list[Candidate]:
    """Returns the live disks that may hold a budget shard, in order of preference: stores come first."""
    return _candidates(members, retiring, lambda member: PREFERRED if member.serves_storage else FALLBACK)


def configuration_candidates(members: Iterable[Member], retiring: Iterable[str]) -> list[Candidate]:
    """Returns the live disks that may hold the configuration, in order of preference.

    Control nodes come first, those that serve no storage before the others; stores come last.
    """
    return _candidates(members, retiring, _configuration_preference)


def control_replicas(members: Iterable[Member]) -> tuple[str, ...]:
    """Returns the replicas of the control nodes among the members, ordered by address."""
    controls = [member for member in members if member.serves_control and member.replica]
    return tuple(member.replica for member in sorted(controls, key=lambda member: member.address))


def store_replicas(members: Iterable[Member]) -> tuple[str, ...]:
    """Returns the replicas of the members that are not control nodes."""
    return tuple(member.replica for member in members if member.replica and not member.serves_control)


def _configuration_preference(member: Member) -> int:
    if not member.serves_control:
        return LAST_RESORT
    return FALLBACK if member.serves_storage else PREFERRED


def _candidates(
    members: Iterable[Member], retiring: Iterable[str], preference_of: Callable[[Member], int]
) -> list[Candidate]:
    retiring_nodes = set(retiring)
    eligible = [
        Candidate(member.replica, member.address, member.node, member.zone, preference_of(member))
        for member in members
        if member.replica and member.node not in retiring_nodes
    ]
    return sorted(eligible, key=lambda candidate: (candidate.preference, candidate.address))


def next_voters(
    current: tuple[str, ...],
    size: int,
    available: list[Candidate],
    absence_of: AbsenceLookup,
    retiring_replicas: Iterable[str] = (),
    fallback_replicas: Collection[str] = (),
    spread: Spread = ANY_SPREAD,
) -> tuple[str, ...]:
    """Returns the voters that a shard should have, in the order of preference as owner.

    These are the voters in `current`, unless some must be replaced, added, removed or exchanged.
    `fallback_replicas` are those known not to be of the preferred class, live or absent.  While a voter is
    absent, a candidate of the preferred class is kept for its place.
    """
    choice = _VoterChoice(list(current), size, available, spread)
    choice.replace_absent(absence_of, set(retiring_replicas), fallback_replicas)
    choice.fit_size()
    choice.spread_evenly()
    choice.upgrade_one()
    return tuple(choice.voters)


class _VoterChoice:
    """The voters of one group of `size` voters while they are being chosen; changes `voters` in place."""

    def __init__(self, voters: list[str], size: int, available: list[Candidate], spread: Spread) -> None:
        self.voters = voters
        self._size = size
        self._available = available
        self._by_replica = {candidate.replica: candidate for candidate in available}
        self._spread = spread.with_candidates(available)

    def replace_absent(
        self, absence_of: AbsenceLookup, retiring: set[str], fallback_replicas: Collection[str]
    ) -> None:
        """Replaces unavailable voters whose replacement is due and for which there is a candidate."""
        by_address = {candidate.address: candidate for candidate in self._available}
        lacks_preferred = any(replica in fallback_replicas for replica in self.voters)
        for index, replica in enumerate(self.voters):
            if replica in self._by_replica:
                continue
            same_machine = by_address.get(address_of(replica))
            if same_machine is not None and same_machine.replica not in self.voters:
                self.voters[index] = same_machine.replica  # the same machine with an emptied disk
                continue
            substitute = self._best_candidate(index)
            if substitute is None:
                continue
            is_spare = substitute.preference == PREFERRED or lacks_preferred
            timeout = SPARE_TIMEOUT_S if is_spare else LOST_TIMEOUT_S
            if replica in retiring or absence_of(replica) > timeout:
                self.voters[index] = substitute.replica

    def fit_size(self) -> None:
        """Adds voters while the group is too small, and removes voters while it is too large."""
        while len(self.voters) < self._size:
            added = self._best_candidate(len(self.voters))
            if added is None:
                break
            self.voters.append(added.replica)
        while len(self.voters) > self._size:
            self.voters.remove(self._surplus_voter())

    def spread_evenly(self) -> None:
        """Exchanges voters for candidates of other zones if that lowers the excess."""
        if not self._excess(self.voters):
            return
        exchanged = list(self.voters)
        while self._exchange_one(exchanged):
            pass
        if self._excess(exchanged) < self._excess(self.voters):
            self.voters = exchanged

    def upgrade_one(self) -> None:
        """Replaces one live voter by a candidate of a better class, where the spread bears it."""
        if not all(voter in self._by_replica for voter in self.voters):
            return
        free = self._free(self.voters)
        for index in sorted(range(len(self.voters)), key=self._preference, reverse=True):
            for candidate in free:
                if candidate.preference >= self._preference(index):
                    break
                if self._excess(self._replaced(index, candidate)) <= self._excess(self.voters):
                    self.voters[index] = candidate.replica
                    return

    def _preference(self, index: int) -> int:
        return self._by_replica[self.voters[index]].preference

    def _excess(self, voters: Iterable[str]) -> int:
        return self._spread.excess(voters, self._size)

    def _free(self, voters: Collection[str]) -> list[Candidate]:
        """Returns the candidates that are not among the voters, best preference first."""
        return [candidate for candidate in self._available if candidate.replica not in voters]

    def _replaced(self, index: int, candidate: Candidate) -> list[str]:
        """Returns the voters with another one at `index`, which may be the one after the last."""
        return [*self.voters[:index], candidate.replica, *self.voters[index + 1 :]]

    def _surplus_voter(self) -> str:
        """Returns the voter to remove from a group that is too large.

        That is an absent one, or else the last of those without which the spread is best.
        """
        absent = next((voter for voter in self.voters if voter not in self._by_replica), None)
        if absent is not None:
            return absent

        def rest(removed: str) -> Unevenness:
            others = [voter for voter in self.voters if voter != removed]
            return self._spread.unevenness(others, self._size)

        return min(reversed(self.voters), key=rest)

    def _best_candidate(self, index: int) -> Candidate | None:
        """Returns the best new voter at `index`: by spread, preference, voters in its zone, and address."""
        voters_in_zone = Counter(
            self._by_replica[replica].zone
            for other, replica in enumerate(self.voters)
            if other != index and replica in self._by_replica
        )
        return min(
            self._free(self.voters),
            key=lambda candidate: (
                self._excess(self._replaced(index, candidate)),
                candidate.preference,
                voters_in_zone[candidate.zone],
                candidate.address,
            ),
            default=None,
        )

    def _exchange_one(self, voters: list[str]) -> bool:
        """Exchanges one of `voters` so that they are spread more evenly; returns whether it could."""
        free = self._free(voters)
        preferences = {candidate.zone: candidate.preference for candidate in reversed(free)}
        zones = self._spread.zones(voters)
        move = best_move(zones, self._size, self._spread.tolerance, preferences)
        if move is None:
            return False
        leaving = self._leaving_voter(voters, zones, move.source)
        voters[leaving] = next(candidate.replica for candidate in free if candidate.zone == move.target)
        return True

    def _leaving_voter(self, voters: Sequence[str], zones: Sequence[str], zone: str) -> int:
        """Returns the index of the voter to take out of a zone: an absent one, else the least preferred."""

        def rank(index: int) -> tuple[bool, int, int]:
            candidate = self._by_replica.get(voters[index])
            return (candidate is None, candidate.preference if candidate else PREFERRED, index)

        return max((index for index, other in enumerate(zones) if other == zone), key=rank)


def configuration_voters(
    current: tuple[str, ...],
    size: int,
    available: list[Candidate],
    absence_of: AbsenceLookup,
    retiring_replicas: Iterable[str],
    is_storage_disk: Callable[[str], bool],
    spread: Spread = ANY_SPREAD,
) -> tuple[str, ...]:
    """Returns the voters that the configuration's shard should have; `next_voters` with stores as stand-ins.

    Control nodes come first in the order, as they are to own the shard.  `is_storage_disk` tells the stores
    also of replicas that are absent.
    """
    stores = [replica for replica in current if is_storage_disk(replica)]
    voters = next_voters(current, size, available, absence_of, retiring_replicas, stores, spread)
    return tuple(sorted(voters, key=is_storage_disk))


def budget_shards() -> list[str]:
    """Returns the names of all budget shards.

    Their number must never change, because it determines which shard holds a program's total.
    """
    return shard_names(BUDGET_SHARD_COUNT)


def initial_budget_placements(
    placed_shards: Iterable[str], size: int, available: list[Candidate], spread: Spread = ANY_SPREAD
) -> list[ShardPlacement]:
    """Returns initial placements of the budget shards not placed yet, with owners spread over the replicas.

    Returns none while there are fewer disks than a complete group needs, as a smaller group could not
    tolerate the required losses.
    """
    if len(available) < size:
        return []
    known = set(placed_shards)
    chosen = _first_voters(size, available, spread)
    placements = []
    for index, shard in enumerate(budget_shards()):
        owner_index = index % len(chosen)
        voters = chosen[owner_index:] + chosen[:owner_index]
        if shard not in known:
            placements.append(ShardPlacement(shard, voters, voters, FIRST_NUMBER))
    return placements


def can_form_group(size: int, available: list[Candidate], spread: Spread) -> bool:
    """Whether these disks are enough for a group of `size` voters that survives the tolerated losses."""
    if len(available) < size:
        return False
    voters = _first_voters(size, available, spread)
    return not spread.with_candidates(available).excess(voters, size)


def _first_voters(size: int, available: list[Candidate], spread: Spread) -> tuple[str, ...]:
    return next_voters((), size, available, _no_absence, spread=spread)


def _no_absence(replica: str) -> float:
    return 0.0
