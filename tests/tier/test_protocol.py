"""Messages as bytes, and connections that carry them, over transports in memory."""

from __future__ import annotations

import asyncio
import sys
import typing
from concurrent.futures import ThreadPoolExecutor

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelbend.tier.protocol.codec import MESSAGES, DecodeError, decode, decode_with_sequence, encode
from kestrelbend.tier.protocol.framing import MAX_MESSAGE_BYTES, HEADER_WORD
from kestrelbend.tier.protocol.peer_connection import PeerConnection
from kestrelbend.tier.replication.messages import AppendEntries, DurableRecord, Entry, TransferLeadership
from tests.tier.link_doubles import EndpointDouble, MemoryTransport

PLAIN = {int: 7, str: "näme", bytes: b"\x00\xff", bool: True}


def example(message_class: type):
    """A message with something in each field."""
    hints = typing.get_type_hints(message_class)
    return message_class(*[_value(hints[field.name]) for field in attrs.fields(message_class)])


def _value(annotation):
    if annotation in PLAIN:
        return PLAIN[annotation]
    if isinstance(annotation, type) and attrs.has(annotation):
        return example(annotation)
    inner = typing.get_args(annotation)[0]
    return (_value(inner),) if typing.get_origin(annotation) is tuple else _value(inner)


class CodecTest(testtools.TestCase):
    def test_given_any_message_when_encoded_then_it_decodes_to_itself(self):
        for name, message_class in MESSAGES.items():
            message = example(message_class)
            self.assertEqual((message, 5), decode_with_sequence(encode(message, 5)), name)

    def test_given_several_threads_when_each_encodes_then_no_message_holds_bytes_of_another(self):
        interval = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, interval)
        sys.setswitchinterval(1e-6)

        def encode_many(name):
            message = TransferLeadership(name * 50, name, 1)
            wanted = encode(message)
            return sum(encode(message) != wanted for _ in range(4000))

        with ThreadPoolExecutor(4) as threads:
            self.assertEqual([0] * 4, list(threads.map(encode_many, "abcd")))

    def test_given_no_snapshot_when_decoded_then_there_is_none(self):
        record = DurableRecord("s", "r", 1, "", (Entry(1, 1, 0, b"x"),), None)
        self.assertEqual(record, decode(encode(record)))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200), st.integers(0, 150), st.integers(0, 150))
    def test_given_spoilt_bytes_when_decoded_then_nothing_but_a_decode_error_comes(self, noise, begin, end):
        whole = encode(AppendEntries("s", "a", 1, 2, 3, (Entry(1, 2, 0, b"data"),), 5, 6), 7)
        for data in (noise, whole[:begin] + noise + whole[end:]):
            try:
                decode(data)
            except DecodeError:
                pass


class _Echo(EndpointDouble):
    """Answers each message with itself."""

    def received(self, connection, message, sequence):
        super().received(connection, message, sequence)
        connection.reply(sequence, message)


class LinkTest(testtools.TestCase):
    def given_two_links(self):
        self.owners = [_Echo("a:1"), _Echo("b:1")]
        self.connections = [
            PeerConnection(owner, outgoing=index == 0) for index, owner in enumerate(self.owners)
        ]
        self.transports = [MemoryTransport(), MemoryTransport()]
        for connection, transport in zip(self.connections, self.transports, strict=True):
            connection.connection_made(transport)

    async def pump(self, chunk=1 << 20):
        """Carries bytes both ways, in chunks, until nothing is left to carry."""
        await asyncio.sleep(0)
        while any(transport.written for transport in self.transports):
            for index, transport in enumerate(self.transports):
                data, transport.written = bytes(transport.written), bytearray()
                for begin in range(0, len(data), chunk):
                    self.connections[1 - index].data_received(data[begin : begin + chunk])
            await asyncio.sleep(0)

    def story(self, play):
        async def run():
            self.given_two_links()
            await play()

        asyncio.run(run())

    def test_given_bytes_one_by_one_when_frames_come_then_all_messages_are_there_in_order(self):
        async def play():
            sent = [TransferLeadership("s", "a", epoch) for epoch in range(5)]
            for message in sent:
                self.connections[0].send(message)
            await self.pump(chunk=1)
            self.assertEqual(sent, [message for _, message, _ in self.owners[1].received_messages])
            self.assertEqual("a:1", self.connections[1].peer.address)

        self.story(play)

    def test_given_two_requests_when_answered_then_each_gets_its_own_reply(self):
        async def play():
            requests = [TransferLeadership("s", "a", epoch) for epoch in (1, 2)]
            asked = [asyncio.ensure_future(self.connections[0].request(one, 5)) for one in requests]
            await self.pump()
            await self.pump()
            self.assertEqual(requests, await asyncio.gather(*asked))

        self.story(play)

    def test_given_a_request_under_way_when_the_connection_ends_then_there_is_no_reply(self):
        async def play():
            asked = asyncio.ensure_future(self.connections[0].request(TransferLeadership("s", "a", 1), 5))
            await asyncio.sleep(0)
            self.connections[0].connection_lost(None)
            self.assertIsNone(await asked)
            self.assertFalse(self.connections[0].send(TransferLeadership("s", "a", 2)))

        self.story(play)

    def test_given_a_peer_that_says_nothing_when_a_request_times_out_then_the_connection_is_given_up(self):
        async def play():
            self.assertIsNone(await self.connections[0].request(TransferLeadership("s", "a", 1), 0))
            self.assertTrue(self.transports[0].aborted)

        self.story(play)

    def test_given_nonsense_or_a_frame_too_long_when_it_comes_then_the_connection_ends(self):
        async def play():
            self.connections[0].data_received(HEADER_WORD.pack(MAX_MESSAGE_BYTES + 1))
            self.connections[1].data_received(HEADER_WORD.pack(3) + b"abc")
            self.assertEqual([True, True], [transport.aborted for transport in self.transports])

        self.story(play)
