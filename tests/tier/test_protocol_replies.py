"""Replies are matched by number on one connection: no reply ever answers another request.

Invariant under test: a number is given once on a connection, a connection that ended gives no reply any more,
and a reply that nobody waits for is dropped.
"""

from __future__ import annotations

import asyncio
import random

import testtools

from kestrelbend.tier.budgets.shard_queue import reply_matches
from kestrelbend.tier.budgets.messages import (
    BudgetReply,
    BudgetRequest,
    Reserve,
    ReserveOutcome,
    Verdict,
)
from kestrelbend.tier.membership.messages import ConfigAck, Hello
from kestrelbend.tier.protocol.framing import HEADER_WORD
from kestrelbend.tier.protocol.peer_connection import MAX_SEQUENCE, PeerConnection
from kestrelbend.tier.protocol.peer_connections import PeerConnections
from tests.tier import virtual_time
from tests.tier.link_doubles import EndpointDouble, MemoryTransport


class ConnectionPair:
    """Two connections and the wire between them."""

    def __init__(self, asking, answering):
        self.near, self.far = PeerConnection(asking, outgoing=True), PeerConnection(answering, outgoing=False)
        self.ends = [(self.near, MemoryTransport()), (self.far, MemoryTransport())]
        for connection, transport in self.ends:
            connection.connection_made(transport)

    async def carry(self):
        """All that was written reaches the other side, as long as that is open."""
        for _ in range(4):
            await asyncio.sleep(0)
            for (_, transport), (other, ending) in zip(self.ends, reversed(self.ends), strict=True):
                data, transport.written = bytes(transport.written), bytearray()
                if data and not ending.aborted:
                    other.data_received(data)

    def end(self):
        for connection, transport in self.ends:
            transport.aborted = True
            connection.connection_lost(None)


class RepliesTest(testtools.TestCase):
    def story(self, play):
        async def run():
            self.asking, self.answering = EndpointDouble("a:1"), EndpointDouble("b:1")
            await play(ConnectionPair(self.asking, self.answering))

        virtual_time.run(run())

    def ask(self, pair, number, timeout=5.0):
        return asyncio.ensure_future(pair.near.request(ConfigAck(number), timeout))

    def test_given_a_reply_later_than_its_time_when_another_waits_then_that_one_does_not_get_it(self):
        async def play(pair):
            first = self.ask(pair, 1, timeout=0.1)
            await pair.carry()
            pair.far.send(ConfigAck(0))  # something is heard, so the connection stays
            await pair.carry()
            self.assertIsNone(await first)
            second = self.ask(pair, 2)
            await pair.carry()
            (connection, message, sequence), (_, other, other_sequence) = self.answering.received_messages
            connection.reply(sequence, message)
            await pair.carry()
            self.assertFalse(second.done())
            connection.reply(other_sequence, other)
            await pair.carry()
            self.assertEqual(ConfigAck(2), await second)

        self.story(play)

    def test_given_a_caller_that_left_when_its_reply_comes_then_it_is_dropped(self):
        async def play(pair):
            first, second = self.ask(pair, 1), self.ask(pair, 2)
            await pair.carry()
            first.cancel()
            for connection, message, sequence in self.answering.received_messages:
                connection.reply(sequence, message)
            await pair.carry()
            self.assertEqual(ConfigAck(2), await second)

        self.story(play)

    def test_given_a_reply_that_comes_twice_when_more_is_asked_then_the_second_is_dropped(self):
        async def play(pair):
            first = self.ask(pair, 1)
            await pair.carry()
            connection, message, sequence = self.answering.received_messages[0]
            connection.reply(sequence, message)
            connection.reply(sequence, ConfigAck(9))
            second = self.ask(pair, 2)
            await pair.carry()
            self.assertEqual(ConfigAck(1), await first)
            self.assertFalse(second.done())
            second.cancel()

        self.story(play)

    def test_given_a_frame_that_is_no_message_when_replies_follow_it_then_none_is_taken(self):
        async def play(pair):
            first, second = self.ask(pair, 1), self.ask(pair, 2)
            await pair.carry()
            for connection, message, sequence in self.answering.received_messages:
                connection.reply(sequence, message)
            await asyncio.sleep(0)
            _, transport = pair.ends[1]
            replies, transport.written = bytes(transport.written), bytearray()
            pair.near.data_received(HEADER_WORD.pack(3) + b"abc" + replies)
            self.assertTrue(pair.ends[0][1].aborted)
            pair.end()
            self.assertEqual([None, None], await asyncio.gather(first, second))

        self.story(play)

    def test_given_a_connection_that_ended_when_an_old_reply_is_given_then_the_new_one_does_not_get_it(self):
        async def play(pair):
            first = self.ask(pair, 1)
            await pair.carry()
            pair.end()
            self.assertIsNone(await first)
            fresh = ConnectionPair(self.asking, self.answering)
            second = self.ask(fresh, 2)
            await fresh.carry()
            (old_connection, old, old_sequence), (connection, message, sequence) = (
                self.answering.received_messages
            )
            self.assertEqual(old_sequence, sequence, "both connections count from one")
            old_connection.reply(old_sequence, old)
            await pair.carry()
            await fresh.carry()
            self.assertFalse(second.done())
            connection.reply(sequence, message)
            await fresh.carry()
            self.assertEqual(ConfigAck(2), await second)

        self.story(play)

    def test_given_nothing_was_heard_in_time_then_the_connection_ends_with_all_that_waits_on_it(self):
        async def play(pair):
            await asyncio.sleep(1.0)
            first, second = self.ask(pair, 1, timeout=0.1), self.ask(pair, 2)
            self.assertIsNone(await first)
            self.assertTrue(pair.ends[0][1].aborted)
            pair.end()
            self.assertIsNone(await second)
            self.assertIsNone(await pair.near.request(ConfigAck(3), 1.0))

        self.story(play)

    def test_given_the_last_number_was_given_when_more_is_asked_then_the_connection_ends(self):
        async def play(pair):
            pair.near._sequence = MAX_SEQUENCE - 1
            last = self.ask(pair, 1)
            await pair.carry()
            connection, message, sequence = self.answering.received_messages[0]
            self.assertEqual(MAX_SEQUENCE, sequence)
            connection.reply(sequence, message)
            await pair.carry()
            self.assertEqual(ConfigAck(1), await last)
            self.assertIsNone(await pair.near.request(ConfigAck(2), 1.0))
            self.assertTrue(pair.ends[0][1].aborted)

        self.story(play)

    def test_given_seeded_delays_losses_and_reconnects_when_asked_then_each_gets_its_own_or_none(self):
        async def play(pair):
            chance = random.Random(3)
            pending = []
            answered = 0
            for number in range(400):
                pending.append((number, self.ask(pair, number, timeout=chance.uniform(0.01, 0.3))))
                await pair.carry()
                held = self.answering.received_messages
                chance.shuffle(held)
                for _ in range(chance.randint(0, 2)):
                    if held:
                        connection, message, sequence = held.pop()
                        connection.reply(sequence, message)
                        if chance.random() < 0.2:
                            connection.reply(sequence, message)
                await pair.carry()
                await asyncio.sleep(chance.uniform(0, 0.05))
                if pair.near.closed or chance.random() < 0.03:
                    pair.end()
                    pair = ConnectionPair(self.asking, self.answering)
            for number, asked in pending:
                reply = await asked
                self.assertIn(reply, (None, ConfigAck(number)))
                answered += reply is not None
            self.assertGreater(answered, 50)

        self.story(play)


class BudgetRepliesTest(testtools.TestCase):
    """A reply that names other reservations than the request is none, whatever number it carries."""

    def test_given_a_reply_of_another_request_then_its_outcomes_are_not_taken(self):
        reserves = tuple(Reserve("program", "s", name, 1, 10, 100, True) for name in "ab")
        outcomes = tuple(ReserveOutcome(name, Verdict.ADMITTED, 10, 0, 0) for name in "ab")
        request = BudgetRequest("budget-0", reserves, ())
        self.assertTrue(reply_matches(request, BudgetReply("budget-0", True, "", outcomes)))
        others = (
            BudgetReply("budget-1", True, "", outcomes),
            BudgetReply("budget-0", False, "", outcomes),
            BudgetReply("budget-0", True, "", outcomes[:1]),
            BudgetReply("budget-0", True, "", outcomes[::-1]),
        )
        self.assertEqual([False] * 4, [reply_matches(request, reply) for reply in others])


class OrderTest(testtools.TestCase):
    """A whole run repeats only if connections are made and closed in an order of their own."""

    def test_given_addresses_in_any_order_then_they_are_dialled_in_that_of_their_names(self):
        async def story():
            hello = Hello("10.0.0.1:7", "", 1)
            connections = PeerConnections(hello, None, *([lambda *_: None] * 3))
            names = [f"10.0.0.{number}:7" for number in range(2, 9)]
            connections.keep(reversed(names))
            dialled = connections.addresses()
            await connections.close()
            return names, dialled

        names, dialled = virtual_time.run(story())
        self.assertEqual(names, dialled)

    def test_given_connections_that_stand_then_they_are_closed_in_the_order_they_were_opened(self):
        async def story():
            endpoint = EndpointDouble("a:1")
            opened = [PeerConnection(endpoint, outgoing=False) for _ in range(8)]
            for connection in opened:
                connection.connection_made(MemoryTransport())
            return opened, list(endpoint.opened)

        opened, to_close = virtual_time.run(story())
        self.assertEqual(opened, to_close)
