"""Whom an owner answers with what, and how a gateway finds the owner."""

import testtools

from kestrelbend.tier.budgets.messages import BudgetRequest, Reserve, Verdict
from kestrelbend.tier.budgets.owner import BudgetOwner
from kestrelbend.tier.budgets.route import ClientSettings, OwnerRoute


def request(reservation):
    return BudgetRequest("budget-0", (Reserve("program", "main", reservation, 1, 100, 1000, False),), ())


class OwnerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.proposed = []
        self.owner = BudgetOwner("budget-0", self.propose)

    def propose(self, data):
        self.proposed.append(data)
        return len(self.proposed)

    def test_given_two_requests_when_applied_then_each_caller_gets_its_own_outcome(self):
        answers = self.owner.receive(request("a"), "first") + self.owner.receive(request("b"), "second")
        self.assertEqual([], answers)
        for index, data in enumerate(self.proposed, start=1):
            answers += self.owner.applied(index, data)
        callers = [(answer.caller, answer.reply.outcomes[0].reservation) for answer in answers]
        self.assertEqual([("first", "a"), ("second", "b")], callers)
        self.assertEqual({Verdict.ADMITTED}, {answer.reply.outcomes[0].verdict for answer in answers})

    def test_given_the_ownership_is_lost_when_the_entry_is_applied_all_the_same_then_one_answer_was_given(
        self,
    ):
        self.owner.receive(request("a"), "caller")
        answers = self.owner.lost_ownership("next")
        self.assertEqual([(False, "next")], [(one.reply.owner, one.reply.owner_hint) for one in answers])
        self.assertEqual([], self.owner.applied(1, self.proposed[0]))

    def test_given_another_entry_took_the_place_when_it_is_applied_then_the_caller_learns_nothing_from_it(
        self,
    ):
        self.owner.receive(request("a"), "caller")
        other = BudgetOwner("budget-0", self.propose)
        other.receive(request("b"), "other caller")
        answers = self.owner.applied(1, self.proposed[1])
        self.assertEqual(
            [("caller", False, ())], [(a.caller, a.reply.owner, a.reply.outcomes) for a in answers]
        )

    def test_given_no_ownership_when_asked_then_the_hint_comes_at_once(self):
        owner = BudgetOwner("budget-0", lambda data: None)
        (answer,) = owner.receive(request("a"), "caller", owner_hint="next")
        self.assertEqual((False, "next"), (answer.reply.owner, answer.reply.owner_hint))


class RouteTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.settings = ClientSettings()
        self.route = OwnerRoute(self.settings)

    def target(self, now=0.0):
        return self.route.target(("a", "b", "c"), now)

    def test_given_nobody_knows_the_owner_when_searched_then_each_is_asked_once_and_rounds_have_pauses(self):
        pauses = []
        for _round in range(6):
            for replica in "abc":
                self.assertEqual(replica, self.target())
                self.route.not_owner(replica, "")
            self.assertIsNone(self.target())
            pauses.append(self.route.pause())
        self.assertEqual([0.02, 0.04, 0.08, 0.16, 0.3, 0.3], [round(pause, 6) for pause in pauses])

    def test_given_two_that_name_each_other_when_searched_then_the_third_is_asked(self):
        self.route.not_owner("a", "b")
        self.assertEqual("b", self.target())
        self.route.not_owner("b", "a")
        self.assertEqual("c", self.target())

    def test_given_an_owner_that_is_silent_when_others_still_name_it_then_it_is_left_out_for_a_while(self):
        self.route.owner("b")
        self.route.no_reply("b", now=1.0)
        self.assertEqual("c", self.target(now=1.0))
        self.route.not_owner("c", "b")
        self.assertEqual("a", self.target(now=1.0))
        self.route.not_owner("a", "b")
        self.assertIsNone(self.target(now=1.0))
        self.assertEqual(["c", "b"], [self.target(now=1.1), self.next_after("a", now=1.6)])

    def next_after(self, replica, now):
        self.route.not_owner("c", "")
        self.route.not_owner(replica, "")
        return self.target(now)
