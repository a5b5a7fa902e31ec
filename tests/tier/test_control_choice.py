"""Which control nodes a process reports to, in calm times and as they become unresponsive and come back."""

from __future__ import annotations

import testtools

from kestrelbend.tier.membership.control_choice import (
    REPLY_VALIDITY_S,
    FIRST_STABILIZATION_TIMEOUT_S,
    MAX_CHOSEN,
    STABILIZATION_TIMEOUT_S,
    ControlChoice,
)
from kestrelbend.tier.membership.messages import Member

HERE, ELSEWHERE, FURTHER = "10.0.0.1:7", "10.0.1.1:7", "10.0.2.1:7"
HEARTBEAT_S = 0.25


def control(address, zone):
    """A control node as the directory names it."""
    return Member("n", "control", address, address, zone, "", True, False, False, 1)


MEMBERS = [control(ELSEWHERE, "b"), control(HERE, "a"), control(FURTHER, "c")]


class ControlChoiceStories(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.choice = ControlChoice("10.0.0.9:7", "a", 0.0)
        self.now = 0.0
        self.sequence = 0
        self.order = self.choice.nearest_first(MEMBERS, [])

    def streams(self):
        return self.choice.stream_sources(self.order, self.now)

    def reports(self):
        return self.choice.report_targets(self.order, self.now)

    def run_for(self, seconds, stable=(), answering=()):
        """Heartbeats to whoever is chosen; some of them answer, and some of those as stable."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += HEARTBEAT_S
            self.sequence += 1
            self.streams()
            chosen = self.reports()
            self.choice.record_sent(self.sequence, self.now)
            for address in set(chosen).intersection([*stable, *answering]):
                self.choice.record_reply(address, self.sequence, address in stable)

    def test_given_a_directory_then_this_zone_comes_first_and_unknown_seeds_last(self):
        order = self.choice.nearest_first(MEMBERS, ["10.9.9.9:7", HERE])
        self.assertEqual(HERE, order[0])
        self.assertEqual("10.9.9.9:7", order[-1])
        self.assertEqual(4, len(order))

    def test_given_a_stable_node_in_this_zone_then_it_alone_is_chosen(self):
        self.run_for(10.0, stable=[HERE, ELSEWHERE, FURTHER])
        self.assertEqual([HERE], self.streams())

    def test_given_it_becomes_unresponsive_then_another_one_is_chosen_before_it_counts_as_dead(self):
        self.run_for(5.0, stable=[HERE])
        self.run_for(REPLY_VALIDITY_S + HEARTBEAT_S, stable=[ELSEWHERE, FURTHER])
        self.assertEqual(self.order[:2], self.streams())

    def test_given_it_comes_back_and_is_not_stable_then_the_other_one_is_kept(self):
        self.run_for(5.0, stable=[HERE])
        self.run_for(5.0, stable=[ELSEWHERE, FURTHER])
        self.run_for(5.0, stable=[ELSEWHERE, FURTHER], answering=[HERE])
        self.assertEqual(self.order[:2], self.streams())
        self.run_for(HEARTBEAT_S, stable=[HERE, ELSEWHERE, FURTHER])
        self.assertEqual([HERE], self.streams())

    def test_given_an_election_then_a_node_that_answers_is_waited_for(self):
        self.run_for(5.0, stable=[HERE])
        self.run_for(STABILIZATION_TIMEOUT_S - HEARTBEAT_S, answering=self.order)
        self.assertEqual([HERE], self.streams())
        self.assertEqual(self.order, self.reports())

    def test_given_it_says_that_it_lost_contact_then_others_are_reported_to_at_once(self):
        self.run_for(5.0, stable=[HERE])
        self.run_for(HEARTBEAT_S, answering=[HERE])
        self.assertEqual(self.order, self.reports())
        self.assertEqual([HERE], self.streams())

    def test_given_nobody_settles_then_more_are_chosen_and_never_more_than_a_few(self):
        self.run_for(5.0, stable=[HERE])
        self.run_for(2 * STABILIZATION_TIMEOUT_S + HEARTBEAT_S, answering=self.order)
        self.assertEqual(MAX_CHOSEN, len(self.streams()))
        self.run_for(60.0)
        self.assertEqual(MAX_CHOSEN, len(self.streams()))

    def test_given_the_whole_tier_starts_then_the_nearest_is_waited_for_longer(self):
        self.run_for(FIRST_STABILIZATION_TIMEOUT_S - HEARTBEAT_S, answering=self.order)
        self.assertEqual([HERE], self.streams())
        self.run_for(2 * HEARTBEAT_S, answering=self.order)
        self.assertEqual(self.order[:2], self.streams())

    def test_given_an_answer_to_an_old_heartbeat_then_it_proves_nothing(self):
        self.run_for(5.0, stable=[HERE])
        old = self.sequence
        self.run_for(REPLY_VALIDITY_S + HEARTBEAT_S)
        self.choice.record_reply(HERE, old, True)
        self.assertNotEqual([HERE], self.streams())

    def test_given_a_lost_node_then_those_who_followed_it_spread_over_the_others(self):
        members = [control(HERE, "a"), *(control(f"10.0.{zone}.1:7", f"z{zone}") for zone in range(1, 4))]
        heirs = {
            ControlChoice(f"10.0.0.{process}:7", "a", 0.0).nearest_first(members, [])[1]
            for process in range(9, 40)
        }
        self.assertEqual(3, len(heirs))
