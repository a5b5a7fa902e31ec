"""Tests of the choice of control nodes while all are stable, and while some fail and return."""

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

OWN_ZONE, OTHER_ZONE, THIRD_ZONE = "10.0.0.1:7", "10.0.1.1:7", "10.0.2.1:7"
HEARTBEAT_S = 0.25


def control(address, zone):
    """Returns a control node as listed in the directory."""
    return Member("n", "control", address, address, zone, "", True, False, False, 1)


MEMBERS = [control(OTHER_ZONE, "b"), control(OWN_ZONE, "a"), control(THIRD_ZONE, "c")]


class ControlChoiceTest(testtools.TestCase):
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

    def run_for(self, seconds, stable=(), replying=()):
        """Sends heartbeats to the chosen nodes; those in `stable` and `replying` reply, as stable or not."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += HEARTBEAT_S
            self.sequence += 1
            self.streams()
            chosen = self.reports()
            self.choice.record_sent(self.sequence, self.now)
            for address in set(chosen).intersection([*stable, *replying]):
                self.choice.record_reply(address, self.sequence, address in stable)

    def test_own_zone_comes_first_and_unknown_seeds_last(self):
        order = self.choice.nearest_first(MEMBERS, ["10.9.9.9:7", OWN_ZONE])
        self.assertEqual(OWN_ZONE, order[0])
        self.assertEqual("10.9.9.9:7", order[-1])
        self.assertEqual(4, len(order))

    def test_stable_node_in_the_own_zone_is_the_only_one_chosen(self):
        self.run_for(10.0, stable=[OWN_ZONE, OTHER_ZONE, THIRD_ZONE])
        self.assertEqual([OWN_ZONE], self.streams())

    def test_second_node_is_chosen_once_replies_of_the_nearest_are_too_old(self):
        self.run_for(5.0, stable=[OWN_ZONE])
        self.run_for(REPLY_VALIDITY_S + HEARTBEAT_S, stable=[OTHER_ZONE, THIRD_ZONE])
        self.assertEqual(self.order[:2], self.streams())

    def test_second_node_stays_chosen_until_the_returned_nearest_one_is_stable(self):
        self.run_for(5.0, stable=[OWN_ZONE])
        self.run_for(5.0, stable=[OTHER_ZONE, THIRD_ZONE])
        self.run_for(5.0, stable=[OTHER_ZONE, THIRD_ZONE], replying=[OWN_ZONE])
        self.assertEqual(self.order[:2], self.streams())
        self.run_for(HEARTBEAT_S, stable=[OWN_ZONE, OTHER_ZONE, THIRD_ZONE])
        self.assertEqual([OWN_ZONE], self.streams())

    def test_streams_stay_with_a_replying_node_until_the_stabilization_timeout(self):
        self.run_for(5.0, stable=[OWN_ZONE])
        self.run_for(STABILIZATION_TIMEOUT_S - HEARTBEAT_S, replying=self.order)
        self.assertEqual([OWN_ZONE], self.streams())
        self.assertEqual(self.order, self.reports())

    def test_heartbeats_go_to_other_nodes_at_once_when_the_chosen_one_is_not_stable(self):
        self.run_for(5.0, stable=[OWN_ZONE])
        self.run_for(HEARTBEAT_S, replying=[OWN_ZONE])
        self.assertEqual(self.order, self.reports())
        self.assertEqual([OWN_ZONE], self.streams())

    def test_without_a_stable_node_more_are_chosen_up_to_the_maximum(self):
        self.run_for(5.0, stable=[OWN_ZONE])
        self.run_for(2 * STABILIZATION_TIMEOUT_S + HEARTBEAT_S, replying=self.order)
        self.assertEqual(MAX_CHOSEN, len(self.streams()))
        self.run_for(60.0)
        self.assertEqual(MAX_CHOSEN, len(self.streams()))

    def test_first_stabilization_timeout_applies_until_a_node_was_stable(self):
        self.run_for(FIRST_STABILIZATION_TIMEOUT_S - HEARTBEAT_S, replying=self.order)
        self.assertEqual([OWN_ZONE], self.streams())
        self.run_for(2 * HEARTBEAT_S, replying=self.order)
        self.assertEqual(self.order[:2], self.streams())

    def test_reply_to_an_old_heartbeat_is_not_valid(self):
        self.run_for(5.0, stable=[OWN_ZONE])
        old = self.sequence
        self.run_for(REPLY_VALIDITY_S + HEARTBEAT_S)
        self.choice.record_reply(OWN_ZONE, old, True)
        self.assertNotEqual([OWN_ZONE], self.streams())

    def test_processes_that_lose_a_node_spread_over_the_remaining_ones(self):
        members = [control(OWN_ZONE, "a"), *(control(f"10.0.{zone}.1:7", f"z{zone}") for zone in range(1, 4))]
        successors = {
            ControlChoice(f"10.0.0.{process}:7", "a", 0.0).nearest_first(members, [])[1]
            for process in range(9, 40)
        }
        self.assertEqual(3, len(successors))
