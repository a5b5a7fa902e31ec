"""The configuration shard's state machine: versions, competing and repeated orders, placements, snapshots."""

import random

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from kestrelbend.tier.configuration import document_orders
from kestrelbend.tier.configuration import stores as stores_module
from kestrelbend.tier.configuration.document_orders import checked_entry
from kestrelbend.tier.configuration.messages import UNDETERMINED, ConfigOrder, OrderKind
from kestrelbend.tier.configuration.placements import decode_placement, encode_placement
from kestrelbend.tier.configuration.snapshot import SnapshotError
from kestrelbend.tier.configuration.state import ConfigurationState
from kestrelbend.tier.configuration.stores import (
    ShardRemoval,
    DiskRecord,
    decode_disk,
    decode_shard_removal,
    encode_disk,
    encode_shard_removal,
)
from kestrelbend.tier.membership.messages import ShardPlacement
from tests.tier.test_configuration_document import body, document, route

REPEATABLE = hypothesis.settings(derandomize=True, database=None, deadline=None)
PLACED = ShardPlacement("budget-0", ("a", "b"), ("b", "c"))


def put(base, version, **fields):
    """Returns an order that replaces the configuration."""
    return ConfigOrder(int(OrderKind.PUT), base, body(document(version, **fields)))


def patch(base, version, **fields):
    """Returns an order that patches the configuration."""
    return ConfigOrder(int(OrderKind.PATCH), base, body({"Ver": version, **fields}))


def place(placement):
    """Returns an order that places a shard."""
    return ConfigOrder(int(OrderKind.PLACEMENT), 0, encode_placement(placement))


def retire(node):
    """Returns an order that retires a node."""
    return ConfigOrder(int(OrderKind.RETIRE), 0, node)


def disk(node, replica, serves_storage=True):
    """Returns an order that records a disk."""
    return ConfigOrder(int(OrderKind.DISK), 0, encode_disk(DiskRecord(node, replica, serves_storage)))


def shard_removal(node, group, number=1, shard="budget-0"):
    """Returns an order that records that a shard was removed from a node."""
    return ConfigOrder(
        int(OrderKind.SHARD_REMOVAL), 0, encode_shard_removal(ShardRemoval(node, shard, 3, group, number))
    )


def retire_state(node):
    """Returns an order that reads the progress of a retirement."""
    return ConfigOrder(int(OrderKind.RETIRE_STATE), 0, node)


class OrderTestCase(testtools.TestCase):
    """Base of tests that apply orders to a state."""

    def setUp(self):
        super().setUp()
        self.state = ConfigurationState()

    def apply_orders(self, *orders):
        """Applies orders and returns their statuses; asserts that `check` predicts each rejection."""
        statuses = []
        for order in orders:
            predicted = self.state.check(order)
            outcome = self.state.apply(order)
            if predicted is None:
                self.assertEqual(200, outcome.status)
            else:
                self.assertEqual(predicted, outcome)
            statuses.append(outcome.status)
        return statuses


class OrdersTest(OrderTestCase):
    """Outcomes of orders."""

    def test_versions_may_increase_in_uneven_steps(self):
        orders = [put(0, 3), put(3, 7), put(7, 8)]
        self.assertEqual([200, 200, 200], self.apply_orders(*orders))
        self.assertEqual((8, orders[-1].body), (self.state.version, self.state.body))

    def test_second_change_on_the_same_base_version_is_rejected(self):
        for second in (put(3, 7, Extra=1), put(3, 9), patch(3, 9)):
            self.state = ConfigurationState()
            self.assertEqual([200, 200, 412], self.apply_orders(put(0, 3), put(3, 7), second))
            self.assertEqual(7, self.state.version)

    def test_repeated_order_is_accepted_again_after_later_orders(self):
        orders = [put(0, 3), patch(3, 5, Remove={"Routes": ["one"]}), put(5, 6), patch(6, 9)]
        self.apply_orders(*orders)
        self.assertEqual([200] * 4, self.apply_orders(*orders))
        self.assertEqual(3, self.state.apply(orders[0]).version)
        self.assertEqual(9, self.state.version)

    def test_version_not_greater_than_the_current_is_invalid(self):
        self.apply_orders(put(0, 5))
        self.assertEqual([400, 400, 400], self.apply_orders(put(5, 5), put(5, 4), patch(5, 5)))

    def test_invalid_document_keeps_the_current_version(self):
        self.apply_orders(put(0, 5))
        unreadable = ConfigOrder(int(OrderKind.PUT), 5, body(document(6))[:-1])
        invalid = put(5, 6, Routes=[route("x", "/x/", TimeoutMs=0)])
        self.assertEqual([400, 400], self.apply_orders(unreadable, invalid))
        self.assertEqual(5, self.state.version)

    def test_patch_on_a_stale_version_is_stale_even_if_its_result_would_be_invalid(self):
        self.apply_orders(put(0, 5), put(5, 6))
        self.assertEqual([412], self.apply_orders(patch(5, 7, Remove={"Services": ["blue"]})))

    def test_patch_without_a_configuration_is_invalid(self):
        self.assertEqual([400], self.apply_orders(patch(0, 1)))

    def test_order_of_unknown_kind_is_invalid(self):
        self.assertEqual([400], self.apply_orders(ConfigOrder(9, 0, body(document()))))

    def test_order_whose_base_may_become_current_is_undetermined(self):
        self.assertEqual([UNDETERMINED, 200, 200], self.apply_orders(put(3, 7), put(0, 3), put(3, 7)))

    def test_order_with_a_version_not_above_its_base_is_invalid_on_future_bases(self):
        self.apply_orders(put(0, 5))
        self.assertEqual([400, 400, 400], self.apply_orders(put(7, 5), put(7, 7), patch(9, 8)))

    def test_repeated_random_orders_never_change_from_rejected_to_accepted_or_back(self):
        self.patch(document_orders, "MAX_HISTORY", 4)
        for seed in range(30):
            rng = random.Random(seed)
            self.state = ConfigurationState()
            sent, final_results = [], {}
            for _ in range(200):
                if not sent or rng.random() < 0.5:
                    base = max(0, self.state.version + rng.choice((0, 0, 0, -1, -2, 1, 2)))
                    sent.append(put(base, base + rng.randrange(3), Extra=rng.randrange(3)))
                order = rng.choice(sent[-30:])
                status = self.state.apply(order).status
                if status != UNDETERMINED:
                    was_accepted = final_results.setdefault(order, status == 200)
                    self.assertEqual(was_accepted, status == 200, order)
            self.assertTrue(self.state.version > 10)

    def test_history_keeps_only_the_latest_orders(self):
        self.patch(document_orders, "MAX_HISTORY", 3)
        orders = [put(version, version + 1) for version in range(6)]
        self.apply_orders(*orders)
        self.assertEqual([UNDETERMINED] * 3 + [200] * 3, self.apply_orders(*orders))

    def test_accepted_order_evicted_from_the_history_is_never_rejected(self):
        self.patch(document_orders, "MAX_HISTORY", 3)
        orders = [put(version, version + 1) for version in range(8)]
        self.apply_orders(*orders)
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        for state in (self.state, restored):
            for order in orders:
                self.assertIn(state.apply(order).status, (UNDETERMINED, 200))
            self.assertEqual(412, state.apply(put(5, 6, Extra=1)).status)

    def test_repeated_newest_order_is_accepted_with_a_history_of_one(self):
        self.patch(document_orders, "MAX_HISTORY", 1)
        self.assertEqual([200, 200, 200], self.apply_orders(put(0, 3), put(3, 7), put(3, 7)))

    def test_cached_evaluations_of_large_documents_are_limited(self):
        self.patch(document_orders, "MAX_CACHED_EVALUATION_BYTES", 3000)
        orders = [put(0, version, Padding="x" * 1000) for version in range(1, 9)]
        for order in orders:
            self.assertIsNone(self.state.check(order))
        self.assertEqual([200] + [412] * 7, self.apply_orders(*orders))

    def test_placement_with_other_founders_is_rejected(self):
        moved = attrs.evolve(PLACED, voters=("c", "d"))
        other_founders = attrs.evolve(PLACED, founders=("c",))
        self.assertEqual(
            [200, 200, 200, 412], [*self.apply_orders(*map(place, (PLACED, PLACED, moved, other_founders)))]
        )
        self.assertEqual((moved,), self.state.placements)

    def test_malformed_placement_is_invalid(self):
        for data in (
            b"",
            b"[]",
            b'{"shard":"x"}',
            b'{"shard":"x","founders":[],"voters":["a"]}',
            b"[" * 99999,
        ):
            self.assertEqual([400], self.apply_orders(ConfigOrder(int(OrderKind.PLACEMENT), 0, data)))
        doubled = attrs.evolve(PLACED, voters=("a", "a"))
        self.assertIsNone(decode_placement(encode_placement(doubled)))

    def test_placement_is_replaced_only_by_the_next_number(self):
        first = attrs.evolve(PLACED, number=1)
        second = attrs.evolve(PLACED, voters=("c", "d"), number=2)
        earlier_number = attrs.evolve(PLACED, voters=("a", "d"), number=1)
        skipped_number = attrs.evolve(PLACED, voters=("a", "d"), number=4)
        unnumbered = attrs.evolve(PLACED, voters=("a", "d"))
        rival = attrs.evolve(PLACED, voters=("a", "e"), number=2)
        orders = map(
            place, (second, first, second, rival, earlier_number, skipped_number, unnumbered, second)
        )
        self.assertEqual([412, 200, 200, 412, 412, 412, 412, 200], self.apply_orders(*orders))
        self.assertEqual((second,), self.state.placements)

    def test_first_numbered_placement_follows_unnumbered_ones(self):
        moved = attrs.evolve(PLACED, voters=("c", "d"))
        numbered = attrs.evolve(PLACED, voters=("a", "d"), number=1)
        self.assertEqual(
            [200, 200, 200, 412], self.apply_orders(*map(place, (PLACED, moved, numbered, moved)))
        )
        self.assertEqual(moved, decode_placement(encode_placement(moved)))
        self.assertNotIn(b"number", encode_placement(moved))

    def test_retiring_node_is_recorded_once(self):
        self.assertEqual([200, 200, 400, 400], self.apply_orders(*map(retire, (b"n1", b"n1", b"", b"\xff"))))
        self.assertEqual(("n1",), self.state.retiring)


class CheckedEntriesTest(testtools.TestCase):
    """Replicas that apply entries checked by the owner agree with one that checks every order itself."""

    def test_replicas_apply_checked_entries_like_a_replica_that_checks_all_orders(self):
        rng = random.Random(41)
        owner, follower, checking_replica = (ConfigurationState() for _ in range(3))
        counts = {}
        for number in range(400):
            base = max(0, owner.version + rng.choice((0, 0, 0, 0, -1, 1)))
            version = base + rng.randrange(4)
            order = rng.choice(
                [
                    put(base, version, Extra=rng.randrange(3)),
                    patch(base, version, Upsert={"Routes": [route("one", f"/{number}/")]}),
                    patch(base, version, Remove={"Services": ["green"]}),
                ]
            )
            expected = checking_replica.apply(order)
            self.assertEqual(expected, owner.check(order) or owner.apply(checked_entry(order)))
            if expected.status == 200:
                self.assertEqual(expected, follower.apply(checked_entry(order)))
            counts[expected.status] = counts.get(expected.status, 0) + 1
            if rng.random() < 0.05:
                snapshot = follower.snapshot()
                follower = ConfigurationState()
                follower.restore(snapshot)
        self.assertEqual({200, 400, 412, UNDETERMINED}, counts.keys())
        self.assertEqual(checking_replica.snapshot(), owner.snapshot())
        self.assertEqual(checking_replica.snapshot(), follower.snapshot())

    def test_checked_entries_committed_after_another_change_are_rejected_by_base_version(self):
        orders = [put(3, 7), put(3, 7, Extra=1), patch(3, 9), put(3, 7)]
        state = ConfigurationState()
        state.apply(put(0, 3))
        self.assertEqual([200, 412, 412, 200], [state.apply(checked_entry(o)).status for o in orders])

    def test_checked_entry_sent_as_an_order_is_invalid(self):
        state = ConfigurationState()
        self.assertEqual(400, state.check(checked_entry(put(0, 3))).status)


class RetirementTest(OrderTestCase):
    """Conditions under which the retirement of a node is complete."""

    DISKS = (("n1", "a"), ("n2", "b"), ("n3", "c"), ("n4", "d"))

    def setUp(self):
        super().setUp()
        self.apply_orders(*(disk(*known) for known in self.DISKS))
        self.apply_orders(place(ShardPlacement("budget-0", ("a", "b"), ("a", "b"), 1)), retire(b"n1"))

    def retirement_state(self, node=b"n1"):
        return self.state.apply(retire_state(node)).reason

    def test_retirement_without_recorded_removals_is_running(self):
        self.assertEqual(("running", "not ordered"), (self.retirement_state(), self.retirement_state(b"n2")))

    def test_retirement_is_complete_after_the_removal_of_every_shard(self):
        self.apply_orders(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.assertEqual([200], self.apply_orders(shard_removal("n1", ("b", "c"), 2)))
        self.assertEqual("running", self.retirement_state())
        self.assertEqual([200], self.apply_orders(shard_removal("n1", ("d",), 0, "configuration")))
        self.assertEqual("complete", self.retirement_state())

    def test_removal_by_a_group_of_another_placement_is_rejected(self):
        self.assertEqual([412], self.apply_orders(shard_removal("n1", ("b", "c"), 1)))
        self.apply_orders(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.assertEqual(
            [412, 412],
            self.apply_orders(shard_removal("n1", ("b", "c"), 1), shard_removal("n1", ("b", "c"), 3)),
        )

    def test_removal_by_a_group_with_a_disk_of_the_node_or_an_unknown_disk_is_rejected(self):
        self.apply_orders(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.apply_orders(disk("n1", "a-emptied-once"))
        for group in (("a", "b"), ("a-emptied-once", "b"), ("b", "unknown")):
            self.assertEqual([412], self.apply_orders(shard_removal("n1", group, 2)))
        self.assertEqual([412], self.apply_orders(shard_removal("n2", ("c", "d"), 2)))

    def test_later_placement_cannot_add_a_retiring_node(self):
        without, again = (
            ShardPlacement("budget-0", ("a", "b"), voters, number)
            for voters, number in ((("c", "b"), 2), (("a", "b"), 3))
        )
        self.assertEqual([200, 412], self.apply_orders(place(without), place(again)))

    def test_placement_may_replace_another_voter_while_a_retiring_node_remains(self):
        repaired = ShardPlacement("budget-0", ("a", "b"), ("a", "d"), 2)
        self.assertEqual([200], self.apply_orders(place(repaired)))

    def test_snapshot_restores_disks_and_removals(self):
        self.apply_orders(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.apply_orders(shard_removal("n1", ("b", "c"), 2), shard_removal("n1", ("d",), 0, "configuration"))
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        self.assertEqual("complete", restored.apply(retire_state(b"n1")).reason)
        self.assertEqual(self.state.snapshot(), restored.snapshot())

    def test_malformed_disk_or_removal_is_invalid(self):
        for kind in (OrderKind.DISK, OrderKind.SHARD_REMOVAL):
            for data in (b"", b"[]", b"{}", b'{"node":"n1","replica":"","shard":"","group":[]}'):
                self.assertEqual([400], self.apply_orders(ConfigOrder(int(kind), 0, data)))

    def test_oldest_unplaced_disk_is_evicted_beyond_the_limit(self):
        self.patch(stores_module, "MAX_DISKS", 4)
        self.apply_orders(disk("n5", "e"))
        self.assertEqual({"a", "b", "d", "e"}, {known.replica for known in self.state.stores.disks})


class StoredFormatTest(testtools.TestCase):
    """The bytes of stored records, which later releases read, do not depend on names in the code."""

    def test_placement_has_the_bytes_of_earlier_releases(self):
        expected_bytes = b'{"shard":"budget-0","founders":["a","b"],"voters":["b","c"]}'
        self.assertEqual(expected_bytes, encode_placement(PLACED))
        numbered = attrs.evolve(PLACED, number=7)
        self.assertEqual(expected_bytes[:-1] + b',"number":7}', encode_placement(numbered))
        self.assertEqual(numbered, decode_placement(encode_placement(numbered)))

    def test_disk_has_the_bytes_of_earlier_releases(self):
        known = DiskRecord("n1", "a", True)
        expected_bytes = b'{"node":"n1","replica":"a","serves_storage":true}'
        self.assertEqual(expected_bytes, encode_disk(known))
        self.assertEqual(known, decode_disk(expected_bytes))

    def test_shard_removal_has_the_bytes_of_earlier_releases(self):
        removal = ShardRemoval("n1", "budget-0", 3, ("b", "c"), 2)
        expected_bytes = b'{"node":"n1","shard":"budget-0","epoch":3,"group":["b","c"],"number":2}'
        self.assertEqual(expected_bytes, encode_shard_removal(removal))
        self.assertEqual(removal, decode_shard_removal(expected_bytes))

    def test_snapshot_has_the_bytes_of_earlier_releases(self):
        state = ConfigurationState()
        placed = ShardPlacement("budget-0", ("a",), ("a",), 1)
        first = ConfigOrder(int(OrderKind.PUT), 0, b'{"Ver":3,"Routes":[],"Services":[]}')
        for order in (first, disk("n1", "a"), disk("n2", "b"), place(placed), retire(b"n1")):
            self.assertEqual(200, state.apply(order).status)
        self.assertEqual(200, state.apply(place(attrs.evolve(placed, voters=("b",), number=2))).status)
        self.assertEqual(200, state.apply(shard_removal("n1", ("b",), 2)).status)
        expected_bytes = (
            b'{"form":1,"history":[["330b8b640afbdf047eae344893419bda",3]],"forgotten":0,'
            b'"placements":["{\\"shard\\":\\"budget-0\\",\\"founders\\":[\\"a\\"],'
            b'\\"voters\\":[\\"b\\"],\\"number\\":2}"],"retiring":["n1"],'
            b'"disks":["{\\"node\\":\\"n1\\",\\"replica\\":\\"a\\",\\"serves_storage\\":true}",'
            b'"{\\"node\\":\\"n2\\",\\"replica\\":\\"b\\",\\"serves_storage\\":true}"],'
            b'"emptied":["{\\"node\\":\\"n1\\",\\"shard\\":\\"budget-0\\",\\"epoch\\":3,'
            b'\\"group\\":[\\"b\\"],\\"number\\":2}"]}\n'
            b'{"Ver":3,"Routes":[],"Services":[]}'
        )
        self.assertEqual(expected_bytes, state.snapshot())
        restored = ConfigurationState()
        restored.restore(expected_bytes)
        self.assertEqual(expected_bytes, restored.snapshot())


class SnapshotTest(testtools.TestCase):
    """A restored replica behaves like the one that wrote the snapshot."""

    def test_restored_replica_agrees_with_one_that_applied_all_random_orders(self):
        rng = random.Random(35)
        state, replica = ConfigurationState(), ConfigurationState()
        for _ in range(300):
            base, version = rng.randrange(40), rng.randrange(1, 41)
            current = state.version if rng.random() < 0.5 else base
            order = rng.choice(
                [
                    put(current, version, Extra=rng.randrange(3)),
                    patch(current, state.version + 1, Upsert={"Routes": [route("one", f"/{version}/")]}),
                    place(attrs.evolve(PLACED, voters=(str(base),))),
                    retire(str(base).encode()),
                ]
            )
            if rng.random() < 0.2:
                state.check(order)
            self.assertEqual(state.apply(order), replica.apply(order))
            if rng.random() < 0.1:
                restored = ConfigurationState()
                restored.restore(replica.snapshot())
                replica = restored
        self.assertEqual(state.snapshot(), replica.snapshot())
        self.assertTrue(state.version > 20)

    @hypothesis.settings(REPEATABLE)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_given_any_bytes_as_a_snapshot_then_the_state_stays(self, data):
        state = ConfigurationState()
        state.apply(put(0, 3))
        for snapshot in (data, b'{"form":1,"history":[],"placements":[],"retiring":[]}\n' + data):
            try:
                state.restore(snapshot)
            except SnapshotError:
                self.assertEqual(3, state.version)
