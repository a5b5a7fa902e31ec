"""A data directory that the text before the renaming wrote is read and written as before."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import testtools

from kestrelbend.tier.budgets.state_machine import BudgetStateMachine
from kestrelbend.tier.configuration.shard_service import ConfigurationMachine
from kestrelbend.tier.protocol.codec import decode, encode
from kestrelbend.tier.replication.durable import replay
from kestrelbend.tier.replication.messages import EntryKind
from kestrelbend.tier.storage import DataDirectory, DiskJournal
from kestrelbend.tier.storage.segment import decode_segment, encode_segment
from tests.recorded import FIXTURES, digest, load

DATA = FIXTURES / "data"
CAPACITY = 64 << 20
CONFIGURATION = "configuration"  # the shard's name on disk


def machine_for(shard):
    """An empty state machine of a shard."""
    return ConfigurationMachine() if shard == CONFIGURATION else BudgetStateMachine()


def state_of(shard, durable):
    """The bytes of the state that a replica's disk leads to, with all its entries applied."""
    machine = machine_for(shard)
    if durable.snapshot.index:
        machine.restore(durable.snapshot.state)
    for entry in durable.entries:
        if entry.kind == EntryKind.COMMAND:
            machine.apply(entry.data)
    return machine.snapshot()


class RecordedDirectory(testtools.TestCase):
    """Checks of one role's directory; a copy is opened, as opening syncs and making files ahead writes."""

    role = ""

    def setUp(self):
        super().setUp()
        self.recorded = load(f"data/{self.role}.json")
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = Path(temporary.name) / self.role
        shutil.copytree(DATA / self.role, self.directory)

    def open(self):
        return DataDirectory.open(str(self.directory), False)

    def records(self):
        journal = DiskJournal(
            self.open().journal_directory, CAPACITY, lambda tickets: None, lambda *call: None
        )
        return journal.load()

    def replayed(self):
        shards = {}
        for record in map(decode, self.records()):
            shards.setdefault(record.shard, []).append(record)
        return {shard: replay(records) for shard, records in sorted(shards.items())}

    def check_identity(self):
        opened = self.open()
        self.assertEqual((self.recorded["identity"], False), (opened.identity, opened.created))
        self.assertEqual(
            self.recorded["replica"], sorted({record.replica for record in map(decode, self.records())})
        )

    def check_records(self):
        records = self.records()
        framed = b"".join(len(record).to_bytes(8, "big") + record for record in records)
        self.assertEqual(self.recorded["records"], len(records))
        self.assertEqual(self.recorded["records_digest"], digest(framed))
        self.assertEqual(records, [encode(decode(record)) for record in records])

    def check_files(self):
        for name, expected in self.recorded["files"].items():
            content = (self.directory / "journal" / name).read_bytes()
            self.assertEqual(expected, digest(content))
            number = int(name.partition(".")[0])
            self.assertEqual(content, encode_segment(number, decode_segment(number, content)))

    def check_states(self):
        replayed = self.replayed()
        self.assertEqual(list(self.recorded["shards"]), list(replayed))
        for shard, expected in self.recorded["shards"].items():
            durable = replayed[shard]
            snapshot = durable.snapshot
            self.assertEqual((expected["epoch"], expected["voted_for"]), (durable.term, durable.voted_for))
            told = [snapshot.index, snapshot.term, list(snapshot.voters), digest(snapshot.state)]
            self.assertEqual(expected["snapshot"], [*told, snapshot.placement_number])
            entries = [[entry.index, entry.term, entry.kind, digest(entry.data)] for entry in durable.entries]
            self.assertEqual(expected["entries"], entries)
            self.assertEqual(expected["state_digest"], digest(state_of(shard, durable)))


class ControlDirectoryTest(RecordedDirectory):
    """A control node's: segments alone, with the configuration's shard."""

    role = "control"

    def test_given_the_directory_then_the_identity_is_found(self):
        self.check_identity()

    def test_given_the_directory_then_all_records_are_read_and_written_to_equal_bytes(self):
        self.check_records()

    def test_given_the_files_then_each_is_written_to_equal_bytes(self):
        self.check_files()

    def test_given_the_directory_then_the_configuration_is_as_before(self):
        self.check_states()


class StoreDirectoryTest(RecordedDirectory):
    """A store's: a checkpoint and segments, with budget shards and their snapshots."""

    role = "store"

    def test_given_the_directory_then_the_identity_is_found(self):
        self.check_identity()

    def test_given_the_directory_then_all_records_are_read_and_written_to_equal_bytes(self):
        self.check_records()

    def test_given_the_files_then_each_is_written_to_equal_bytes(self):
        self.check_files()

    def test_given_the_directory_then_the_budgets_are_as_before(self):
        self.check_states()
