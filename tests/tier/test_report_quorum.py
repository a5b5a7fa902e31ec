"""Tests of how many control nodes must hold a report before it is acknowledged."""

import testtools

from kestrelbend.tier.control import report_quorum
from kestrelbend.tier.membership.fault_tolerance import Losses, Tolerance


class ReportQuorumTest(testtools.TestCase):
    def held(self, holders, tolerated_nodes, live="abc", voting="abc"):
        controls = report_quorum.ControlReplicas(tuple(voting), live, dict.fromkeys(live, "zone"))
        tolerance = Tolerance(Losses(nodes=tolerated_nodes))
        return report_quorum.is_held_by_enough(controls, holders.__contains__, tolerance)

    def test_one_tolerated_loss_needs_two_holders(self):
        self.assertEqual((False, True), (self.held("a", 1), self.held("ab", 1)))

    def test_report_on_two_of_three_nodes_would_be_lost_with_two_tolerated_losses(self):
        self.assertEqual((False, True), (self.held("ab", 2), self.held("abc", 2)))

    def test_nodes_that_are_not_live_are_not_waited_for_but_a_majority_is(self):
        self.assertTrue(self.held("ab", 2, live="ab"))
        self.assertFalse(self.held("a", 2, live="a"))

    def test_holders_beyond_the_voters_count_as_losses_to_be_borne_but_not_for_the_majority(self):
        self.assertTrue(self.held("abd", 2, live="abcd"))
        self.assertFalse(self.held("ade", 2, live="abcde"))


ZONES = {"a": "one", "b": "one", "c": "two", "d": "three"}
REGIONS = {"one": "east", "two": "east", "three": "west"}


class ReportQuorumOverZonesTest(testtools.TestCase):
    """A report that nodes of one zone alone hold is lost with the zone."""

    def held(self, holders, losses, live="abcd"):
        controls = report_quorum.ControlReplicas(tuple("ab"), live, ZONES)
        tolerance = Tolerance(losses, REGIONS)
        return report_quorum.is_held_by_enough(controls, holders.__contains__, tolerance)

    def test_one_tolerated_zone_needs_holders_in_two_zones(self):
        self.assertEqual((False, True), (self.held("ab", Losses(zones=1)), self.held("abc", Losses(zones=1))))

    def test_two_tolerated_zones_need_holders_in_three_zones(self):
        self.assertEqual(
            (False, True), (self.held("abc", Losses(zones=2)), self.held("abcd", Losses(zones=2)))
        )

    def test_one_tolerated_region_needs_holders_in_two_regions(self):
        losses = Losses(regions=1)
        self.assertEqual((False, True), (self.held("abc", losses), self.held("abd", losses)))

    def test_zones_without_a_live_control_node_are_not_waited_for(self):
        self.assertTrue(self.held("ab", Losses(nodes=1, zones=2, regions=1), live="ab"))
