"""One connection between two processes of the tier: messages out, messages in, and replies to requests.

Life of a connection, on either side:

    connection_made --> the own `Hello` leaves first
    Hello comes     --> `endpoint.greeted`: the peer is known
    messages        --> `endpoint.received`, or the future of the request that they answer
    connection_lost --> every request that waits gets None, then `endpoint.lost`

`framing` says how messages share the connection: small ones don't wait behind large ones.  A message that
can't be sent now is dropped: what must arrive is repeated by the part that needs it.

Invariant: a sequence number is given once on a connection, so that no reply ever answers another request.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

from ..membership.messages import Hello
from ..replication import messages as replication
from ..socket_options import SilenceLimits, configure_socket
from .codec import DecodeError, decode_with_sequence, encode
from .framing import MAX_MESSAGE_BYTES, FrameReader, FrameWriter, FramingError, LargeMessage
from .wire_names import WIRE_NAMES

ANY_ORDER = frozenset(  # replicas bear any order of these
    WIRE_NAMES[message]
    for message in (
        replication.RequestVote,
        replication.VoteReply,
        replication.AppendEntries,
        replication.AppendReply,
        replication.SnapshotReply,
        replication.TransferLeadership,
    )
)
MAX_GREETING_BYTES = 64 * 1024  # of a message of a peer that has not said who it is
MAX_WAITING_BYTES = 24 << 20  # a peer that reads nothing loses its connection beyond
MAX_SEQUENCE = 2**31 - 1  # a message's header has no room for more
SILENCE_LIMITS = SilenceLimits(unacknowledged_ms=600, probe_after_s=1, probe_interval_s=1, probes=2)


class Log(Protocol):
    """What connections need of a log."""

    def warning(self, message: str, *arguments: object) -> None:
        """Notes a fault of a peer."""


class Endpoint(Protocol):
    """The process at this end of a connection."""

    hello: Hello
    log: Log
    opened: dict[PeerConnection, None]
    sent_bytes: int

    def greeted(self, connection: PeerConnection) -> None:
        """The peer has said who it is."""

    def received(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        """A message came that answers no request; `sequence` is what a reply to it repeats."""

    def lost(self, connection: PeerConnection) -> None:
        """The connection ended."""


class PeerConnection(asyncio.Protocol):
    """One connection; nothing here waits for the peer but `request`."""

    def __init__(self, endpoint: Endpoint, outgoing: bool, address: str = "") -> None:
        self._endpoint = endpoint
        self.outgoing = outgoing
        self.address = address  # of the peer, where outgoing
        self.peer: Hello | None = None  # once it has greeted
        self.peer_replica = ""  # from then on, the identity of its disk; "" where it has none
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader(MAX_GREETING_BYTES)
        self._writer = FrameWriter(ANY_ORDER)
        self._write_due = False  # once the loop comes round
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}  # by sequence number
        self._sequence = 0
        self.closed = False
        self.last_received_at = 0.0  # by the loop's clock

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greets the peer."""
        stream = cast(asyncio.Transport, transport)
        self._transport = stream
        configure_socket(stream.get_extra_info("socket"), SILENCE_LIMITS)
        stream.set_write_buffer_limits(high=MAX_WAITING_BYTES)
        self.send(self._endpoint.hello)
        self._endpoint.opened[self] = None

    def data_received(self, data: bytes) -> None:
        """Takes complete frames off what has come."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                if not self._take(frame):
                    return self.close()
            self._follow_chunks()
        except FramingError as fault:
            self._endpoint.log.warning("connection given up: {}", fault)
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends what waits for replies."""
        self.closed = True
        for future in self._pending_replies.values():
            if not future.done():
                future.set_result(None)
        self._pending_replies.clear()
        self._endpoint.opened.pop(self, None)
        self._endpoint.lost(self)

    # Receiving

    def _follow_chunks(self) -> None:
        """Acknowledges the chunks that have come, and goes on with those that the peer has capacity for."""
        reader = self._reader
        if reader.chunk_bytes:
            self._writer.acknowledge(reader.chunk_bytes)
            reader.chunk_bytes = 0
            self._write_soon()
        if reader.acknowledged_bytes:
            self._writer.acknowledged(reader.acknowledged_bytes, self.last_received_at)
            reader.acknowledged_bytes = 0
            self._write_soon()

    def _take(self, frame: bytes) -> bool:
        """Hands a frame's message on; False where it is none, which ends the connection."""
        try:
            message, sequence = decode_with_sequence(frame)
        except DecodeError as fault:
            self._endpoint.log.warning("frame refused: {}", fault)
            return False
        if isinstance(message, Hello):
            self._reader.max_message_bytes = MAX_MESSAGE_BYTES
            self.peer = message
            self.peer_replica = message.replica
            self._endpoint.greeted(self)
            return True
        if sequence < 0:
            pending = self._pending_replies.pop(-sequence, None)
            if pending is not None and not pending.done():
                pending.set_result(message)
            return True
        self._endpoint.received(self, message, sequence)
        return True

    # Sending

    def send(self, message: Any, sequence: int = 0) -> bool:
        """Hands a message to the connection; False when it is closed or its peer reads nothing."""
        return self.send_encoded(encode(message, sequence))

    def send_encoded(self, data: bytes) -> bool:
        """As `send`, for one encoding that goes to many."""
        if not self._may_send():
            return False
        self._add(data)
        return True

    def _may_send(self) -> bool:
        transport = self._transport
        if transport is None or self.closed or transport.is_closing():
            return False
        if transport.get_write_buffer_size() + self._writer.waiting_bytes > MAX_WAITING_BYTES:
            self.close()
            return False
        return True

    def _add(self, data: bytes) -> LargeMessage | None:
        waiting = self._writer.add(data)
        self._endpoint.sent_bytes += len(data)
        self._write_soon()
        return waiting

    def _write_soon(self) -> None:
        if not self._write_due:
            self._write_due = True
            asyncio.get_running_loop().call_soon(self._write_frames)

    def _write_frames(self) -> None:
        """One call of the system for all frames of one turn of the loop."""
        self._write_due = False
        transport = self._transport
        if transport is None or self.closed or transport.is_closing():
            return
        frames = self._writer.take(asyncio.get_running_loop().time())
        if frames:
            transport.write(frames)

    # Requests and replies

    def reply(self, sequence: int, message: Any) -> None:
        """Answers a request that came with this sequence number."""
        if sequence > 0:
            self.send(message, -sequence)

    async def request(self, message: Any, timeout: float) -> Any:
        """The reply, or None where none came within `timeout` seconds or the connection ended.

        A request that has not begun to leave by then never does.
        """
        if self._sequence >= MAX_SEQUENCE:
            self.close()  # on one connection no number comes twice
            return None
        self._sequence += 1
        sequence = self._sequence
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        future = loop.create_future()
        self._pending_replies[sequence] = future
        sent = None
        try:
            if not self._may_send():
                return None
            sent = self._add(encode(message, sequence))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            if self.last_received_at < requested_at:
                self.close()  # nothing at all came: a new connection finds a machine that has come back
            return None
        finally:
            self._pending_replies.pop(sequence, None)
            if sent is not None:
                self._writer.withdraw(sent)

    def close(self) -> None:
        """Ends the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
