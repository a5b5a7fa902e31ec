"""Who should hold a shard, by who is there."""

import testtools

from kestrelbend.tier.membership.placement import (
    LOST_TIMEOUT_S,
    SPARE_TIMEOUT_S,
    Candidate,
    initial_budget_placements,
    next_voters,
)


def candidate(name, zone="a", preference=0):
    return Candidate(f"{name}:1#x", f"{name}:1", name, zone, preference)


def replicas(*names):
    return tuple(f"{name}:1#x" for name in names)


class TestNextVoters(testtools.TestCase):
    def test_an_absent_replica_gives_way_to_a_spare_of_its_class_soon(self):
        there = [candidate("b"), candidate("c"), candidate("spare")]
        voters = next_voters(replicas("a", "b", "c"), 3, there, lambda replica: SPARE_TIMEOUT_S + 0.1)
        self.assertEqual(replicas("spare", "b", "c"), voters)

    def test_and_to_one_of_another_class_only_after_a_long_absence(self):
        there = [candidate("b"), candidate("c"), candidate("control", preference=1)]
        soon = next_voters(replicas("a", "b", "c"), 3, there, lambda replica: LOST_TIMEOUT_S - 0.1)
        late = next_voters(replicas("a", "b", "c"), 3, there, lambda replica: LOST_TIMEOUT_S + 0.1)
        self.assertEqual(replicas("a", "b", "c"), soon)
        self.assertEqual(replicas("control", "b", "c"), late)

    def test_a_replica_keeps_its_place_where_nobody_can_take_it(self):
        there = [candidate("b"), candidate("c")]
        voters = next_voters(replicas("a", "b", "c"), 3, there, lambda replica: 100.0)
        self.assertEqual(replicas("a", "b", "c"), voters)

    def test_a_group_that_was_left_too_large_loses_the_one_that_is_away(self):
        there = [candidate("a"), candidate("spare"), candidate("c")]
        voters = next_voters(replicas("a", "spare", "gone", "c"), 3, there, lambda replica: 0.0)
        self.assertEqual(replicas("a", "spare", "c"), voters)

    def test_an_emptied_disk_takes_the_place_of_its_former_self(self):
        there = [Candidate("a:1#new", "a:1", "a", "a", 0), candidate("b"), candidate("c")]
        voters = next_voters(replicas("a", "b", "c"), 3, there, lambda replica: 0.0)
        self.assertEqual(("a:1#new", *replicas("b", "c")), voters)


class TestFounding(testtools.TestCase):
    def test_budgets_are_founded_on_no_fewer_disks_than_a_complete_group_has(self):
        two = [candidate("a"), candidate("b")]
        three = [*two, candidate("control", preference=1)]
        self.assertEqual([], initial_budget_placements((), 3, two))
        placements = initial_budget_placements((), 3, three)
        self.assertEqual({3}, {len(placed.voters) for placed in placements})
        self.assertEqual({1}, {placed.number for placed in placements})
