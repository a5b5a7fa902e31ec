"""Which failures a group tolerates while it changes, and which placements a leader follows."""

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

CATCHUP_S = 4.0  # within which a group must tolerate as many failures as before


class PlacementTestCase(testtools.TestCase):
    """Starts a cluster with a leader that has committed a command."""

    def start_cluster(self, names="abc", others="", **options):
        cluster = Cluster(names, others, **options)
        cluster.run_until(lambda: cluster.leader() is not None, within=2.0)
        self.commit_command(cluster, b"before")
        return cluster

    def commit_command(self, cluster, command, within=3.0):
        """Proposes until the command is committed."""
        done = cluster.run_until(lambda: self._propose_if_uncommitted(cluster, command), within)
        self.assertTrue(done, f"{command} was not committed in {within} s")

    def _propose_if_uncommitted(self, cluster, command):
        if not cluster.committed(command):
            cluster.propose(command)
        return cluster.committed(command)


class TestPlacementNumber(PlacementTestCase):
    def cluster_with_group_abd(self):
        """A cluster whose second placement changed the group from `abc` to `abd`."""
        cluster = self.start_cluster(others="d")
        cluster.set_target("abc", number=1)
        cluster.run(0.5)
        cluster.set_target("abd", number=2)
        self.assertTrue(cluster.run_until(lambda: cluster.has_group("abd"), within=2.0))
        return cluster

    def test_given_restarted_replicas_when_an_older_placement_arrives_then_the_group_does_not_change(self):
        cluster = self.cluster_with_group_abd()
        cluster.lose_power("a", "b", "d")
        for name in "abd":
            cluster.start(name)
        cluster.run_until(lambda: cluster.leader() is not None, within=2.0)
        cluster.set_target("abc", number=1)
        cluster.run(3.0)
        self.assertTrue(cluster.has_group("abd"))
        self.assertEqual(2, cluster.leader().replica.committed_placement_number)

    def test_given_a_leader_with_a_later_placement_when_an_older_one_arrives_then_it_is_ignored(self):
        cluster = self.cluster_with_group_abd()
        cluster.set_target("abc", number=1)
        cluster.run(2.0)
        self.assertTrue(cluster.has_group("abd"))
        cluster.set_target("abc", number=3)
        self.assertTrue(cluster.run_until(lambda: cluster.has_group("abc"), within=2.0))

    def test_given_a_snapshot_without_group_entries_when_an_older_placement_arrives_then_it_is_ignored(self):
        cluster = self.cluster_with_group_abd()
        for count in range(20):
            self.commit_command(cluster, b"%d" % count)
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
        self.assertTrue(cluster.has_group("abd"))

    def test_given_an_installed_snapshot_then_the_replica_has_the_placement_number_of_its_group(self):
        cluster = self.start_cluster(others="d")
        cluster.set_target("abc", number=4)
        for count in range(600):
            cluster.propose(b"%d" % count)
        cluster.run(1.0)
        for name in "abc":
            cluster.compact(name)
        cluster.set_target("abcd", number=5)
        self.assertTrue(cluster.run_until(lambda: cluster.has_group("abcd"), within=2.0))
        self.assertEqual(5, cluster.nodes["d"].replica.placement_number)

    def test_given_a_placement_that_the_group_already_matches_then_its_number_is_recorded_once(self):
        cluster = self.start_cluster()
        cluster.set_target("abc", number=1)
        cluster.run(2.0)
        groups = [entry for entry in cluster.invariants.committed_entries if entry.kind == EntryKind.GROUP]
        self.assertEqual([1], [decode_placement_number(entry.data) for entry in groups])
        self.assertEqual(1, cluster.leader().replica.committed_placement_number)

    def test_given_a_target_of_an_earlier_term_when_its_leader_leads_again_then_it_is_ignored(self):
        cluster = self.start_cluster(others="d")
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
        self.assertTrue(cluster.has_group("abc"))

    def test_given_a_group_without_a_number_then_it_is_decoded_as_number_zero(self):
        old = b"a#1\nb#1"
        self.assertEqual((("a#1", "b#1"), 0), (decode_group(old), decode_placement_number(old)))
        self.assertEqual(old, encode_group(("a#1", "b#1")))
        new = encode_group(("a#1",), 7)
        self.assertEqual((("a#1",), 7), (decode_group(new), decode_placement_number(new)))


class TestLossDuringAGroupChange(PlacementTestCase):
    def test_given_a_learner_with_a_stalled_disk_then_it_does_not_become_a_voter(self):
        for lost in "bc":
            cluster = self.start_cluster(others="d")
            cluster.stall_disk("d")
            cluster.set_target("abd")
            cluster.run(1.0)
            cluster.lose_power(lost)
            self.commit_command(cluster, b"with one lost")

    def test_given_two_dead_voters_and_one_dead_replacement_then_one_voter_is_still_replaced(self):
        cluster = self.start_cluster("abcde", others="fg")
        cluster.lose_power("d", "e")
        cluster.lose_power("g")
        cluster.set_target("abcfg")
        cluster.run(CATCHUP_S)
        leader = cluster.leader()
        cluster.lose_power(next(name for name in "abc" if name != leader.name))
        self.commit_command(cluster, b"third voter lost after one was replaced")

    def test_given_live_voters_to_replace_then_the_group_exceeds_its_size_by_at_most_one(self):
        cluster = self.start_cluster("abc", others="xyz")
        cluster.set_target("xyz")
        self.assertTrue(cluster.run_until(lambda: cluster.has_group("xyz"), within=CATCHUP_S))
        groups = [
            decode_group(entry.data)
            for entry in cluster.invariants.committed_entries
            if entry.kind == EntryKind.GROUP
        ]
        self.assertEqual({3, 4}, {len(group) for group in groups})

    def test_given_a_lagging_voter_then_a_live_voter_is_removed_only_once_the_others_are_caught_up(self):
        live = {"a", "b", "c", "d"}
        caught_up = {"a", "b", "c"}
        voters, target = ("a", "b", "c", "d"), ("a", "b", "d")
        step = next_group(voters, target, "a", live.__contains__, caught_up.__contains__)
        self.assertIsNone(step)
        step = next_group(voters, target, "a", (live - {"c"}).__contains__, caught_up.__contains__)
        self.assertEqual(target, step)

    def test_given_one_loss_at_any_time_of_a_planned_replacement_then_commands_are_committed(self):
        for group, target, others in (("abc", "abd", "d"), ("abc", "xbc", "x"), ("abcde", "abcxy", "xy")):
            for lost in target:
                for tick in range(0, 30, 2):
                    self.check_loss(group, target, others, lost, tick)

    def check_loss(self, group, target, others, lost, tick):
        cluster = self.start_cluster(group, others)
        cluster.set_target(target)
        cluster.run(tick * TICK)
        cluster.lose_power(lost)
        try:
            self.commit_command(cluster, b"after", within=2.0)
        except AssertionError as error:
            raise AssertionError(f"{group} to {target}, {lost} lost after {tick} ticks: {error}") from None
        self.assertTrue(cluster.committed(b"before"))

    def test_given_two_losses_of_five_at_any_time_of_a_replacement_then_commands_are_committed(self):
        rng = random.Random(5)
        for seed in range(60):
            lost = rng.sample("abcd", 2)
            ticks = (rng.randrange(30), rng.randrange(30))
            with _FailureContext(f"seed {seed}: {lost} lost after {ticks} ticks"):
                cluster = self.start_cluster("abcde", "x", seed=seed)
                cluster.set_target("abcdx")
                for name, count in zip(lost, ticks, strict=True):
                    cluster.run(count * TICK)
                    cluster.lose_power(name)
                self.commit_command(cluster, b"after", within=2.5)


class TestLeadershipTransferDuringAGroupChange(PlacementTestCase):
    """The leadership is transferred or lost while the group changes."""

    def test_given_a_transfer_at_any_time_of_a_change_then_the_next_leader_completes_the_change(self):
        for tick in range(0, 40):
            with _FailureContext(f"leadership transferred after {tick} ticks"):
                cluster = self.start_cluster("abc", others="xy")
                cluster.set_target("xyc", number=1)
                cluster.run(tick * TICK)
                if cluster.leader() is not None:
                    cluster.transfer()
                done = cluster.run_until(lambda c=cluster: c.has_group("xyc"), within=CATCHUP_S)
                self.assertTrue(done, cluster.invariants.group)

    def test_given_a_leader_to_be_replaced_when_it_fails_at_any_time_then_the_others_complete_the_change(
        self,
    ):
        for tick in range(0, 40):
            with _FailureContext(f"leader lost after {tick} ticks"):
                cluster = self.start_cluster("abc", others="x")
                leader = cluster.leader().name
                new_group = "abc".replace(leader, "") + "x"
                cluster.set_target(new_group, number=1)
                cluster.run(tick * TICK)
                cluster.lose_power(leader)
                self.commit_command(cluster, b"after", within=2.0)
                done = cluster.run_until(lambda c=cluster, r=new_group: c.has_group(r), within=CATCHUP_S)
                self.assertTrue(done, cluster.invariants.group)

    def test_given_a_removed_voter_when_its_disk_and_another_are_erased_then_no_committed_entry_is_lost(self):
        for lagging in "abx":
            with _FailureContext(f"{lagging} has a slow disk"):
                cluster = self.start_cluster("abc", others="x")
                leaving = cluster.leader().name
                cluster.nodes[lagging].disk_delay = 0.2
                target = "".join(sorted("abcx".replace(leaving, "")))
                cluster.set_target(target, number=1)
                for count in range(40):
                    cluster.propose(b"%d" % count)
                    cluster.run(TICK)
                written = cluster.invariants.commands()
                self.assertTrue(
                    cluster.run_until(lambda c=cluster, t=target: c.has_group(t), within=CATCHUP_S)
                )
                became_stable = cluster.run_until(
                    lambda c=cluster: c.leader().replica.is_stable(c.now), within=CATCHUP_S
                )
                self.assertTrue(became_stable)
                cluster.erase_disk(leaving)
                cluster.erase_disk(target[0])
                self.commit_command(cluster, b"after", within=3.0)
                self.assertEqual(written, cluster.invariants.commands()[: len(written)])

    def test_given_two_placements_in_any_order_then_the_one_with_the_higher_number_is_reached(self):
        for order in ((1, 2), (2, 1)):
            cluster = self.start_cluster("abc", others="xy")
            targets = {1: "abx", 2: "axy"}
            for number in order:
                cluster.set_target(targets[number], number=number)
                cluster.run(0.04)
            self.assertTrue(cluster.run_until(lambda c=cluster: c.has_group("axy"), within=CATCHUP_S))
            self.assertEqual(2, cluster.leader().replica.committed_placement_number)

    def test_given_a_learner_that_is_removed_and_added_again_then_it_catches_up(self):
        cluster = self.start_cluster("abc", others="x")
        learner = (cluster.nodes["x"].identity,)
        for wanted in (learner, (), learner):
            for node in cluster.nodes.values():
                node.replica.set_learners(wanted)
            for count in range(30):
                cluster.propose(b"%d" % count)
                cluster.run(TICK)
        cluster.run(0.5)
        self.assertEqual(cluster.invariants.commands(), cluster.nodes["x"].commands)


class TestSingleServerChange(PlacementTestCase):
    def test_given_a_leader_that_reaches_only_its_learners_then_it_cannot_form_a_majority_with_them(self):
        cluster = self.start_cluster("abc", others="xy")
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
        self.commit_command(cluster, b"on the larger side")
        cluster.heal()
        cluster.run(2.0)


class TestStableGroup(PlacementTestCase):
    """A group is stable if no change is pending and every live voter holds all that is committed."""

    def test_given_an_uncommitted_change_then_the_previous_group_is_reported_and_it_is_not_stable(self):
        cluster = self.start_cluster("abc", others="x")
        leader = cluster.leader()
        cluster.run(0.6)
        self.assertTrue(leader.replica.is_stable(cluster.now))
        for other in "abc".replace(leader.name, ""):
            cluster.stall_disk(other)
        cluster.set_target("abx", number=1)
        cluster.run_until(lambda: len(leader.replica.voters) == 4, within=1.0)
        self.assertEqual(4, len(leader.replica.voters))
        self.assertEqual((cluster.founders, 0), self.committed_placement(leader))
        self.assertFalse(leader.replica.is_stable(cluster.now))
        for other in "abc".replace(leader.name, ""):
            cluster.resume_disk(other)
        self.assertTrue(
            cluster.run_until(lambda: cluster.leader().replica.is_stable(cluster.now), within=2.0)
        )

    def committed_placement(self, node):
        return node.replica.committed_voters, node.replica.committed_placement_number

    def test_given_a_live_voter_with_a_lagging_disk_then_the_group_is_not_stable_until_it_caught_up(self):
        cluster = self.start_cluster("abc")
        leader = cluster.leader()
        lagging = next(name for name in "abc" if name != leader.name)
        cluster.stall_disk(lagging)
        self.commit_command(cluster, b"missing at the lagging voter")
        cluster.run(0.7)
        self.assertFalse(leader.replica.is_stable(cluster.now))
        cluster.resume_disk(lagging)
        self.assertTrue(cluster.run_until(lambda: leader.replica.is_stable(cluster.now), within=1.0))

    def test_given_a_dead_voter_then_the_group_is_stable_unless_the_majority_is_lost(self):
        cluster = self.start_cluster("abc")
        leader = cluster.leader()
        first, second = (name for name in "abc" if name != leader.name)
        cluster.lose_power(first)
        self.commit_command(cluster, b"one is down")
        cluster.run(0.7)
        self.assertTrue(leader.replica.is_stable(cluster.now))
        self.assertFalse(cluster.nodes[second].replica.is_stable(cluster.now))
        cluster.lose_power(second)
        cluster.run(0.7)
        self.assertFalse(leader.replica.is_stable(cluster.now))


class TestRecoveryTime(PlacementTestCase):
    """Time from a machine's return until its group is complete and stable, with slow disks under load."""

    def measure_recovery(self, cause_failure, target, disk_delay):
        cluster = self.start_cluster("abc", others="x")
        for count in range(600):
            cluster.propose(b"%d" % count)
            if count % 50 == 0:
                cluster.run(TICK)
        cluster.run(1.0)
        for name in "abc":
            cluster.compact(name)
        for node in cluster.nodes.values():
            node.disk_delay = disk_delay
        cause_failure(cluster)
        started_at = cluster.now
        cluster.set_target(target, number=1)

        def is_complete():
            cluster.propose(b"load")
            leader = cluster.leader()
            if leader is None or not cluster.has_group(target) or not leader.replica.is_stable(cluster.now):
                return False
            return all(cluster.nodes[name].applied_index >= leader.applied_index - 50 for name in target)

        self.assertTrue(cluster.run_until(is_complete, within=CATCHUP_S), f"{target}, {disk_delay}")
        return cluster.now - started_at

    def test_given_slow_disks_and_load_then_the_group_is_stable_again_in_time(self):
        for disk_delay in (0.002, 0.02, 0.1):
            for target in ("abc", "abx"):
                self.measure_recovery(self.erase_third_disk, target, disk_delay)
                self.measure_recovery(self.lose_third_machine, "abx", disk_delay)

    @staticmethod
    def erase_third_disk(cluster):
        cluster.erase_disk("c")
        cluster.run(1.0)
        cluster.start("c")

    @staticmethod
    def lose_third_machine(cluster):
        cluster.lose_power("c")
        cluster.run(1.5)


class _FailureContext:
    """Adds the failing case to an assertion's message."""

    def __init__(self, description):
        self._description = description

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        if kind is not None and issubclass(kind, AssertionError):
            raise AssertionError(f"{self._description}: {error}") from error
