"""Stories of a replica's freshness: only a leader confirmed after the question makes a follower current."""

import attrs
import testtools

from kestrelbend.tier.membership.owner_contact import CONTACT_S, in_contact, is_current
from kestrelbend.tier.replication import Replica, Timing
from kestrelbend.tier.replication.messages import (
    AppendEntries,
    DurableState,
    Entry,
    ReadIndexReply,
    ReadIndexRequest,
)
from kestrelbend.tier.replication.progress import NEVER
from kestrelbend.tier.replication.read_index import (
    MAX_REMEMBERED_REQUESTS,
    MAX_PENDING_PER_FOLLOWER,
    FollowerReads,
    PendingRead,
    PendingReads,
)
from tests.tier.replication_harness import SHARD, TICK, Cluster

SHORT = 0.3  # a question, the next round and their messages


def settled(polls_read_index=True, **options):
    """A cluster that watches its freshness and has committed a command."""
    cluster = Cluster(polls_read_index=polls_read_index, **options)
    cluster.run(1.0)
    cluster.propose(b"first")
    assert cluster.run_until(lambda: cluster.committed(b"first"), 0.5)
    cluster.run(SHORT)
    return cluster


def standing(cluster, name):
    """(in contact, current) of one replica now."""
    replica = cluster.nodes[name].replica
    return in_contact(replica, cluster.now), is_current(replica, cluster.now)


def replies_to(cluster, name):
    """The answers that were sent to one replica."""
    return [message for _, to, message in cluster.sent if to == name and isinstance(message, ReadIndexReply)]


class LaggingReplicaStories(testtools.TestCase):
    def given_a_replica_far_behind(self):
        """Its log ends at entry 5; the leader's heartbeat of entry 400 comes, and is refused."""
        entries = [Entry(index, 1, 0, b"") for index in range(1, 6)]
        self.replica = Replica(
            shard=SHARD,
            identity="c#1",
            founders=(),
            durable=DurableState(term=1, entries=entries),
            timing=Timing(),
            now=10.0,
        )
        self.replica.enable_read_index_polling()
        self.replica.receive(self.heartbeat(previous_index=400), 10.0)

    def heartbeat(self, previous_index):
        return AppendEntries(SHARD, "a#1", 1, previous_index, 1, (), 400, 7)

    def ask(self, now):
        """The question that the replica asks at its next tick."""
        self.replica.tick(now)
        sends = [message for _, message in self.replica.drain_effects().sends]
        return next(message for message in sends if isinstance(message, ReadIndexRequest))

    def answer(self, question, index, now, **changes):
        reply = ReadIndexReply(SHARD, "a#1", 1, question.ticket, index)
        self.replica.receive(attrs.evolve(reply, **changes), now)

    def standing(self, now):
        return in_contact(self.replica, now), is_current(self.replica, now)

    def test_given_only_a_heartbeat_then_it_is_neither_in_contact_nor_current(self):
        self.given_a_replica_far_behind()
        self.assertEqual((False, False), self.standing(10.0))

    def test_given_the_owners_answer_then_it_is_in_contact_and_not_current(self):
        self.given_a_replica_far_behind()
        self.answer(self.ask(10.02), 400, 10.1)
        self.assertEqual((True, False), self.standing(10.1))

    def test_given_the_answer_when_all_of_it_is_applied_then_it_is_current(self):
        self.given_a_replica_far_behind()
        self.answer(self.ask(10.02), 400, 10.1)
        rest = tuple(Entry(index, 1, 0, b"") for index in range(6, 401))
        self.replica.receive(AppendEntries(SHARD, "a#1", 1, 5, 1, rest, 399, 8), 10.12)
        self.assertEqual((True, False), self.standing(10.12))
        self.replica.receive(self.heartbeat(previous_index=400), 10.14)
        self.assertEqual((True, True), self.standing(10.14))

    def test_given_a_late_answer_then_it_counts_from_its_question(self):
        self.given_a_replica_far_behind()
        question = self.ask(10.02)
        self.answer(question, 0, 10.02 + CONTACT_S - 0.01)
        self.assertEqual((True, True), self.standing(10.02 + CONTACT_S - 0.01))
        self.assertEqual((False, False), self.standing(10.02 + CONTACT_S + 0.01))

    def test_given_an_answer_twice_then_the_second_one_proves_nothing(self):
        self.given_a_replica_far_behind()
        question = self.ask(10.02)
        self.answer(question, 0, 10.04)
        for _ in range(5):
            self.replica.tick(10.3)
        self.answer(question, 0, 10.5)
        self.assertEqual(10.02, self.replica.confirmed_at)

    def test_given_answers_of_another_owner_epoch_or_life_then_they_prove_nothing(self):
        self.given_a_replica_far_behind()
        question = self.ask(10.02)
        for changes in ({"sender": "b#1"}, {"term": 2}, {"term": 0}, {"ticket": question.ticket + 1}):
            self.answer(question, 0, 10.1, **changes)
        self.assertEqual(NEVER, self.replica.confirmed_at)

    def test_given_a_new_owner_then_the_former_ones_answers_count_no_more(self):
        self.given_a_replica_far_behind()
        question = self.ask(10.02)
        self.answer(question, 0, 10.04)
        self.replica.receive(AppendEntries(SHARD, "b#1", 2, 400, 1, (), 400, 1), 10.1)
        self.assertEqual((False, False), self.standing(10.1))
        self.answer(question, 0, 10.12)
        self.answer(question, 0, 10.12, sender="b#1", term=2)
        self.assertEqual((False, False), self.standing(10.12))


class CurrencyStories(testtools.TestCase):
    def test_in_calm_every_replica_stays_current(self):
        cluster = settled()
        for _ in range(100):
            cluster.run(TICK)
            self.assertEqual([(True, True)] * 3, [standing(cluster, name) for name in "abc"])

    def test_a_new_owner_is_not_current_before_it_has_committed(self):
        cluster = settled()
        cluster.lose_power("a")
        for name in "bc":
            cluster.nodes[name].disk_delay = 0.5
        self.assertTrue(cluster.run_until(lambda: cluster.nodes["b"].replica.is_leader, 2.5))
        cluster.run(0.2)
        self.assertEqual((True, False), standing(cluster, "b"))
        self.assertEqual((False, False), standing(cluster, "c"))
        cluster.run(0.5 + SHORT)
        self.assertEqual([(True, True)] * 2, [standing(cluster, name) for name in "bc"])

    def test_a_follower_cut_off_is_out_of_contact_and_current_again_after_it(self):
        cluster = settled()
        cluster.isolate("c")
        cluster.run(CONTACT_S + TICK)
        self.assertEqual((False, False), standing(cluster, "c"))
        cluster.propose(b"second")
        cluster.run(20.0)
        cluster.heal()
        while not standing(cluster, "c")[1]:
            self.assertTrue(cluster.now < 30.0)
            cluster.run(TICK)
        self.assertEqual([b"first", b"second"], cluster.nodes["c"].commands)

    def test_a_follower_that_hears_and_is_not_heard_is_out_of_contact(self):
        cluster = settled()
        cluster.cut("c", "a")
        cluster.cut("c", "b")
        cluster.run(20.0)
        self.assertEqual((False, False), standing(cluster, "c"))
        self.assertTrue(cluster.now - cluster.nodes["c"].replica.last_contact < 0.2)

    def test_an_owner_cut_off_and_its_follower_are_out_of_contact_while_it_still_owns(self):
        cluster = settled(names="abcde")
        for near in "ab":
            for far in "cde":
                cluster.cut(near, far)
                cluster.cut(far, near)
        cluster.run(CONTACT_S + TICK)
        self.assertEqual([(False, False)] * 2, [standing(cluster, name) for name in "ab"])
        cluster.run(20.0)
        self.assertEqual([(False, False)] * 2, [standing(cluster, name) for name in "ab"])
        self.assertEqual([(True, True)] * 3, [standing(cluster, name) for name in "cde"])

    def test_a_process_that_stood_still_is_not_current_by_what_lay_in_its_sockets(self):
        cluster = settled()
        cluster.run_until(lambda: cluster.nodes["c"].replica._reads._requested_at, 0.5)
        cluster.freeze("c")
        cluster.run(3.0)
        cluster.propose(b"meanwhile")
        cluster.run(1.0)
        node = cluster.nodes["c"]
        node.frozen = False
        for _, _, kind, content in node.deferred_events:
            if kind == "message" and isinstance(content, ReadIndexReply):
                node.replica.receive(content, cluster.now)
        self.assertEqual((False, False), standing(cluster, "c"))

    def test_answers_to_an_earlier_life_prove_nothing(self):
        cluster = settled()
        earlier = replies_to(cluster, "c")
        self.assertTrue(earlier)
        cluster.lose_power("c")
        cluster.start("c")
        cluster.run(0.1)
        cluster.cut("c", "a")
        replica = cluster.nodes["c"].replica
        cluster.run(CONTACT_S + 0.2)
        for reply in earlier:
            replica.receive(reply, cluster.now)
        self.assertEqual((False, False), standing(cluster, "c"))

    def test_no_question_is_asked_where_nobody_watches(self):
        cluster = Cluster()
        cluster.run(3.0)
        asked = [message for _, _, message in cluster.sent if isinstance(message, ReadIndexRequest)]
        self.assertEqual([], asked)

    def test_questions_come_five_times_a_second_and_begin_no_rounds(self):
        cluster = settled()
        quiet = settled(polls_read_index=False)
        counts = []
        for each in (cluster, quiet):
            each.sent.clear()
            each.run(10.0)
            counts.append(sum(isinstance(message, AppendEntries) for _, _, message in each.sent))
        asked = sum(isinstance(message, ReadIndexRequest) for _, _, message in cluster.sent)
        self.assertTrue(90 <= asked <= 102, asked)
        self.assertTrue(abs(counts[0] - counts[1]) < 10, counts)


class SeededRuns(testtools.TestCase):
    def test_whoever_says_it_is_current_holds_all_that_was_committed_when_it_asked(self):
        """Losses, delays, doubles, cuts, freezes and restarts at random; checked at each tick."""
        current = 0
        for seed in range(40):
            cluster = Cluster(seed=seed, polls_read_index=True)
            committed_at = [(0.0, 0)]
            for step in range(400):
                self._disturb(cluster, step)
                cluster.run(TICK)
                committed_at.append((cluster.now, len(cluster.invariants.committed_entries)))
                current += self._check(cluster, committed_at)
        self.assertTrue(current > 5000, current)

    def _disturb(self, cluster, step):
        name = cluster.random.choice("abc")
        chance = cluster.random.random()
        node = cluster.nodes[name]
        if step % 3 == 0 and cluster.leader():
            cluster.propose(b"%d" % step)
        if (
            chance < 0.01
            and node.is_running
            and sum(other.is_running for other in cluster.nodes.values()) == 3
        ):
            cluster.random.choice((cluster.lose_power, cluster.freeze, cluster.isolate))(name)
        elif chance < 0.05:
            cluster.heal()
            cluster.links.delay = cluster.random.choice((0.001, 0.05, 0.2))
            cluster.links.delay_jitter = cluster.random.choice((0.0, 0.3))
            cluster.links.duplication = 0.2
            for other in list(cluster.nodes.values()):
                if other.frozen:
                    cluster.thaw(other.name)
                elif other.replica is None:
                    cluster.start(other.name)

    def _check(self, cluster, committed_at):
        count = 0
        for node in cluster.nodes.values():
            if not node.is_running or not is_current(node.replica, cluster.now):
                continue
            count += 1
            asked = node.replica.current_at
            before = max(length for at, length in committed_at if at < asked)
            self.assertTrue(node.applied_index >= before, (node.name, cluster.now, before))
        return count


class BoundsTest(testtools.TestCase):
    def test_given_a_follower_that_asks_without_end_then_few_of_its_questions_wait(self):
        reads = PendingReads()
        for ticket in range(100):
            reads.add(PendingRead(ticket, 1, 1, "b#1"))
        reads.add(PendingRead(7, 1, 1))
        self.assertEqual(MAX_PENDING_PER_FOLLOWER + 1, len(reads.take_ready(1, 1)))

    def test_given_an_owner_that_never_answers_then_few_questions_are_remembered(self):
        reads = FollowerReads(first_ticket=1, interval=0.2)
        tickets = [reads.begin_request(float(number)) for number in range(100)]
        reads.record_answer(tickets[0], 0)
        self.assertEqual(NEVER, reads.confirmed_at)
        reads.record_answer(tickets[-MAX_REMEMBERED_REQUESTS], 0)
        self.assertEqual(100.0 - MAX_REMEMBERED_REQUESTS, reads.confirmed_at)

    def test_given_answers_out_of_order_then_the_newest_question_counts(self):
        reads = FollowerReads(first_ticket=1, interval=0.2)
        first, second = reads.begin_request(1.0), reads.begin_request(2.0)
        reads.record_answer(second, 9)
        reads.record_answer(first, 5)
        self.assertEqual((2.0, 1.0, 2.0), (reads.confirmed_at, reads.current_at(8), reads.current_at(9)))
