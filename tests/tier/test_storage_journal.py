"""Acknowledged records survive a power failure at any step; records once loaded survive the next one too."""

import errno
import random
import tempfile

import testtools

from kestrelbend.tier.storage import (
    DataDirectory,
    DiskJournal,
    JournalState,
    StorageCode,
    StorageCorruptedError,
)
from kestrelbend.tier.storage.journal_files import JournalFiles
from kestrelbend.tier.storage.records import DeferredRecord
from tests.tier.memory_disk import MemoryDisk, PowerLoss, disk_full

DIRECTORY = "journal"
FILES_PER_BATCH = 2
CAPACITY_BYTES = 1 << 20


class Writer:
    """Writes numbered records to a disk and tracks which of them were acknowledged."""

    def __init__(self, disk):
        self.files = JournalFiles(disk, DIRECTORY, FILES_PER_BATCH, chunk_bytes=20)
        self.checkpoint = None
        self.records = self.files.load()
        self.acknowledged = len(self.records)

    def run(self, script):
        for step in script:
            if step == "append":
                self.records.append(b"record %d" % len(self.records))
                self.files.write_segment(self.records[-1:])
            elif step == "group":
                self.records += [b"record %d" % (len(self.records) + extra) for extra in range(3)]
                self.files.write_segment(self.records[-3:])
            elif step == "checkpoint":
                self.files.write_checkpoint(self.records)
            elif step == "begin":
                self.checkpoint = self.files.begin_checkpoint(list(self.records))
            elif step == "step":
                self.checkpoint.step()
            elif step == "end":
                while self.checkpoint.step():
                    pass
                self.files.commit_checkpoint(self.checkpoint)
            else:
                self.files.maintain()
            self.acknowledged = len(self.records)


def run_until_failure(disk, script, step):
    """Returns the writer, None if it could not be created, and whether the script completed."""
    disk.fail_at = step
    writer = None
    try:
        writer = Writer(disk)
        writer.run(script)
    except PowerLoss:
        return writer, False
    finally:
        disk.fail_at = -1
    return writer, True


class PowerLossTest(testtools.TestCase):
    """Exhaustive over the step of the power failure and over the unsynced changes that it keeps."""

    def check_all_crash_points(self, setup_script, script):
        checked = 0
        for step in range(200):
            disk = MemoryDisk()
            Writer(disk).run(setup_script)
            writer, completed = run_until_failure(disk, script, step)
            count = len(setup_script) if writer is None else writer.acknowledged
            for crashed_disk in [disk.after_process_kill(), *disk.after_power_loss()]:
                self.check_recovery(crashed_disk, count)
                checked += 1
            if completed:
                return checked
        raise AssertionError("the script did not complete")

    def check_recovery(self, disk, count):
        """Acknowledged records are loaded in order; loaded records survive the next power failure."""
        first = Writer(disk)
        self.assertEqual([b"record %d" % number for number in range(len(first.records))], first.records)
        self.assertGreaterEqual(len(first.records), count)
        for crashed_disk in disk.after_power_loss():
            reopened = Writer(crashed_disk)
            self.assertEqual(first.records, reopened.records)
            reopened.run(["append", "append", "append"])
        first.run(["maintain", "append"])
        for crashed_disk in disk.after_power_loss():
            self.assertEqual(first.records, Writer(crashed_disk).records)

    def test_power_failure_at_any_step_of_appends_keeps_all_acknowledged_records(self):
        self.assertGreater(
            self.check_all_crash_points(["append"], ["append", "append", "append", "group"]), 40
        )

    def test_power_failure_at_any_step_of_a_checkpoint_keeps_all_acknowledged_records(self):
        self.assertGreater(
            self.check_all_crash_points(["append"] * 2, ["checkpoint", "append", "maintain"]), 40
        )

    def test_power_failure_during_two_checkpoints_and_removal_keeps_all_acknowledged_records(self):
        script = ["checkpoint", "maintain", "append", "checkpoint", "maintain"]
        self.assertGreater(self.check_all_crash_points(["append"], script), 40)

    def test_power_failure_between_steps_of_a_checkpoint_keeps_all_acknowledged_records(self):
        script = ["begin", *["step"] * 5, "append", "step", "maintain", "append", "end", "append", "maintain"]
        self.assertGreater(self.check_all_crash_points(["append"] * 2, script), 60)

    def test_checkpoint_in_steps_replaces_only_segments_from_before_it_began(self):
        disk = MemoryDisk()
        Writer(disk).run(["append", "append", "begin", "append", "step", "append", "end", "maintain"])
        self.assertEqual(
            ["000000000002.checkpoint", "000000000002.versions", "000000000003.versions"],
            sorted(
                name for name in disk.list_directory(DIRECTORY) if disk.files[f"{DIRECTORY}/{name}"].content
            ),
        )
        self.assertEqual([b"record %d" % number for number in range(4)], Writer(disk).records)

    def test_maintenance_keeps_a_checkpoint_that_reuses_the_number_of_an_abandoned_one(
        self,
    ):
        disk = MemoryDisk()
        writer, _ = run_until_failure(disk, ["append", "begin", *["step"] * 4], 9)
        reopened = Writer(disk.after_process_kill())
        reopened.run(["begin", *["step"] * 3, "maintain", "end"])
        self.assertEqual(reopened.records, Writer(reopened.files._disk).records)

    def test_maintenance_removes_files_replaced_by_a_checkpoint(self):
        disk = MemoryDisk()
        Writer(disk).run(["append"] * 5 + ["checkpoint", "maintain", "maintain", "append"])
        expected = ["000000000005.checkpoint", "000000000005.versions"]
        self.assertEqual(expected, sorted(disk.list_directory(DIRECTORY)))

    def test_repeated_power_failures_in_random_scripts_lose_no_acknowledged_record(self):
        for seed in range(60):
            rng = random.Random(seed)
            disk = MemoryDisk()
            count = 0
            for _run in range(6):
                script = rng.choices(["append", "group", "checkpoint", "maintain"], [6, 3, 1, 2], k=20)
                writer, _completed = run_until_failure(disk, script, rng.randrange(60))
                count = count if writer is None else writer.acknowledged
                disk = self.random_crash_state(disk, rng)
                self.assertGreaterEqual(len(Writer(disk.after_process_kill()).records), count, f"seed {seed}")

    def random_crash_state(self, disk, rng):
        if rng.random() < 0.3:
            return disk.after_process_kill()
        crash_states = disk.after_power_loss()
        for _skipped in range(rng.randrange(50)):
            next(crash_states, None)
        return next(crash_states, None) or next(disk.after_power_loss())


class CorruptedJournalTest(testtools.TestCase):
    def load_damaged(self, name, script):
        disk = MemoryDisk()
        Writer(disk).run(script)
        disk.files[f"{DIRECTORY}/{name}"].content = b"other"
        return self.assertRaises(StorageCorruptedError, Writer, disk).code

    def test_load_fails_if_a_segment_follows_a_torn_segment(self):
        self.assertEqual(
            StorageCode.SEGMENT_GAP, self.load_damaged("000000000000.versions", ["append", "append"])
        )

    def test_load_fails_if_a_checkpoint_is_damaged(self):
        code = self.load_damaged("000000000001.checkpoint", ["append", "checkpoint"])
        self.assertEqual(StorageCode.CHECKPOINT_DAMAGED, code)


class JournalTest(testtools.TestCase):
    """The queue and the states of a journal; the tests run the writer thread's work themselves."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.written = []
        self.disk = MemoryDisk()
        self.journal = self.start(CAPACITY_BYTES)

    def start(self, capacity):
        def call(function, *arguments):
            function(*arguments)

        journal = DiskJournal(
            DIRECTORY, capacity, self.written.extend, call, disk=self.disk, clock=lambda: self.now
        )
        journal.load()
        return journal

    def test_one_group_commit_acknowledges_all_pending_records_in_order(self):
        for ticket in (7, 8, 9):
            self.journal.append(ticket, b"record %d" % ticket)
        self.assertEqual([], self.written)
        self.assertTrue(self.journal.write_once())
        self.assertEqual([7, 8, 9], self.written)
        self.assertEqual([b"record 7", b"record 8", b"record 9"], self.start(CAPACITY_BYTES).load())

    def test_pending_records_are_acknowledged_once_a_full_disk_has_space_again(self):
        self.journal.append(1, b"record")
        self.disk.fail_at, self.disk.failure = 3, disk_full
        self.assertFalse(self.journal.write_once())
        self.assertEqual((JournalState.FULL, []), (self.journal.state(self.now), self.written))
        self.journal.append(2, b"record")
        self.assertTrue(self.journal.write_once())
        self.assertEqual((JournalState.OK, [1, 2]), (self.journal.state(self.now), self.written))

    def test_state_of_a_failing_disk_becomes_slow_and_then_stalled(self):
        self.journal.append(1, b"record")
        self.disk.fail_at, self.disk.failure = 0, lambda: OSError(errno.EIO, "fault")
        self.assertFalse(self.journal.write_once())
        states = [self.journal.state(self.now + waited) for waited in (0.1, 0.3, 1.5)]
        self.assertEqual([JournalState.OK, JournalState.SLOW, JournalState.STALLED], states)
        self.assertAlmostEqual(1.5, self.journal.oldest_wait_s(self.now + 1.5))

    def test_checkpoint_frees_space_when_the_disk_quota_is_used_up(self):
        journal = self.start(64 * 1024)
        for ticket in range(20):
            journal.append(ticket, b"x" * 4000)
            journal.write_once()
        self.assertEqual(JournalState.FULL, journal.state(self.now))
        self.assertTrue(journal.wants_checkpoint)
        journal.checkpoint([b"state"])
        self.assertFalse(journal.wants_checkpoint)
        self.assertTrue(journal.write_once())
        self.assertEqual(list(range(20)), self.written)
        self.assertEqual([b"state"], self.start(CAPACITY_BYTES).load())

    def test_records_appended_after_a_checkpoint_are_loaded_after_it(self):
        self.journal.append(1, b"before")
        self.journal.checkpoint([b"state"])
        self.journal.append(2, b"after")
        while self.journal.write_once():
            pass
        self.assertEqual([1, 2], self.written)
        self.assertEqual([b"state", b"after"], self.start(CAPACITY_BYTES).load())

    def test_records_do_not_wait_for_a_complete_large_checkpoint(self):
        self.journal = self.start(100 << 20)
        encode_calls = []

        def encode():
            encode_calls.append(1)
            return b"s" * (8 << 20)

        self.journal.append(1, b"before")
        self.journal.checkpoint([DeferredRecord(8 << 20, encode)])
        self.journal.append(2, b"after")
        for _ in range(3):
            self.journal.write_once()
        self.assertEqual(([1, 2], []), (self.written, encode_calls))
        for ticket in range(3, 20):
            self.journal.maintain()
            self.journal.append(ticket, b"between")
            self.journal.write_once()
            self.assertEqual(ticket, self.written[-1])
            self.assertLess(self.disk.longest_write, 3 << 20)
        self.assertFalse(self.journal.wants_checkpoint)
        loaded = self.start(100 << 20).load()
        self.assertEqual((8 << 20, b"after"), (len(loaded[0]), loaded[1]))
        self.assertEqual(19, len(loaded))

    def test_with_the_largest_tables_checkpoints_are_requested_before_the_quota_is_used_up(
        self,
    ):
        capacity = 26_000_000  # a tenth of a store's quota, with a tenth of six tables at their size limits
        journal = self.start(capacity)
        state = b"s" * 8_100_000
        journal.checkpoint([state])
        checkpoints = 0
        for ticket in range(400):
            journal.append(ticket, b"x" * 40_000)
            journal.write_once()
            journal.maintain()
            self.assertEqual(JournalState.OK, journal.state(self.now))
            if journal.wants_checkpoint:
                checkpoints += 1
                journal.checkpoint([state])
        while journal.write_once():
            pass
        self.assertGreater(checkpoints, 3)
        self.assertEqual(list(range(400)), self.written)

    def test_failed_large_checkpoint_is_requested_again_and_loses_no_record(self):
        self.journal = self.start(4 << 20)
        for ticket in range(9):
            self.journal.append(ticket, b"x" * 70_000)
            self.journal.write_once()
        self.journal.checkpoint([b"s" * (2 << 20)])
        self.journal.write_once()
        self.journal.maintain()
        self.disk.fail_at, self.disk.failure = 2, lambda: OSError(errno.EIO, "fault")
        while self.journal.advance_checkpoint():
            pass
        self.assertTrue(self.journal.wants_checkpoint)
        self.assertEqual([b"x" * 70_000] * 9, self.start(4 << 20).load())

    def test_close_of_a_journal_on_real_files_writes_all_records(self):
        with tempfile.TemporaryDirectory() as data_dir:
            directory = DataDirectory.open(data_dir, True).journal_directory
            journal = DiskJournal(
                directory, CAPACITY_BYTES, self.written.extend, lambda call, tickets: call(tickets)
            )
            self.assertEqual([], journal.load())
            journal.start()
            for ticket in range(100):
                journal.append(ticket, b"record %d" % ticket)
            journal.checkpoint([b"state"])
            journal.append(100, b"last")
            self.assertTrue(journal.close(timeout_s=30))
            self.assertEqual(list(range(101)), self.written)
            reopened = DiskJournal(
                directory, CAPACITY_BYTES, self.written.extend, lambda call, tickets: call(tickets)
            )
            self.assertEqual([b"state", b"last"], reopened.load())


class DataDirectoryTest(testtools.TestCase):
    def test_bootstrap_gives_an_empty_disk_the_predefined_identity(self):
        disk = MemoryDisk()
        self.assertEqual("first", DataDirectory.open("data", True, disk).identity)
        self.assertEqual("first", DataDirectory.open("data", False, disk).identity)

    def test_emptied_disk_gets_a_new_identity_and_keeps_it(self):
        disk = MemoryDisk()
        directory = DataDirectory.open("data", False, disk)
        self.assertEqual((8, True), (len(directory.identity), directory.created))
        for crashed_disk in disk.after_power_loss():
            self.assertEqual(directory.identity, DataDirectory.open("data", True, crashed_disk).identity)
        self.assertNotEqual(directory.identity, DataDirectory.open("data", False, MemoryDisk()).identity)

    def test_start_succeeds_after_power_failure_while_the_identity_is_written(self):
        for step in range(5):
            disk = MemoryDisk()
            disk.fail_at = step
            self.assertRaises(PowerLoss, DataDirectory.open, "data", False, disk)
            for crashed_disk in disk.after_power_loss():
                self.assertEqual(8, len(DataDirectory.open("data", False, crashed_disk).identity))

    def test_open_fails_if_segments_exist_without_an_identity(self):
        disk = MemoryDisk()
        disk.write("data/journal/000000000000.versions", b"content")
        error = self.assertRaises(StorageCorruptedError, DataDirectory.open, "data", False, disk)
        self.assertEqual(StorageCode.IDENTITY_MISSING, error.code)
