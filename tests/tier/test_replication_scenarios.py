"""Scenarios of a replicated shard: leadership, failures, disks, group changes and reads."""

import testtools

from kestrelbend.tier.replication import Timing
from kestrelbend.tier.replication.messages import AppendEntries, SnapshotChunk
from tests.tier.replication_harness import Cluster


def cluster_with_first_command(names="abc", **options):
    """A cluster whose first leader has committed a command."""
    cluster = Cluster(names, **options)
    cluster.run(1.0)
    cluster.propose(b"first")
    assert cluster.run_until(lambda: cluster.committed(b"first"), 0.5)
    return cluster


class LeadershipTest(testtools.TestCase):
    def test_the_first_voter_of_the_group_leads_and_commits(self):
        cluster = cluster_with_first_command()
        self.assertEqual("a", cluster.leader().name)
        self.assertEqual([b"first"], cluster.nodes["c"].commands)

    def test_the_first_live_voter_leads_after_the_leader_fails(self):
        cluster = cluster_with_first_command("abcde")
        cluster.lose_power("a", "b")
        self.assertTrue(cluster.run_until(cluster.leader, 1.2))
        self.assertEqual("c", cluster.leader().name)

    def test_an_earlier_voter_that_returns_does_not_depose_the_leader(self):
        cluster = cluster_with_first_command()
        cluster.lose_power("a")
        cluster.run(1.5)
        term = cluster.leader().replica.term
        cluster.start("a")
        cluster.run(3.0)
        self.assertEqual(("b", term), (cluster.leader().name, cluster.leader().replica.term))

    def test_a_partitioned_replica_returns_without_an_election(self):
        cluster = cluster_with_first_command()
        cluster.isolate("c")
        cluster.run(3.0)
        cluster.heal()
        cluster.run(1.0)
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))

    def test_a_partitioned_leader_steps_down_and_commits_nothing_more(self):
        cluster = cluster_with_first_command()
        cluster.isolate("a")
        cluster.propose(b"unreplicated", cluster.nodes["a"])
        self.assertTrue(cluster.run_until(lambda: not cluster.nodes["a"].replica.is_leader, 0.6))
        cluster.run(1.0)
        cluster.heal()
        cluster.run(1.0)
        self.assertFalse(cluster.committed(b"unreplicated"))

    def test_a_leader_that_can_send_but_not_receive_is_replaced(self):
        cluster = cluster_with_first_command()
        cluster.cut("b", "a")
        cluster.cut("c", "a")
        self.assertTrue(cluster.run_until(lambda: cluster.leader() and cluster.leader().name == "b", 2.0))

    def test_a_leader_accepts_no_proposal_after_a_pause(self):
        cluster = cluster_with_first_command()
        cluster.freeze("a")
        cluster.run(2.0)
        cluster.nodes["a"].frozen = False
        self.assertIsNone(cluster.propose(b"late", cluster.nodes["a"]))
        self.assertFalse(cluster.nodes["a"].replica.is_in_contact(cluster.now))

    def test_a_leadership_transfer_completes_within_a_few_round_trips(self):
        cluster = cluster_with_first_command()
        cluster.transfer()
        self.assertIsNone(cluster.propose(b"refused", cluster.nodes["a"]))
        self.assertTrue(cluster.run_until(lambda: cluster.leader() and cluster.leader().name == "b", 0.1))

    def test_a_failed_leadership_transfer_leaves_the_old_leader_in_place(self):
        cluster = cluster_with_first_command()
        cluster.stall_disk("b")
        cluster.stall_disk("c")
        cluster.propose(b"under way")
        cluster.transfer()
        cluster.run(1.2)
        self.assertIsNotNone(cluster.propose(b"again"))


class DiskTest(testtools.TestCase):
    def test_a_command_is_not_committed_before_a_majority_has_written_it(self):
        cluster = cluster_with_first_command()
        cluster.stall_disk("b")
        cluster.stall_disk("c")
        cluster.propose(b"held")
        cluster.run(0.5)
        self.assertFalse(cluster.committed(b"held"))
        cluster.resume_disk("c")
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"held"), 0.2))

    def test_the_leader_counts_its_own_disk_only_after_the_write(self):
        cluster = cluster_with_first_command()
        cluster.stall_disk("a")
        cluster.stall_disk("c")
        cluster.propose(b"on one disk")
        cluster.run(0.3)
        self.assertFalse(cluster.committed(b"on one disk"))

    def test_no_vote_is_sent_before_it_is_durable(self):
        cluster = cluster_with_first_command()
        cluster.lose_power("a")
        cluster.stall_disk("c")
        cluster.run(1.5)
        self.assertIsNone(cluster.leader())
        cluster.resume_disk("c")
        self.assertTrue(cluster.run_until(cluster.leader, 0.1))

    def test_duplicated_vote_messages_do_not_prevent_an_election(self):
        cluster = Cluster()
        cluster.links.duplication = 1.0
        cluster.run(1.0)
        cluster.lose_power("a")
        self.assertTrue(cluster.run_until(cluster.leader, 1.2))

    def test_a_stalled_follower_disk_does_not_cost_the_contact(self):
        cluster = cluster_with_first_command()
        cluster.stall_disk("c")
        cluster.propose(b"more")
        cluster.run(3.0)
        self.assertTrue(cluster.nodes["c"].replica.is_in_contact(cluster.now))
        self.assertEqual(1, cluster.leader().replica.term)

    def test_a_leader_with_a_stalled_disk_transfers_the_leadership(self):
        cluster = cluster_with_first_command()
        cluster.stall_disk("a")
        cluster.propose(b"held by others")
        self.assertTrue(cluster.run_until(lambda: cluster.leader() and cluster.leader().name == "b", 1.2))
        self.assertIsNotNone(cluster.propose(b"next"))
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"next"), 0.2))

    def test_an_election_succeeds_with_slow_disks(self):
        cluster = Cluster()
        for node in cluster.nodes.values():
            node.disk_delay = 0.5
        self.assertTrue(cluster.run_until(cluster.leader, 2.5))

    def test_power_loss_of_all_machines_loses_no_committed_entry(self):
        cluster = cluster_with_first_command()
        cluster.lose_power("a", "b", "c")
        for name in "abc":
            cluster.start(name)
        self.assertTrue(cluster.run_until(cluster.leader, 1.5))
        cluster.run(0.5)
        self.assertEqual([b"first"], cluster.leader().commands)

    def test_one_erased_disk_and_power_loss_of_all_machines_lose_no_committed_entry(self):
        cluster = cluster_with_first_command()
        cluster.lose_power("b", "c")
        cluster.erase_disk("a")
        for name in "abc":
            cluster.start(name)
        cluster.run(1.5)
        self.assertEqual([b"first"], cluster.leader().commands)

    def test_a_replica_with_an_erased_disk_has_no_vote(self):
        cluster = cluster_with_first_command()
        cluster.lose_power("b")
        cluster.erase_disk("c")
        cluster.start("c")
        cluster.run(3.0)
        self.assertIsNone(cluster.leader())
        self.assertEqual((), cluster.nodes["c"].replica.voters)


class GroupChangeTest(testtools.TestCase):
    def test_a_replica_with_an_erased_disk_joins_as_a_learner_and_then_votes(self):
        cluster = cluster_with_first_command()
        cluster.erase_disk("c")
        cluster.start("c")
        cluster.set_target("abc")
        cluster.run(1.0)
        self.assertEqual(("a#1", "b#1", "c#2"), cluster.leader().replica.voters)
        self.assertEqual([b"first"], cluster.nodes["c"].commands)
        cluster.lose_power("b")
        cluster.propose(b"second")
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"second"), 0.5))

    def test_a_group_is_replaced_completely_and_the_leader_is_removed_last(self):
        cluster = cluster_with_first_command("abc", others="def")
        cluster.set_target("def")
        cluster.run(3.0)
        self.assertEqual("d", cluster.leader().name)
        self.assertEqual(("d#1", "e#1", "f#1"), cluster.leader().replica.voters)
        self.assertEqual([b"first"], cluster.nodes["f"].commands)

    def test_a_dead_new_replica_does_not_become_a_voter(self):
        cluster = cluster_with_first_command("abc", others="d")
        cluster.lose_power("d")
        cluster.set_target("abd")
        cluster.run(2.0)
        self.assertEqual(("a#1", "b#1", "c#1"), cluster.leader().replica.voters)

    def test_no_voter_is_removed_while_the_others_lack_a_live_majority(self):
        cluster = cluster_with_first_command("abc")
        cluster.lose_power("b")
        cluster.run(1.0)
        cluster.set_target("ab")
        cluster.run(2.0)
        self.assertEqual(("a#1", "b#1", "c#1"), cluster.leader().replica.voters)

    def test_a_new_voter_grants_the_vote_that_the_entry_adding_it_needs(self):
        cluster = cluster_with_first_command("abc", others="d")
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

    def test_a_removed_voter_learns_of_its_removal_and_requests_no_votes(self):
        cluster = cluster_with_first_command("abcd")
        cluster.set_target("abc")
        cluster.run(1.0)
        self.assertEqual(("a#1", "b#1", "c#1"), cluster.nodes["d"].replica.voters)
        cluster.sent.clear()
        cluster.run(3.0)
        self.assertEqual([], [message for sender, _, message in cluster.sent if sender == "d"][20:])

    def test_an_uncommitted_removal_does_not_block_the_group_after_the_leader_fails(self):
        cluster = cluster_with_first_command("abcd")
        cluster.cut("a", "b")
        cluster.cut("a", "c")
        cluster.set_target("abc")
        cluster.run(0.06)
        cluster.erase_disk("a")
        cluster.heal()
        self.assertTrue(cluster.run_until(cluster.leader, 2.0))

    def test_a_new_order_of_the_voters_decides_the_next_leader(self):
        cluster = cluster_with_first_command()
        cluster.set_target("acb")
        cluster.run(0.5)
        cluster.lose_power("a")
        self.assertTrue(cluster.run_until(cluster.leader, 1.0))
        self.assertEqual("c", cluster.leader().name)


class ReadAndLogTest(testtools.TestCase):
    def test_a_read_is_confirmed_by_a_round_begun_after_it(self):
        cluster = cluster_with_first_command()
        ticket = cluster.confirm_read()
        self.assertEqual([], cluster.leader().confirmed)
        cluster.run(0.02)
        self.assertEqual([ticket], cluster.leader().confirmed)

    def test_a_read_at_a_replaced_leader_is_not_confirmed(self):
        cluster = cluster_with_first_command()
        cluster.isolate("a")
        cluster.confirm_read(cluster.nodes["a"])
        cluster.run(2.0)
        self.assertEqual([], cluster.nodes["a"].confirmed)

    def test_a_commit_index_does_not_wait_for_the_next_heartbeat(self):
        cluster = cluster_with_first_command()
        cluster.run(0.02)
        cluster.propose(b"quick")
        cluster.run(0.02)
        self.assertEqual([b"first", b"quick"], cluster.nodes["c"].commands)

    def test_a_follower_far_behind_receives_a_snapshot_and_then_entries(self):
        cluster = cluster_with_first_command(timing=Timing(retention=0.0))
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

    def test_a_replica_continues_from_its_snapshot_after_a_restart(self):
        cluster = cluster_with_first_command()
        cluster.compact("b")
        cluster.run(0.1)
        cluster.lose_power("b")
        cluster.start("b")
        cluster.propose(b"second")
        cluster.run(0.5)
        self.assertEqual([b"first", b"second"], cluster.nodes["b"].commands)

    def test_an_append_is_limited_and_no_entry_is_sent_twice_on_reliable_links(self):
        cluster = cluster_with_first_command()
        cluster.sent.clear()
        for _ in range(20):
            cluster.propose(b"x" * 100_000)
        cluster.run(0.5)
        appends = [m for _, to, m in cluster.sent if to == "b" and isinstance(m, AppendEntries) and m.entries]
        self.assertTrue(all(sum(len(e.data) for e in m.entries) <= 512 * 1024 for m in appends))
        self.assertEqual(20, sum(len(message.entries) for message in appends))
