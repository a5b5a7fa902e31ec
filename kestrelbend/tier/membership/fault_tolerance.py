"""Which losses a group of voters must survive, and how its voters must be spread over zones and regions.

`Tolerate` of the settings has three figures, each a bound of its own: so many nodes, or all nodes of so many
zones, or all nodes of so many regions may be lost at once, with their disks.  A group survives a loss if a
majority of its voters is left: these elect a leader and hold every committed entry.

A group of 2f + 1 voters survives the loss of any f of them.  It therefore needs 2f + 1 voters for the largest
figure f, and the tolerated number of zones or regions must not hold more than f of its voters.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs


@attrs.frozen
class Losses:
    """Numbers of nodes, of zones and of regions, each an alternative to the others."""

    nodes: int = 0
    zones: int = 0
    regions: int = 0


@attrs.frozen
class Shortfall:
    """Of one of the three figures fewer losses are survived than are to be tolerated."""

    domains: str  # "of its nodes", "zones" or "regions"
    survived: int
    tolerated: int

    def __str__(self) -> str:
        return f"{self.survived} {self.domains} may be lost, not {self.tolerated}"


def find_shortfalls(survived: Losses, tolerated: Losses) -> list[Shortfall]:
    """Returns the figures that are not reached."""
    figures = (
        Shortfall("of its nodes", survived.nodes, tolerated.nodes),
        Shortfall("zones", survived.zones, tolerated.zones),
        Shortfall("regions", survived.regions, tolerated.regions),
    )
    return [figure for figure in figures if figure.survived < figure.tolerated]


@attrs.frozen
class Tolerance:
    """The losses that must be survived, and the region of each zone, by the settings."""

    losses: Losses = Losses()
    region_of_zone: Mapping[str, str] = attrs.field(factory=dict)

    @property
    def min_group_size(self) -> int:
        """How many voters a group needs at least, wherever they stand."""
        return 2 * max(self.losses.nodes, self.losses.zones, self.losses.regions) + 1

    @property
    def depends_on_zones(self) -> bool:
        """Whether it matters in which zones voters stand."""
        return bool(self.losses.zones or self.losses.regions)

    def regions(self, zones: Iterable[str]) -> list[str]:
        """Returns the region of each zone; a zone that the settings don't name is a region of its own."""
        return [self.region_of_zone.get(zone, zone) for zone in zones]


def tolerated_losses(voters: int) -> int:
    """Returns how many voters of a group may be lost while a majority of them is left."""
    return max(0, (voters - 1) // 2)


def survived_losses(voter_zones: Sequence[str], tolerance: Tolerance) -> Losses:
    """Returns the largest losses that a group survives, given the zone of each of its voters."""
    lost_voters = tolerated_losses(len(voter_zones))
    return Losses(
        lost_voters,
        _survived_domains(voter_zones, lost_voters),
        _survived_domains(tolerance.regions(voter_zones), lost_voters),
    )


def _survived_domains(domains: Iterable[str], lost_voters: int) -> int:
    """Returns how many domains, whichever they are, hold at most `lost_voters` voters together."""
    survived = 0
    for held in _largest_first(domains):
        lost_voters -= held
        if lost_voters < 0:
            break
        survived += 1
    return survived


def excess_voters(voter_zones: Sequence[str], size: int, tolerance: Tolerance) -> int:
    """Returns how many voters too many the tolerated zones and regions hold, in a group of `size` voters.

    0: a majority is left whichever of them are lost.
    """
    allowed = tolerated_losses(size)
    in_zones = sum(_largest_first(voter_zones)[: tolerance.losses.zones])
    in_regions = sum(_largest_first(tolerance.regions(voter_zones))[: tolerance.losses.regions])
    return max(0, in_zones - allowed) + max(0, in_regions - allowed)


def _largest_first(domains: Iterable[str]) -> list[int]:
    """Returns how many voters each domain holds, in falling order."""
    return sorted(Counter(domains).values(), reverse=True)


@attrs.frozen(order=True)
class Unevenness:
    """How far voters are from an even spread; the lower, the better.

    Beside the excess it counts squares, since several moves may be needed before the excess falls.
    """

    excess: int
    squares: int  # of the numbers of voters in each zone and in each region, added up


def unevenness(voter_zones: Sequence[str], size: int, tolerance: Tolerance) -> Unevenness:
    """Returns how uneven voters are spread; only over zones where these count, and likewise regions."""
    squares = 0
    if tolerance.losses.zones:
        squares += sum(held * held for held in _largest_first(voter_zones))
    if tolerance.losses.regions:
        squares += sum(held * held for held in _largest_first(tolerance.regions(voter_zones)))
    return Unevenness(excess_voters(voter_zones, size, tolerance), squares)


@attrs.frozen
class Move:
    """A voter in the zone `source` is to be exchanged for one in the zone `target`."""

    source: str
    target: str


def best_move(
    voter_zones: Sequence[str], size: int, tolerance: Tolerance, free_zones: Mapping[str, int]
) -> Move | None:
    """Returns the exchange after which voters are spread most evenly; None if none makes them more even.

    `free_zones` has the zones with a candidate, and the preference of the best one: lower is taken first.
    """
    ranked = []
    for source in sorted(set(voter_zones)):
        remaining = list(voter_zones)
        remaining.remove(source)
        for target, preference in sorted(free_zones.items()):
            after = unevenness([*remaining, target], size, tolerance)
            ranked.append((after, preference, Move(source, target)))
    best = min(ranked, key=lambda entry: entry[:2], default=None)
    if best is None or best[0] >= unevenness(voter_zones, size, tolerance):
        return None
    return best[2]


def spread_zones(disk_zones: Iterable[str], size: int, tolerance: Tolerance) -> list[str]:
    """Returns the zones of `size` voters, or fewer, that are spread best over the disks of these zones."""
    free = Counter(disk_zones)
    chosen: list[str] = []
    while len(chosen) < size and +free:
        added = min(sorted(+free), key=lambda zone: unevenness([*chosen, zone], size, tolerance))
        chosen.append(added)
        free[added] -= 1
    while move := best_move(chosen, size, tolerance, dict.fromkeys(+free, 0)):
        chosen[chosen.index(move.source)] = move.target
        free[move.source] += 1
        free[move.target] -= 1
    return chosen


def unavoidable_excess(disk_zones: Iterable[str], size: int, tolerance: Tolerance) -> int:
    """Returns the excess of a group of `size` voters that is spread best over the disks of these zones."""
    return excess_voters(spread_zones(disk_zones, size, tolerance), size, tolerance)


def group_size(tolerance: Tolerance, disk_zones: Sequence[str]) -> int:
    """Returns how many voters each group needs, given the zone of each disk that may hold one.

    That is the minimum, unless only a larger group can be spread evenly enough: 7 voters in 5 zones leave 4
    of them in two zones, but 9 voters can lose any two of the zones.
    """
    minimum = tolerance.min_group_size
    losses = tolerance.losses
    if not _are_enough_domains(tolerance, disk_zones):
        return minimum
    # A multiple of 2 x zones + 1 can be spread evenly over the fewest zones, and is near; so for regions.
    maximum = min(len(disk_zones), minimum + 4 * max(losses.zones, losses.regions))
    for size in range(minimum, maximum + 1, 2):
        if unavoidable_excess(disk_zones, size, tolerance) == 0:
            return size
    return minimum


def _are_enough_domains(tolerance: Tolerance, disk_zones: Sequence[str]) -> bool:
    """Whether more zones and regions than may be lost are left in every case."""
    zones = len(set(disk_zones))
    regions = len(set(tolerance.regions(disk_zones)))
    return zones > 2 * tolerance.losses.zones and regions > 2 * tolerance.losses.regions
