"""The replica's log and its replay from disk, group steps, votes, and when a leader commits an entry."""

import attrs
import testtools

from kestrelbend.tier.replication import Replica, Timing, replay
from kestrelbend.tier.replication.group import next_group
from kestrelbend.tier.replication.log import ReplicaLog
from kestrelbend.tier.replication.messages import (
    AppendEntries,
    AppendReply,
    DurableRecord,
    DurableState,
    Entry,
    EntryKind,
    RequestVote,
    Snapshot,
    VoteReply,
)

SHARD = "budget-0"
GROUP = ("a", "b", "c")


def entry(index, term, data=b""):
    return Entry(index, term, EntryKind.COMMAND, data)


def record(*entries, term=1, snapshot=None):
    return DurableRecord(SHARD, "a", term, "", entries, snapshot)


def voter(**durable):
    state = DurableState(snapshot=Snapshot(voters=GROUP), **durable)
    return Replica(shard=SHARD, identity="a", founders=(), durable=state, timing=Timing(), now=0.0)


def write(replica, now):
    """Completes all writes; returns the messages sent before and after."""
    effects = replica.drain_effects()
    for ticket, _ in effects.writes:
        replica.complete_write(ticket, now)
    return effects.sends + replica.drain_effects().sends


class ReplicaLogTest(testtools.TestCase):
    def test_a_late_write_completion_does_not_mark_replacing_entries_as_durable(self):
        log = ReplicaLog(DurableState())
        log.replace_from([entry(1, 1), entry(2, 1)])
        log.begin_write(1)
        log.replace_from([entry(2, 2)])
        log.begin_write(2)
        log.end_write(1)
        self.assertEqual(1, log.durable_index)
        log.end_write(2)
        self.assertEqual(2, log.durable_index)

    def test_entries_covered_by_an_installed_snapshot_are_not_durable_until_it_is_written(self):
        log = ReplicaLog(DurableState(entries=[entry(1, 1), entry(2, 1)]))
        log.install_snapshot(Snapshot(3, 2, GROUP, b"state"), commit_index=1)
        self.assertEqual(1, log.durable_index)
        log.begin_write(1)
        log.end_write(1)
        self.assertEqual(3, log.durable_index)


class ReplayTest(testtools.TestCase):
    def test_entries_that_follow_a_snapshot_are_kept(self):
        state = replay([record(entry(1, 1), entry(2, 1)), record(snapshot=Snapshot(1, 1, GROUP))])
        self.assertEqual([entry(2, 1)], state.entries)

    def test_entries_after_a_conflicting_entry_at_the_snapshot_index_are_dropped(self):
        old = record(entry(1, 1), entry(2, 1), entry(3, 4))
        state = replay([old, record(term=5, snapshot=Snapshot(2, 3, GROUP))])
        self.assertEqual(([], 5), (state.entries, state.term))

    def test_entries_replace_older_ones_from_their_first_index_on(self):
        state = replay([record(entry(1, 1), entry(2, 1), entry(3, 1)), record(entry(2, 2), term=2)])
        self.assertEqual([entry(1, 1), entry(2, 2)], state.entries)


class NextGroupTest(testtools.TestCase):
    def step(self, voters, target, leader="a", dead="", behind=""):
        group = next_group(
            tuple(voters),
            tuple(target),
            leader,
            lambda voter_id: voter_id not in dead,
            lambda voter_id: voter_id not in behind,
        )
        return group and "".join(group)

    def test_one_voter_is_added_before_one_is_removed(self):
        self.assertEqual("abdc", self.step("abc", "abd"))
        self.assertEqual("abd", self.step("abdc", "abd"))
        self.assertIsNone(self.step("abd", "abd"))

    def test_dead_voters_are_removed_first_and_the_leader_never(self):
        self.assertEqual("bca", self.step("abcd", "bc", dead="d"))
        self.assertIsNone(self.step("bca", "bc"))

    def test_a_lagging_or_dead_replica_is_not_added(self):
        self.assertIsNone(self.step("abc", "abd", behind="d"))
        self.assertIsNone(self.step("abc", "abd", dead="d"))

    def test_no_step_leaves_a_group_without_a_live_majority(self):
        self.assertIsNone(self.step("abc", "ab", dead="b"))
        self.assertIsNone(self.step("abc", "abcd", dead="bc"))


class VoteTest(testtools.TestCase):
    request = RequestVote(SHARD, "b", 1, 0, 0, pre_vote=False)

    def test_a_repeated_vote_request_is_granted_again_and_does_not_delay_a_pre_vote(self):
        replica = voter()
        replies = []
        for _ in range(2):
            replica.receive(self.request, 0.1)
            replies += write(replica, 0.1)
        self.assertEqual([("b", VoteReply(SHARD, "a", 1, True, pre_vote=False))] * 2, replies)
        replica.tick(0.4)
        replica.tick(0.7)
        self.assertEqual(["b", "c"], [receiver for receiver, _ in write(replica, 0.7)])

    def test_only_one_candidate_gets_the_vote_of_a_term(self):
        replica = voter()
        replica.receive(self.request, 0.1)
        replica.receive(attrs.evolve(self.request, sender="c"), 0.1)
        granted = {receiver: reply.granted for receiver, reply in write(replica, 0.1)}
        self.assertEqual({"b": True, "c": False}, granted)

    def test_a_candidate_with_a_shorter_log_gets_no_vote(self):
        replica = voter(entries=[entry(1, 1)])
        replica.receive(attrs.evolve(self.request, term=2), 0.1)
        self.assertEqual([False], [reply.granted for _, reply in write(replica, 0.1)])


class CommitTest(testtools.TestCase):
    def candidate(self):
        """A candidate for term 3 whose log ends with an uncommitted entry of term 2."""
        replica = voter(term=2, voted_for="a", entries=[entry(1, 1), entry(2, 2)])
        replica.tick(0.3)
        replica.tick(0.6)
        replica.receive(VoteReply(SHARD, "b", 3, True, pre_vote=True), 0.6)
        write(replica, 0.6)
        return replica

    def leader(self):
        replica = self.candidate()
        replica.receive(VoteReply(SHARD, "b", 3, True, pre_vote=False), 0.6)
        write(replica, 0.6)
        return replica

    def test_an_entry_of_an_older_term_is_not_committed_by_counting_replicas(self):
        replica = self.leader()
        replica.receive(AppendReply(SHARD, "b", 3, True, 2, 1), 0.6)
        self.assertEqual(0, replica.commit_index)
        replica.receive(AppendReply(SHARD, "b", 3, True, 3, 1), 0.6)
        self.assertEqual(3, replica.commit_index)

    def test_the_group_does_not_change_until_the_term_has_committed_an_entry(self):
        replica = self.leader()
        replica.set_target(("a", "b"))
        replica.receive(AppendReply(SHARD, "b", 3, True, 2, 1), 0.6)
        replica.tick(0.62)
        self.assertEqual(GROUP, replica.voters)
        replica.receive(AppendReply(SHARD, "b", 3, True, 3, 1), 0.62)
        self.assertEqual(("a", "b"), replica.voters)

    def test_a_candidate_is_not_elected_by_votes_from_before_a_pause(self):
        replica = self.candidate()
        replica.receive(VoteReply(SHARD, "b", 3, True, pre_vote=False), 5.0)
        self.assertFalse(replica.is_leader)

    def test_a_reply_counts_from_the_start_of_its_round(self):
        replica = self.leader()
        replica.tick(0.9)
        replica.receive(AppendReply(SHARD, "b", 3, True, 2, 1), 1.2)
        self.assertFalse(replica.is_in_contact(1.2))

    def test_a_read_waits_for_a_committed_entry_of_the_term(self):
        replica = self.leader()
        ticket = replica.confirm_read(0.6)
        replica.drain_effects()
        replica.receive(AppendReply(SHARD, "b", 3, True, 2, 2), 0.6)
        self.assertEqual([], replica.drain_effects().confirmed_reads)
        replica.receive(AppendReply(SHARD, "b", 3, True, 3, 2), 0.6)
        self.assertEqual([ticket], replica.drain_effects().confirmed_reads)

    def test_messages_of_old_terms_other_shards_and_unknown_senders_change_nothing(self):
        replica = self.leader()
        before = replica.durable_record()
        replica.receive(AppendEntries(SHARD, "b", 2, 0, 0, (entry(1, 2),), 1, 9), 0.6)
        replica.receive(AppendEntries("budget-1", "b", 9, 0, 0, (entry(1, 9),), 1, 9), 0.6)
        replica.receive(AppendReply(SHARD, "b", 2, True, 3, 1), 0.6)
        replica.receive(AppendReply(SHARD, "stranger", 3, True, 3, 1), 0.6)
        self.assertEqual((before, 0), (replica.durable_record(), replica.commit_index))
        self.assertTrue(replica.is_leader)
