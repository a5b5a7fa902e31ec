"""What a journal acknowledged is there after any loss of power, at any step, and what a start read stays."""

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
FILES_AT_ONCE = 2
CAPACITY = 1 << 20


class Writer:
    """Writes numbered records to a disk and knows which of them were acknowledged."""

    def __init__(self, disk):
        self.files = JournalFiles(disk, DIRECTORY, FILES_AT_ONCE, chunk_bytes=20)
        self.checkpoint = None
        self.records = self.files.load()
        self.acknowledged = len(self.records)

    def play(self, script):
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
    """The records, those acknowledged, and whether the whole script went through."""
    disk.fail_at = step
    writer = None
    try:
        writer = Writer(disk)
        writer.play(script)
    except PowerLoss:
        return writer, False
    finally:
        disk.fail_at = -1
    return writer, True


class PowerLossTest(testtools.TestCase):
    """Exhaustive over the step at which the power goes and over what of the unsynced work is left."""

    def check_all_endings(self, before, script):
        found = 0
        for step in range(200):
            disk = MemoryDisk()
            Writer(disk).play(before)
            writer, whole = run_until_failure(disk, script, step)
            count = len(before) if writer is None else writer.acknowledged
            for left in [disk.after_process_kill(), *disk.after_power_loss()]:
                self.check_start(left, count)
                found += 1
            if whole:
                return found
        raise AssertionError("the script has no end")

    def check_start(self, disk, count):
        """What was acknowledged is read, in order; what was read survives the next loss of power."""
        first = Writer(disk)
        self.assertEqual([b"record %d" % number for number in range(len(first.records))], first.records)
        self.assertGreaterEqual(len(first.records), count)
        for left in disk.after_power_loss():
            again = Writer(left)
            self.assertEqual(first.records, again.records)
            again.play(["append", "append", "append"])
        first.play(["maintain", "append"])
        for left in disk.after_power_loss():
            self.assertEqual(first.records, Writer(left).records)

    def test_given_appends_when_power_goes_at_any_step_then_all_acknowledged_is_read(self):
        self.assertGreater(self.check_all_endings(["append"], ["append", "append", "append", "group"]), 40)

    def test_given_a_checkpoint_when_power_goes_at_any_step_then_all_acknowledged_is_read(self):
        self.assertGreater(self.check_all_endings(["append"] * 2, ["checkpoint", "append", "maintain"]), 40)

    def test_given_two_checkpoints_and_removal_when_power_goes_then_all_acknowledged_is_read(self):
        script = ["checkpoint", "maintain", "append", "checkpoint", "maintain"]
        self.assertGreater(self.check_all_endings(["append"], script), 40)

    def test_given_a_checkpoint_in_steps_when_power_goes_between_then_all_acknowledged_is_read(self):
        script = ["begin", *["step"] * 5, "append", "step", "maintain", "append", "end", "append", "maintain"]
        self.assertGreater(self.check_all_endings(["append"] * 2, script), 60)

    def test_given_a_checkpoint_in_steps_when_it_is_whole_then_it_stands_for_what_came_before_alone(self):
        disk = MemoryDisk()
        Writer(disk).play(["append", "append", "begin", "append", "step", "append", "end", "maintain"])
        self.assertEqual(
            ["000000000002.checkpoint", "000000000002.versions", "000000000003.versions"],
            sorted(
                name for name in disk.list_directory(DIRECTORY) if disk.files[f"{DIRECTORY}/{name}"].content
            ),
        )
        self.assertEqual([b"record %d" % number for number in range(4)], Writer(disk).records)

    def test_given_a_checkpoint_given_up_when_one_of_the_same_number_is_written_then_maintenance_leaves_it(
        self,
    ):
        disk = MemoryDisk()
        writer, _ = run_until_failure(disk, ["append", "begin", *["step"] * 4], 9)
        again = Writer(disk.after_process_kill())
        again.play(["begin", *["step"] * 3, "maintain", "end"])
        self.assertEqual(again.records, Writer(again.files._disk).records)

    def test_given_a_checkpoint_when_there_is_time_then_what_it_replaced_goes(self):
        disk = MemoryDisk()
        Writer(disk).play(["append"] * 5 + ["checkpoint", "maintain", "maintain", "append"])
        kept = ["000000000005.checkpoint", "000000000005.versions"]
        self.assertEqual(kept, sorted(disk.list_directory(DIRECTORY)))

    def test_given_long_scripts_when_power_goes_again_and_again_then_nothing_is_lost(self):
        for seed in range(60):
            chance = random.Random(seed)
            disk = MemoryDisk()
            count = 0
            for _run in range(6):
                script = chance.choices(["append", "group", "checkpoint", "maintain"], [6, 3, 1, 2], k=20)
                writer, _whole = run_until_failure(disk, script, chance.randrange(60))
                count = count if writer is None else writer.acknowledged
                disk = self.one_ending(disk, chance)
                self.assertGreaterEqual(len(Writer(disk.after_process_kill()).records), count, f"seed {seed}")

    def one_ending(self, disk, chance):
        if chance.random() < 0.3:
            return disk.after_process_kill()
        endings = disk.after_power_loss()
        for _skipped in range(chance.randrange(50)):
            next(endings, None)
        return next(endings, None) or next(disk.after_power_loss())


class CorruptedTest(testtools.TestCase):
    def damage(self, name, script):
        disk = MemoryDisk()
        Writer(disk).play(script)
        disk.files[f"{DIRECTORY}/{name}"].content = b"other"
        return self.assertRaises(StorageCorruptedError, Writer, disk).code

    def test_given_a_torn_segment_when_a_later_one_is_there_then_the_start_refuses(self):
        self.assertEqual(StorageCode.SEGMENT_GAP, self.damage("000000000000.versions", ["append", "append"]))

    def test_given_a_damaged_checkpoint_then_the_start_refuses(self):
        code = self.damage("000000000001.checkpoint", ["append", "checkpoint"])
        self.assertEqual(StorageCode.CHECKPOINT_DAMAGED, code)


class JournalTest(testtools.TestCase):
    """The queue before the files; the test takes the writer thread's place."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.written = []
        self.disk = MemoryDisk()
        self.journal = self.start(CAPACITY)

    def start(self, capacity):
        def call(function, *arguments):
            function(*arguments)

        journal = DiskJournal(
            DIRECTORY, capacity, self.written.extend, call, disk=self.disk, clock=lambda: self.now
        )
        journal.load()
        return journal

    def test_given_waiting_records_when_the_thread_comes_then_one_sync_acknowledges_all_in_order(self):
        for ticket in (7, 8, 9):
            self.journal.append(ticket, b"record %d" % ticket)
        self.assertEqual([], self.written)
        self.assertTrue(self.journal.write_once())
        self.assertEqual([7, 8, 9], self.written)
        self.assertEqual([b"record 7", b"record 8", b"record 9"], self.start(CAPACITY).load())

    def test_given_a_full_disk_when_it_has_room_again_then_what_waited_is_acknowledged(self):
        self.journal.append(1, b"record")
        self.disk.fail_at, self.disk.failure = 3, disk_full
        self.assertFalse(self.journal.write_once())
        self.assertEqual((JournalState.FULL, []), (self.journal.state(self.now), self.written))
        self.journal.append(2, b"record")
        self.assertTrue(self.journal.write_once())
        self.assertEqual((JournalState.OK, [1, 2]), (self.journal.state(self.now), self.written))

    def test_given_a_failing_disk_when_time_passes_then_it_is_slow_and_then_stalled(self):
        self.journal.append(1, b"record")
        self.disk.fail_at, self.disk.failure = 0, lambda: OSError(errno.EIO, "fault")
        self.assertFalse(self.journal.write_once())
        states = [self.journal.state(self.now + waited) for waited in (0.1, 0.3, 1.5)]
        self.assertEqual([JournalState.OK, JournalState.SLOW, JournalState.STALLED], states)
        self.assertAlmostEqual(1.5, self.journal.oldest_wait_s(self.now + 1.5))

    def test_given_its_share_of_the_disk_is_used_up_when_a_checkpoint_comes_then_it_goes_on(self):
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
        self.assertEqual([b"state"], self.start(CAPACITY).load())

    def test_given_records_behind_a_checkpoint_when_all_is_written_then_they_are_read_after_it(self):
        self.journal.append(1, b"before")
        self.journal.checkpoint([b"state"])
        self.journal.append(2, b"after")
        while self.journal.write_once():
            pass
        self.assertEqual([1, 2], self.written)
        self.assertEqual([b"state", b"after"], self.start(CAPACITY).load())

    def test_given_a_large_checkpoint_when_records_come_then_none_waits_for_all_of_it(self):
        self.journal = self.start(100 << 20)
        made = []

        def encode():
            made.append(1)
            return b"s" * (8 << 20)

        self.journal.append(1, b"before")
        self.journal.checkpoint([DeferredRecord(8 << 20, encode)])
        self.journal.append(2, b"after")
        for _ in range(3):
            self.journal.write_once()
        self.assertEqual(([1, 2], []), (self.written, made))
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

    def test_given_the_largest_tables_when_records_go_on_then_a_checkpoint_comes_before_the_disk_is_full(
        self,
    ):
        capacity = 26_000_000  # a tenth of a store's, with a tenth of six tables at their bounds
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

    def test_given_a_large_checkpoint_when_the_disk_fails_then_another_is_wanted_and_nothing_is_lost(self):
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

    def test_given_the_thread_and_real_files_when_closed_then_all_is_written_and_read_back(self):
        with tempfile.TemporaryDirectory() as data_dir:
            directory = DataDirectory.open(data_dir, True).journal_directory
            journal = DiskJournal(
                directory, CAPACITY, self.written.extend, lambda call, tickets: call(tickets)
            )
            self.assertEqual([], journal.load())
            journal.start()
            for ticket in range(100):
                journal.append(ticket, b"record %d" % ticket)
            journal.checkpoint([b"state"])
            journal.append(100, b"last")
            self.assertTrue(journal.close(timeout_s=30))
            self.assertEqual(list(range(101)), self.written)
            again = DiskJournal(directory, CAPACITY, self.written.extend, lambda call, tickets: call(tickets))
            self.assertEqual([b"state", b"last"], again.load())


class DataDirectoryTest(testtools.TestCase):
    def test_given_an_empty_disk_when_the_system_first_starts_then_its_identity_is_known_ahead(self):
        disk = MemoryDisk()
        self.assertEqual("first", DataDirectory.open("data", True, disk).identity)
        self.assertEqual("first", DataDirectory.open("data", False, disk).identity)

    def test_given_an_emptied_disk_when_started_then_it_is_another_and_stays_so(self):
        disk = MemoryDisk()
        directory = DataDirectory.open("data", False, disk)
        self.assertEqual((8, True), (len(directory.identity), directory.created))
        for left in disk.after_power_loss():
            self.assertEqual(directory.identity, DataDirectory.open("data", True, left).identity)
        self.assertNotEqual(directory.identity, DataDirectory.open("data", False, MemoryDisk()).identity)

    def test_given_power_goes_while_the_identity_is_written_then_the_next_start_goes_through(self):
        for step in range(5):
            disk = MemoryDisk()
            disk.fail_at = step
            self.assertRaises(PowerLoss, DataDirectory.open, "data", False, disk)
            for left in disk.after_power_loss():
                self.assertEqual(8, len(DataDirectory.open("data", False, left).identity))

    def test_given_segments_without_an_identity_then_the_start_refuses(self):
        disk = MemoryDisk()
        disk.write("data/journal/000000000000.versions", b"content")
        damage = self.assertRaises(StorageCorruptedError, DataDirectory.open, "data", False, disk)
        self.assertEqual(StorageCode.IDENTITY_MISSING, damage.code)
