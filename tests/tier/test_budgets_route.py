"""Tests of `OwnerRoute`, which selects the replica that a gateway sends its requests to."""

import testtools

from kestrelbend.tier.budgets.route import ClientSettings, OwnerRoute


class RouteTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.settings = ClientSettings()
        self.route = OwnerRoute(self.settings)

    def target(self, now=0.0):
        return self.route.target(("a", "b", "c"), now)

    def test_search_without_hints_tries_each_replica_once_per_round_with_backoff(self):
        backoffs = []
        for _round in range(22):
            for replica in "abc":
                self.assertEqual(replica, self.target())
                self.route.record_not_owner(replica, "")
            self.assertIsNone(self.target())
            backoffs.append(self.route.backoff_s())
        early = [0.02, 0.04] + 18 * [0.08]
        self.assertEqual(early + [0.3, 0.3], [round(backoff, 6) for backoff in backoffs])

    def test_third_replica_is_tried_when_two_name_each_other_as_owner(self):
        self.route.record_not_owner("a", "b")
        self.assertEqual("b", self.target())
        self.route.record_not_owner("b", "a")
        self.assertEqual("c", self.target())

    def test_owner_that_timed_out_is_excluded_for_a_while_despite_hints(self):
        self.route.record_owner("b")
        self.route.record_no_reply("b", requested_at=0.7, now=1.0)
        self.assertEqual("c", self.target(now=1.0))
        self.route.record_not_owner("c", "b")
        self.assertEqual("a", self.target(now=1.0))
        self.route.record_not_owner("a", "b")
        self.assertIsNone(self.target(now=1.0))
        self.assertEqual(["c", "b"], [self.target(now=1.1), self.next_after("a", now=1.6)])

    def test_replica_that_was_unreachable_is_tried_again_in_the_next_round(self):
        self.route.record_no_reply("a", requested_at=1.0, now=1.001)
        for replica in "bc":
            self.assertEqual(replica, self.target(now=1.01))
            self.route.record_not_owner(replica, "a")
        self.assertIsNone(self.target(now=1.01))
        self.assertEqual("a", self.target(now=1.03))

    def next_after(self, replica, now):
        self.route.record_not_owner("c", "")
        self.route.record_not_owner(replica, "")
        return self.target(now)


class EpochTest(testtools.TestCase):
    """A late reply from an earlier epoch never leads to requests to a former owner."""

    def setUp(self):
        super().setUp()
        self.route = OwnerRoute(ClientSettings())

    def target(self):
        return self.route.target(("a", "b", "c", "d"), 0.0)

    def test_owner_hint_of_an_earlier_epoch_is_ignored(self):
        self.route.record_owner("b", epoch=5)
        self.route.record_not_owner("b", "", epoch=6)
        self.assertEqual("c", self.target())
        self.route.record_not_owner("c", "a", epoch=5)
        self.assertEqual("d", self.target(), "the next in order, not the owner of epoch 5")

    def test_reply_of_a_former_owner_does_not_change_the_route(self):
        self.route.record_owner("b", epoch=5)
        self.route.record_owner("a", epoch=4)
        self.assertEqual("b", self.target())

    def test_owner_hint_of_a_later_epoch_is_followed(self):
        self.route.record_owner("b", epoch=5)
        self.route.record_not_owner("b", "c", epoch=6)
        self.assertEqual("c", self.target())
