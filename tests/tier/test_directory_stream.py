"""Whom a control node's directory names while others are unresponsive, and while it is cut off."""

from types import SimpleNamespace

import testtools

from kestrelbend.tier.control.directory_stream import DirectoryStream
from kestrelbend.tier.membership.messages import Heartbeat, Member
from kestrelbend.tier.membership.contact_period import ContactPeriod
from kestrelbend.tier.membership.table import LIVENESS_TIMEOUT_S, MemberTable

CONFIGURATION = SimpleNamespace(
    state=SimpleNamespace(placements=(), retiring=()), replica=SimpleNamespace(applied_index=7)
)
HERE, THERE = "10.0.0.1:7", "10.0.0.2:7"


def heartbeat(address, sequence):
    """A control process's heartbeat."""
    member = Member("n", "control", address, address, "z", "", True, False, False, 1)
    return Heartbeat(member, sequence, 0, False, ())


class DirectoryStreamStories(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.members = MemberTable()
        self.stream = DirectoryStream(self.members)
        self.contact = ContactPeriod(0.0)
        self.sequence = 0

    def look(self, now, heard, in_contact):
        """The addresses that the directory names after heartbeats from some processes."""
        self.sequence += 1
        for address in heard:
            self.members.record_heartbeat(heartbeat(address, self.sequence), now)
        self.contact.observe(in_contact, now)
        directory = self.stream.refresh(CONFIGURATION, self.contact.duration_s(now), now)
        self.named = self.named if directory is None else [member.address for member in directory.members]
        return self.named

    def test_given_a_node_in_contact_then_who_becomes_unresponsive_leaves_the_directory(self):
        self.look(0.0, (HERE, THERE), True)
        self.assertEqual([HERE, THERE], self.look(LIVENESS_TIMEOUT_S, (HERE,), True))
        self.assertEqual([HERE], self.look(LIVENESS_TIMEOUT_S + 0.25, (HERE,), True))

    def test_given_a_node_cut_off_then_it_goes_on_naming_the_others(self):
        self.look(2.0, (HERE, THERE), True)
        for now in range(3, 23):
            self.assertEqual([HERE, THERE], self.look(float(now), (HERE,), False))

    def test_given_contact_again_then_the_unresponsive_leave_only_after_they_could_be_heard(self):
        self.look(2.0, (HERE, THERE), True)
        self.look(22.0, (HERE,), False)
        self.assertEqual([HERE, THERE], self.look(22.0 + LIVENESS_TIMEOUT_S, (HERE,), True))
        self.assertEqual([HERE], self.look(22.0 + LIVENESS_TIMEOUT_S + 0.25, (HERE,), True))

    def test_given_a_new_member_then_it_is_named_also_out_of_contact(self):
        self.look(2.0, (HERE,), True)
        self.assertEqual([HERE, THERE], self.look(3.0, (HERE, THERE), False))
