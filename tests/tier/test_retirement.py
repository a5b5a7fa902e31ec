"""Tests of which stores may be retired, so that the others still survive the tolerated losses."""

import attrs
import testtools

from kestrelbend.tier.configuration.state import ConfigurationState
from kestrelbend.tier.configuration.stores import DiskRecord
from kestrelbend.tier.control.retirement import SHORT_FAULT_S, Retirement
from kestrelbend.tier.configuration.statuses import CONFLICT
from kestrelbend.tier.membership.fault_tolerance import Losses, Tolerance
from kestrelbend.tier.membership.messages import Heartbeat, Member
from kestrelbend.tier.membership.table import MemberTable

NOW = 100.0
REGIONS = {"a": "east", "b": "east", "c": "west", "d": "north"}


@attrs.define(eq=False)
class Configuration:
    """The configuration's state, as the retirement reads it."""

    state: ConfigurationState = attrs.field(factory=ConfigurationState)
    owner_check: object = None


class RetirementTest(testtools.TestCase):
    """The zone of a store is the first letter of its name."""

    def may_retire(self, node, stores, losses):
        configuration, members = Configuration(), MemberTable()
        for store in stores:
            replica = f"{store}:1#x"
            member = Member(store, "store", f"{store}:1", "", store[0], replica, False, True, False, 1)
            members.record_heartbeat(Heartbeat(member, 1, 0, False, ()), NOW)
            configuration.state.stores.record_disk(DiskRecord(store, replica, True), set())
        tolerance = Tolerance(losses, REGIONS)
        retirement = Retirement(
            configuration, members, lambda: tolerance, lambda: NOW, lambda now: SHORT_FAULT_S
        )
        outcome = retirement.rejection_by_known_members(node, NOW)
        self.assertIn(outcome.status if outcome else None, (CONFLICT, None))
        return outcome is None

    def test_only_store_of_a_zone_stays_where_the_others_stand_in_too_few_zones(self):
        stores = ("a1", "a2", "b1", "b2", "c1")
        self.assertFalse(self.may_retire("c1", stores, Losses(zones=1)))
        self.assertTrue(self.may_retire("a1", stores, Losses(zones=1)))
        self.assertTrue(self.may_retire("c1", stores, Losses(nodes=1)))

    def test_only_store_of_a_region_stays(self):
        stores = ("a1", "b1", "c1", "c2", "d1")
        self.assertFalse(self.may_retire("d1", stores, Losses(regions=1)))
        self.assertTrue(self.may_retire("c1", stores, Losses(regions=1)))

    def test_no_store_leaves_fewer_disks_than_the_largest_figure_needs(self):
        self.assertFalse(self.may_retire("a1", ("a1", "b1", "c1"), Losses(zones=1)))

    def test_store_may_go_where_its_zones_are_too_few_anyway(self):
        self.assertTrue(self.may_retire("a1", ("a1", "a2", "b1", "b2"), Losses(zones=1)))
