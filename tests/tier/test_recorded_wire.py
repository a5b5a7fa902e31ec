"""Messages, frames and bodies of the tier are those that the text before the renaming wrote."""

from __future__ import annotations

import attrs
import testtools

from kestrelbend.tier.budgets.commands import decode_commands, decode_elapsed_ms, encode_commands
from kestrelbend.tier.budgets.messages import Reserve, Settlement
from kestrelbend.tier.budgets.state_machine import BudgetStateMachine
from kestrelbend.tier.budgets.table import BudgetTable
from kestrelbend.tier.configuration.messages import ConfigOrder
from kestrelbend.tier.configuration.placements import decode_placement, encode_placement
from kestrelbend.tier.configuration.state import ConfigurationState
from kestrelbend.tier.configuration.stores import (
    ShardRemoval,
    DiskRecord,
    decode_disk,
    decode_shard_removal,
    encode_disk,
    encode_shard_removal,
)
from kestrelbend.tier.membership.messages import ConfigUpdate, ShardPlacement
from kestrelbend.tier.protocol.codec import MESSAGES, decode_with_sequence, encode
from kestrelbend.tier.protocol.framing import FrameReader, FrameWriter
from kestrelbend.tier.replication.group import decode_group, decode_placement_number, encode_group
from tests.recorded import FIXTURES, load, message

RECORDED_MESSAGES = load("tier-messages.json")
MESSAGES_WITH_LATER_FIELDS = load("tier-messages-later-fields.json")
FRAMES = load("frames.json")
BODIES = load("stored-bodies.json")
BUDGETS = load("budgets.json")
LARGE = encode(ConfigUpdate(9, True, bytes(range(256)) * 300))  # goes in chunks


def tuples(values):
    """Recorded lists as the tuples that constructors take."""
    return [tuple(item) if isinstance(item, list) else item for item in values]


class MessagesTest(testtools.TestCase):
    def test_given_recorded_bytes_then_each_message_is_decoded_and_encoded_as_before(self):
        for recorded in RECORDED_MESSAGES + MESSAGES_WITH_LATER_FIELDS:
            encoded = bytes.fromhex(recorded["bytes"])
            expected = message(MESSAGES[recorded["wire_name"]], recorded["values"])
            self.assertEqual((expected, recorded["sequence"]), decode_with_sequence(encoded))
            self.assertEqual(encoded, encode(expected, recorded["sequence"]))

    def test_given_the_codec_then_every_kind_of_message_is_recorded_full_and_empty(self):
        names = [recorded["wire_name"] for recorded in RECORDED_MESSAGES]
        self.assertEqual(sorted([*MESSAGES, *MESSAGES]), sorted(names))


class FramesTest(testtools.TestCase):
    def test_given_the_same_messages_then_the_same_bytes_are_written_at_each_step(self):
        first, second, third = (bytes.fromhex(small) for small in FRAMES["small"])
        writer = FrameWriter()
        writer.add(first)
        writer.add(second)
        writes = [writer.take(1.0)]
        writer.add(LARGE)
        writer.acknowledge(FRAMES["acknowledged_bytes"])
        writer.add(third)
        writes.append(writer.take(2.0))
        writer.acknowledged(16384, 2.01)
        writes.append(writer.take(2.01))
        writer.acknowledged(3 * 16384, 2.5)
        writes.append(writer.take(2.5))
        self.assertEqual(FRAMES["writes"], [len(written) for written in writes])
        self.assertEqual((FIXTURES / "frames.bin").read_bytes(), b"".join(writes))

    def test_given_recorded_frames_then_the_messages_come_out(self):
        reader = FrameReader()
        read = list(reader.feed((FIXTURES / "frames.bin").read_bytes()))
        self.assertEqual(sorted([*map(bytes.fromhex, FRAMES["small"]), LARGE]), sorted(read))
        self.assertEqual(FRAMES["chunk_bytes"], reader.chunk_bytes)
        self.assertEqual(FRAMES["acknowledged_bytes"], reader.acknowledged_bytes)


class BodiesTest(testtools.TestCase):
    def test_given_placements_then_their_bodies_are_as_before(self):
        for values, body in BODIES["placements"]:
            placement = ShardPlacement(*tuples(values))
            self.assertEqual(body.encode(), encode_placement(placement))
            self.assertEqual(placement, decode_placement(body.encode()))

    def test_given_disks_then_their_bodies_are_as_before(self):
        for values, body in BODIES["disks"]:
            self.assertEqual(body.encode(), encode_disk(DiskRecord(*values)))
            self.assertEqual(DiskRecord(*values), decode_disk(body.encode()))

    def test_given_emptied_nodes_then_their_bodies_are_as_before(self):
        for values, body in BODIES["emptied"]:
            emptied = ShardRemoval(*tuples(values))
            self.assertEqual(body.encode(), encode_shard_removal(emptied))
            self.assertEqual(emptied, decode_shard_removal(body.encode()))

    def test_given_groups_then_their_entries_are_as_before(self):
        for (voters, number), data in BODIES["groups"]:
            self.assertEqual(data.encode(), encode_group(tuple(voters), number))
            self.assertEqual(tuple(voters), decode_group(data.encode()))
            self.assertEqual(number, decode_placement_number(data.encode()))


class ConfigurationTest(testtools.TestCase):
    def test_given_the_recorded_orders_then_each_outcome_and_the_snapshot_are_as_before(self):
        state = ConfigurationState()
        for kind, base_version, body, outcome in BODIES["orders"]:
            self.assertEqual(
                tuple(outcome), attrs.astuple(state.apply(ConfigOrder(kind, base_version, body.encode())))
            )
        self.assertEqual(BODIES["configuration_snapshot"].encode(), state.snapshot())
        self.assertEqual(BODIES["configuration_body"].encode(), state.body)

    def test_given_the_recorded_snapshot_then_it_is_restored_and_written_to_equal_bytes(self):
        state = ConfigurationState()
        state.restore(BODIES["configuration_snapshot"].encode())
        self.assertEqual(BODIES["configuration_snapshot"].encode(), state.snapshot())
        self.assertEqual(BODIES["configuration_body"].encode(), state.body)
        outcomes = BODIES["outcomes_after_restart"]
        for (kind, base_version, body, _), outcome in zip(BODIES["orders"], outcomes, strict=True):
            again = state.apply(ConfigOrder(kind, base_version, body.encode()))
            self.assertEqual(tuple(outcome), attrs.astuple(again))
        self.assertEqual(BODIES["snapshot_after_restart"].encode(), state.snapshot())


class BudgetsTest(testtools.TestCase):
    def check_requests(self, machine, place_of_outcomes):
        for recorded in BUDGETS["requests"]:
            settlements = tuple(Settlement(*values) for values in recorded[0])
            reserves = tuple(Reserve(*values) for values in recorded[1])
            command = encode_commands(settlements, reserves, recorded[2])
            self.assertEqual(recorded[3], command.hex())
            self.assertEqual(([*settlements], [*reserves]), decode_commands(command))
            self.assertEqual(recorded[4], decode_elapsed_ms(command))
            outcomes = [list(attrs.astuple(outcome)) for outcome in machine.apply(command)]
            self.assertEqual(recorded[place_of_outcomes], outcomes)

    def test_given_the_recorded_commands_then_outcomes_and_snapshot_are_as_before(self):
        machine = BudgetStateMachine()
        self.check_requests(machine, 5)
        self.assertEqual(BUDGETS["snapshot"].encode(), machine.snapshot())

    def test_given_a_table_with_room_for_few_programs_then_outcomes_and_snapshot_are_as_before(self):
        machine = BudgetStateMachine()
        machine.table = BudgetTable(*BUDGETS["small_table"])
        self.check_requests(machine, 6)
        self.assertEqual(BUDGETS["small_snapshot"].encode(), machine.snapshot())

    def test_given_a_recorded_snapshot_then_it_is_restored_and_written_to_equal_bytes(self):
        for name in ("snapshot", "small_snapshot"):
            machine = BudgetStateMachine()
            machine.restore(BUDGETS[name].encode())
            self.assertEqual(BUDGETS[name].encode(), machine.snapshot())
