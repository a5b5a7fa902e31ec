"""Tests of the summaries by which control nodes exchange the processes that report to them."""

from __future__ import annotations

import testtools

from kestrelbend.tier.control.member_summaries import PROGRESS_INTERVAL_S, MemberSummaries
from kestrelbend.tier.membership.messages import Heartbeat, Member, ShardReport
from kestrelbend.tier.membership.table import LIVENESS_TIMEOUT_S, MemberTable
from kestrelbend.tier.protocol.codec import decode, encode

HEARTBEAT_S = 0.25
NODES = ("c1", "c2", "c3")
GATEWAY = "10.0.0.9:7"


def heartbeat(address, sequence, incarnation=1, applied=0, leaving=False):
    """Returns a heartbeat of a process whose one replica has applied `applied` entries."""
    member = Member("n", "store", address, "", "z", "", False, True, False, incarnation)
    report = ShardReport("s", f"{address}#d", 3, f"{address}#d", (), applied, applied)
    return Heartbeat(member, sequence, 0, leaving, (report,))


def control_heartbeat(address, sequence):
    member = Member(address, "control", address, "", "z", "", True, False, False, 1)
    return Heartbeat(member, sequence, 0, False, ())


class Connection:
    """Delivers one node's summaries to another node."""

    def __init__(self, receiver):
        self.receiver = receiver
        self.messages = []
        self.cut = False

    def send(self, message):
        return self.send_encoded(encode(message))

    def send_encoded(self, data):
        message = decode(data)
        self.messages.append(message)
        if not self.cut:
            self.receiver.summaries.merge(self, message, self.receiver.now)


class Node:
    """A control node with its member table and its summaries."""

    def __init__(self, name):
        self.now = 0.0
        self.table = MemberTable()
        self.summaries = MemberSummaries(name, self.table)
        self.connections = {}

    def lists_as_live(self, address):
        return address in {member.address for member in self.table.members(self.now)}


class MemberSummariesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.sequence = 0
        self.nodes = {name: Node(name) for name in NODES}
        for node in self.nodes.values():
            others = (other for other in self.nodes.values() if other is not node)
            node.connections = {id(other): Connection(other) for other in others}

    def run_for(self, seconds, reporting=(), **changes):
        """The process at GATEWAY reports to the given nodes, and all nodes exchange summaries.

        The nodes of `controls` report to themselves, as control nodes do.
        """
        end_at = self.now + seconds
        while self.now < end_at:
            self.now = round(self.now + HEARTBEAT_S, 6)
            self.sequence += 1
            for node in self.nodes.values():
                node.now = self.now
            for name in reporting:
                applied = changes.get("applied", self.sequence)
                sent = heartbeat(GATEWAY, self.sequence, changes.get("incarnation", 1), applied)
                self.nodes[name].table.record_heartbeat(sent, self.now)
            for name in changes.get("controls", ()):
                self.nodes[name].table.record_heartbeat(control_heartbeat(name, self.sequence), self.now)
            for node in self.nodes.values():
                node.summaries.send(node.connections.values(), self.now)

    def connection(self, sender, receiver):
        return self.nodes[sender].connections[id(self.nodes[receiver])]

    def test_process_that_reports_to_one_node_is_live_at_all_nodes(self):
        self.run_for(10.0, ["c1"])
        self.assertTrue(all(node.lists_as_live(GATEWAY) for node in self.nodes.values()))

    def test_summaries_without_changes_are_empty(self):
        self.run_for(1.0, ["c1"], applied=5)
        connection = self.connection("c1", "c2")
        connection.messages.clear()
        self.run_for(5.0, ["c1"], applied=5)
        self.assertEqual([()], list({message.heartbeats for message in connection.messages}))

    def test_index_progress_alone_is_published_once_per_interval(self):
        self.run_for(1.0, ["c1"])
        connection = self.connection("c1", "c2")
        connection.messages.clear()
        self.run_for(4 * PROGRESS_INTERVAL_S, ["c1"])
        published = [message for message in connection.messages if message.heartbeats]
        self.assertEqual(4, len(published))

    def test_process_that_ended_becomes_unresponsive_at_all_nodes_and_stays_so(self):
        self.run_for(5.0, ["c1"])
        self.run_for(LIVENESS_TIMEOUT_S + 2 * HEARTBEAT_S)
        for _ in range(20):
            self.assertFalse(any(node.lists_as_live(GATEWAY) for node in self.nodes.values()))
            self.run_for(HEARTBEAT_S)

    def test_process_that_reports_to_another_node_after_a_node_failure_stays_live(self):
        self.run_for(5.0, ["c1"])
        dead = self.nodes.pop("c1")
        self.run_for(2 * HEARTBEAT_S)
        for _ in range(20):
            self.run_for(HEARTBEAT_S, ["c2"])
            self.assertTrue(all(node.lists_as_live(GATEWAY) for node in self.nodes.values()))
        self.assertTrue(dead.lists_as_live(GATEWAY))

    def test_new_incarnation_replaces_the_old_one_at_all_nodes(self):
        self.run_for(5.0, ["c1"])
        self.run_for(HEARTBEAT_S, ["c2"], incarnation=2)
        for node in self.nodes.values():
            self.assertEqual([2], [member.incarnation for member in node.table.members(self.now)])

    def test_connection_after_a_lost_one_begins_with_a_complete_summary(self):
        self.run_for(5.0, ["c1"], applied=5)
        lost = self.connection("c1", "c2")
        self.nodes["c1"].summaries.connection_lost(lost)
        self.nodes["c2"].table = MemberTable()
        self.nodes["c2"].summaries = MemberSummaries("c2", self.nodes["c2"].table)
        self.run_for(HEARTBEAT_S, ["c1"], applied=5)
        self.assertTrue(self.nodes["c2"].lists_as_live(GATEWAY))

    def test_no_state_is_kept_of_ended_connections(self):
        self.run_for(1.0, ["c1"])
        receiver = self.nodes["c2"].summaries
        for _ in range(3):
            old = self.connection("c1", "c2")
            self.nodes["c1"].connections[id(self.nodes["c2"])] = Connection(self.nodes["c2"])
            self.run_for(HEARTBEAT_S, ["c1"])
            receiver.connection_lost(old)  # after the complete summary on the new connection
            self.run_for(1.0, ["c1"])
            self.assertTrue(self.nodes["c2"].lists_as_live(GATEWAY))
        self.assertEqual(2, receiver.sender_count)

    def test_control_nodes_that_know_one_node_in_common_are_told_of_each_other_and_of_an_end(self):
        for name in ("c2", "c3"):
            self.nodes[name].connections = {id(self.nodes["c1"]): self.connection(name, "c1")}
        self.run_for(1.0, [], controls=("c2", "c3"))
        for name in ("c2", "c3"):
            self.assertEqual(["c2", "c3"], self.nodes[name].summaries.control_addresses())
        told = self.connection("c1", "c2")
        told.messages.clear()
        self.run_for(1.0, [], controls=("c2", "c3"))
        self.assertEqual({None}, {summary.control_addresses for summary in told.messages})
        self.run_for(LIVENESS_TIMEOUT_S + 2 * HEARTBEAT_S, [], controls=("c2",))
        self.assertEqual(["c2"], self.nodes["c2"].summaries.control_addresses())

    def test_heartbeat_age_of_an_unresponsive_member_is_published(self):
        self.run_for(5.0, ["c1"])
        self.run_for(3 * HEARTBEAT_S)
        self.assertTrue(self.nodes["c3"].table.heartbeat_ages(self.now)[0].seconds >= 2 * HEARTBEAT_S)
