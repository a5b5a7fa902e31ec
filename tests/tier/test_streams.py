"""How updates reach gateways: the configuration stream and the exchange of backend states."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.tier.configuration.stream import ConfigStream
from kestrelbend.tier.discovery.exchange import BackendExchange
from kestrelbend.tier.discovery.messages import Backend, BackendAck, BackendUpdate
from kestrelbend.tier.membership.messages import ConfigUpdate
from kestrelbend.tier.protocol.codec import decode
from kestrelbend.tier.membership.ring import nearest_control_nodes


class FakeConnection:
    """A connection that records the messages sent on it."""

    def __init__(self, address=""):
        self.address = address
        self.sent = []
        self.closed = False
        self.pending: list[asyncio.Future] = []

    def send(self, message, sequence=0):
        self.sent.append(message)
        return True

    def send_encoded(self, data):
        return self.send(decode(data))

    def request(self, message, timeout):
        self.sent.append(message)
        self.pending.append(asyncio.get_running_loop().create_future())
        return self.pending[-1]


class ConfigStreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stream = ConfigStream()
        self.connection = FakeConnection()

    def test_late_or_duplicate_versions_are_not_sent_to_a_subscriber(self):
        self.stream.subscribe(self.connection, 0)
        for version in (3, 3, 2, 5):
            self.stream.publish(version, b"{}", current=True)
        self.assertEqual([3, 5], [update.version for update in self.connection.sent])

    def test_confirmation_of_a_version_is_sent_once(self):
        self.stream.subscribe(self.connection, 0)
        self.stream.publish(3, b"{}", current=False)
        self.stream.publish(3, b"{}", current=True)
        self.stream.publish(3, b"{}", current=True)
        expected = [ConfigUpdate(3, False, b"{}"), ConfigUpdate(3, True, b"")]
        self.assertEqual(expected, self.connection.sent)

    def test_subscriber_with_a_newer_version_gets_no_update(self):
        self.stream.subscribe(self.connection, 9)
        self.stream.publish(3, b"{}", current=True)
        self.assertEqual([], self.connection.sent)

    def test_subscriber_without_bodies_gets_only_the_version(self):
        self.stream.subscribe(self.connection, 2, with_bodies=False)
        self.stream.publish(3, b"{}", current=True)
        self.assertEqual([ConfigUpdate(3, True, b"")], self.connection.sent)

    def test_wait_for_acknowledgements_ends_when_all_acknowledge_or_disconnect(self):
        async def run_scenario():
            other = FakeConnection()
            for connection in (self.connection, other):
                self.stream.subscribe(connection, 0)
            waiting = asyncio.ensure_future(self.stream.wait_for_acks(4))
            await asyncio.sleep(0)
            self.stream.record_ack(self.connection, 4)
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            self.stream.connection_lost(other)
            await waiting

        asyncio.run(run_scenario())


def backend(state=1, sequence=1):
    return Backend("i-1", "s", "10.0.0.1:1", "z", "v", 4, state, 0, sequence)


class BackendExchangeTest(testtools.TestCase):
    def set_up_exchange(self):
        self.gateway, self.peer = FakeConnection(), FakeConnection()
        self.exchange = BackendExchange("c:1", lambda: [backend(0)], lambda: [self.peer])
        self.exchange.subscribe(self.gateway)

    def test_new_subscriber_gets_a_complete_update_before_changes(self):
        self.set_up_exchange()
        self.exchange.notify_gateways([backend()])
        expected = [
            BackendUpdate("c:1", 1, True, (backend(0),)),
            BackendUpdate("c:1", 2, False, (backend(),)),
        ]
        self.assertEqual(expected, self.gateway.sent)

    def test_incomplete_subscription_gets_only_departing_backends(self):
        self.set_up_exchange()
        other = FakeConnection()
        self.exchange.subscribe(other, complete=False)
        self.exchange.notify_gateways([backend(0), backend(1)])
        self.exchange.notify_gateways([backend(0, 3)])
        self.assertEqual([BackendUpdate("c:1", 1, False, (backend(1),))], other.sent)

    def test_switch_to_a_complete_subscription_sends_everything_and_continues_numbering(self):
        self.set_up_exchange()
        other = FakeConnection()
        self.exchange.subscribe(other, complete=False)
        self.exchange.notify_gateways([backend(1)])
        self.exchange.subscribe(other, complete=True)
        self.assertEqual([1, 2], [update.number for update in other.sent])
        self.assertEqual((backend(0),), other.sent[-1].backends)

    def test_departure_is_confirmed_only_after_all_have_acknowledged_it(self):
        async def run_scenario():
            self.set_up_exchange()
            notification = asyncio.ensure_future(self.exchange.notify_all([backend()]))
            await asyncio.sleep(0)
            self.exchange.record_ack(self.gateway, BackendAck("c:1", 1))
            self.peer.pending[0].set_result(None)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertFalse(notification.done())
            self.exchange.record_ack(self.gateway, BackendAck("c:1", 2))
            await notification

        asyncio.run(run_scenario())

    def test_departure_does_not_wait_for_a_disconnected_gateway(self):
        async def run_scenario():
            self.set_up_exchange()
            notification = asyncio.ensure_future(self.exchange.notify_all([backend()]))
            await asyncio.sleep(0)
            self.exchange.connection_lost(self.gateway)
            self.peer.pending[0].set_result(None)
            await notification

        asyncio.run(run_scenario())


class RingTest(testtools.TestCase):
    def test_removing_one_monitor_keeps_the_other_monitors(self):
        nodes = [f"10.0.0.{number}:7" for number in range(9)]
        for process in nodes:
            before = nearest_control_nodes(process, nodes)
            self.assertNotIn(process, before)
            after = nearest_control_nodes(process, [node for node in nodes if node != before[1]])
            self.assertEqual([before[0], before[2]], after[:2])
