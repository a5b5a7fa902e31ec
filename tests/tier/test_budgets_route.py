"""How a gateway finds a shard's owner."""

import testtools

from kestrelbend.tier.budgets.route import ClientSettings, OwnerRoute


class RouteTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.settings = ClientSettings()
        self.route = OwnerRoute(self.settings)

    def target(self, now=0.0):
        return self.route.target(("a", "b", "c"), now)

    def test_given_nobody_knows_the_owner_when_searched_then_each_is_asked_once_and_rounds_have_pauses(self):
        backoffs = []
        for _round in range(22):
            for replica in "abc":
                self.assertEqual(replica, self.target())
                self.route.record_not_owner(replica, "")
            self.assertIsNone(self.target())
            backoffs.append(self.route.backoff_s())
        early = [0.02, 0.04] + 18 * [0.08]
        self.assertEqual(early + [0.3, 0.3], [round(backoff, 6) for backoff in backoffs])

    def test_given_two_that_name_each_other_when_searched_then_the_third_is_asked(self):
        self.route.record_not_owner("a", "b")
        self.assertEqual("b", self.target())
        self.route.record_not_owner("b", "a")
        self.assertEqual("c", self.target())

    def test_given_an_owner_that_is_silent_when_others_still_name_it_then_it_is_left_out_for_a_while(self):
        self.route.record_owner("b")
        self.route.record_no_reply("b", requested_at=0.7, now=1.0)
        self.assertEqual("c", self.target(now=1.0))
        self.route.record_not_owner("c", "b")
        self.assertEqual("a", self.target(now=1.0))
        self.route.record_not_owner("a", "b")
        self.assertIsNone(self.target(now=1.0))
        self.assertEqual(["c", "b"], [self.target(now=1.1), self.next_after("a", now=1.6)])

    def test_given_a_replica_that_cannot_be_reached_when_it_is_back_then_the_next_round_finds_it(self):
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
    """Word of an earlier epoch, however late it comes, sends nobody to a former owner."""

    def setUp(self):
        super().setUp()
        self.route = OwnerRoute(ClientSettings())

    def target(self):
        return self.route.target(("a", "b", "c", "d"), 0.0)

    def test_given_word_of_a_later_epoch_when_an_earlier_one_names_an_owner_then_that_is_not_followed(self):
        self.route.record_owner("b", epoch=5)
        self.route.record_not_owner("b", "", epoch=6)
        self.assertEqual("c", self.target())
        self.route.record_not_owner("c", "a", epoch=5)
        self.assertEqual("d", self.target(), "the next in order, not the one that epoch 5 had as its owner")

    def test_given_a_later_epoch_is_known_when_a_former_owner_replies_then_the_route_stays(self):
        self.route.record_owner("b", epoch=5)
        self.route.record_owner("a", epoch=4)
        self.assertEqual("b", self.target())

    def test_given_a_hint_of_a_later_epoch_then_it_is_followed(self):
        self.route.record_owner("b", epoch=5)
        self.route.record_not_owner("b", "c", epoch=6)
        self.assertEqual("c", self.target())
