"""How news reaches gateways: the configuration's stream and the exchange of backends."""

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
    """A connection that remembers what was sent on it."""

    def __init__(self, address=""):
        self.address = address
        self.sent = []
        self.closed = False
        self.asked: list[asyncio.Future] = []

    def send(self, message, sequence=0):
        self.sent.append(message)
        return True

    def send_encoded(self, data):
        return self.send(decode(data))

    def request(self, message, timeout):
        self.sent.append(message)
        self.asked.append(asyncio.get_running_loop().create_future())
        return self.asked[-1]


class ConfigStreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stream = ConfigStream()
        self.connection = FakeConnection()

    def test_given_a_subscriber_when_versions_come_late_or_twice_then_they_only_rise(self):
        self.stream.subscribe(self.connection, 0)
        for version in (3, 3, 2, 5):
            self.stream.stream(version, b"{}", current=True)
        self.assertEqual([3, 5], [update.version for update in self.connection.sent])

    def test_given_a_version_told_as_not_current_when_it_is_confirmed_then_that_is_told_once(self):
        self.stream.subscribe(self.connection, 0)
        self.stream.stream(3, b"{}", current=False)
        self.stream.stream(3, b"{}", current=True)
        self.stream.stream(3, b"{}", current=True)
        expected = [ConfigUpdate(3, False, b"{}"), ConfigUpdate(3, True, b"")]
        self.assertEqual(expected, self.connection.sent)

    def test_given_a_subscriber_ahead_of_this_node_when_streamed_then_it_is_not_told_to_be_current(self):
        self.stream.subscribe(self.connection, 9)
        self.stream.stream(3, b"{}", current=True)
        self.assertEqual([], self.connection.sent)

    def test_given_a_gateway_that_takes_bodies_elsewhere_then_it_is_told_the_number_alone(self):
        self.stream.subscribe(self.connection, 2, with_bodies=False)
        self.stream.stream(3, b"{}", current=True)
        self.assertEqual([ConfigUpdate(3, True, b"")], self.connection.sent)

    def test_given_two_gateways_when_both_acknowledge_or_leave_then_the_wait_ends(self):
        async def play():
            other = FakeConnection()
            for connection in (self.connection, other):
                self.stream.subscribe(connection, 0)
            waiting = asyncio.ensure_future(self.stream.until_acknowledged(4))
            await asyncio.sleep(0)
            self.stream.acknowledged(self.connection, 4)
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            self.stream.lost(other)
            await waiting

        asyncio.run(play())


def backend(state=1, sequence=1):
    return Backend("i-1", "s", "10.0.0.1:1", "z", "v", 4, state, 0, sequence)


class BackendExchangeTest(testtools.TestCase):
    def given_an_exchange(self):
        self.gateway, self.peer = FakeConnection(), FakeConnection()
        self.exchange = BackendExchange("c:1", lambda: [backend(0)], lambda: [self.peer])
        self.exchange.subscribe(self.gateway)

    def test_given_a_gateway_when_it_subscribes_then_it_gets_everything_first(self):
        self.given_an_exchange()
        self.exchange.notify_gateways([backend()])
        expected = [
            BackendUpdate("c:1", 1, True, (backend(0),)),
            BackendUpdate("c:1", 2, False, (backend(),)),
        ]
        self.assertEqual(expected, self.gateway.sent)

    def test_given_a_gateway_that_wants_notices_then_it_hears_of_those_that_leave_alone(self):
        self.given_an_exchange()
        other = FakeConnection()
        self.exchange.subscribe(other, complete=False)
        self.exchange.notify_gateways([backend(0), backend(1)])
        self.exchange.notify_gateways([backend(0, 3)])
        self.assertEqual([BackendUpdate("c:1", 1, False, (backend(1),))], other.sent)

    def test_given_a_gateway_that_wants_all_later_then_it_gets_everything_and_numbers_go_on(self):
        self.given_an_exchange()
        other = FakeConnection()
        self.exchange.subscribe(other, complete=False)
        self.exchange.notify_gateways([backend(1)])
        self.exchange.subscribe(other, complete=True)
        self.assertEqual([1, 2], [update.number for update in other.sent])
        self.assertEqual((backend(0),), other.sent[-1].backends)

    def test_given_a_backend_that_leaves_when_all_have_acknowledged_then_not_before_it_may_be_told(self):
        async def play():
            self.given_an_exchange()
            telling = asyncio.ensure_future(self.exchange.notify_all([backend()]))
            await asyncio.sleep(0)
            self.exchange.record_ack(self.gateway, BackendAck("c:1", 1))
            self.peer.asked[0].set_result(None)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertFalse(telling.done())
            self.exchange.record_ack(self.gateway, BackendAck("c:1", 2))
            await telling

        asyncio.run(play())

    def test_given_a_gateway_that_is_lost_when_a_backend_leaves_then_nobody_waits_for_it(self):
        async def play():
            self.given_an_exchange()
            telling = asyncio.ensure_future(self.exchange.notify_all([backend()]))
            await asyncio.sleep(0)
            self.exchange.connection_lost(self.gateway)
            self.peer.asked[0].set_result(None)
            await telling

        asyncio.run(play())


class RingTest(testtools.TestCase):
    def test_given_a_ring_when_one_monitor_goes_then_the_others_stay(self):
        nodes = [f"10.0.0.{number}:7" for number in range(9)]
        for process in nodes:
            before = nearest_control_nodes(process, nodes)
            self.assertNotIn(process, before)
            after = nearest_control_nodes(process, [node for node in nodes if node != before[1]])
            self.assertEqual([before[0], before[2]], after[:2])
