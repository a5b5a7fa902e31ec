"""Snapshots in a process: taken in steps while commands are applied, and encoded by the journal's thread."""

import attrs
import testtools

from kestrelbend.tier.budgets.commands import encode_commands
from kestrelbend.tier.budgets.messages import Reserve
from kestrelbend.tier.budgets.state_machine import BudgetStateMachine
from kestrelbend.tier.protocol.codec import decode, encode
from kestrelbend.tier.replication import Timing
from kestrelbend.tier.replication.host import ShardHost
from kestrelbend.tier.replication.hosted import COMPACT_ENTRIES
from kestrelbend.tier.replication.replica_disk import DEFERRED_RECORD_BYTES
from kestrelbend.tier.storage.records import DeferredRecord, record_bytes

SHARD = "budget-0"
PROGRAM_COUNT = 150


@attrs.define
class ManualJournal:
    """Queues records; the test decides when they are written."""

    wants_checkpoint: bool = False
    pending_records: list = attrs.field(factory=list)
    records: list = attrs.field(factory=list)
    largest_encoded_record: int = 0

    def append(self, ticket, record):
        self.pending_records.append((ticket, record))
        if not isinstance(record, DeferredRecord):
            self.largest_encoded_record = max(self.largest_encoded_record, len(record))

    def checkpoint(self, records):
        self.wants_checkpoint = False
        self.records = list(records)
        self.largest_encoded_record = max(
            [
                self.largest_encoded_record,
                *(len(each) for each in records if not isinstance(each, DeferredRecord)),
            ]
        )

    def write_pending_records(self):
        pending_records, self.pending_records = self.pending_records, []
        self.records += [record for _, record in pending_records]
        return [ticket for ticket, _ in pending_records]


class RecordingStateMachine(BudgetStateMachine):
    """Keeps each snapshot image with the state it must yield."""

    def __init__(self):
        super().__init__()
        self.images = []

    def begin_snapshot(self):
        image = super().begin_snapshot()
        self.images.append((self.snapshot(), image))
        return image


class SingleReplicaProcess:
    """A host with the only replica of its shard."""

    def __init__(self, records=()):
        self.now = 0.0
        self.journal = ManualJournal()
        self.host = ShardHost(
            identity="a",
            timing=Timing(),
            first_ticket=1,
            journal=self.journal,
            encode=encode,
            send=lambda receiver, message: None,
            create_state_machine=lambda shard: RecordingStateMachine(),
            may_host=lambda shard: True,
        )
        self.host.load([decode(record_bytes(record)) for record in records])
        self.host.open(SHARD, ("a",), self.now)
        self.journal.records = list(records)
        self.run(40)

    @property
    def state_machine(self):
        return self.host.state_machine(SHARD)

    def run(self, ticks):
        for _ in range(ticks):
            self.now += 0.02
            self.host.tick(self.now)
            self.host.complete_writes(self.journal.write_pending_records(), self.now)

    def reserve(self, number):
        program = f"program {number % PROGRAM_COUNT}"
        reserve = Reserve(program, f"session {number % 64}", f"turn {number:090}", number, 100, 10**9, True)
        outcomes = []
        self.host.propose(SHARD, encode_commands((), (reserve,)), outcomes.append, self.now)
        self.host.flush(SHARD)
        return outcomes


class SnapshotHostTest(testtools.TestCase):
    def run_until_compacted(self):
        process = SingleReplicaProcess()
        for number in range(COMPACT_ENTRIES + 200):
            process.reserve(number)
            if number % 20 == 0:
                process.run(1)
        process.run(60)
        return process

    def test_given_many_entries_when_a_snapshot_is_due_then_it_is_taken_while_commands_are_applied(self):
        process = self.run_until_compacted()
        ((expected, image),) = process.state_machine.images
        snapshot = process.host.replica(SHARD).durable_record().snapshot
        self.assertEqual(COMPACT_ENTRIES, snapshot.index)
        self.assertEqual(expected, snapshot.state)
        self.assertTrue(image.is_complete)

    def test_given_a_large_record_when_it_is_written_then_the_journals_thread_encodes_it(self):
        process = self.run_until_compacted()
        state = process.host.replica(SHARD).durable_record().snapshot.state
        self.assertGreater(len(state), DEFERRED_RECORD_BYTES)
        process.journal.wants_checkpoint = True
        process.run(1)
        self.assertLess(process.journal.largest_encoded_record, DEFERRED_RECORD_BYTES)
        (record,) = process.journal.records
        self.assertEqual(state, decode(record_bytes(record)).snapshot.state)

    def test_given_a_restart_from_the_disk_when_it_leads_again_then_the_state_is_the_same(self):
        process = self.run_until_compacted()
        restarted = SingleReplicaProcess(process.journal.records)
        self.assertEqual(process.state_machine.snapshot(), restarted.state_machine.snapshot())

    def test_given_a_checkpoint_when_restarted_then_the_replica_starts_from_its_snapshot(self):
        process = self.run_until_compacted()
        process.journal.wants_checkpoint = True
        process.run(1)
        restarted = SingleReplicaProcess(process.journal.records)
        self.assertEqual(process.state_machine.snapshot(), restarted.state_machine.snapshot())
        self.assertEqual([], restarted.state_machine.images)
        self.assertEqual(COMPACT_ENTRIES, restarted.host.replica(SHARD).durable_record().snapshot.index)

    def test_given_a_snapshot_taken_locally_then_no_record_is_written_for_it(self):
        process = self.run_until_compacted()
        records = [decode(record_bytes(record)) for record in process.journal.records]
        records_with_state = [
            record for record in records if record.snapshot is not None and record.snapshot.state
        ]
        self.assertEqual([], records_with_state)
