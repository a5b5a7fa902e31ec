"""Tests of which losses a layout survives, and of the spread of voters over zones and regions."""

import itertools
import random
from collections import Counter

import testtools

from kestrelbend.tier.membership.fault_tolerance import (
    Losses,
    Tolerance,
    excess_voters,
    group_size,
    spread_zones,
    survived_losses,
    unavoidable_excess,
)

REGIONS = {"a": "east", "b": "east", "c": "west", "d": "west", "e": "north"}


def survives(voters, tolerance):
    """Whether a majority is left after each tolerated loss, by trying all of them."""
    losses = tolerance.losses
    regions = tolerance.regions(voters)
    by_zone = itertools.combinations(set(voters), min(losses.zones, len(set(voters))))
    by_region = itertools.combinations(set(regions), min(losses.regions, len(set(regions))))
    left = [len(voters) - losses.nodes]
    left += [sum(zone not in lost for zone in voters) for lost in by_zone]
    left += [sum(region not in lost for region in regions) for lost in by_region]
    return min(left) > len(voters) // 2


class SurvivedLossesTest(testtools.TestCase):
    def test_three_voters_in_two_zones_survive_one_node_but_no_zone(self):
        self.assertEqual(Losses(1, 0, 0), survived_losses("aab", Tolerance(region_of_zone=REGIONS)))
        self.assertEqual(Losses(1, 1, 0), survived_losses("abc", Tolerance(region_of_zone=REGIONS)))
        self.assertEqual(Losses(1, 1, 1), survived_losses("ace", Tolerance(region_of_zone=REGIONS)))

    def test_nine_voters_in_five_zones_survive_two_zones_but_seven_do_not(self):
        tolerance = Tolerance(Losses(nodes=3, zones=2))
        self.assertEqual(9, group_size(tolerance, "aabbccdde"))
        self.assertEqual(7, group_size(tolerance, "abcdefg"))

    def test_size_follows_the_largest_figure_and_ignores_what_no_layout_can_keep(self):
        self.assertEqual(5, group_size(Tolerance(Losses(nodes=1, zones=2)), "abcde"))
        self.assertEqual(3, group_size(Tolerance(Losses(zones=1)), "aaaaab"))
        self.assertEqual(1, group_size(Tolerance(), "abc"))


class SpreadTest(testtools.TestCase):
    """A zone that holds a majority of a group takes the shard with it."""

    def test_spread_is_found_wherever_one_exists(self):
        generator = random.Random("spread")
        for _ in range(400):
            disks = "".join(zone * generator.randint(0, 3) for zone in "abcde")
            losses = Losses(generator.randint(0, 2), generator.randint(0, 2), generator.randint(0, 1))
            tolerance = Tolerance(losses, REGIONS)
            size = group_size(tolerance, disks)
            found = spread_zones(disks, size, tolerance)
            self.assertEqual(min(size, len(disks)), len(found))
            self.assertEqual(Counter(), Counter(found) - Counter(disks))
            groups = set(itertools.combinations(disks, size))
            possible = any(survives(group, tolerance) for group in groups)
            is_survived = len(found) == size and survives(found, tolerance)
            self.assertEqual(possible, is_survived, (disks, tolerance, found))

    def test_excess_is_the_number_of_voters_that_stand_wrong(self):
        tolerance = Tolerance(Losses(zones=1, regions=1), REGIONS)
        self.assertEqual([4, 1, 0], [excess_voters(zones, 3, tolerance) for zones in ("aaa", "abc", "ace")])
        self.assertEqual(1, unavoidable_excess("aabbb", 3, Tolerance(Losses(zones=1))))
