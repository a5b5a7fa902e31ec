"""Read index at followers: a follower is current only by a leader that was confirmed after the request."""

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

REPLY_S = 0.3  # covers a request, the next heartbeat round and the messages of both


def cluster_with_first_command(polls_read_index=True, **options):
    """A cluster that polls the read index and has committed a command."""
    cluster = Cluster(polls_read_index=polls_read_index, **options)
    cluster.run(1.0)
    cluster.propose(b"first")
    assert cluster.run_until(lambda: cluster.committed(b"first"), 0.5)
    cluster.run(REPLY_S)
    return cluster


def contact_state(cluster, name):
    """(in contact, current) of one replica now."""
    replica = cluster.nodes[name].replica
    return in_contact(replica, cluster.now), is_current(replica, cluster.now)


def replies_sent_to(cluster, name):
    """The read index replies that were sent to one replica."""
    return [message for _, to, message in cluster.sent if to == name and isinstance(message, ReadIndexReply)]


class LaggingReplicaTest(testtools.TestCase):
    def create_lagging_replica(self):
        """Its log ends at entry 5; a heartbeat of the leader refers to entry 400 and is rejected."""
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

    def next_request(self, now):
        """The request that the replica sends at its next tick."""
        self.replica.tick(now)
        sends = [message for _, message in self.replica.drain_effects().sends]
        return next(message for message in sends if isinstance(message, ReadIndexRequest))

    def receive_reply(self, request, index, now, **changes):
        reply = ReadIndexReply(SHARD, "a#1", 1, request.ticket, index)
        self.replica.receive(attrs.evolve(reply, **changes), now)

    def contact_state(self, now):
        return in_contact(self.replica, now), is_current(self.replica, now)

    def test_given_only_a_heartbeat_then_it_is_neither_in_contact_nor_current(self):
        self.create_lagging_replica()
        self.assertEqual((False, False), self.contact_state(10.0))

    def test_given_the_leaders_reply_then_it_is_in_contact_and_not_current(self):
        self.create_lagging_replica()
        self.receive_reply(self.next_request(10.02), 400, 10.1)
        self.assertEqual((True, False), self.contact_state(10.1))

    def test_given_the_reply_when_its_index_is_applied_then_it_is_current(self):
        self.create_lagging_replica()
        self.receive_reply(self.next_request(10.02), 400, 10.1)
        rest = tuple(Entry(index, 1, 0, b"") for index in range(6, 401))
        self.replica.receive(AppendEntries(SHARD, "a#1", 1, 5, 1, rest, 399, 8), 10.12)
        self.assertEqual((True, False), self.contact_state(10.12))
        self.replica.receive(self.heartbeat(previous_index=400), 10.14)
        self.assertEqual((True, True), self.contact_state(10.14))

    def test_given_a_late_reply_then_it_counts_from_the_time_of_its_request(self):
        self.create_lagging_replica()
        request = self.next_request(10.02)
        self.receive_reply(request, 0, 10.02 + CONTACT_S - 0.01)
        self.assertEqual((True, True), self.contact_state(10.02 + CONTACT_S - 0.01))
        self.assertEqual((False, False), self.contact_state(10.02 + CONTACT_S + 0.01))

    def test_given_a_duplicate_reply_then_it_is_ignored(self):
        self.create_lagging_replica()
        request = self.next_request(10.02)
        self.receive_reply(request, 0, 10.04)
        for _ in range(5):
            self.replica.tick(10.3)
        self.receive_reply(request, 0, 10.5)
        self.assertEqual(10.02, self.replica.confirmed_at)

    def test_given_replies_of_another_leader_term_or_incarnation_then_they_are_ignored(self):
        self.create_lagging_replica()
        request = self.next_request(10.02)
        for changes in ({"sender": "b#1"}, {"term": 2}, {"term": 0}, {"ticket": request.ticket + 1}):
            self.receive_reply(request, 0, 10.1, **changes)
        self.assertEqual(NEVER, self.replica.confirmed_at)

    def test_given_a_new_leader_then_replies_of_the_former_one_are_ignored(self):
        self.create_lagging_replica()
        request = self.next_request(10.02)
        self.receive_reply(request, 0, 10.04)
        self.replica.receive(AppendEntries(SHARD, "b#1", 2, 400, 1, (), 400, 1), 10.1)
        self.assertEqual((False, False), self.contact_state(10.1))
        self.receive_reply(request, 0, 10.12)
        self.receive_reply(request, 0, 10.12, sender="b#1", term=2)
        self.assertEqual((False, False), self.contact_state(10.12))


class CurrentStateTest(testtools.TestCase):
    def test_without_faults_every_replica_stays_current(self):
        cluster = cluster_with_first_command()
        for _ in range(100):
            cluster.run(TICK)
            self.assertEqual([(True, True)] * 3, [contact_state(cluster, name) for name in "abc"])

    def test_a_new_leader_is_not_current_before_it_has_committed(self):
        cluster = cluster_with_first_command()
        cluster.lose_power("a")
        for name in "bc":
            cluster.nodes[name].disk_delay = 0.5
        self.assertTrue(cluster.run_until(lambda: cluster.nodes["b"].replica.is_leader, 2.5))
        cluster.run(0.2)
        self.assertEqual((True, False), contact_state(cluster, "b"))
        self.assertEqual((False, False), contact_state(cluster, "c"))
        cluster.run(0.5 + REPLY_S)
        self.assertEqual([(True, True)] * 2, [contact_state(cluster, name) for name in "bc"])

    def test_a_partitioned_follower_is_out_of_contact_and_current_again_afterwards(self):
        cluster = cluster_with_first_command()
        cluster.isolate("c")
        cluster.run(CONTACT_S + TICK)
        self.assertEqual((False, False), contact_state(cluster, "c"))
        cluster.propose(b"second")
        cluster.run(20.0)
        cluster.heal()
        while not contact_state(cluster, "c")[1]:
            self.assertTrue(cluster.now < 30.0)
            cluster.run(TICK)
        self.assertEqual([b"first", b"second"], cluster.nodes["c"].commands)

    def test_a_follower_that_can_receive_but_not_send_is_out_of_contact(self):
        cluster = cluster_with_first_command()
        cluster.cut("c", "a")
        cluster.cut("c", "b")
        cluster.run(20.0)
        self.assertEqual((False, False), contact_state(cluster, "c"))
        self.assertTrue(cluster.now - cluster.nodes["c"].replica.last_contact < 0.2)

    def test_a_partitioned_leader_and_its_follower_are_out_of_contact_while_it_still_leads(self):
        cluster = cluster_with_first_command(names="abcde")
        for near in "ab":
            for far in "cde":
                cluster.cut(near, far)
                cluster.cut(far, near)
        cluster.run(CONTACT_S + TICK)
        self.assertEqual([(False, False)] * 2, [contact_state(cluster, name) for name in "ab"])
        cluster.run(20.0)
        self.assertEqual([(False, False)] * 2, [contact_state(cluster, name) for name in "ab"])
        self.assertEqual([(True, True)] * 3, [contact_state(cluster, name) for name in "cde"])

    def test_a_process_is_not_current_by_replies_that_waited_during_its_pause(self):
        cluster = cluster_with_first_command()
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
        self.assertEqual((False, False), contact_state(cluster, "c"))

    def test_replies_to_an_earlier_incarnation_are_ignored(self):
        cluster = cluster_with_first_command()
        earlier = replies_sent_to(cluster, "c")
        self.assertTrue(earlier)
        cluster.lose_power("c")
        cluster.start("c")
        cluster.run(0.1)
        cluster.cut("c", "a")
        replica = cluster.nodes["c"].replica
        cluster.run(CONTACT_S + 0.2)
        for reply in earlier:
            replica.receive(reply, cluster.now)
        self.assertEqual((False, False), contact_state(cluster, "c"))

    def test_no_request_is_sent_without_polling(self):
        cluster = Cluster()
        cluster.run(3.0)
        requests = [message for _, _, message in cluster.sent if isinstance(message, ReadIndexRequest)]
        self.assertEqual([], requests)

    def test_requests_are_sent_five_times_a_second_and_begin_no_rounds(self):
        cluster = cluster_with_first_command()
        cluster_without_polling = cluster_with_first_command(polls_read_index=False)
        counts = []
        for each in (cluster, cluster_without_polling):
            each.sent.clear()
            each.run(10.0)
            counts.append(sum(isinstance(message, AppendEntries) for _, _, message in each.sent))
        request_count = sum(isinstance(message, ReadIndexRequest) for _, _, message in cluster.sent)
        self.assertTrue(90 <= request_count <= 102, request_count)
        self.assertTrue(abs(counts[0] - counts[1]) < 10, counts)


class RandomizedCurrentStateTest(testtools.TestCase):
    def test_a_current_replica_has_applied_all_that_was_committed_at_its_request(self):
        """Random loss, delay, duplication, partitions, pauses and restarts; checked at each tick."""
        current = 0
        for seed in range(40):
            cluster = Cluster(seed=seed, polls_read_index=True)
            committed_at = [(0.0, 0)]
            for step in range(400):
                self._inject_or_repair_fault(cluster, step)
                cluster.run(TICK)
                committed_at.append((cluster.now, len(cluster.invariants.committed_entries)))
                current += self._check_current_replicas(cluster, committed_at)
        self.assertTrue(current > 5000, current)

    def _inject_or_repair_fault(self, cluster, step):
        name = cluster.random.choice("abc")
        draw = cluster.random.random()
        node = cluster.nodes[name]
        if step % 3 == 0 and cluster.leader():
            cluster.propose(b"%d" % step)
        if draw < 0.01 and node.is_running and sum(other.is_running for other in cluster.nodes.values()) == 3:
            cluster.random.choice((cluster.lose_power, cluster.freeze, cluster.isolate))(name)
        elif draw < 0.05:
            cluster.heal()
            cluster.links.delay = cluster.random.choice((0.001, 0.05, 0.2))
            cluster.links.delay_jitter = cluster.random.choice((0.0, 0.3))
            cluster.links.duplication = 0.2
            for other in list(cluster.nodes.values()):
                if other.frozen:
                    cluster.thaw(other.name)
                elif other.replica is None:
                    cluster.start(other.name)

    def _check_current_replicas(self, cluster, committed_at):
        count = 0
        for node in cluster.nodes.values():
            if not node.is_running or not is_current(node.replica, cluster.now):
                continue
            count += 1
            requested_at = node.replica.current_at
            minimum_index = max(length for at, length in committed_at if at < requested_at)
            self.assertTrue(node.applied_index >= minimum_index, (node.name, cluster.now, minimum_index))
        return count


class BoundsTest(testtools.TestCase):
    def test_given_a_follower_that_never_stops_asking_then_few_of_its_requests_are_pending(self):
        reads = PendingReads()
        for ticket in range(100):
            reads.add(PendingRead(ticket, 1, 1, "b#1"))
        reads.add(PendingRead(7, 1, 1))
        self.assertEqual(MAX_PENDING_PER_FOLLOWER + 1, len(reads.take_ready(1, 1)))

    def test_given_a_leader_that_never_replies_then_few_requests_are_kept(self):
        reads = FollowerReads(first_ticket=1, interval=0.2)
        tickets = [reads.begin_request(float(number)) for number in range(100)]
        reads.record_answer(tickets[0], 0)
        self.assertEqual(NEVER, reads.confirmed_at)
        reads.record_answer(tickets[-MAX_REMEMBERED_REQUESTS], 0)
        self.assertEqual(100.0 - MAX_REMEMBERED_REQUESTS, reads.confirmed_at)

    def test_given_replies_out_of_order_then_the_latest_request_counts(self):
        reads = FollowerReads(first_ticket=1, interval=0.2)
        first, second = reads.begin_request(1.0), reads.begin_request(2.0)
        reads.record_answer(second, 9)
        reads.record_answer(first, 5)
        self.assertEqual((2.0, 1.0, 2.0), (reads.confirmed_at, reads.current_at(8), reads.current_at(9)))
