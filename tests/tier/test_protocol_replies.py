"""Replies are matched by number on one connection: no reply ever answers another request.

Invariant under test: a number is given once on a connection, a connection that ended gives no reply any more,
and a reply that nobody waits for is dropped.
"""

from __future__ import annotations

import asyncio
import random

import testtools

from kestrelbend.tier.budgets.line import answers
from kestrelbend.tier.budgets.messages import (
    BudgetReply,
    BudgetRequest,
    Reserve,
    ReserveOutcome,
    Verdict,
)
from kestrelbend.tier.membership.messages import ConfigAck
from kestrelbend.tier.protocol.framing import WORD
from kestrelbend.tier.protocol.links import MOST_SEQUENCE, Link
from tests.tier import virtual_time
from tests.tier.link_doubles import LinkProcess, MemoryTransport


class Connection:
    """Two links and the wire between them."""

    def __init__(self, asking, answering):
        self.near, self.far = Link(asking, outgoing=True), Link(answering, outgoing=False)
        self.ends = [(self.near, MemoryTransport()), (self.far, MemoryTransport())]
        for link, transport in self.ends:
            link.connection_made(transport)

    async def carry(self):
        """All that was written reaches the other side, as long as that is open."""
        for _ in range(4):
            await asyncio.sleep(0)
            for (_, transport), (other, ending) in zip(self.ends, reversed(self.ends), strict=True):
                data, transport.written = bytes(transport.written), bytearray()
                if data and not ending.aborted:
                    other.data_received(data)

    def end(self):
        for link, transport in self.ends:
            transport.aborted = True
            link.connection_lost(None)


class RepliesTest(testtools.TestCase):
    def story(self, play):
        async def run():
            self.asking, self.answering = LinkProcess("a:1"), LinkProcess("b:1")
            await play(Connection(self.asking, self.answering))

        virtual_time.run(run())

    def ask(self, connection, number, timeout=5.0):
        return asyncio.ensure_future(connection.near.request(ConfigAck(number), timeout))

    def test_given_a_reply_later_than_its_time_when_another_waits_then_that_one_does_not_get_it(self):
        async def play(connection):
            first = self.ask(connection, 1, timeout=0.1)
            await connection.carry()
            connection.far.send(ConfigAck(0))  # something is heard, so the connection stays
            await connection.carry()
            self.assertIsNone(await first)
            second = self.ask(connection, 2)
            await connection.carry()
            (link, message, sequence), (_, other, other_sequence) = self.answering.got
            link.reply(sequence, message)
            await connection.carry()
            self.assertFalse(second.done())
            link.reply(other_sequence, other)
            await connection.carry()
            self.assertEqual(ConfigAck(2), await second)

        self.story(play)

    def test_given_a_caller_that_left_when_its_reply_comes_then_it_is_dropped(self):
        async def play(connection):
            first, second = self.ask(connection, 1), self.ask(connection, 2)
            await connection.carry()
            first.cancel()
            for link, message, sequence in self.answering.got:
                link.reply(sequence, message)
            await connection.carry()
            self.assertEqual(ConfigAck(2), await second)

        self.story(play)

    def test_given_a_reply_that_comes_twice_when_more_is_asked_then_the_second_is_dropped(self):
        async def play(connection):
            first = self.ask(connection, 1)
            await connection.carry()
            link, message, sequence = self.answering.got[0]
            link.reply(sequence, message)
            link.reply(sequence, ConfigAck(9))
            second = self.ask(connection, 2)
            await connection.carry()
            self.assertEqual(ConfigAck(1), await first)
            self.assertFalse(second.done())
            second.cancel()

        self.story(play)

    def test_given_a_frame_that_is_no_message_when_replies_follow_it_then_none_is_taken(self):
        async def play(connection):
            first, second = self.ask(connection, 1), self.ask(connection, 2)
            await connection.carry()
            for link, message, sequence in self.answering.got:
                link.reply(sequence, message)
            await asyncio.sleep(0)
            _, transport = connection.ends[1]
            replies, transport.written = bytes(transport.written), bytearray()
            connection.near.data_received(WORD.pack(3) + b"abc" + replies)
            self.assertTrue(connection.ends[0][1].aborted)
            connection.end()
            self.assertEqual([None, None], await asyncio.gather(first, second))

        self.story(play)

    def test_given_a_connection_that_ended_when_an_old_reply_is_given_then_the_new_one_does_not_get_it(self):
        async def play(connection):
            first = self.ask(connection, 1)
            await connection.carry()
            connection.end()
            self.assertIsNone(await first)
            fresh = Connection(self.asking, self.answering)
            second = self.ask(fresh, 2)
            await fresh.carry()
            (old_link, old, old_sequence), (link, message, sequence) = self.answering.got
            self.assertEqual(old_sequence, sequence, "both connections count from one")
            old_link.reply(old_sequence, old)
            await connection.carry()
            await fresh.carry()
            self.assertFalse(second.done())
            link.reply(sequence, message)
            await fresh.carry()
            self.assertEqual(ConfigAck(2), await second)

        self.story(play)

    def test_given_nothing_was_heard_in_time_then_the_connection_ends_with_all_that_waits_on_it(self):
        async def play(connection):
            await asyncio.sleep(1.0)
            first, second = self.ask(connection, 1, timeout=0.1), self.ask(connection, 2)
            self.assertIsNone(await first)
            self.assertTrue(connection.ends[0][1].aborted)
            connection.end()
            self.assertIsNone(await second)
            self.assertIsNone(await connection.near.request(ConfigAck(3), 1.0))

        self.story(play)

    def test_given_the_last_number_was_given_when_more_is_asked_then_the_connection_ends(self):
        async def play(connection):
            connection.near._sequence = MOST_SEQUENCE - 1
            last = self.ask(connection, 1)
            await connection.carry()
            link, message, sequence = self.answering.got[0]
            self.assertEqual(MOST_SEQUENCE, sequence)
            link.reply(sequence, message)
            await connection.carry()
            self.assertEqual(ConfigAck(1), await last)
            self.assertIsNone(await connection.near.request(ConfigAck(2), 1.0))
            self.assertTrue(connection.ends[0][1].aborted)

        self.story(play)

    def test_given_seeded_delays_losses_and_reconnects_when_asked_then_each_gets_its_own_or_none(self):
        async def play(connection):
            chance = random.Random(3)
            pending = []
            answered = 0
            for number in range(400):
                pending.append((number, self.ask(connection, number, timeout=chance.uniform(0.01, 0.3))))
                await connection.carry()
                held = self.answering.got
                chance.shuffle(held)
                for _ in range(chance.randint(0, 2)):
                    if held:
                        link, message, sequence = held.pop()
                        link.reply(sequence, message)
                        if chance.random() < 0.2:
                            link.reply(sequence, message)
                await connection.carry()
                await asyncio.sleep(chance.uniform(0, 0.05))
                if connection.near.closed or chance.random() < 0.03:
                    connection.end()
                    connection = Connection(self.asking, self.answering)
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
        self.assertTrue(answers(request, BudgetReply("budget-0", True, "", outcomes)))
        others = (
            BudgetReply("budget-1", True, "", outcomes),
            BudgetReply("budget-0", False, "", outcomes),
            BudgetReply("budget-0", True, "", outcomes[:1]),
            BudgetReply("budget-0", True, "", outcomes[::-1]),
        )
        self.assertEqual([False] * 4, [answers(request, reply) for reply in others])
