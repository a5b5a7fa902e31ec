"""What control nodes know of each other's members by their summaries."""

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
    """A process's heartbeat; `applied` entries of its one replica."""
    member = Member("n", "store", address, "", "z", "", False, True, False, incarnation)
    report = ShardReport("s", f"{address}#d", 3, f"{address}#d", (), applied, applied)
    return Heartbeat(member, sequence, 0, leaving, (report,))


class Connection:
    """Carries one node's summaries to another one."""

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
    """A control node's table, and what it tells the others."""

    def __init__(self, name):
        self.now = 0.0
        self.table = MemberTable()
        self.summaries = MemberSummaries(name, self.table)
        self.connections = {}

    def knows(self, address):
        return address in {member.address for member in self.table.members(self.now)}


class SummaryStories(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.sequence = 0
        self.nodes = {name: Node(name) for name in NODES}
        for node in self.nodes.values():
            others = (other for other in self.nodes.values() if other is not node)
            node.connections = {id(other): Connection(other) for other in others}

    def run_for(self, seconds, reporting=(), **changes):
        """The process at GATEWAY reports to some nodes; all that run tell each other."""
        ends = self.now + seconds
        while self.now < ends:
            self.now = round(self.now + HEARTBEAT_S, 6)
            self.sequence += 1
            for node in self.nodes.values():
                node.now = self.now
            for name in reporting:
                applied = changes.get("applied", self.sequence)
                sent = heartbeat(GATEWAY, self.sequence, changes.get("incarnation", 1), applied)
                self.nodes[name].table.record_heartbeat(sent, self.now)
            for node in self.nodes.values():
                node.summaries.send(node.connections.values(), self.now)

    def connection(self, sender, receiver):
        return self.nodes[sender].connections[id(self.nodes[receiver])]

    def test_given_a_process_that_reports_to_one_node_then_all_hold_it_for_live(self):
        self.run_for(10.0, ["c1"])
        self.assertTrue(all(node.knows(GATEWAY) for node in self.nodes.values()))

    def test_given_nothing_new_then_summaries_are_empty(self):
        self.run_for(1.0, ["c1"], applied=5)
        connection = self.connection("c1", "c2")
        connection.messages.clear()
        self.run_for(5.0, ["c1"], applied=5)
        self.assertEqual([()], list({message.heartbeats for message in connection.messages}))

    def test_given_progress_alone_then_it_is_published_now_and_then(self):
        self.run_for(1.0, ["c1"])
        connection = self.connection("c1", "c2")
        connection.messages.clear()
        self.run_for(4 * PROGRESS_INTERVAL_S, ["c1"])
        published = [message for message in connection.messages if message.heartbeats]
        self.assertEqual(4, len(published))

    def test_given_its_end_then_all_find_it_unresponsive_in_time_and_nobody_revives_it(self):
        self.run_for(5.0, ["c1"])
        self.run_for(LIVENESS_TIMEOUT_S + 2 * HEARTBEAT_S)
        for _ in range(20):
            self.assertFalse(any(node.knows(GATEWAY) for node in self.nodes.values()))
            self.run_for(HEARTBEAT_S)

    def test_given_its_node_dies_when_it_reports_to_another_then_it_never_counts_as_unresponsive(self):
        self.run_for(5.0, ["c1"])
        dead = self.nodes.pop("c1")
        self.run_for(2 * HEARTBEAT_S)
        for _ in range(20):
            self.run_for(HEARTBEAT_S, ["c2"])
            self.assertTrue(all(node.knows(GATEWAY) for node in self.nodes.values()))
        self.assertTrue(dead.knows(GATEWAY))

    def test_given_a_new_incarnation_then_it_is_published_and_the_old_one_keeps_nothing_alive(self):
        self.run_for(5.0, ["c1"])
        self.run_for(HEARTBEAT_S, ["c2"], incarnation=2)
        for node in self.nodes.values():
            self.assertEqual([2], [member.incarnation for member in node.table.members(self.now)])

    def test_given_a_connection_that_was_lost_then_the_next_one_begins_with_everything(self):
        self.run_for(5.0, ["c1"], applied=5)
        lost = self.connection("c1", "c2")
        self.nodes["c1"].summaries.connection_lost(lost)
        self.nodes["c2"].table = MemberTable()
        self.nodes["c2"].summaries = MemberSummaries("c2", self.nodes["c2"].table)
        self.run_for(HEARTBEAT_S, ["c1"], applied=5)
        self.assertTrue(self.nodes["c2"].knows(GATEWAY))

    def test_given_connections_that_end_then_nothing_is_kept_of_their_senders(self):
        self.run_for(1.0, ["c1"])
        receiver = self.nodes["c2"].summaries
        for _ in range(3):
            old = self.connection("c1", "c2")
            self.nodes["c1"].connections[id(self.nodes["c2"])] = Connection(self.nodes["c2"])
            self.run_for(HEARTBEAT_S, ["c1"])
            receiver.connection_lost(old)  # later than the next one's complete summary
            self.run_for(1.0, ["c1"])
            self.assertTrue(self.nodes["c2"].knows(GATEWAY))
        self.assertEqual(2, receiver.sender_count)

    def test_given_a_node_that_stood_still_then_its_members_heartbeat_age_is_published_truly(self):
        self.run_for(5.0, ["c1"])
        self.run_for(3 * HEARTBEAT_S)
        self.assertTrue(self.nodes["c3"].table.heartbeat_ages(self.now)[0].seconds >= 2 * HEARTBEAT_S)
