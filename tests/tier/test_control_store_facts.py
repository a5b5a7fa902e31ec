"""What the configuration's owner notes of disks, and what it takes for a proof that a node is empty."""

import attrs
import testtools

from kestrelbend.tier.configuration.messages import ConfigOrder, OrderKind
from kestrelbend.tier.configuration.placements import encode_placement
from kestrelbend.tier.configuration.state import ConfigurationState
from kestrelbend.tier.configuration.stores import Emptied, decode_disk, decode_emptied
from kestrelbend.tier.control.store_facts import due_emptied_orders, emptied_evidence, unknown_disk_orders
from kestrelbend.tier.membership.messages import Member, ShardPlacement, ShardReport
from kestrelbend.tier.membership.placement import CONFIGURATION_SHARD

VOTERS = ("b:1#x", "c:1#x", "d:1#x")
REPORT = ShardReport("budget-0", "b:1#x", 4, "b:1#x", VOTERS, 9, 9, VOTERS, 2, True)


def member(name, replica=None, serves_storage=True):
    """A process with a disk, or without one."""
    replica = f"{name}:1#x" if replica is None else replica
    return Member(name, "store", f"{name}:1", "", "z", replica, not serves_storage, serves_storage, False, 1)


class TestStoreFacts(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = ConfigurationState()
        self.take(unknown_disk_orders(self.state, map(member, "abcd")))
        self.place(1, ("a:1#x", "b:1#x", "c:1#x"))
        self.take([ConfigOrder(OrderKind.RETIRE, 0, b"a")])
        self.place(2, VOTERS)

    def take(self, orders):
        for order in orders:
            self.assertEqual(200, self.state.apply(order).status)

    def place(self, number, voters):
        placed = ShardPlacement("budget-0", ("a:1#x", "b:1#x", "c:1#x"), voters, number)
        self.take([ConfigOrder(OrderKind.PLACEMENT, 0, encode_placement(placed))])

    def noted(self, *reports):
        orders = due_emptied_orders(self.state, {report.shard: report for report in reports})
        return [decode_emptied(order.body) for order in orders]

    def test_given_members_then_only_unknown_disks_are_noted(self):
        members = [member("a"), member("e"), member("gateway", replica=""), member("a", replica="a:1#y")]
        noted = [decode_disk(order.body).replica for order in unknown_disk_orders(self.state, members)]
        self.assertEqual(["e:1#x", "a:1#y"], noted)

    def test_given_a_stable_group_reported_by_its_owner_then_the_node_is_recorded_as_empty_once(self):
        fact = Emptied("a", "budget-0", 4, VOTERS, 2)
        self.assertEqual([fact], self.noted(REPORT))
        self.take(due_emptied_orders(self.state, {"budget-0": REPORT}))
        self.assertEqual([], self.noted(REPORT))

    def test_given_the_report_of_anybody_else_or_of_a_group_on_its_way_then_nothing_is_recorded(self):
        for change in (
            {"replica": "c:1#x"},
            {"owner": ""},
            {"stable": False},
            {"committed_voters": ()},
            {"placement_number": 1},
            {"committed_voters": ("a:1#x", "b:1#x", "c:1#x")},
            {"committed_voters": ("b:1#x", "c:1#x", "unknown")},
        ):
            self.assertEqual([], self.noted(attrs.evolve(REPORT, **change)), change)

    def test_given_nothing_heard_then_nothing_is_noted(self):
        self.assertEqual([], self.noted())

    def test_given_the_configuration_shard_then_its_group_counts_without_a_placement(self):
        report = attrs.evolve(REPORT, shard=CONFIGURATION_SHARD, placement_number=0)
        self.assertEqual(CONFIGURATION_SHARD, self.noted(report)[0].shard)

    def test_given_a_report_without_an_owner_then_it_proves_nothing(self):
        self.assertIsNone(emptied_evidence("a", attrs.evolve(REPORT, replica="", owner="", stable=False)))
