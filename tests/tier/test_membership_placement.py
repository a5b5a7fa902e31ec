"""Tests of the choice of a shard's voters from the available replicas."""

import testtools

from kestrelbend.tier.membership.fault_tolerance import Losses, Tolerance
from kestrelbend.tier.membership.messages import Member
from kestrelbend.tier.membership.placement import (
    LOST_TIMEOUT_S,
    SPARE_TIMEOUT_S,
    Candidate,
    Spread,
    can_form_group,
    configuration_candidates,
    configuration_voters,
    initial_budget_placements,
    next_voters,
)


def candidate(name, zone="a", preference=0):
    return Candidate(f"{name}:1#x", f"{name}:1", name, zone, preference)


def replicas(*names):
    return tuple(f"{name}:1#x" for name in names)


class NextVotersTest(testtools.TestCase):
    def test_absent_replica_is_replaced_by_a_preferred_spare_after_the_spare_timeout(self):
        available = [candidate("b"), candidate("c"), candidate("spare")]
        voters = next_voters(replicas("a", "b", "c"), 3, available, lambda replica: SPARE_TIMEOUT_S + 0.1)
        self.assertEqual(replicas("spare", "b", "c"), voters)

    def test_absent_replica_is_replaced_by_a_fallback_candidate_only_after_the_lost_timeout(self):
        available = [candidate("b"), candidate("c"), candidate("control", preference=1)]
        soon = next_voters(replicas("a", "b", "c"), 3, available, lambda replica: LOST_TIMEOUT_S - 0.1)
        late = next_voters(replicas("a", "b", "c"), 3, available, lambda replica: LOST_TIMEOUT_S + 0.1)
        self.assertEqual(replicas("a", "b", "c"), soon)
        self.assertEqual(replicas("control", "b", "c"), late)

    def test_absent_replica_without_a_candidate_to_replace_it_stays_a_voter(self):
        available = [candidate("b"), candidate("c")]
        voters = next_voters(replicas("a", "b", "c"), 3, available, lambda replica: 100.0)
        self.assertEqual(replicas("a", "b", "c"), voters)

    def test_group_that_is_too_large_loses_the_absent_voter(self):
        available = [candidate("a"), candidate("spare"), candidate("c")]
        voters = next_voters(replicas("a", "spare", "gone", "c"), 3, available, lambda replica: 0.0)
        self.assertEqual(replicas("a", "spare", "c"), voters)

    def test_emptied_disk_replaces_the_former_disk_of_its_node(self):
        available = [Candidate("a:1#new", "a:1", "a", "a", 0), candidate("b"), candidate("c")]
        voters = next_voters(replicas("a", "b", "c"), 3, available, lambda replica: 0.0)
        self.assertEqual(("a:1#new", *replicas("b", "c")), voters)

    def test_any_candidate_replaces_an_absent_voter_soon_where_the_group_lacks_preferred_ones(self):
        available = [candidate("b"), candidate("other", preference=1), candidate("stand-in", preference=1)]
        current = replicas("a", "b", "stand-in")
        voters = next_voters(
            current, 3, available, lambda replica: SPARE_TIMEOUT_S + 0.1, (), replicas("stand-in")
        )
        self.assertEqual(replicas("other", "b", "stand-in"), voters)

    def test_no_zone_of_three_gets_a_majority_of_five_voters(self):
        available = [candidate(f"{zone}{number}", zone) for zone in "abc" for number in range(4)]
        voters = next_voters((), 5, available, lambda replica: 0.0)
        self.assertEqual([1, 2, 2], sorted(sum(voter[0] == zone for voter in voters) for zone in "abc"))


def member(name, serves_control, zone="a"):
    role = "control" if serves_control else "store"
    return Member(
        name, role, f"{name}:1", "", zone, f"{name}:1#x", serves_control, not serves_control, False, 1
    )


class ConfigurationVotersTest(testtools.TestCase):
    """The configuration's group lacks voters where control nodes are fewer than it needs."""

    def voters(self, current, members, size, absent_s=0.0):
        return configuration_voters(
            replicas(*current),
            size,
            configuration_candidates(members, ()),
            lambda replica: absent_s,
            (),
            lambda replica: replica.startswith("store"),
        )

    def test_stores_complete_a_group_with_too_few_control_nodes(self):
        members = [member("a", True), member("b", True), member("store-1", False), member("store-2", False)]
        self.assertEqual(replicas("b", "a", "store-1"), self.voters(("b", "a"), members, 3))
        self.assertEqual(replicas("a", "b"), self.voters(("a", "b"), members, 2))

    def test_control_node_that_comes_replaces_a_store_and_stands_before_the_others(self):
        members = [member("a", True), member("b", True), member("store-1", False)]
        self.assertEqual(replicas("a", "b"), self.voters(("a", "store-1"), members, 2))
        self.assertEqual(replicas("a", "b", "store-1"), self.voters(("store-1", "a", "b"), members, 3))

    def test_absent_store_is_replaced_by_another_after_the_spare_timeout_and_a_control_node_later(self):
        members = [member("a", True), member("store-2", False)]
        self.assertEqual(
            replicas("a", "store-2"), self.voters(("a", "store-1"), members, 2, SPARE_TIMEOUT_S + 0.1)
        )
        soon = self.voters(("a", "b"), members, 2, LOST_TIMEOUT_S - 0.1)
        late = self.voters(("a", "b"), members, 2, LOST_TIMEOUT_S + 0.1)
        self.assertEqual((replicas("a", "b"), replicas("a", "store-2")), (soon, late))


class TestFounding(testtools.TestCase):
    def test_budget_shards_are_placed_only_with_enough_disks_for_a_complete_group(self):
        two = [candidate("a"), candidate("b")]
        three = [*two, candidate("control", preference=1)]
        self.assertEqual([], initial_budget_placements((), 3, two))
        placements = initial_budget_placements((), 3, three)
        self.assertEqual({3}, {len(placed.voters) for placed in placements})
        self.assertEqual({1}, {placed.number for placed in placements})


ONE_ZONE = Spread(Tolerance(Losses(zones=1)), {f"{name}:1#x": name[0] for name in ("a1", "a2", "b1", "c1")})


def in_zones(*names, preference=0):
    """Candidates whose zone is the first letter of their name."""
    return [candidate(name, name[0], preference) for name in names]


class SpreadVotersTest(testtools.TestCase):
    """A group whose majority stood in one zone was lost with that zone (review/4)."""

    def voters(self, current, available, size=3, absent_s=0.0, spread=ONE_ZONE):
        return next_voters(replicas(*current), size, available, lambda replica: absent_s, spread=spread)

    def test_founders_in_one_zone_are_exchanged_and_the_first_stays(self):
        available = in_zones("a1", "a2", "a3", "b1", "c1")
        self.assertEqual(replicas("a1", "c1", "b1"), self.voters(("a1", "a2", "a3"), available))

    def test_fallback_candidate_in_another_zone_outranks_a_preferred_one(self):
        available = in_zones("a1", "a2", "a3", "b1") + in_zones("c1", preference=2)
        self.assertEqual(replicas("a1", "b1", "c1"), self.voters(("a1", "b1"), available))

    def test_upgrade_does_not_take_the_only_voter_out_of_a_zone(self):
        available = in_zones("a1", "a2", "b1") + in_zones("c1", preference=2)
        self.assertEqual(replicas("a1", "b1", "c1"), self.voters(("a1", "b1", "c1"), available))
        better = in_zones("a1", "a2", "b1", "c2") + in_zones("c1", preference=2)
        self.assertEqual(replicas("a1", "b1", "c2"), self.voters(("a1", "b1", "c1"), better))

    def test_zone_that_returns_gets_its_voter_back(self):
        available = in_zones("a1", "b1", "c1") + in_zones("a2", preference=2)
        self.assertEqual(replicas("a1", "b1", "c1"), self.voters(("a1", "a2", "c1"), available))

    def test_absent_voter_still_counts_for_its_zone(self):
        available = in_zones("a1", "b1", "c1", "d1")
        self.assertEqual(replicas("a1", "c1", "b1"), self.voters(("a1", "a2", "b1"), available))

    def test_group_that_is_too_large_keeps_its_spread(self):
        available = in_zones("a1", "a2", "b1", "b2", "c1")
        voters = self.voters(("a1", "a2", "b1", "b2", "c1"), available)
        self.assertEqual(replicas("a1", "b1", "c1"), voters)

    def test_voters_stay_where_no_exchange_helps(self):
        available = in_zones("a1", "a2", "b1", "b2")
        self.assertEqual(replicas("a1", "a2", "b1"), self.voters(("a1", "a2", "b1"), available))

    def test_regions_count_as_zones_do(self):
        regions = {"a": "east", "b": "east", "c": "west", "d": "north"}
        spread = Spread(Tolerance(Losses(nodes=2, zones=1, regions=1), regions))
        available = in_zones("a1", "a2", "b1", "b2", "c1", "c2", "d1")
        voters = self.voters((), available, 5, spread=spread)
        self.assertEqual([2, 2, 1], [sum(voter[0] in zone for voter in voters) for zone in ("ab", "c", "d")])

    def test_first_placement_is_complete_only_in_enough_zones(self):
        self.assertFalse(can_form_group(3, in_zones("a1", "a2", "b1", "b2"), ONE_ZONE))
        self.assertTrue(can_form_group(3, in_zones("a1", "a2", "b1", "c1"), ONE_ZONE))
        placements = initial_budget_placements((), 3, in_zones("a1", "a2", "a3", "b1", "c1"), ONE_ZONE)
        self.assertEqual({("a", "b", "c")}, {tuple(sorted(v[0] for v in p.voters)) for p in placements})
