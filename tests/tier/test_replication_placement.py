"""What a group bears between the steps of a change, and which placements it follows."""

import random

import testtools

from kestrelbend.tier.replication.group import (
    decode_group,
    decode_placement_number,
    encode_group,
    next_group,
)
from kestrelbend.tier.replication.messages import EntryKind
from tests.tier.replication_harness import TICK, Cluster

CATCHUP_S = 4.0  # after which a group must bear what it did before


class PlacementStory(testtools.TestCase):
    """A cluster with a leader and some commands."""

    def given(self, names="abc", others="", **rest):
        cluster = Cluster(names, others, **rest)
        cluster.run_until(lambda: cluster.leader() is not None, within=2.0)
        self.write(cluster, b"before")
        return cluster

    def write(self, cluster, command, within=3.0):
        """Proposes until the command is committed."""
        done = cluster.run_until(lambda: self._proposed(cluster, command), within)
        self.assertTrue(done, f"{command} was not committed in {within} s")

    def _proposed(self, cluster, command):
        if not cluster.committed(command):
            cluster.propose(command)
        return cluster.committed(command)


class TestPlacementNumbers(PlacementStory):
    def moved(self):
        """A group that was moved from `abc` to `abd` by the second placement."""
        cluster = self.given(others="d")
        cluster.set_target("abc", number=1)
        cluster.run(0.5)
        cluster.set_target("abd", number=2)
        self.assertTrue(cluster.run_until(lambda: cluster.group_is("abd"), within=2.0))
        return cluster

    def test_given_a_restarted_owner_when_an_old_directory_comes_then_the_group_stays(self):
        cluster = self.moved()
        cluster.lose_power("a", "b", "d")
        for name in "abd":
            cluster.start(name)
        cluster.run_until(lambda: cluster.leader() is not None, within=2.0)
        cluster.set_target("abc", number=1)
        cluster.run(3.0)
        self.assertTrue(cluster.group_is("abd"))
        self.assertEqual(2, cluster.leader().replica.committed_placement_number)

    def test_given_an_owner_that_knows_a_later_placement_when_an_old_one_comes_then_it_is_not_followed(self):
        cluster = self.moved()
        cluster.set_target("abc", number=1)
        cluster.run(2.0)
        self.assertTrue(cluster.group_is("abd"))
        cluster.set_target("abc", number=3)
        self.assertTrue(cluster.run_until(lambda: cluster.group_is("abc"), within=2.0))

    def test_given_a_snapshot_and_no_entries_of_the_group_when_an_old_one_comes_then_the_group_stays(self):
        cluster = self.moved()
        for count in range(20):
            self.write(cluster, b"%d" % count)
        for name in "abd":
            cluster.compact(name)
            cluster.checkpoint(name)
        cluster.run(0.1)
        cluster.lose_power("a", "b", "d")
        for name in "abd":
            cluster.start(name)
        cluster.run_until(lambda: cluster.leader() is not None, within=2.0)
        cluster.set_target("abc", number=1)
        cluster.run(3.0)
        self.assertTrue(cluster.group_is("abd"))

    def test_given_an_installed_snapshot_then_its_replica_holds_the_number_of_the_group(self):
        cluster = self.given(others="d")
        cluster.set_target("abc", number=4)
        for count in range(600):
            cluster.propose(b"%d" % count)
        cluster.run(1.0)
        for name in "abc":
            cluster.compact(name)
        cluster.set_target("abcd", number=5)
        self.assertTrue(cluster.run_until(lambda: cluster.group_is("abcd"), within=2.0))
        self.assertEqual(5, cluster.nodes["d"].replica.placement_number)

    def test_given_a_placement_that_the_group_meets_already_then_its_number_is_noted_once(self):
        cluster = self.given()
        cluster.set_target("abc", number=1)
        cluster.run(2.0)
        groups = [entry for entry in cluster.promises.history if entry.kind == EntryKind.GROUP]
        self.assertEqual([1], [decode_placement_number(entry.data) for entry in groups])
        self.assertEqual(1, cluster.leader().replica.committed_placement_number)

    def test_given_a_target_of_a_former_ownership_when_it_owns_again_then_it_is_not_followed(self):
        cluster = self.given(others="d")
        first = cluster.leader()
        cluster.isolate(first.name)
        cluster.set_target_at(first, "abd", term=first.replica.term)
        cluster.run(1.5)
        self.assertNotEqual(first, cluster.leader())
        cluster.heal()
        cluster.run(0.5)
        cluster.transfer()
        self.assertTrue(cluster.run_until(lambda: cluster.leader() is first, within=3.0))
        cluster.run(2.0)
        self.assertTrue(cluster.group_is("abc"))

    def test_given_a_group_without_a_number_then_it_is_read_as_number_nought(self):
        old = b"a#1\nb#1"
        self.assertEqual((("a#1", "b#1"), 0), (decode_group(old), decode_placement_number(old)))
        self.assertEqual(old, encode_group(("a#1", "b#1")))
        new = encode_group(("a#1",), 7)
        self.assertEqual((("a#1",), 7), (decode_group(new), decode_placement_number(new)))


class TestBetweenTheSteps(PlacementStory):
    def test_given_a_learner_whose_disk_stands_still_then_it_gets_no_vote(self):
        for lost in "bc":
            cluster = self.given(others="d")
            cluster.stall_disk("d")
            cluster.set_target("abd")
            cluster.run(1.0)
            cluster.lose_power(lost)
            self.write(cluster, b"with one lost")

    def test_given_two_to_be_replaced_and_one_successor_gone_then_the_dead_one_does_not_count(self):
        cluster = self.given("abcde", others="fg")
        cluster.lose_power("d", "e")
        cluster.lose_power("g")
        cluster.set_target("abcfg")
        cluster.run(CATCHUP_S)
        leader = cluster.leader()
        cluster.lose_power(next(name for name in "abc" if name != leader.name))
        self.write(cluster, b"with the third lost after one was replaced")

    def test_given_live_ones_to_be_replaced_then_the_group_is_never_larger_by_two(self):
        cluster = self.given("abc", others="xyz")
        cluster.set_target("xyz")
        self.assertTrue(cluster.run_until(lambda: cluster.group_is("xyz"), within=CATCHUP_S))
        groups = [
            decode_group(entry.data) for entry in cluster.promises.history if entry.kind == EntryKind.GROUP
        ]
        self.assertEqual({3, 4}, {len(group) for group in groups})

    def test_given_a_lagging_voter_then_a_live_one_leaves_only_once_the_others_can_do_without(self):
        live = {"a", "b", "c", "d"}
        caught_up = {"a", "b", "c"}
        voters, target = ("a", "b", "c", "d"), ("a", "b", "d")
        step = next_group(voters, target, "a", live.__contains__, caught_up.__contains__)
        self.assertIsNone(step)
        step = next_group(voters, target, "a", (live - {"c"}).__contains__, caught_up.__contains__)
        self.assertEqual(target, step)

    def test_given_a_loss_at_each_moment_of_a_planned_replacement_then_a_majority_lives(self):
        for group, target, others in (("abc", "abd", "d"), ("abc", "xbc", "x"), ("abcde", "abcxy", "xy")):
            for lost in target:
                for tick in range(0, 30, 2):
                    self.lose_one_amid(group, target, others, lost, tick)

    def lose_one_amid(self, group, target, others, lost, tick):
        cluster = self.given(group, others)
        cluster.set_target(target)
        cluster.run(tick * TICK)
        cluster.lose_power(lost)
        try:
            self.write(cluster, b"after", within=2.0)
        except AssertionError as fault:
            raise AssertionError(f"{group} to {target}, {lost} lost after {tick} ticks: {fault}") from None
        self.assertTrue(cluster.committed(b"before"))

    def test_given_two_losses_of_five_at_any_moments_of_a_replacement_then_a_majority_lives(self):
        rng = random.Random(5)
        for seed in range(60):
            lost = rng.sample("abcd", 2)
            ticks = (rng.randrange(30), rng.randrange(30))
            with _Named(f"seed {seed}: {lost} lost after {ticks} ticks"):
                cluster = self.given("abcde", "x", seed=seed)
                cluster.set_target("abcdx")
                for name, count in zip(lost, ticks, strict=True):
                    cluster.run(count * TICK)
                    cluster.lose_power(name)
                self.write(cluster, b"after", within=2.5)


class TestHandoverAmidAChange(PlacementStory):
    """Ownership goes over while the group is on its way."""

    def test_given_a_handover_at_each_moment_of_a_change_then_the_change_is_completed_by_the_next_owner(self):
        for tick in range(0, 40):
            with _Named(f"handed over after {tick} ticks"):
                cluster = self.given("abc", others="xy")
                cluster.set_target("xyc", number=1)
                cluster.run(tick * TICK)
                if cluster.leader() is not None:
                    cluster.transfer()
                done = cluster.run_until(lambda c=cluster: c.group_is("xyc"), within=CATCHUP_S)
                self.assertTrue(done, cluster.promises.group)

    def test_given_the_owner_is_to_be_replaced_when_it_dies_at_each_moment_then_the_others_go_on(self):
        for tick in range(0, 40):
            with _Named(f"the leader lost after {tick} ticks"):
                cluster = self.given("abc", others="x")
                leader = cluster.leader().name
                rest = "abc".replace(leader, "") + "x"
                cluster.set_target(rest, number=1)
                cluster.run(tick * TICK)
                cluster.lose_power(leader)
                self.write(cluster, b"after", within=2.0)
                done = cluster.run_until(lambda c=cluster, r=rest: c.group_is(r), within=CATCHUP_S)
                self.assertTrue(done, cluster.promises.group)

    def test_given_a_member_that_left_and_is_gone_with_its_disk_at_once_then_nothing_committed_is_lost(self):
        for lagging in "abx":
            with _Named(f"{lagging} on a slow disk"):
                cluster = self.given("abc", others="x")
                leaving = cluster.leader().name
                cluster.nodes[lagging].disk_delay = 0.2
                target = "".join(sorted("abcx".replace(leaving, "")))
                cluster.set_target(target, number=1)
                for count in range(40):
                    cluster.propose(b"%d" % count)
                    cluster.run(TICK)
                written = cluster.promises.commands()
                self.assertTrue(
                    cluster.run_until(lambda c=cluster, t=target: c.group_is(t), within=CATCHUP_S)
                )
                settled = cluster.run_until(
                    lambda c=cluster: c.leader().replica.is_stable(c.now), within=CATCHUP_S
                )
                self.assertTrue(settled)
                cluster.wipe(leaving)
                cluster.wipe(target[0])
                self.write(cluster, b"after", within=3.0)
                self.assertEqual(written, cluster.promises.commands()[: len(written)])

    def test_given_two_placements_at_once_then_the_later_one_is_reached_whichever_comes_first(self):
        for order in ((1, 2), (2, 1)):
            cluster = self.given("abc", others="xy")
            wished = {1: "abx", 2: "axy"}
            for number in order:
                cluster.set_target(wished[number], number=number)
                cluster.run(0.04)
            self.assertTrue(cluster.run_until(lambda c=cluster: c.group_is("axy"), within=CATCHUP_S))
            self.assertEqual(2, cluster.leader().replica.committed_placement_number)

    def test_given_a_learner_that_is_dropped_and_named_again_then_it_catches_up(self):
        cluster = self.given("abc", others="x")
        learner = (cluster.nodes["x"].identity,)
        for wanted in (learner, (), learner):
            for node in cluster.nodes.values():
                node.replica.set_learners(wanted)
            for count in range(30):
                cluster.propose(b"%d" % count)
                cluster.run(TICK)
        cluster.run(0.5)
        self.assertEqual(cluster.promises.commands(), cluster.nodes["x"].commands)


class TestOneStepAtATime(PlacementStory):
    def test_given_an_owner_that_reaches_its_learners_alone_then_two_steps_do_not_outvote_the_others(self):
        cluster = self.given("abc", others="xy")
        leader = cluster.leader()
        leader.replica.set_learners((cluster.nodes["x"].identity, cluster.nodes["y"].identity))
        cluster.run(0.5)
        others = "abc".replace(leader.name, "")
        for other in others:
            cluster.cut(leader.name, other)
            cluster.cut(other, leader.name)
        cluster.set_target_at(leader, "abcxy")
        cluster.propose(b"on the smaller side", leader)
        cluster.run(1.5)
        self.assertFalse(cluster.committed(b"on the smaller side"))
        self.write(cluster, b"on the larger side")
        cluster.heal()
        cluster.run(2.0)


class TestSettled(PlacementStory):
    """What a leader says of its group: that nothing is under way and every live voter holds everything."""

    def test_given_a_change_that_is_not_committed_then_the_group_before_is_told_and_it_is_not_settled(self):
        cluster = self.given("abc", others="x")
        leader = cluster.leader()
        cluster.run(0.6)
        self.assertTrue(leader.replica.is_stable(cluster.now))
        for other in "abc".replace(leader.name, ""):
            cluster.stall_disk(other)
        cluster.set_target("abx", number=1)
        cluster.run_until(lambda: len(leader.replica.voters) == 4, within=1.0)
        self.assertEqual(4, len(leader.replica.voters))
        self.assertEqual((cluster.founders, 0), self.reported(leader))
        self.assertFalse(leader.replica.is_stable(cluster.now))
        for other in "abc".replace(leader.name, ""):
            cluster.resume_disk(other)
        self.assertTrue(
            cluster.run_until(lambda: cluster.leader().replica.is_stable(cluster.now), within=2.0)
        )

    def reported(self, node):
        return node.replica.committed_voters, node.replica.committed_placement_number

    def test_given_a_live_voter_whose_disk_lags_then_the_group_is_not_settled_until_it_has_caught_up(self):
        cluster = self.given("abc")
        leader = cluster.leader()
        lagging = next(name for name in "abc" if name != leader.name)
        cluster.stall_disk(lagging)
        self.write(cluster, b"that one lacks this")
        cluster.run(0.7)
        self.assertFalse(leader.replica.is_stable(cluster.now))
        cluster.resume_disk(lagging)
        self.assertTrue(cluster.run_until(lambda: leader.replica.is_stable(cluster.now), within=1.0))

    def test_given_a_voter_that_is_down_then_the_others_are_settled_and_without_a_majority_nobody_is(self):
        cluster = self.given("abc")
        leader = cluster.leader()
        first, second = (name for name in "abc" if name != leader.name)
        cluster.lose_power(first)
        self.write(cluster, b"one is down")
        cluster.run(0.7)
        self.assertTrue(leader.replica.is_stable(cluster.now))
        self.assertFalse(cluster.nodes[second].replica.is_stable(cluster.now))
        cluster.lose_power(second)
        cluster.run(0.7)
        self.assertFalse(leader.replica.is_stable(cluster.now))


class TestTimeUntilALossIsBorneAgain(PlacementStory):
    """From a machine's return until its group is settled with all its voters, on slow disks under load."""

    def span(self, prepare, target, disk_delay):
        cluster = self.given("abc", others="x")
        for count in range(600):
            cluster.propose(b"%d" % count)
            if count % 50 == 0:
                cluster.run(TICK)
        cluster.run(1.0)
        for name in "abc":
            cluster.compact(name)
        for node in cluster.nodes.values():
            node.disk_delay = disk_delay
        prepare(cluster)
        begun = cluster.now
        cluster.set_target(target, number=1)

        def is_complete():
            cluster.propose(b"load")
            leader = cluster.leader()
            if leader is None or not cluster.group_is(target) or not leader.replica.is_stable(cluster.now):
                return False
            return all(cluster.nodes[name].applied_index >= leader.applied_index - 50 for name in target)

        self.assertTrue(cluster.run_until(is_complete, within=CATCHUP_S), f"{target}, {disk_delay}")
        return cluster.now - begun

    def test_given_slow_disks_and_load_then_a_loss_is_borne_within_the_time_that_it_counts(self):
        for disk_delay in (0.002, 0.02, 0.1):
            for target in ("abc", "abx"):
                self.span(self.wiped, target, disk_delay)
                self.span(self.lost, "abx", disk_delay)

    @staticmethod
    def wiped(cluster):
        cluster.wipe("c")
        cluster.run(1.0)
        cluster.start("c")

    @staticmethod
    def lost(cluster):
        cluster.lose_power("c")
        cluster.run(1.5)


class _Named:
    """Says which case of many a failure belongs to."""

    def __init__(self, words):
        self._words = words

    def __enter__(self):
        return self

    def __exit__(self, kind, fault, trace):
        if kind is not None and issubclass(kind, AssertionError):
            raise AssertionError(f"{self._words}: {fault}") from fault
