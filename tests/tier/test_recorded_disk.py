"""The format on disk is stable: directories recorded by earlier code are read and written to equal bytes."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import testtools

from kestrelbend.tier.budgets.state_machine import BudgetStateMachine
from kestrelbend.tier.configuration.state_machine import ConfigurationStateMachine
from kestrelbend.tier.protocol.codec import decode, encode
from kestrelbend.tier.replication.durable import replay
from kestrelbend.tier.replication.messages import EntryKind
from kestrelbend.tier.storage import DataDirectory, DiskJournal
from kestrelbend.tier.storage.segment import decode_segment, encode_segment
from tests.recorded import FIXTURES, digest, load

RECORDED_DATA = FIXTURES / "data"
CAPACITY_BYTES = 64 << 20
CONFIGURATION_SHARD = "configuration"  # the name of the shard on disk


def new_state_machine(shard):
    """Returns an empty state machine for a shard."""
    return ConfigurationStateMachine() if shard == CONFIGURATION_SHARD else BudgetStateMachine()


def state_of(shard, durable):
    """Returns the state in bytes after applying the snapshot and all entries of a replica's disk."""
    machine = new_state_machine(shard)
    if durable.snapshot.index:
        machine.restore(durable.snapshot.state)
    for entry in durable.entries:
        if entry.kind == EntryKind.COMMAND:
            machine.apply(entry.data)
    return machine.snapshot()


class RecordedDirectoryTestCase(testtools.TestCase):
    """Checks of one role's directory, run on a copy, since opening a directory writes to it."""

    role = ""

    def setUp(self):
        super().setUp()
        self.recorded = load(f"data/{self.role}.json")
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = Path(temporary.name) / self.role
        shutil.copytree(RECORDED_DATA / self.role, self.directory)

    def open(self):
        return DataDirectory.open(str(self.directory), False)

    def records(self):
        journal = DiskJournal(
            self.open().journal_directory, CAPACITY_BYTES, lambda tickets: None, lambda *call: None
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
            snapshot_fields = [snapshot.index, snapshot.term, list(snapshot.voters), digest(snapshot.state)]
            self.assertEqual(expected["snapshot"], [*snapshot_fields, snapshot.placement_number])
            entries = [[entry.index, entry.term, entry.kind, digest(entry.data)] for entry in durable.entries]
            self.assertEqual(expected["entries"], entries)
            self.assertEqual(expected["state_digest"], digest(state_of(shard, durable)))


class ControlDirectoryTest(RecordedDirectoryTestCase):
    """The directory of a control node: only segments, with the configuration shard."""

    role = "control"

    def test_identity_is_read_from_recorded_directory(self):
        self.check_identity()

    def test_all_records_are_decoded_and_encoded_to_equal_bytes(self):
        self.check_records()

    def test_each_file_is_decoded_and_encoded_to_equal_bytes(self):
        self.check_files()

    def test_replay_restores_the_recorded_configuration(self):
        self.check_states()


class StoreDirectoryTest(RecordedDirectoryTestCase):
    """The directory of a store: a checkpoint and segments, with budget shards and their snapshots."""

    role = "store"

    def test_identity_is_read_from_recorded_directory(self):
        self.check_identity()

    def test_all_records_are_decoded_and_encoded_to_equal_bytes(self):
        self.check_records()

    def test_each_file_is_decoded_and_encoded_to_equal_bytes(self):
        self.check_files()

    def test_replay_restores_the_recorded_budgets(self):
        self.check_states()
