"""Stories of snapshots: sent in chunks, resumed, checked, followed by what was committed meanwhile."""

import copy

import attrs
import testtools

from kestrelbend.tier.replication import Timing
from kestrelbend.tier.replication.messages import AppendEntries, Snapshot, SnapshotChunk, SnapshotReply
from kestrelbend.tier.replication.snapshot_transfer import SnapshotReceiver, SnapshotSender
from tests.tier.replication_harness import Cluster

NARROW = 15_000_000 / 8  # bytes a second
CHUNK = 1000
SMALL_CHUNKS = Timing(chunk_bytes=CHUNK, snapshot_window=2 * CHUNK, retention=0.5, tail_entries=0)
COMMAND = b"x" * 100
LARGE = b"z" * (4 << 20)


def cluster_with_a_member_away(changes=100, command=COMMAND, timing=SMALL_CHUNKS, names="abc", **options):
    """The first owns, the last one was away for all changes; the others hold a snapshot of them."""
    cluster = Cluster(names, timing=timing, **options)
    cluster.run(1.0)
    cluster.lose_power(names[-1])
    for number in range(changes):
        cluster.propose(b"%d " % number + command)
        if number % 50 == 0:
            cluster.run(0.02)
    cluster.run(1.0)
    for name in names[:-1]:
        cluster.compact(name)
    cluster.run(0.2)
    return cluster


def is_current(cluster, name="c"):
    node = cluster.nodes[name]
    return node.is_running and node.applied_index == len(cluster.invariants.committed_entries)


def pieces_sent(cluster, receiver="c"):
    return [m for _, to, m in cluster.sent if to == receiver and isinstance(m, SnapshotChunk)]


class TransferStories(testtools.TestCase):
    def test_a_member_that_was_away_gets_each_byte_once(self):
        cluster = cluster_with_a_member_away()
        cluster.start("c")
        self.assertTrue(cluster.run_until(lambda: is_current(cluster), 2.0))
        chunks = pieces_sent(cluster)
        self.assertGreater(len(chunks), 10)
        self.assertTrue(all(len(chunk.data) <= CHUNK for chunk in chunks))
        self.assertEqual(chunks[0].size, sum(len(chunk.data) for chunk in chunks))

    def test_pieces_lost_doubled_and_out_of_order_cost_their_own_bytes_alone(self):
        for seed in range(20):
            cluster = cluster_with_a_member_away(seed=seed)
            cluster.links.loss, cluster.links.duplication, cluster.links.delay_jitter = 0.1, 0.1, 0.02
            cluster.start("c")
            self.assertTrue(cluster.run_until(lambda world=cluster: is_current(world), 20.0), seed)
            chunks = pieces_sent(cluster)
            sent = sum(len(chunk.data) for chunk in chunks)
            self.assertLess(sent, 3 * chunks[0].size, seed)

    def test_the_snapshot_being_sent_is_finished_though_newer_ones_are_made(self):
        cluster = cluster_with_a_member_away()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        for number in range(40):
            cluster.propose(b"meanwhile %d" % number)
            cluster.run(0.04)
            cluster.compact("a")
        self.assertTrue(cluster.run_until(lambda: is_current(cluster), 2.0))
        self.assertEqual(1, len({chunk.snapshot.index for chunk in pieces_sent(cluster)}))

    def test_a_cut_in_the_middle_resumes_at_what_the_member_has(self):
        cluster = cluster_with_a_member_away()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        cluster.run(0.4)
        cluster.isolate("c")
        cluster.run(2.0)
        cluster.heal()
        self.assertTrue(cluster.run_until(lambda: is_current(cluster), 3.0))
        chunks = pieces_sent(cluster)
        sent = sum(len(chunk.data) for chunk in chunks)
        self.assertLess(sent, chunks[0].size + 8 * CHUNK)

    def test_the_next_owner_goes_on_where_its_snapshot_is_the_same(self):
        cluster = cluster_with_a_member_away()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        cluster.run(0.4)
        cluster.transfer()
        self.assertTrue(cluster.run_until(lambda: is_current(cluster), 3.0))
        self.assertEqual("b", cluster.leader().name)
        chunks = pieces_sent(cluster)
        by_the_second = [chunk for chunk in chunks if chunk.sender == "b#1"]
        self.assertGreater(len(by_the_second), 2)
        self.assertLess(sum(len(chunk.data) for chunk in chunks), chunks[0].size + 8 * CHUNK)

    def test_the_next_owner_begins_anew_where_its_snapshot_is_another(self):
        cluster = cluster_with_a_member_away()
        cluster.links.bandwidth = 20_000
        cluster.start("c")
        cluster.run(0.3)
        cluster.propose(b"one more")
        cluster.run(0.1)
        cluster.compact("b")
        cluster.transfer()
        self.assertTrue(cluster.run_until(lambda: is_current(cluster), 4.0))
        self.assertEqual(2, len({chunk.snapshot.index for chunk in pieces_sent(cluster)}))

    def test_a_member_killed_at_every_message_of_its_catching_up_ends_up_current(self):
        prepared = thousand_changes_with_a_member_away()
        steps = messages_of_catching_up(copy.deepcopy(prepared))
        self.assertGreater(steps, 30)
        for step in range(1, steps + 1):
            cluster = copy.deepcopy(prepared)
            cluster.start("c")
            run_until_received(cluster, "c", step)
            cluster.lose_power("c")
            cluster.run(0.1)
            cluster.start("c")
            self.assertTrue(cluster.run_until(lambda world=cluster: is_current(world), 4.0), step)
            self.assertEqual("a", cluster.leader().name)

    def test_a_member_that_loses_power_at_each_write_ends_up_current(self):
        for seed in range(10):
            cluster = cluster_with_a_member_away(seed=seed)
            cluster.nodes["c"].disk_delay = 0.2
            cluster.start("c")
            for number in range(6):
                cluster.run_until(lambda world=cluster: world.nodes["c"].unsynced, 3.0)
                cluster.run(0.02 * number)
                cluster.lose_power("c")
                cluster.propose(b"between %d" % number)
                cluster.run(0.1)
                cluster.start("c")
            self.assertTrue(cluster.run_until(lambda world=cluster: is_current(world), 5.0), seed)

    def test_an_owner_killed_midway_leaves_a_member_that_the_next_one_brings_up(self):
        cluster = cluster_with_a_member_away(names="abcd")
        cluster.links.bandwidth = 20_000
        cluster.start("d")
        cluster.run(0.4)
        cluster.lose_power("a")
        self.assertTrue(cluster.run_until(lambda: is_current(cluster, "d"), 4.0))


class NarrowLinkStories(testtools.TestCase):
    def test_the_largest_state_arrives_under_load_without_an_election(self):
        cluster = cluster_with_a_member_away(
            changes=130, command=b"y" * 100_000, timing=Timing(retention=0.5)
        )
        cluster.links.bandwidth = NARROW
        cluster.start("c")
        began, contact = cluster.now, []
        while not is_current(cluster) and cluster.now < began + 30:
            cluster.propose(b"load")
            cluster.run(0.02)
            contact.append(cluster.now - cluster.nodes["c"].replica.last_contact)
        size = pieces_sent(cluster)[0].size
        self.assertGreater(size, 12_900_000)
        self.assertLess(cluster.now - began, size / NARROW + 4.0)
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))
        self.assertLess(max(contact[10:]), 0.25)


class LargeEntryStories(testtools.TestCase):
    """One entry of 4 MB on a narrow link, where small messages pass large ones."""

    def given_a_large_entry_under_way(self):
        cluster = Cluster("abc")
        cluster.run(1.0)
        cluster.links.bandwidth, cluster.links.priority_size = NARROW, 32 * 1024
        cluster.sent.clear()
        cluster.propose(LARGE)
        return cluster

    def large_sent(self, cluster, receiver):
        appends = [m for _, to, m in cluster.sent if to == receiver and isinstance(m, AppendEntries)]
        return sum(entry.data == LARGE for append in appends for entry in append.entries)

    def test_it_is_sent_once_and_contact_goes_on(self):
        cluster = self.given_a_large_entry_under_way()
        contact = []
        while not cluster.committed(LARGE) and cluster.now < 10:
            cluster.run(0.02)
            contact.append(max(cluster.now - cluster.nodes[n].replica.last_contact for n in "bc"))
        self.assertLess(cluster.now, 1.0 + len(LARGE) / NARROW + 0.2)
        self.assertLess(max(contact), 0.2)
        self.assertEqual([1, 1], [self.large_sent(cluster, name) for name in "bc"])
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))

    def test_what_is_proposed_behind_it_arrives_in_order_and_once(self):
        cluster = self.given_a_large_entry_under_way()
        for number in range(50):
            cluster.propose(b"behind %d" % number)
            cluster.run(0.02)
        self.assertTrue(cluster.run_until(lambda: cluster.committed(b"behind 49"), 3.0))
        self.assertEqual([1, 1], [self.large_sent(cluster, name) for name in "bc"])

    def test_one_lost_with_its_connection_is_sent_again_at_once(self):
        cluster = self.given_a_large_entry_under_way()
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
        self.assertTrue(cluster.run_until(lambda: cluster.committed(LARGE), len(LARGE) / NARROW + 0.3))
        self.assertEqual([2, 2], [self.large_sent(cluster, name) for name in "bc"])

    def test_one_lost_without_a_word_is_sent_again_in_the_end(self):
        cluster = self.given_a_large_entry_under_way()
        cluster.run(0.1)
        cluster._events = [event for event in cluster._events if not carries(event, LARGE)]
        cluster.links.free_at.clear()
        self.assertTrue(cluster.run_until(lambda: cluster.committed(LARGE), 20.0))
        self.assertEqual(("a", 1), (cluster.leader().name, cluster.leader().replica.term))


def carries(event, data):
    message = event[2][3]
    return isinstance(message, AppendEntries) and any(entry.data == data for entry in message.entries)


class ReceiverPromises(testtools.TestCase):
    def test_bytes_that_are_not_the_owners_are_refused_and_asked_for_again(self):
        chunks = chunks_of(b"right")
        receiver = SnapshotReceiver()
        wrong = [attrs.evolve(chunk, data=chunk.data.upper()) for chunk in chunks]
        self.assertEqual([None] * len(wrong), [receiver.receive(chunk) for chunk in wrong])
        self.assertEqual(0, receiver.received(chunks[0]))
        self.assertEqual(b"right", [receiver.receive(chunk) for chunk in chunks][-1].state)

    def test_more_bytes_than_were_told_are_refused(self):
        chunk = chunks_of(b"right", chunk_bytes=10)[0]
        receiver = SnapshotReceiver()
        self.assertIsNone(receiver.receive(attrs.evolve(chunk, data=b"right and more")))
        self.assertEqual(0, receiver.received(chunk))

    def test_a_late_piece_of_an_older_snapshot_does_not_end_the_newer_one(self):
        older, newer = chunks_of(b"older", index=5), chunks_of(b"newer", index=9)
        receiver = SnapshotReceiver()
        receiver.receive(newer[0])
        receiver.receive(older[0])
        self.assertEqual(2, receiver.received(newer[0]))

    def test_an_empty_state_is_one_piece(self):
        (chunk,) = chunks_of(b"")
        self.assertEqual(Snapshot(7, 1, ("a", "b")), SnapshotReceiver().receive(chunk))


class SenderPromises(testtools.TestCase):
    def test_a_follower_that_has_lost_its_part_is_followed_back(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(reply(sender, 4, round_number=1), 0.01)
        sent(sender, 0.01)
        sender.receive_reply(reply(sender, 0, round_number=1), 0.02)
        self.assertEqual(4, sender.received)
        sender.receive_reply(reply(sender, 0, round_number=2), 0.03)
        self.assertEqual([0, 2], [chunk.offset for chunk in sent(sender, 0.03)])

    def test_a_retry_waits_for_the_pace_of_the_bytes(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(reply(sender, 2), 0.5)
        sent(sender, 0.5)
        self.assertEqual([], sent(sender, 2.4))
        self.assertEqual([2, 4], [chunk.offset for chunk in sent(sender, 2.6)])

    def test_a_follower_that_stays_stuck_for_hours_is_still_sent_to(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(reply(sender, 2), 0.1)
        sent(sender, 0.1)
        for minute in range(1, 20 * 60):
            self.assertEqual([2, 4], [chunk.offset for chunk in sent(sender, 60.0 * minute)])

    def test_no_more_than_the_window_is_under_way(self):
        sender = sender_of(b"0123456789")
        self.assertEqual([0, 2], [chunk.offset for chunk in sent(sender, 0.0)])
        sender.receive_reply(reply(sender, 2), 0.01)
        self.assertEqual([4], [chunk.offset for chunk in sent(sender, 0.01)])

    def test_a_reply_to_other_bytes_counts_for_nothing(self):
        sender = sender_of(b"0123456789")
        sent(sender, 0.0)
        sender.receive_reply(attrs.evolve(reply(sender, 10), digest=b"other"), 0.01)
        self.assertFalse(sender.is_complete)


TINY = Timing(chunk_bytes=2, snapshot_window=4)


def sender_of(state, index=7, chunk_bytes=2):
    timing = attrs.evolve(TINY, chunk_bytes=chunk_bytes)
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


def thousand_changes_with_a_member_away():
    tiny_pieces = attrs.evolve(SMALL_CHUNKS, chunk_bytes=CHUNK // 4, snapshot_window=CHUNK // 2)
    return cluster_with_a_member_away(changes=1000, command=b"x" * 10, timing=tiny_pieces)


def messages_of_catching_up(cluster):
    """How many messages the member gets until it is current."""
    cluster.start("c")
    cluster.sent.clear()
    cluster.run_until(lambda: is_current(cluster), 4.0)
    return sum(to == "c" for _, to, _ in cluster.sent)


def run_until_received(cluster, name, count):
    """Runs until the machine has got so many messages; it gets none after them."""
    node = cluster.nodes[name]
    received = 0
    receive = node.replica.receive

    def counted(message, now):
        nonlocal received
        received += 1
        if received <= count:
            receive(message, now)

    node.replica.receive = counted
    while received < count and not is_current(cluster, name):
        cluster.run(0.02)
