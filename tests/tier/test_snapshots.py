"""Snapshot transfers: chunks, resumption and verification, and entries committed during a transfer."""

import copy

import attrs
import testtools

from kestrelbend.tier.replication import Timing
from kestrelbend.tier.replication.messages import AppendEntries, Snapshot, SnapshotChunk, SnapshotReply
from kestrelbend.tier.replication.snapshot_transfer import SnapshotReceiver, SnapshotSender
from tests.tier.replication_harness import Cluster

NARROW_LINK_RATE = 15_000_000 / 8  # bytes per second
CHUNK = 1000
SMALL_CHUNKS = Timing(chunk_bytes=CHUNK, snapshot_window=2 * CHUNK, retention=0.5, tail_entries=0)
COMMAND = b"x" * 100
LARGE_COMMAND = b"z" * (4 << 20)


def cluster_with_a_stopped_replica(
    command_count=100, command=COMMAND, timing=SMALL_CHUNKS, names="abc", **options
):
    """The first replica leads; the last one is stopped and lacks the commands in the others' snapshot."""
    cluster = Cluster(names, timing=timing, **options)
    cluster.run(1.0)
    cluster.lose_power(names[-1])
    for number in range(command_count):
        cluster.propose(b"%d " % number + command)
        if number % 50 == 0:
            cluster.run(0.02)
    cluster.run(1.0)
    for name in names[:-1]:
        cluster.compact(name)
    cluster.run(0.2)
    return cluster


def is_caught_up(cluster, name="c"):
    node = cluster.nodes[name]
    return node.is_running and node.applied_index == len(cluster.invariants.committed_entries)


def chunks_sent(cluster, receiver="c"):
    return [m for _, to, m in cluster.sent if to == receiver and isinstance(m, SnapshotChunk)]


class SnapshotTransferTest(testtools.TestCase):
    def test_a_returning_replica_receives_each_byte_once(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.start("c")
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster), 2.0))
        chunks = chunks_sent(cluster)
        self.assertGreater(len(chunks), 10)
        self.assertTrue(all(len(chunk.data) <= CHUNK for chunk in chunks))
        self.assertEqual(chunks[0].size, sum(len(chunk.data) for chunk in chunks))

    def test_loss_duplication_and_reordering_of_chunks_cause_limited_resending(self):
        for seed in range(20):
            cluster = cluster_with_a_stopped_replica(seed=seed)
            cluster.links.loss, cluster.links.duplication, cluster.links.delay_jitter = 0.1, 0.1, 0.02
            cluster.start("c")
            self.assertTrue(cluster.run_until(lambda simulated=cluster: is_caught_up(simulated), 20.0), seed)
            chunks = chunks_sent(cluster)
            sent = sum(len(chunk.data) for chunk in chunks)
            self.assertLess(sent, 3 * chunks[0].size, seed)

    def test_a_transfer_completes_although_newer_snapshots_are_taken(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        for number in range(40):
            cluster.propose(b"meanwhile %d" % number)
            cluster.run(0.04)
            cluster.compact("a")
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster), 2.0))
        self.assertEqual(1, len({chunk.snapshot.index for chunk in chunks_sent(cluster)}))

    def test_a_transfer_resumes_after_a_partition_at_the_received_bytes(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        cluster.run(0.4)
        cluster.isolate("c")
        cluster.run(2.0)
        cluster.heal()
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster), 3.0))
        chunks = chunks_sent(cluster)
        sent = sum(len(chunk.data) for chunk in chunks)
        self.assertLess(sent, chunks[0].size + 8 * CHUNK)

    def test_the_next_leader_continues_a_transfer_if_its_snapshot_is_the_same(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        cluster.run(0.4)
        cluster.transfer()
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster), 3.0))
        self.assertEqual("b", cluster.leader().name)
        chunks = chunks_sent(cluster)
        chunks_of_second_leader = [chunk for chunk in chunks if chunk.sender == "b#1"]
        self.assertGreater(len(chunks_of_second_leader), 2)
        self.assertLess(sum(len(chunk.data) for chunk in chunks), chunks[0].size + 8 * CHUNK)

    def test_the_next_leader_restarts_a_transfer_if_its_snapshot_differs(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        cluster.run(0.3)
        cluster.propose(b"one more")
        cluster.run(0.1)
        cluster.compact("b")
        cluster.transfer()
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster), 4.0))
        self.assertEqual(2, len({chunk.snapshot.index for chunk in chunks_sent(cluster)}))

    def test_a_replica_that_is_killed_at_any_message_of_a_transfer_catches_up(self):
        initial_cluster = cluster_with_a_thousand_commands()
        steps = count_messages_until_current(copy.deepcopy(initial_cluster))
        self.assertGreater(steps, 30)
        for step in range(1, steps + 1):
            cluster = copy.deepcopy(initial_cluster)
            cluster.start("c")
            run_until_received(cluster, "c", step)
            cluster.lose_power("c")
            cluster.run(0.1)
            cluster.start("c")
            self.assertTrue(cluster.run_until(lambda simulated=cluster: is_caught_up(simulated), 4.0), step)
            self.assertEqual("a", cluster.leader().name)

    def test_a_replica_that_loses_power_at_each_write_catches_up(self):
        for seed in range(10):
            cluster = cluster_with_a_stopped_replica(seed=seed)
            cluster.nodes["c"].disk_delay = 0.2
            cluster.start("c")
            for number in range(6):
                cluster.run_until(lambda simulated=cluster: simulated.nodes["c"].unsynced, 3.0)
                cluster.run(0.02 * number)
                cluster.lose_power("c")
                cluster.propose(b"between %d" % number)
                cluster.run(0.1)
                cluster.start("c")
            self.assertTrue(cluster.run_until(lambda simulated=cluster: is_caught_up(simulated), 5.0), seed)

    def test_a_replica_catches_up_with_the_next_leader_if_one_fails_during_a_transfer(self):
        cluster = cluster_with_a_stopped_replica(names="abcd")
        cluster.links.bandwidth = 20_000
        cluster.start("d")
        cluster.run(0.4)
        cluster.lose_power("a")
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster, "d"), 4.0))


class NarrowLinkTest(testtools.TestCase):
    def test_the_largest_state_is_transferred_under_load_without_an_election(self):
        cluster = cluster_with_a_stopped_replica(
            command_count=130, command=b"y" * 100_000, timing=Timing(retention=0.5)
        )
        cluster.links.bandwidth = NARROW_LINK_RATE
        cluster.start("c")
        began, contact = cluster.now, []
        while not is_caught_up(cluster) and cluster.now < began + 30:
            cluster.propose(b"load")
            cluster.run(0.02)
            contact.append(cluster.now - cluster.nodes["c"].replica.last_contact)
        size = chunks_sent(cluster)[0].size
        self.assertGreater(size, 12_900_000)
        self.assertLess(cluster.now - began, size / NARROW_LINK_RATE + 4.0)
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))
        self.assertLess(max(contact[10:]), 0.25)


class LargeEntryTest(testtools.TestCase):
    """One entry of 4 MB on a slow link, where small messages overtake large ones."""

    def cluster_with_a_large_entry_in_flight(self):
        cluster = Cluster("abc")
        cluster.run(1.0)
        cluster.links.bandwidth, cluster.links.priority_size = NARROW_LINK_RATE, 32 * 1024
        cluster.sent.clear()
        cluster.propose(LARGE_COMMAND)
        return cluster

    def count_large_entries_sent(self, cluster, receiver):
        appends = [m for _, to, m in cluster.sent if to == receiver and isinstance(m, AppendEntries)]
        return sum(entry.data == LARGE_COMMAND for append in appends for entry in append.entries)

    def test_a_large_entry_is_sent_once_and_heartbeats_continue(self):
        cluster = self.cluster_with_a_large_entry_in_flight()
        contact = []
        while not cluster.committed(LARGE_COMMAND) and cluster.now < 10:
            cluster.run(0.02)
            contact.append(max(cluster.now - cluster.nodes[n].replica.last_contact for n in "bc"))
        self.assertLess(cluster.now, 1.0 + len(LARGE_COMMAND) / NARROW_LINK_RATE + 0.2)
        self.assertLess(max(contact), 0.2)
        self.assertEqual([1, 1], [self.count_large_entries_sent(cluster, name) for name in "bc"])
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))

    def test_entries_after_a_large_entry_arrive_in_order_and_once(self):
        cluster = self.cluster_with_a_large_entry_in_flight()
        for number in range(50):
            cluster.propose(b"behind %d" % number)
            cluster.run(0.02)
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"behind 49"), 3.0))
        self.assertEqual([1, 1], [self.count_large_entries_sent(cluster, name) for name in "bc"])

    def test_a_large_entry_lost_with_its_connection_is_sent_again_at_once(self):
        cluster = self.cluster_with_a_large_entry_in_flight()
        cluster.isolate("c")
        cluster.isolate("b")
        cluster.run(0.1)
        cluster._events = [event for event in cluster._events if event[2][2] != "message"]
        cluster.links.free_at.clear()
        cluster.heal()
        leader = cluster.nodes["a"]
        for name in "bc":
            leader.replica.handle_reconnection(cluster.nodes[name].identity)
        cluster._process_effects(leader)
        self.assertTrue(
            cluster.run_until(
                lambda: cluster.committed(LARGE_COMMAND), len(LARGE_COMMAND) / NARROW_LINK_RATE + 0.3
            )
        )
        self.assertEqual([2, 2], [self.count_large_entries_sent(cluster, name) for name in "bc"])

    def test_a_large_entry_lost_silently_is_sent_again_eventually(self):
        cluster = self.cluster_with_a_large_entry_in_flight()
        cluster.run(0.1)
        cluster._events = [event for event in cluster._events if not carries(event, LARGE_COMMAND)]
        cluster.links.free_at.clear()
        self.assertTrue(cluster.run_until(lambda: cluster.committed(LARGE_COMMAND), 20.0))
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))


def carries(event, data):
    message = event[2][3]
    return isinstance(message, AppendEntries) and any(entry.data == data for entry in message.entries)


class SnapshotReceiverTest(testtools.TestCase):
    def test_bytes_with_a_wrong_digest_are_rejected_and_requested_again(self):
        chunks = chunks_of(b"right")
        receiver = SnapshotReceiver()
        wrong = [attrs.evolve(chunk, data=chunk.data.upper()) for chunk in chunks]
        self.assertEqual([None] * len(wrong), [receiver.receive(chunk) for chunk in wrong])
        self.assertEqual(0, receiver.received(chunks[0]))
        self.assertEqual(b"right", [receiver.receive(chunk) for chunk in chunks][-1].state)

    def test_more_bytes_than_announced_are_rejected(self):
        chunk = chunks_of(b"right", chunk_bytes=10)[0]
        receiver = SnapshotReceiver()
        self.assertIsNone(receiver.receive(attrs.evolve(chunk, data=b"right and more")))
        self.assertEqual(0, receiver.received(chunk))

    def test_a_late_chunk_of_an_older_snapshot_does_not_end_the_newer_transfer(self):
        older, newer = chunks_of(b"older", index=5), chunks_of(b"newer", index=9)
        receiver = SnapshotReceiver()
        receiver.receive(newer[0])
        receiver.receive(older[0])
        self.assertEqual(2, receiver.received(newer[0]))

    def test_an_empty_state_is_sent_as_one_chunk(self):
        (chunk,) = chunks_of(b"")
        self.assertEqual(Snapshot(7, 1, ("a", "b")), SnapshotReceiver().receive(chunk))


class SnapshotSenderTest(testtools.TestCase):
    def test_a_transfer_moves_back_if_the_follower_lost_its_bytes(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(reply(sender, 4, round_number=1), 0.01)
        sent(sender, 0.01)
        sender.receive_reply(reply(sender, 0, round_number=1), 0.02)
        self.assertEqual(4, sender.received)
        sender.receive_reply(reply(sender, 0, round_number=2), 0.03)
        self.assertEqual([0, 2], [chunk.offset for chunk in sent(sender, 0.03)])

    def test_a_retry_waits_for_several_round_trips(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(reply(sender, 2), 0.5)
        sent(sender, 0.5)
        self.assertEqual([], sent(sender, 2.4))
        self.assertEqual([2, 4], [chunk.offset for chunk in sent(sender, 2.6)])

    def test_chunks_are_still_resent_to_a_follower_that_is_stuck_for_hours(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(reply(sender, 2), 0.1)
        sent(sender, 0.1)
        for minute in range(1, 20 * 60):
            self.assertEqual([2, 4], [chunk.offset for chunk in sent(sender, 60.0 * minute)])

    def test_no_more_than_the_window_is_in_flight(self):
        sender = sender_of(b"0123456789")
        self.assertEqual([0, 2], [chunk.offset for chunk in sent(sender, 0.0)])
        sender.receive_reply(reply(sender, 2), 0.01)
        self.assertEqual([4], [chunk.offset for chunk in sent(sender, 0.01)])

    def test_a_reply_with_another_digest_is_ignored(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(attrs.evolve(reply(sender, 10), digest=b"other"), 0.01)
        self.assertFalse(sender.is_complete)


TINY_CHUNKS = Timing(chunk_bytes=2, snapshot_window=4)


def sender_of(state, index=7, chunk_bytes=2):
    timing = attrs.evolve(TINY_CHUNKS, chunk_bytes=chunk_bytes)
    return SnapshotSender(Snapshot(index, 1, ("a", "b"), state), timing, 0.0)


def sent(sender, now):
    return list(sender.due_chunks(now))


def reply(sender, received, round_number=1):
    return SnapshotReply("s", "b", 1, sender.digest, received, round_number)


def chunks_of(state, index=7, chunk_bytes=2):
    """All chunks of a snapshot, as messages of one leader."""
    sender = sender_of(state, index, chunk_bytes)
    messages = []
    while not sender.is_complete:
        for chunk in sent(sender, 0.0):
            messages.append(
                SnapshotChunk(
                    "s", "a", 1, sender.metadata, sender.size, sender.digest, chunk.offset, chunk.data, 1
                )
            )
        sender.receive_reply(reply(sender, messages[-1].offset + len(messages[-1].data)), 0.0)
    return messages


def cluster_with_a_thousand_commands():
    tiny_chunks = attrs.evolve(SMALL_CHUNKS, chunk_bytes=CHUNK // 4, snapshot_window=CHUNK // 2)
    return cluster_with_a_stopped_replica(command_count=1000, command=b"x" * 10, timing=tiny_chunks)


def count_messages_until_current(cluster):
    """How many messages the replica receives until it has caught up."""
    cluster.start("c")
    cluster.sent.clear()
    cluster.run_until(lambda: is_caught_up(cluster), 4.0)
    return sum(to == "c" for _, to, _ in cluster.sent)


def run_until_received(cluster, name, count):
    """Runs until the machine has received `count` messages, and drops all later ones."""
    node = cluster.nodes[name]
    received = 0
    receive = node.replica.receive

    def counted(message, now):
        nonlocal received
        received += 1
        if received <= count:
            receive(message, now)

    node.replica.receive = counted
    while received < count and not is_caught_up(cluster, name):
        cluster.run(0.02)
