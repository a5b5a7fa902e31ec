"""Tests of the log lines on groups with fewer voters than the tolerated losses ask for."""

import testtools

from kestrelbend.tier.control.group_sizes import GRACE_S, GroupSizes, voter_counts
from kestrelbend.tier.membership.messages import ShardReport


class GroupSizesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        self.sizes = GroupSizes(self)

    def warning(self, message, *values):
        self.lines.append(message.format(*values))

    info = warning

    def observe(self, count, at):
        self.sizes.observe({"configuration": count}, 5, at)

    def test_small_group_is_logged_after_the_grace_at_each_change_and_once_complete(self):
        for count, at in ((3, 0.0), (3, GRACE_S), (3, GRACE_S + 1), (4, GRACE_S + 2), (5, GRACE_S + 3)):
            self.observe(count, at)
        self.assertEqual(
            [
                "configuration: 3 voters, 5 needed: 1 of its nodes may be lost, not 2",
                "configuration: 4 voters, 5 needed: 1 of its nodes may be lost, not 2",
                "configuration: as many voters as needed",
            ],
            self.lines,
        )

    def test_group_that_is_completed_within_the_grace_or_owned_elsewhere_is_not_logged(self):
        self.observe(3, 0.0)
        self.observe(5, 1.0)
        self.observe(3, 2.0)
        self.sizes.forget()
        self.observe(3, 2.0 + GRACE_S)
        self.assertEqual([], self.lines)

    def test_budget_shard_without_a_report_counts_as_having_no_voters(self):
        report = ShardReport("budget-1", "a", 1, "a", ("a", "b"), 0, 0)
        counts = voter_counts(3, {"budget-1": report})
        self.assertEqual((3, 0, 2), (counts["configuration"], counts["budget-0"], counts["budget-1"]))
