"""Tests of the orders that record disks, and shards that have left a retiring node."""

import attrs
import testtools

from kestrelbend.tier.configuration.messages import ConfigOrder, OrderKind
from kestrelbend.tier.configuration.placements import encode_placement
from kestrelbend.tier.configuration.state import ConfigurationState
from kestrelbend.tier.configuration.stores import ShardRemoval, decode_disk, decode_shard_removal
from kestrelbend.tier.control.store_facts import due_emptied_orders, emptied_evidence, unknown_disk_orders
from kestrelbend.tier.membership.messages import Member, ShardPlacement, ShardReport
from kestrelbend.tier.membership.placement import CONFIGURATION_SHARD

VOTERS = ("b:1#x", "c:1#x", "d:1#x")
REPORT = ShardReport("budget-0", "b:1#x", 4, "b:1#x", VOTERS, 9, 9, VOTERS, 2, True)


def member(name, replica=None, serves_storage=True):
    """Returns a process with a disk; without one if `replica` is empty."""
    replica = f"{name}:1#x" if replica is None else replica
    return Member(name, "store", f"{name}:1", "", "z", replica, not serves_storage, serves_storage, False, 1)


class StoreFactsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = ConfigurationState()
        self.apply(unknown_disk_orders(self.state, map(member, "abcd")))
        self.place(1, ("a:1#x", "b:1#x", "c:1#x"))
        self.apply([ConfigOrder(OrderKind.RETIRE, 0, b"a")])
        self.place(2, VOTERS)

    def apply(self, orders):
        for order in orders:
            self.assertEqual(200, self.state.apply(order).status)

    def place(self, number, voters):
        placement = ShardPlacement("budget-0", ("a:1#x", "b:1#x", "c:1#x"), voters, number)
        self.apply([ConfigOrder(OrderKind.PLACEMENT, 0, encode_placement(placement))])

    def emptied_facts(self, *reports):
        orders = due_emptied_orders(self.state, {report.shard: report for report in reports})
        return [decode_shard_removal(order.body) for order in orders]

    def test_only_unknown_disks_are_recorded(self):
        members = [member("a"), member("e"), member("gateway", replica=""), member("a", replica="a:1#y")]
        recorded = [decode_disk(order.body).replica for order in unknown_disk_orders(self.state, members)]
        self.assertEqual(["e:1#x", "a:1#y"], recorded)

    def test_report_of_a_stable_group_by_its_owner_records_the_emptied_node_once(self):
        fact = ShardRemoval("a", "budget-0", 4, VOTERS, 2)
        self.assertEqual([fact], self.emptied_facts(REPORT))
        self.apply(due_emptied_orders(self.state, {"budget-0": REPORT}))
        self.assertEqual([], self.emptied_facts(REPORT))

    def test_report_by_another_replica_or_of_an_unfinished_change_records_nothing(self):
        for change in (
            {"replica": "c:1#x"},
            {"owner": ""},
            {"stable": False},
            {"committed_voters": ()},
            {"placement_number": 1},
            {"committed_voters": ("a:1#x", "b:1#x", "c:1#x")},
            {"committed_voters": ("b:1#x", "c:1#x", "unknown")},
        ):
            self.assertEqual([], self.emptied_facts(attrs.evolve(REPORT, **change)), change)

    def test_without_reports_nothing_is_recorded(self):
        self.assertEqual([], self.emptied_facts())

    def test_configuration_shard_is_recorded_without_a_placement(self):
        report = attrs.evolve(REPORT, shard=CONFIGURATION_SHARD, placement_number=0)
        self.assertEqual(CONFIGURATION_SHARD, self.emptied_facts(report)[0].shard)

    def test_report_without_an_owner_is_no_evidence(self):
        self.assertIsNone(emptied_evidence("a", attrs.evolve(REPORT, replica="", owner="", stable=False)))
