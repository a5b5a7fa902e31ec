"""Tests of the log lines on groups that survive fewer losses than are tolerated."""

import testtools

from kestrelbend.tier.control.shortfall_log import (
    GRACE_S,
    ShortfallLog,
    control_shortfall,
    group_shortfalls,
    voters_by_shard,
)
from kestrelbend.tier.membership.fault_tolerance import Losses, Tolerance
from kestrelbend.tier.membership.messages import ShardReport
from kestrelbend.tier.membership.placement import Spread

ZONES = {"a": "one", "b": "one", "c": "two", "d": "three", "e": "three"}
REGIONS = {"one": "east", "two": "west", "three": "west"}


def shortfalls(voters, size, losses):
    spread = Spread(Tolerance(losses, REGIONS), ZONES)
    return group_shortfalls({"configuration": tuple(voters)}, size, spread)


class ShortfallLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        self.log = ShortfallLog(self)

    def warning(self, message, *values):
        self.lines.append(message.format(*values))

    info = warning

    def observe(self, count, at):
        self.log.observe(shortfalls("abcde"[:count], 5, Losses(nodes=2)), at)

    def test_small_group_is_logged_after_the_grace_at_each_change_and_once_complete(self):
        for count, at in ((3, 0.0), (3, GRACE_S), (3, GRACE_S + 1), (4, GRACE_S + 2), (5, GRACE_S + 3)):
            self.observe(count, at)
        self.assertEqual(
            [
                "configuration: 3 voters, 5 needed: 1 of its nodes may be lost, not 2",
                "configuration: 4 voters, 5 needed: 1 of its nodes may be lost, not 2",
                "configuration: survives the tolerated losses",
            ],
            self.lines,
        )

    def test_group_that_is_completed_within_the_grace_or_owned_elsewhere_is_not_logged(self):
        self.observe(3, 0.0)
        self.observe(5, 1.0)
        self.observe(3, 2.0)
        self.log.forget()
        self.observe(3, 2.0 + GRACE_S)
        self.assertEqual([], self.lines)

    def test_budget_shard_without_a_report_counts_as_having_no_voters(self):
        report = ShardReport("budget-1", "a", 1, "a", ("a", "b"), 0, 0)
        voters = voters_by_shard(("a", "b", "c"), {"budget-1": report})
        counts = [len(voters[shard]) for shard in ("configuration", "budget-0", "budget-1")]
        self.assertEqual([3, 0, 2], counts)


class ShortfallsTest(testtools.TestCase):
    """An operator is told of a layout that cannot keep a tolerated figure."""

    def test_voters_in_too_few_zones_are_told_with_their_zones(self):
        self.assertEqual(
            {"configuration": "voters in one, one, two: 0 zones may be lost, not 1"},
            shortfalls("abc", 3, Losses(zones=1)),
        )
        self.assertEqual({}, shortfalls("acd", 3, Losses(zones=1)))

    def test_voters_in_too_few_regions_are_told(self):
        self.assertEqual(
            {"configuration": "voters in one, three, two: 0 regions may be lost, not 1"},
            shortfalls("acd", 3, Losses(nodes=1, zones=1, regions=1)),
        )

    def test_group_that_is_too_small_for_several_figures_names_each(self):
        self.assertEqual(
            "2 voters, 3 needed: 0 of its nodes may be lost, not 1; 0 zones may be lost, not 1",
            shortfalls("ac", 3, Losses(nodes=1, zones=1))["configuration"],
        )

    def test_control_nodes_in_too_few_zones_are_told(self):
        tolerance = Tolerance(Losses(nodes=1, zones=1), REGIONS)
        self.assertEqual(
            {"control nodes": "only in one: 0 zones may be lost, not 1"},
            control_shortfall(["one", "one"], tolerance),
        )
        self.assertEqual({}, control_shortfall(["one", "two"], tolerance))
