"""Tests of the members in a control node's directory while others are unresponsive or the node is cut off."""

from types import SimpleNamespace

import testtools

from kestrelbend.tier.control.directory_stream import DirectoryStream
from kestrelbend.tier.membership.messages import Heartbeat, Member
from kestrelbend.tier.membership.contact_period import ContactPeriod
from kestrelbend.tier.membership.table import LIVENESS_TIMEOUT_S, MemberTable

CONFIGURATION = SimpleNamespace(
    state=SimpleNamespace(placements=(), retiring=()), replica=SimpleNamespace(applied_index=7)
)
HERE, OTHER = "10.0.0.1:7", "10.0.0.2:7"


def heartbeat(address, sequence):
    """Returns a heartbeat of a control process."""
    member = Member("n", "control", address, address, "z", "", True, False, False, 1)
    return Heartbeat(member, sequence, 0, False, ())


class DirectoryStreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.members = MemberTable()
        self.stream = DirectoryStream(self.members)
        self.contact = ContactPeriod(0.0)
        self.sequence = 0

    def refresh(self, now, reporting, in_contact):
        """Returns the addresses in the directory after heartbeats from the given processes."""
        self.sequence += 1
        for address in reporting:
            self.members.record_heartbeat(heartbeat(address, self.sequence), now)
        self.contact.observe(in_contact, now)
        directory = self.stream.refresh(CONFIGURATION, self.contact.duration_s(now), now)
        self.listed = self.listed if directory is None else [member.address for member in directory.members]
        return self.listed

    def test_node_in_contact_removes_an_unresponsive_member(self):
        self.refresh(0.0, (HERE, OTHER), True)
        self.assertEqual([HERE, OTHER], self.refresh(LIVENESS_TIMEOUT_S, (HERE,), True))
        self.assertEqual([HERE], self.refresh(LIVENESS_TIMEOUT_S + 0.25, (HERE,), True))

    def test_node_out_of_contact_keeps_unresponsive_members(self):
        self.refresh(2.0, (HERE, OTHER), True)
        for now in range(3, 23):
            self.assertEqual([HERE, OTHER], self.refresh(float(now), (HERE,), False))

    def test_node_in_contact_again_removes_unresponsive_members_only_after_the_liveness_timeout(self):
        self.refresh(2.0, (HERE, OTHER), True)
        self.refresh(22.0, (HERE,), False)
        self.assertEqual([HERE, OTHER], self.refresh(22.0 + LIVENESS_TIMEOUT_S, (HERE,), True))
        self.assertEqual([HERE], self.refresh(22.0 + LIVENESS_TIMEOUT_S + 0.25, (HERE,), True))

    def test_node_out_of_contact_adds_a_new_member(self):
        self.refresh(2.0, (HERE,), True)
        self.assertEqual([HERE, OTHER], self.refresh(3.0, (HERE, OTHER), False))
