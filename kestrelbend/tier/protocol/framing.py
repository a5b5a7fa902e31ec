"""How messages share one connection: small ones pass large ones.

A frame is a header word of four bytes, its kind and the length of what follows, and that.  A message up to
`SMALL_BYTES` is one frame and leaves at once.  A larger one is cut into chunks; the reader acknowledges
them, and only a window of them is under way, so that a small message waits behind that window alone,
whatever else is to be sent.  The window follows the time until acknowledgements come: it shrinks where
chunks queue up on a narrow link, and grows where they don't.

Invariant: messages of one name arrive in the order in which they were sent, unless their name is among
those that may come in any order; a large message arrives complete or not at all.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterator

import attrs

from ..errors import TierError
from .header import read_header

HEADER_WORD = struct.Struct("!I")  # a frame's kind in the highest bits, and its length
ACKNOWLEDGED_BYTES = struct.Struct("!I")  # what an acknowledgement carries
LENGTH_BITS = 30
MAX_LENGTH = (1 << LENGTH_BITS) - 1
# The kinds of frames.  Plain numbers: they are compared for each frame.
COMPLETE = 0
CHUNK = 1
LAST_CHUNK = 2
ACKNOWLEDGEMENT = 3

MAX_MESSAGE_BYTES = 32 << 20
SMALL_BYTES = 32 * 1024
CHUNK_BYTES = 16 * 1024
FIRST_WINDOW = 4 * CHUNK_BYTES
MAX_WINDOW = 64 * CHUNK_BYTES
WINDOW_STEP = CHUNK_BYTES // 4  # for each acknowledgement that comes in time, and a chunk for an early one
ROUND_TRIP_S = 0.06  # that chunks under way may take; beyond, they wait in a queue of the path


class FramingError(TierError):
    """The peer sends what no writer of this module makes; its connection has to be closed."""

    code = "protocol.framing"


@attrs.define(eq=False)
class LargeMessage:
    """A message that waits behind others, and how much of it has gone."""

    name: str
    data: memoryview
    position: int = 0

    def take(self, max_bytes: int) -> memoryview:
        """The next bytes."""
        chunk = self.data[self.position : self.position + max_bytes]
        self.position += len(chunk)
        return chunk

    @property
    def remaining(self) -> int:
        """Bytes that have not gone."""
        return len(self.data) - self.position


class FrameWriter:
    """What is to be written to one connection, in the order in which it should go."""

    def __init__(self, any_order: frozenset[str] = frozenset()) -> None:
        self._any_order = any_order
        self._small: list[bytes | memoryview] = []  # to leave at once; chunks of large ones follow them
        self._large: deque[LargeMessage] = deque()
        self._large_bytes = 0
        self._window = FIRST_WINDOW
        self._in_flight: deque[tuple[int, float]] = deque()  # bytes of each chunk, and when it went
        self._in_flight_bytes = 0
        self._shrunk_at = float("-inf")

    @property
    def waiting_bytes(self) -> int:
        """The bytes of large messages that remain to be written."""
        return self._large_bytes

    def add(self, data: bytes) -> LargeMessage | None:
        """Takes a message; the handle by which one that waits can be withdrawn."""
        name = read_header(data).name
        if len(data) <= SMALL_BYTES and (name in self._any_order or not self._waits(name)):
            self._small += (_header_word(COMPLETE, len(data)), data)
            return None
        message = LargeMessage(name, memoryview(data))
        self._large.append(message)
        self._large_bytes += len(data)
        return message

    def withdraw(self, message: LargeMessage) -> None:
        """Drops a message of which nothing has gone yet."""
        if message.position == 0 and message in self._large:
            self._large.remove(message)
            self._large_bytes -= len(message.data)

    def acknowledge(self, count: int) -> None:
        """Has the peer notified that chunks of so many bytes have come."""
        self._small += (
            _header_word(ACKNOWLEDGEMENT, ACKNOWLEDGED_BYTES.size),
            ACKNOWLEDGED_BYTES.pack(count),
        )

    def acknowledged(self, count: int, now: float) -> None:
        """The peer has got chunks of so many bytes more."""
        if count > self._in_flight_bytes:
            raise FramingError("more bytes acknowledged than sent")
        self._in_flight_bytes -= count
        sent_at = now
        while self._in_flight and count > 0:
            size, sent_at = self._in_flight.popleft()
            count -= size
        if count < 0:
            raise FramingError("part of a chunk acknowledged")
        self._adapt(sent_at, now)

    def take(self, now: float) -> bytes:
        """What may be written now: all small messages, and chunks as far as the window reaches."""
        parts, self._small = self._small, []
        while self._large and self._in_flight_bytes < self._window:
            parts += self._next_chunk(now)
        return b"".join(parts)

    def _waits(self, name: str) -> bool:
        return any(message.name == name for message in self._large)

    def _next_chunk(self, now: float) -> tuple[bytes, memoryview]:
        """The next frame of the first large message: its header word, and its bytes."""
        message = self._large[0]
        chunk = message.take(CHUNK_BYTES)
        self._large_bytes -= len(chunk)
        self._in_flight.append((len(chunk), now))
        self._in_flight_bytes += len(chunk)
        kind = CHUNK
        if not message.remaining:
            kind = LAST_CHUNK
            self._large.popleft()
        return _header_word(kind, len(chunk)), chunk

    def _adapt(self, sent_at: float, now: float) -> None:
        """Halves the window once for the chunks that were under way together, or lets it grow by a step."""
        round_trip = now - sent_at
        if round_trip <= ROUND_TRIP_S:
            step = CHUNK_BYTES if round_trip <= ROUND_TRIP_S / 4 else WINDOW_STEP
            self._window = min(MAX_WINDOW, self._window + step)
        elif sent_at > self._shrunk_at:
            self._window = max(CHUNK_BYTES, self._window // 2)
            self._shrunk_at = now


class FrameReader:
    """Complete messages out of a connection's bytes."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes
        self._buffer = bytearray()
        self._chunks = bytearray()
        self.chunk_bytes = 0  # since the caller last set it back, to be acknowledged
        self.acknowledged_bytes = 0  # the same, of the peer's acknowledgements

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Takes what has come; raises `FramingError` where it can't go on."""
        self._buffer += data
        position = 0
        try:
            while len(self._buffer) - position >= HEADER_WORD.size:
                (header,) = HEADER_WORD.unpack_from(self._buffer, position)
                length = header & MAX_LENGTH
                if length > self.max_message_bytes:
                    raise FramingError("a frame that is too long")
                end = position + HEADER_WORD.size + length
                if len(self._buffer) < end:
                    break
                body = bytes(memoryview(self._buffer)[position + HEADER_WORD.size : end])
                position = end
                message = self._message(header >> LENGTH_BITS, body)
                if message is not None:
                    yield message
        finally:
            del self._buffer[:position]

    def _message(self, kind: int, body: bytes) -> bytes | None:
        if kind == COMPLETE:
            return body
        if kind == ACKNOWLEDGEMENT:
            if len(body) != ACKNOWLEDGED_BYTES.size:
                raise FramingError("not an acknowledgement")
            self.acknowledged_bytes += ACKNOWLEDGED_BYTES.unpack(body)[0]
            return None
        self.chunk_bytes += len(body)
        self._chunks += body
        if len(self._chunks) > self.max_message_bytes:
            raise FramingError("a message that is too long")
        if kind == CHUNK:
            return None
        message = bytes(self._chunks)
        self._chunks = bytearray()
        return message


def _header_word(kind: int, length: int) -> bytes:
    return HEADER_WORD.pack(kind << LENGTH_BITS | length)
