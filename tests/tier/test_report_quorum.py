"""Tests of how many control nodes must hold a report before it is acknowledged."""

import testtools

from kestrelbend.tier.control import report_quorum


class ReportQuorumTest(testtools.TestCase):
    def held(self, holders, tolerated_nodes, live="abc", voting="abc"):
        controls = report_quorum.ControlReplicas(tuple(voting), live)
        return report_quorum.is_held_by_enough(controls, holders.__contains__, tolerated_nodes)

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
