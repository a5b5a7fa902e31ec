"""What a replica's disk holds while snapshots are taken and installed, and which replica is elected by it."""

import random

import testtools

from kestrelbend.tier.protocol.codec import decode, encode
from kestrelbend.tier.replication import Timing, replay
from kestrelbend.tier.replication.log import ReplicaLog
from kestrelbend.tier.replication.messages import DurableRecord, DurableState, Entry, EntryKind, Snapshot
from kestrelbend.tier.storage import DiskJournal
from tests.tier.memory_disk import MemoryDisk, PowerLoss
from tests.tier.replication_harness import Cluster
from tests.tier.test_snapshots import SMALL_CHUNKS, cluster_with_a_stopped_replica, is_caught_up

GROUP = ("a", "b", "c")
TIMING = Timing(tail_entries=2)


class LogAndDisk:
    """A log with its writes: any of them may complete later or be lost in a power loss."""

    def __init__(self, rng):
        self.rng = rng
        self.log = ReplicaLog(DurableState(snapshot=Snapshot(voters=GROUP)))
        self.commit = 0
        self.term = 1
        self.ticket = 0
        self.written_records = [record_of((), Snapshot(voters=GROUP))]
        self.pending_writes = []

    def step(self):
        self.rng.choice(
            (self.append, self.append, self.replace, self.advance, self.compact, self.install, self.write)
            + (self.complete_write, self.complete_write)
        )()

    def append(self):
        self.log.append(self.entry(self.log.last_index + 1))

    def entry(self, index):
        return Entry(index, self.term, EntryKind.COMMAND, b"%d of %d" % (index, self.term))

    def replace(self):
        """Entries of another leader replace uncommitted ones."""
        if self.log.last_index > self.commit:
            self.term += 1
            first = self.rng.randint(self.commit + 1, self.log.last_index)
            self.log.replace_from([self.entry(index) for index in range(first, first + 3)])

    def advance(self):
        self.commit = self.rng.randint(self.commit, self.log.last_index)

    def compact(self):
        if self.commit > self.log.snapshot.index:
            index = self.rng.randint(self.log.snapshot.index + 1, self.commit)
            self.log.compact(index, b"state %d" % index, TIMING, index)

    def install(self):
        """Installs a leader's snapshot at an entry that the log holds, lacks, or holds with another term."""
        index = self.commit + self.rng.randint(1, 6)
        term = self.log.term_at(index)
        if term is None or self.rng.random() < 0.5:
            self.term += 1
            term = self.term
        self.log.install_snapshot(Snapshot(index, term, GROUP, b"state %d" % index), self.commit)
        self.commit = index

    def write(self):
        if self.log.has_unwritten():
            self.ticket += 1
            self.pending_writes.append((self.ticket, record_of(*self.log.begin_write(self.ticket))))

    def complete_write(self):
        if self.pending_writes:
            ticket, record = self.pending_writes.pop(0)
            self.written_records.append(record)
            self.log.end_write(ticket)

    def check(self):
        """Durable entries are on the disk, whichever prefix of the pending writes is there too."""
        for kept in range(len(self.pending_writes) + 1):
            records = self.written_records + [record for _, record in self.pending_writes[:kept]]
            held = replay(records)
            entries = {entry.index: entry for entry in held.entries}
            indexes = list(range(held.snapshot.index + 1, held.snapshot.index + 1 + len(held.entries)))
            assert list(entries) == indexes, "the disk holds entries with a gap"
            for index in range(self.log.base_index + 1, self.log.durable_index + 1):
                term = self.log.term_at(index)
                if index > held.snapshot.index:
                    assert entries[index].term == term, f"{index} is a different entry on the disk"
            assert held.snapshot.index + len(held.entries) >= self.log.durable_index


def record_of(entries, snapshot):
    return DurableRecord("shard", "a", 1, "", tuple(entries), snapshot)


class SnapshotDurabilityTest(testtools.TestCase):
    def test_the_disk_holds_all_durable_entries_after_any_sequence_of_log_changes_and_losses(self):
        for seed in range(600):
            disk = LogAndDisk(random.Random(seed))
            for _ in range(40):
                disk.step()
                disk.check()

    def test_compaction_keeps_unwritten_entries_until_they_are_written(self):
        log = ReplicaLog(DurableState(snapshot=Snapshot(voters=GROUP)))
        for index in range(1, 6):
            log.append(Entry(index, 1, EntryKind.COMMAND))
        log.compact(4, b"state", Timing(tail_entries=0), 4)
        self.assertEqual(0, log.durable_index)
        entries, snapshot = log.begin_write(1)
        self.assertEqual((None, [1, 2, 3, 4, 5]), (snapshot, [entry.index for entry in entries]))
        log.end_write(1)
        self.assertEqual(5, log.durable_index)

    def test_a_large_record_torn_at_any_point_is_dropped_whole_and_earlier_records_are_kept(self):
        state = bytes(range(256)) * 64
        records = [
            record_of((Entry(1, 1, EntryKind.COMMAND, b"first"),), None),
            record_of((), Snapshot(1, 1, GROUP, state)),
            record_of((Entry(2, 1, EntryKind.COMMAND, b"second"),), None),
        ]
        endings = 0
        for step in range(10):
            disk = MemoryDisk()
            journal_on(disk, []).maintain()  # creates the files in advance
            acknowledged = []
            disk.fail_at = step
            try:
                journal = journal_on(disk, acknowledged)
                journal._files._created_until = len(records)
                for ticket, record in enumerate(records):
                    journal.append(ticket, encode(record))
                    journal.write_once()
            except PowerLoss:
                pass
            disk.fail_at = -1
            for left in disk.after_power_loss():
                self.check_replayed(journal_on(left, []).first, len(acknowledged), state)
                endings += 1
        self.assertGreater(endings, 20)

    def check_replayed(self, loaded, acknowledged, state):
        self.assertGreaterEqual(len(loaded), acknowledged)
        held = replay(decode(data) for data in loaded)
        self.assertIn(held.snapshot.state, (b"", state))
        self.assertEqual(len(loaded) > 1, held.snapshot.state == state)


def journal_on(disk, acknowledged):
    def call(function, *arguments):
        function(*arguments)

    journal = DiskJournal("journal", 100 << 20, acknowledged.extend, call, disk=disk, clock=lambda: 0.0)
    journal.first = journal.load()
    return journal


class SnapshotElectionTest(testtools.TestCase):
    def test_a_replica_with_a_partial_snapshot_is_not_elected_by_its_old_log(self):
        for share in range(1, 12):
            cluster = cluster_with_a_stopped_replica()
            cluster.links.bandwidth = 20_000
            cluster.start("c")
            cluster.run(0.1 * share)
            cluster.lose_power("a")
            self.assertTrue(cluster.run_until(cluster.leader, 3.0))
            cluster.propose(b"after the loss")
            self.assertTrue(
                cluster.run_until(lambda each=cluster: each.committed(b"after the loss"), 5.0),
                share,
            )
            self.assertTrue(cluster.run_until(lambda running=cluster: is_caught_up(running), 1.0), share)
            self.assertEqual("b", cluster.leader().name)

    def test_a_replica_that_lost_an_installed_snapshot_in_a_power_loss_is_not_elected(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.stall_disk("c")
        cluster.start("c")
        cluster.stall_disk("c")
        cluster.run(1.0)
        self.assertGreater(cluster.nodes["c"].applied_index, 100)
        cluster.lose_power("c")
        cluster.nodes["c"].unsynced = []
        cluster.lose_power("a")
        cluster.start("c")
        self.assertTrue(cluster.run_until(cluster.leader, 3.0))
        self.assertEqual("b", cluster.leader().name)
        self.assertTrue(cluster.run_until(lambda: is_caught_up(cluster), 3.0))

    def test_an_installed_snapshot_that_is_not_durable_counts_for_no_majority(self):
        cluster = cluster_with_a_stopped_replica()
        cluster.start("c")
        cluster.stall_disk("c")
        cluster.run(1.0)
        self.assertGreater(cluster.nodes["c"].applied_index, 100)
        cluster.stall_disk("b")
        cluster.propose(b"only on one disk")
        cluster.run(0.3)
        self.assertFalse(cluster.committed(b"only on one disk"))

    def test_a_restarted_replica_beside_an_older_one_leads_with_all_acknowledged_entries(self):
        for seed in range(12):
            cluster = Cluster("abc", timing=SMALL_CHUNKS, seed=seed)
            cluster.run(1.0)
            cluster.lose_power("c")
            for number in range(60):
                cluster.propose(b"%d" % number)
                cluster.run(0.02)
                if number % 20 == 19:
                    cluster.compact("a")
                    cluster.compact("b")
            cluster.lose_power("a", "b")
            cluster.start("b")
            cluster.start("c")
            self.assertTrue(cluster.run_until(cluster.leader, 3.0))
            self.assertEqual("b", cluster.leader().name)
            self.assertTrue(cluster.run_until(lambda running=cluster: is_caught_up(running), 3.0))
