"""The configuration shard's state machine: versions, races, repeats, placements, snapshots."""

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
    """An order that brings a whole configuration."""
    return ConfigOrder(int(OrderKind.PUT), base, body(document(version, **fields)))


def patch(base, version, **fields):
    """An order that changes named items."""
    return ConfigOrder(int(OrderKind.PATCH), base, body({"Ver": version, **fields}))


def place(placement):
    """An order that places a shard."""
    return ConfigOrder(int(OrderKind.PLACEMENT), 0, encode_placement(placement))


def retire(node):
    """An order that empties a node."""
    return ConfigOrder(int(OrderKind.RETIRE), 0, node)


def disk(node, replica, serves_storage=True):
    """An order that notes a disk."""
    return ConfigOrder(int(OrderKind.DISK), 0, encode_disk(DiskRecord(node, replica, serves_storage)))


def emptied(node, group, number=1, shard="budget-0"):
    """An order that notes that a shard is gone from a node."""
    return ConfigOrder(
        int(OrderKind.SHARD_REMOVAL), 0, encode_shard_removal(ShardRemoval(node, shard, 3, group, number))
    )


def retire_state(node):
    """The question how far the emptying of a node has come."""
    return ConfigOrder(int(OrderKind.RETIRE_STATE), 0, node)


class OrderStory(testtools.TestCase):
    """A state that orders are given to."""

    def setUp(self):
        super().setUp()
        self.state = ConfigurationState()

    def answers(self, *orders):
        """The statuses of orders, applied one after the other; `check` must foretell each refusal."""
        statuses = []
        for order in orders:
            foretold = self.state.check(order)
            outcome = self.state.apply(order)
            if foretold is None:
                self.assertEqual(200, outcome.status)
            else:
                self.assertEqual(foretold, outcome)
            statuses.append(outcome.status)
        return statuses


class OrdersTest(OrderStory):
    """What each order is answered."""

    def test_given_versions_that_rise_in_uneven_steps_then_the_newest_is_in_force_as_sent(self):
        orders = [put(0, 3), put(3, 7), put(7, 8)]
        self.assertEqual([200, 200, 200], self.answers(*orders))
        self.assertEqual((8, orders[-1].body), (self.state.version, self.state.body))

    def test_given_two_changes_on_one_version_then_the_second_is_refused(self):
        for second in (put(3, 7, Extra=1), put(3, 9), patch(3, 9)):
            self.state = ConfigurationState()
            self.assertEqual([200, 200, 412], self.answers(put(0, 3), put(3, 7), second))
            self.assertEqual(7, self.state.version)

    def test_given_a_lost_answer_then_the_same_order_is_taken_again_after_later_ones(self):
        orders = [put(0, 3), patch(3, 5, Remove={"Routes": ["one"]}), put(5, 6), patch(6, 9)]
        self.answers(*orders)
        self.assertEqual([200] * 4, self.answers(*orders))
        self.assertEqual(3, self.state.apply(orders[0]).version)
        self.assertEqual(9, self.state.version)

    def test_given_a_version_that_is_not_above_the_current_then_it_is_invalid(self):
        self.answers(put(0, 5))
        self.assertEqual([400, 400, 400], self.answers(put(5, 5), put(5, 4), patch(5, 5)))

    def test_given_an_invalid_document_then_the_version_before_stays_in_force(self):
        self.answers(put(0, 5))
        unreadable = ConfigOrder(int(OrderKind.PUT), 5, body(document(6))[:-1])
        invalid = put(5, 6, Routes=[route("x", "/x/", TimeoutMs=0)])
        self.assertEqual([400, 400], self.answers(unreadable, invalid))
        self.assertEqual(5, self.state.version)

    def test_given_a_patch_on_a_stale_version_then_it_is_stale_though_it_would_not_fit(self):
        self.answers(put(0, 5), put(5, 6))
        self.assertEqual([412], self.answers(patch(5, 7, Remove={"Services": ["blue"]})))

    def test_given_a_patch_before_any_configuration_then_it_is_invalid(self):
        self.assertEqual([400], self.answers(patch(0, 1)))

    def test_given_an_order_of_unknown_kind_then_it_is_invalid(self):
        self.assertEqual([400], self.answers(ConfigOrder(9, 0, body(document()))))

    def test_given_an_order_whose_base_may_become_current_then_it_is_not_refused_before_that(self):
        self.assertEqual([UNDETERMINED, 200, 200], self.answers(put(3, 7), put(0, 3), put(3, 7)))

    def test_given_an_order_that_can_never_be_taken_then_its_base_does_not_matter(self):
        self.answers(put(0, 5))
        self.assertEqual([400, 400, 400], self.answers(put(7, 5), put(7, 7), patch(9, 8)))

    def test_given_any_orders_again_and_again_then_who_was_refused_once_is_never_taken(self):
        self.patch(document_orders, "MAX_HISTORY", 4)
        for seed in range(30):
            rng = random.Random(seed)
            self.state = ConfigurationState()
            sent, clear = [], {}
            for _ in range(200):
                if not sent or rng.random() < 0.5:
                    base = max(0, self.state.version + rng.choice((0, 0, 0, -1, -2, 1, 2)))
                    sent.append(put(base, base + rng.randrange(3), Extra=rng.randrange(3)))
                order = rng.choice(sent[-30:])
                status = self.state.apply(order).status
                if status != UNDETERMINED:
                    taken = clear.setdefault(order, status == 200)
                    self.assertEqual(taken, status == 200, order)
            self.assertTrue(self.state.version > 10)

    def test_given_many_orders_then_only_the_last_are_remembered(self):
        self.patch(document_orders, "MAX_HISTORY", 3)
        orders = [put(version, version + 1) for version in range(6)]
        self.answers(*orders)
        self.assertEqual([UNDETERMINED] * 3 + [200] * 3, self.answers(*orders))

    def test_given_an_order_that_was_taken_and_forgotten_then_it_is_never_refused(self):
        self.patch(document_orders, "MAX_HISTORY", 3)
        orders = [put(version, version + 1) for version in range(8)]
        self.answers(*orders)
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        for state in (self.state, restored):
            for order in orders:
                self.assertIn(state.apply(order).status, (UNDETERMINED, 200))
            self.assertEqual(412, state.apply(put(5, 6, Extra=1)).status)

    def test_given_the_newest_order_then_its_repeat_is_taken_however_few_are_remembered(self):
        self.patch(document_orders, "MAX_HISTORY", 1)
        self.assertEqual([200, 200, 200], self.answers(put(0, 3), put(3, 7), put(3, 7)))

    def test_given_large_documents_then_few_are_kept_decoded(self):
        self.patch(document_orders, "MAX_CACHED_EVALUATION_BYTES", 3000)
        orders = [put(0, version, Padding="x" * 1000) for version in range(1, 9)]
        for order in orders:
            self.assertIsNone(self.state.check(order))
        self.assertEqual([200] + [412] * 7, self.answers(*orders))

    def test_given_a_placement_then_its_founders_never_change(self):
        moved = attrs.evolve(PLACED, voters=("c", "d"))
        refounded = attrs.evolve(PLACED, founders=("c",))
        self.assertEqual(
            [200, 200, 200, 412], [*self.answers(*map(place, (PLACED, PLACED, moved, refounded)))]
        )
        self.assertEqual((moved,), self.state.placements)

    def test_given_what_is_no_placement_then_it_is_invalid(self):
        for data in (
            b"",
            b"[]",
            b'{"shard":"x"}',
            b'{"shard":"x","founders":[],"voters":["a"]}',
            b"[" * 99999,
        ):
            self.assertEqual([400], self.answers(ConfigOrder(int(OrderKind.PLACEMENT), 0, data)))
        doubled = attrs.evolve(PLACED, voters=("a", "a"))
        self.assertIsNone(decode_placement(encode_placement(doubled)))

    def test_given_a_placement_in_force_then_only_the_next_number_takes_its_place(self):
        first = attrs.evolve(PLACED, number=1)
        second = attrs.evolve(PLACED, voters=("c", "d"), number=2)
        late = attrs.evolve(PLACED, voters=("a", "d"), number=1)
        beyond = attrs.evolve(PLACED, voters=("a", "d"), number=4)
        unnumbered = attrs.evolve(PLACED, voters=("a", "d"))
        rivals = attrs.evolve(PLACED, voters=("a", "e"), number=2)
        orders = map(place, (second, first, second, rivals, late, beyond, unnumbered, second))
        self.assertEqual([412, 200, 200, 412, 412, 412, 412, 200], self.answers(*orders))
        self.assertEqual((second,), self.state.placements)

    def test_given_a_journal_without_numbers_then_the_next_placement_is_the_first(self):
        moved = attrs.evolve(PLACED, voters=("c", "d"))
        numbered = attrs.evolve(PLACED, voters=("a", "d"), number=1)
        self.assertEqual([200, 200, 200, 412], self.answers(*map(place, (PLACED, moved, numbered, moved))))
        self.assertEqual(moved, decode_placement(encode_placement(moved)))
        self.assertNotIn(b"number", encode_placement(moved))

    def test_given_nodes_to_be_emptied_then_each_is_noted_once(self):
        self.assertEqual([200, 200, 400, 400], self.answers(*map(retire, (b"n1", b"n1", b"", b"\xff"))))
        self.assertEqual(("n1",), self.state.retiring)


class CheckedEntriesTest(testtools.TestCase):
    """Replicas that apply what the owner has checked agree with one that checks everything itself."""

    def test_given_an_order_that_its_owner_checked_then_replicas_take_it_as_it_is(self):
        rng = random.Random(41)
        owner, follower, plain = (ConfigurationState() for _ in range(3))
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
            expected = plain.apply(order)
            self.assertEqual(expected, owner.check(order) or owner.apply(checked_entry(order)))
            if expected.status == 200:
                self.assertEqual(expected, follower.apply(checked_entry(order)))
            counts[expected.status] = counts.get(expected.status, 0) + 1
            if rng.random() < 0.05:
                snapshot = follower.snapshot()
                follower = ConfigurationState()
                follower.restore(snapshot)
        self.assertEqual({200, 400, 412, UNDETERMINED}, counts.keys())
        self.assertEqual(plain.snapshot(), owner.snapshot())
        self.assertEqual(plain.snapshot(), follower.snapshot())

    def test_given_checked_entries_that_wait_behind_another_then_they_are_refused_by_their_base(self):
        orders = [put(3, 7), put(3, 7, Extra=1), patch(3, 9), put(3, 7)]
        state = ConfigurationState()
        state.apply(put(0, 3))
        self.assertEqual([200, 412, 412, 200], [state.apply(checked_entry(o)).status for o in orders])

    def test_given_a_checked_entry_sent_as_an_order_then_it_is_no_order(self):
        state = ConfigurationState()
        self.assertEqual(400, state.check(checked_entry(put(0, 3))).status)


class EmptyingTest(OrderStory):
    """When a node counts as empty."""

    DISKS = (("n1", "a"), ("n2", "b"), ("n3", "c"), ("n4", "d"))

    def setUp(self):
        super().setUp()
        self.answers(*(disk(*known) for known in self.DISKS))
        self.answers(place(ShardPlacement("budget-0", ("a", "b"), ("a", "b"), 1)), retire(b"n1"))

    def told(self, node=b"n1"):
        return self.state.apply(retire_state(node)).reason

    def test_given_an_order_and_nothing_heard_then_the_state_is_running(self):
        self.assertEqual(("running", "not ordered"), (self.told(), self.told(b"n2")))

    def test_given_a_group_without_the_node_for_every_shard_then_the_state_is_complete(self):
        self.answers(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.assertEqual([200], self.answers(emptied("n1", ("b", "c"), 2)))
        self.assertEqual("running", self.told())
        self.assertEqual([200], self.answers(emptied("n1", ("d",), 0, "configuration")))
        self.assertEqual("complete", self.told())

    def test_given_a_group_of_an_older_placement_then_it_proves_nothing(self):
        self.assertEqual([412], self.answers(emptied("n1", ("b", "c"), 1)))
        self.answers(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.assertEqual([412, 412], self.answers(emptied("n1", ("b", "c"), 1), emptied("n1", ("b", "c"), 3)))

    def test_given_a_group_with_a_disk_of_the_node_or_an_unknown_one_then_it_proves_nothing(self):
        self.answers(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.answers(disk("n1", "a-emptied-once"))
        for group in (("a", "b"), ("a-emptied-once", "b"), ("b", "unknown")):
            self.assertEqual([412], self.answers(emptied("n1", group, 2)))
        self.assertEqual([412], self.answers(emptied("n2", ("c", "d"), 2)))

    def test_given_a_node_to_be_emptied_then_no_later_placement_brings_it_back(self):
        without, again = (
            ShardPlacement("budget-0", ("a", "b"), voters, number)
            for voters, number in ((("c", "b"), 2), (("a", "b"), 3))
        )
        self.assertEqual([200, 412], self.answers(place(without), place(again)))

    def test_given_a_node_to_be_emptied_when_another_voter_is_lost_then_that_one_is_replaced_first(self):
        repaired = ShardPlacement("budget-0", ("a", "b"), ("a", "d"), 2)
        self.assertEqual([200], self.answers(place(repaired)))

    def test_given_a_snapshot_then_disks_and_facts_are_there_again(self):
        self.answers(place(ShardPlacement("budget-0", ("a", "b"), ("c", "b"), 2)))
        self.answers(emptied("n1", ("b", "c"), 2), emptied("n1", ("d",), 0, "configuration"))
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        self.assertEqual("complete", restored.apply(retire_state(b"n1")).reason)
        self.assertEqual(self.state.snapshot(), restored.snapshot())

    def test_given_what_is_no_disk_and_no_fact_then_it_is_invalid(self):
        for kind in (OrderKind.DISK, OrderKind.SHARD_REMOVAL):
            for data in (b"", b"[]", b"{}", b'{"node":"n1","replica":"","shard":"","group":[]}'):
                self.assertEqual([400], self.answers(ConfigOrder(int(kind), 0, data)))

    def test_given_more_disks_than_the_bound_then_the_oldest_that_holds_nothing_is_forgotten(self):
        self.patch(stores_module, "MAX_DISKS", 4)
        self.answers(disk("n5", "e"))
        self.assertEqual({"a", "b", "d", "e"}, {known.replica for known in self.state.stores.disks})


class StoredBytesTest(testtools.TestCase):
    """What stands on disks is read by later releases: its bytes never change with the names in the code."""

    def test_given_a_placement_then_its_bytes_are_those_of_earlier_releases(self):
        stored = b'{"shard":"budget-0","founders":["a","b"],"voters":["b","c"]}'
        self.assertEqual(stored, encode_placement(PLACED))
        numbered = attrs.evolve(PLACED, number=7)
        self.assertEqual(stored[:-1] + b',"number":7}', encode_placement(numbered))
        self.assertEqual(numbered, decode_placement(encode_placement(numbered)))

    def test_given_a_disk_then_its_bytes_are_those_of_earlier_releases(self):
        known = DiskRecord("n1", "a", True)
        stored = b'{"node":"n1","replica":"a","serves_storage":true}'
        self.assertEqual(stored, encode_disk(known))
        self.assertEqual(known, decode_disk(stored))

    def test_given_an_emptied_node_then_its_bytes_are_those_of_earlier_releases(self):
        fact = ShardRemoval("n1", "budget-0", 3, ("b", "c"), 2)
        stored = b'{"node":"n1","shard":"budget-0","epoch":3,"group":["b","c"],"number":2}'
        self.assertEqual(stored, encode_shard_removal(fact))
        self.assertEqual(fact, decode_shard_removal(stored))

    def test_given_a_state_then_its_snapshot_has_the_bytes_of_earlier_releases(self):
        state = ConfigurationState()
        placed = ShardPlacement("budget-0", ("a",), ("a",), 1)
        first = ConfigOrder(int(OrderKind.PUT), 0, b'{"Ver":3,"Routes":[],"Services":[]}')
        for order in (first, disk("n1", "a"), disk("n2", "b"), place(placed), retire(b"n1")):
            self.assertEqual(200, state.apply(order).status)
        self.assertEqual(200, state.apply(place(attrs.evolve(placed, voters=("b",), number=2))).status)
        self.assertEqual(200, state.apply(emptied("n1", ("b",), 2)).status)
        stored = (
            b'{"form":1,"history":[["330b8b640afbdf047eae344893419bda",3]],"forgotten":0,'
            b'"placements":["{\\"shard\\":\\"budget-0\\",\\"founders\\":[\\"a\\"],'
            b'\\"voters\\":[\\"b\\"],\\"number\\":2}"],"retiring":["n1"],'
            b'"disks":["{\\"node\\":\\"n1\\",\\"replica\\":\\"a\\",\\"serves_storage\\":true}",'
            b'"{\\"node\\":\\"n2\\",\\"replica\\":\\"b\\",\\"serves_storage\\":true}"],'
            b'"emptied":["{\\"node\\":\\"n1\\",\\"shard\\":\\"budget-0\\",\\"epoch\\":3,'
            b'\\"group\\":[\\"b\\"],\\"number\\":2}"]}\n'
            b'{"Ver":3,"Routes":[],"Services":[]}'
        )
        self.assertEqual(stored, state.snapshot())
        restored = ConfigurationState()
        restored.restore(stored)
        self.assertEqual(stored, restored.snapshot())


class SnapshotTest(testtools.TestCase):
    """A restored replica goes on as the one that made the snapshot."""

    def test_given_orders_at_random_then_a_restored_replica_agrees_with_one_that_saw_all(self):
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
