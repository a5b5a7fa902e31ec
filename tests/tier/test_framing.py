"""Messages that share a connection: what is small never waits for what is large, and nothing is lost."""

from __future__ import annotations

import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelbend.tier.membership.messages import ConfigUpdate
from kestrelbend.tier.protocol.codec import decode, encode
from kestrelbend.tier.protocol.framing import (
    CHUNK_BYTES,
    SMALL_BYTES,
    HEADER_WORD,
    FrameReader,
    FrameWriter,
    FramingError,
)
from kestrelbend.tier.protocol.peer_connection import ANY_ORDER, PeerConnection
from kestrelbend.tier.replication.messages import AppendEntries, Entry, TransferLeadership
from tests.tier import virtual_time
from tests.tier.link_doubles import EndpointDouble, MemoryTransport

NARROW = 15_000_000 / 8  # bytes a second
PACKET_BYTES = 1460
BODY = b"c" * (4 << 20)


def append(data=b"", index=1):
    entries = (Entry(index, 1, 0, data),) if data else ()
    return AppendEntries("configuration", "a", 1, index - 1, 1, entries, 0, 1)


class NarrowPath:
    """Two ends of a connection joined by paths that carry so many bytes a second, in virtual steps."""

    def __init__(self, rate=NARROW, delay=0.002):
        self.rate, self.delay = rate, delay
        self.now = 0.0
        self.writers = [FrameWriter(ANY_ORDER), FrameWriter(ANY_ORDER)]
        self.readers = [FrameReader(), FrameReader()]
        self.free_at = [0.0, 0.0]
        self.on_the_way = []
        self.arrived = []  # (time, reader's side, message)

    def run(self, until):
        while self.now < until:
            self.write()
            self.now = round(self.now + 0.001, 6)
            due = [flight for flight in self.on_the_way if flight[0] <= self.now]
            self.on_the_way = [flight for flight in self.on_the_way if flight[0] > self.now]
            for _, side, data in due:
                self.read(side, data)

    def write(self):
        for side, writer in enumerate(self.writers):
            data = writer.take(self.now)
            for begin in range(0, len(data), PACKET_BYTES):
                packet = data[begin : begin + PACKET_BYTES]
                self.free_at[side] = max(self.now, self.free_at[side]) + len(packet) / self.rate
                self.on_the_way.append((self.free_at[side] + self.delay, 1 - side, packet))

    def read(self, side, data):
        reader = self.readers[side]
        for message in reader.feed(data):
            self.arrived.append((self.now, side, decode(message)))
        if reader.chunk_bytes:
            self.writers[side].acknowledge(reader.chunk_bytes)
            reader.chunk_bytes = 0
        if reader.acknowledged_bytes:
            self.writers[side].acknowledged(reader.acknowledged_bytes, self.now)
            reader.acknowledged_bytes = 0


class SharingStories(testtools.TestCase):
    def test_given_four_megabytes_on_a_narrow_link_when_heartbeats_go_beside_then_none_waits(self):
        path = NarrowPath()
        path.writers[0].add(encode(append(BODY)))
        sent_at = []
        while len(sent_at) < 30:
            path.run(path.now + 0.1)
            sent_at.append(path.now)
            path.writers[0].add(encode(TransferLeadership("s", "a", len(sent_at))))
        path.run(path.now + 1.0)
        arrived_at = {m.term: at for at, _, m in path.arrived if isinstance(m, TransferLeadership)}
        waits = [arrived_at[number] - at for number, at in enumerate(sent_at, 1)]
        self.assertLess(max(waits), 0.1)
        (whole_at,) = [at for at, _, message in path.arrived if isinstance(message, AppendEntries)]
        self.assertLess(whole_at, len(BODY) / NARROW * 1.05)

    def test_given_ten_connections_on_one_narrow_link_when_all_are_large_then_small_ones_wait_little(self):
        paths = [NarrowPath(rate=NARROW / 10) for _ in range(10)]
        waits = []
        for path in paths:
            path.writers[0].add(encode(append(BODY[: 1 << 20])))
            path.run(2.0)
            path.writers[0].add(encode(TransferLeadership("s", "a", 1)))
            path.run(2.5)
            (at,) = [at for at, _, message in path.arrived if isinstance(message, TransferLeadership)]
            waits.append(at - 2.0)
        self.assertLess(max(waits), 0.2)

    def test_given_a_wide_link_when_large_messages_go_then_the_window_does_not_hold_them_up(self):
        path = NarrowPath(rate=125_000_000, delay=0.002)
        path.writers[0].add(encode(append(BODY)))
        path.run(0.15)
        self.assertEqual(1, len(path.arrived))

    def test_given_messages_of_one_name_when_the_first_is_large_then_they_keep_their_order(self):
        path = NarrowPath()
        sent = [ConfigUpdate(1, False, BODY[:100_000]), ConfigUpdate(2, True, b"")]
        for message in sent:
            path.writers[0].add(encode(message))
        path.run(1.0)
        self.assertEqual(sent, [message for _, _, message in path.arrived])

    def test_given_replicas_messages_when_the_first_is_large_then_the_heartbeat_comes_first(self):
        path = NarrowPath()
        path.writers[0].add(encode(append(BODY[:100_000])))
        path.writers[0].add(encode(append()))
        path.run(1.0)
        self.assertEqual([0, 1], [len(message.entries) for _, _, message in path.arrived])

    def test_given_a_large_message_that_waits_when_it_is_withdrawn_then_it_never_leaves(self):
        path = NarrowPath()
        path.writers[0].add(encode(append(BODY[:300_000])))
        waiting = path.writers[0].add(encode(append(BODY[:200_000], index=2)))
        path.run(0.01)
        path.writers[0].withdraw(waiting)
        path.run(1.0)
        self.assertEqual([1], [message.entries[0].index for _, _, message in path.arrived])
        self.assertEqual(0, path.writers[0].waiting_bytes)

    def test_given_a_message_that_has_begun_when_it_is_withdrawn_then_it_arrives_whole(self):
        path = NarrowPath()
        begun = path.writers[0].add(encode(append(BODY[:300_000])))
        path.run(0.01)
        path.writers[0].withdraw(begun)
        path.run(1.0)
        self.assertEqual(1, len(path.arrived))


class WritingStories(testtools.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from((10, SMALL_BYTES, SMALL_BYTES + 1, 3 * CHUNK_BYTES)), max_size=8),
        st.integers(1, 50_000),
    )
    def test_any_messages_in_any_pieces_arrive_whole_and_in_order(self, sizes, step):
        writer, reader = FrameWriter(), FrameReader()
        sent = [encode(ConfigUpdate(number, False, b"x" * size)) for number, size in enumerate(sizes)]
        for data in sent:
            writer.add(data)
        arrived = []
        while data := writer.take(0.0):
            for begin in range(0, len(data), step):
                arrived += reader.feed(data[begin : begin + step])
            writer.acknowledged(reader.chunk_bytes, 0.0)
            reader.chunk_bytes = 0
        self.assertEqual(sent, arrived)

    def test_an_acknowledgement_of_what_was_not_sent_is_refused(self):
        self.assertRaises(FramingError, FrameWriter().acknowledged, 1, 0.0)

    def test_a_frame_or_a_message_that_is_too_long_is_refused(self):
        self.assertRaises(FramingError, list, FrameReader().feed(HEADER_WORD.pack((1 << 30) - 1)))
        reader = FrameReader()
        chunk = HEADER_WORD.pack(1 << 30 | 1 << 24) + bytes(1 << 24)
        list(reader.feed(chunk + chunk))
        self.assertRaises(FramingError, list, reader.feed(chunk))


class NarrowTransport(MemoryTransport):
    """A transport whose bytes reach the other connection at the pace of a narrow path, in virtual time."""

    def __init__(self):
        super().__init__()
        self.far = None
        self._free_at = 0.0

    def write(self, data):
        loop = asyncio.get_running_loop()
        self._free_at = max(self._free_at, loop.time()) + len(data) / NARROW
        loop.call_at(self._free_at + 0.002, self.far.data_received, data)


class LinkStories(testtools.TestCase):
    def test_given_a_transfer_when_a_request_gets_no_reply_then_the_connection_stays(self):
        async def play():
            connections = [
                PeerConnection(EndpointDouble(), outgoing=True),
                PeerConnection(EndpointDouble(), outgoing=False),
            ]
            transports = [NarrowTransport(), NarrowTransport()]
            for side in (0, 1):
                transports[side].far = connections[1 - side]
                connections[side].connection_made(transports[side])
            connections[0].send(append(BODY))
            await asyncio.sleep(0.5)
            self.assertIsNone(await connections[0].request(TransferLeadership("s", "a", 1), 0.35))
            self.assertFalse(transports[0].aborted)
            await asyncio.sleep(2.0)
            self.assertEqual(2, len(connections[1]._endpoint.received_messages))

        virtual_time.run(play())
