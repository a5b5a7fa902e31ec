"""Stories of a replicated shard: leadership, losses, disks, groups and reads."""

import testtools

from kestrelbend.tier.replication import Timing
from kestrelbend.tier.replication.messages import AppendEntries, SnapshotChunk
from tests.tier.replication_harness import Cluster


def settled(names="abc", **options):
    """A cluster whose first leader has committed a command."""
    cluster = Cluster(names, **options)
    cluster.run(1.0)
    cluster.propose(b"first")
    assert cluster.run_until(lambda: cluster.committed(b"first"), 0.5)
    return cluster


class OwnershipStories(testtools.TestCase):
    def test_the_first_of_the_group_owns_and_commits(self):
        cluster = settled()
        self.assertEqual("a", cluster.leader().name)
        self.assertEqual([b"first"], cluster.nodes["c"].commands)

    def test_the_first_live_one_follows_an_owner_that_dies(self):
        cluster = settled("abcde")
        cluster.lose_power("a", "b")
        self.assertTrue(cluster.run_until(cluster.leader, 1.2))
        self.assertEqual("c", cluster.leader().name)

    def test_an_earlier_one_that_returns_does_not_take_over(self):
        cluster = settled()
        cluster.lose_power("a")
        cluster.run(1.5)
        term = cluster.leader().replica.term
        cluster.start("a")
        cluster.run(3.0)
        self.assertEqual(("b", term), (cluster.leader().name, cluster.leader().replica.term))

    def test_a_replica_that_was_cut_off_returns_without_an_election(self):
        cluster = settled()
        cluster.isolate("c")
        cluster.run(3.0)
        cluster.heal()
        cluster.run(1.0)
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))

    def test_an_owner_cut_off_gives_up_and_commits_nothing_more(self):
        cluster = settled()
        cluster.isolate("a")
        cluster.propose(b"unheard", cluster.nodes["a"])
        self.assertTrue(cluster.run_until(lambda: not cluster.nodes["a"].replica.is_leader, 0.6))
        cluster.run(1.0)
        cluster.heal()
        cluster.run(1.0)
        self.assertFalse(cluster.committed(b"unheard"))

    def test_an_owner_that_hears_nobody_is_replaced_though_it_can_speak(self):
        cluster = settled()
        cluster.cut("b", "a")
        cluster.cut("c", "a")
        self.assertTrue(cluster.run_until(lambda: cluster.leader() and cluster.leader().name == "b", 2.0))

    def test_a_thawed_owner_takes_no_proposal_by_its_old_contacts(self):
        cluster = settled()
        cluster.freeze("a")
        cluster.run(2.0)
        cluster.nodes["a"].frozen = False
        self.assertIsNone(cluster.propose(b"late", cluster.nodes["a"]))
        self.assertFalse(cluster.nodes["a"].replica.is_in_contact(cluster.now))

    def test_a_planned_leaving_hands_over_within_a_few_round_trips(self):
        cluster = settled()
        cluster.transfer()
        self.assertIsNone(cluster.propose(b"refused", cluster.nodes["a"]))
        self.assertTrue(cluster.run_until(lambda: cluster.leader() and cluster.leader().name == "b", 0.1))

    def test_a_handover_that_nobody_takes_ends_with_the_old_owner(self):
        cluster = settled()
        cluster.stall_disk("b")
        cluster.stall_disk("c")
        cluster.propose(b"under way")
        cluster.transfer()
        cluster.run(1.2)
        self.assertIsNotNone(cluster.propose(b"again"))


class DiskStories(testtools.TestCase):
    def test_nothing_is_acknowledged_before_a_majority_has_written(self):
        cluster = settled()
        cluster.stall_disk("b")
        cluster.stall_disk("c")
        cluster.propose(b"held")
        cluster.run(0.5)
        self.assertFalse(cluster.committed(b"held"))
        cluster.resume_disk("c")
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"held"), 0.2))

    def test_the_owner_counts_its_own_disk_only_once_written(self):
        cluster = settled()
        cluster.stall_disk("a")
        cluster.stall_disk("c")
        cluster.propose(b"on one disk")
        cluster.run(0.3)
        self.assertFalse(cluster.committed(b"on one disk"))

    def test_no_vote_leaves_before_it_is_on_the_disk(self):
        cluster = settled()
        cluster.lose_power("a")
        cluster.stall_disk("c")
        cluster.run(1.5)
        self.assertIsNone(cluster.leader())
        cluster.resume_disk("c")
        self.assertTrue(cluster.run_until(cluster.leader, 0.1))

    def test_a_vote_asked_for_twice_is_given_and_counts_once(self):
        cluster = Cluster()
        cluster.links.duplication = 1.0
        cluster.run(1.0)
        cluster.lose_power("a")
        self.assertTrue(cluster.run_until(cluster.leader, 1.2))

    def test_a_slow_disk_costs_no_contact(self):
        cluster = settled()
        cluster.stall_disk("c")
        cluster.propose(b"more")
        cluster.run(3.0)
        self.assertTrue(cluster.nodes["c"].replica.is_in_contact(cluster.now))
        self.assertEqual(1, cluster.leader().replica.term)

    def test_an_owner_whose_disk_stalls_hands_over_what_the_others_hold(self):
        cluster = settled()
        cluster.stall_disk("a")
        cluster.propose(b"held by others")
        self.assertTrue(cluster.run_until(lambda: cluster.leader() and cluster.leader().name == "b", 1.2))
        self.assertIsNotNone(cluster.propose(b"next"))
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"next"), 0.2))

    def test_an_election_comes_through_on_slow_disks(self):
        cluster = Cluster()
        for node in cluster.nodes.values():
            node.disk_delay = 0.5
        self.assertTrue(cluster.run_until(cluster.leader, 2.5))

    def test_power_lost_everywhere_loses_nothing_committed(self):
        cluster = settled()
        cluster.lose_power("a", "b", "c")
        for name in "abc":
            cluster.start(name)
        self.assertTrue(cluster.run_until(cluster.leader, 1.5))
        cluster.run(0.5)
        self.assertEqual([b"first"], cluster.leader().commands)

    def test_one_disk_lost_and_power_everywhere_loses_nothing_committed(self):
        cluster = settled()
        cluster.lose_power("b", "c")
        cluster.wipe("a")
        for name in "abc":
            cluster.start(name)
        cluster.run(1.5)
        self.assertEqual([b"first"], cluster.leader().commands)

    def test_an_emptied_disk_counts_for_nobody(self):
        cluster = settled()
        cluster.lose_power("b")
        cluster.wipe("c")
        cluster.start("c")
        cluster.run(3.0)
        self.assertIsNone(cluster.leader())
        self.assertEqual((), cluster.nodes["c"].replica.voters)


class GroupStories(testtools.TestCase):
    def test_an_emptied_disk_joins_as_a_learner_and_then_votes(self):
        cluster = settled()
        cluster.wipe("c")
        cluster.start("c")
        cluster.set_target("abc")
        cluster.run(1.0)
        self.assertEqual(("a#1", "b#1", "c#2"), cluster.leader().replica.voters)
        self.assertEqual([b"first"], cluster.nodes["c"].commands)
        cluster.lose_power("b")
        cluster.propose(b"second")
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"second"), 0.5))

    def test_a_group_moves_wholly_and_the_owner_goes_last(self):
        cluster = settled("abc", others="def")
        cluster.set_target("def")
        cluster.run(3.0)
        self.assertEqual("d", cluster.leader().name)
        self.assertEqual(("d#1", "e#1", "f#1"), cluster.leader().replica.voters)
        self.assertEqual([b"first"], cluster.nodes["f"].commands)

    def test_a_dead_newcomer_does_not_become_a_voter(self):
        cluster = settled("abc", others="d")
        cluster.lose_power("d")
        cluster.set_target("abd")
        cluster.run(2.0)
        self.assertEqual(("a#1", "b#1", "c#1"), cluster.leader().replica.voters)

    def test_no_voter_goes_while_the_rest_lacks_a_live_majority(self):
        cluster = settled("abc")
        cluster.lose_power("b")
        cluster.run(1.0)
        cluster.set_target("ab")
        cluster.run(2.0)
        self.assertEqual(("a#1", "b#1", "c#1"), cluster.leader().replica.voters)

    def test_a_newcomer_gives_the_vote_that_its_own_entry_waits_for(self):
        cluster = settled("abc", others="d")
        cluster.leader().replica.set_learners(("d#1",))
        cluster.run(0.3)
        cluster.lose_power("c")
        cluster.cut("a", "b")
        cluster.cut("a", "d")
        cluster.set_target("abcd")
        cluster.run(0.06)
        self.assertEqual((4, 0), tuple(len(cluster.nodes[name].replica.voters) for name in "ad"))
        cluster.lose_power("a")
        cluster.start("a")
        cluster.heal()
        self.assertTrue(cluster.run_until(cluster.leader, 2.0))

    def test_who_left_learns_of_it_and_asks_for_no_votes(self):
        cluster = settled("abcd")
        cluster.set_target("abc")
        cluster.run(1.0)
        self.assertEqual(("a#1", "b#1", "c#1"), cluster.nodes["d"].replica.voters)
        cluster.sent.clear()
        cluster.run(3.0)
        self.assertEqual([], [message for sender, _, message in cluster.sent if sender == "d"][20:])

    def test_a_removal_does_not_block_the_group_when_the_owner_dies_with_it(self):
        cluster = settled("abcd")
        cluster.cut("a", "b")
        cluster.cut("a", "c")
        cluster.set_target("abc")
        cluster.run(0.06)
        cluster.wipe("a")
        cluster.heal()
        self.assertTrue(cluster.run_until(cluster.leader, 2.0))

    def test_a_new_order_changes_who_owns_next(self):
        cluster = settled()
        cluster.set_target("acb")
        cluster.run(0.5)
        cluster.lose_power("a")
        self.assertTrue(cluster.run_until(cluster.leader, 1.0))
        self.assertEqual("c", cluster.leader().name)


class ReadAndLogStories(testtools.TestCase):
    def test_a_read_is_confirmed_by_a_round_begun_after_it(self):
        cluster = settled()
        ticket = cluster.confirm_read()
        self.assertEqual([], cluster.leader().confirmed)
        cluster.run(0.02)
        self.assertEqual([ticket], cluster.leader().confirmed)

    def test_a_read_at_an_owner_that_was_replaced_is_lost(self):
        cluster = settled()
        cluster.isolate("a")
        cluster.confirm_read(cluster.nodes["a"])
        cluster.run(2.0)
        self.assertEqual([], cluster.nodes["a"].confirmed)

    def test_a_commit_index_does_not_wait_for_the_next_heartbeat(self):
        cluster = settled()
        cluster.run(0.02)
        cluster.propose(b"quick")
        cluster.run(0.02)
        self.assertEqual([b"first", b"quick"], cluster.nodes["c"].commands)

    def test_a_follower_far_behind_gets_a_snapshot_and_then_entries(self):
        cluster = settled(timing=Timing(retention=0.0))
        cluster.lose_power("c")
        for number in range(1200):
            cluster.propose(b"%d" % number)
        cluster.run(0.2)
        cluster.compact("a")
        cluster.propose(b"last")
        cluster.start("c")
        cluster.run(0.5)
        self.assertEqual(cluster.invariants.commands(), cluster.nodes["c"].commands)
        chunks = [message for _, _, message in cluster.sent if isinstance(message, SnapshotChunk)]
        self.assertEqual(1, len({chunk.snapshot.index for chunk in chunks}))
        self.assertEqual(chunks[0].size, sum(len(chunk.data) for chunk in chunks))

    def test_a_replica_goes_on_from_its_snapshot_after_a_restart(self):
        cluster = settled()
        cluster.compact("b")
        cluster.run(0.1)
        cluster.lose_power("b")
        cluster.start("b")
        cluster.propose(b"second")
        cluster.run(0.5)
        self.assertEqual([b"first", b"second"], cluster.nodes["b"].commands)

    def test_an_append_is_capped_and_no_entry_is_sent_twice_on_sound_links(self):
        cluster = settled()
        cluster.sent.clear()
        for _ in range(20):
            cluster.propose(b"x" * 100_000)
        cluster.run(0.5)
        appends = [m for _, to, m in cluster.sent if to == "b" and isinstance(m, AppendEntries) and m.entries]
        self.assertTrue(all(sum(len(e.data) for e in m.entries) <= 512 * 1024 for m in appends))
        self.assertEqual(20, sum(len(message.entries) for message in appends))
