"""A minimal network stream for httpcore over an asyncio transport.

Writes are buffered until the next read, so that a request's headers and body leave in one packet.  The stream
tracks what a retry decision depends on: whether any byte of a request may have reached the network, and
whether any byte was received.  Bytes or an end of stream between requests make the stream unusable.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast

import httpcore

from ..bounded_reads import BoundedReads
from ..socket_options import SilenceLimits, configure_socket
from . import ports

# Detect a dead backend while waiting for its response.
SILENCE_LIMITS = SilenceLimits(unacknowledged_ms=2000, probe_after_s=1, probe_interval_s=1, probes=2)
RECEIVE_HIGH_WATER_BYTES = 64 * 1024
JOINED_BYTES = 64 * 1024  # larger writes are not copied to leave in one packet with others


class TcpStream(BoundedReads, ports.BackendStream):
    """One TCP connection.  Only one task at a time may read or write.

    The event loop calls `connection_made` before the stream is handed out.
    """

    _transport: asyncio.Transport

    def __init__(self) -> None:
        self._wire_state = ports.WireState()
        self._received = bytearray()
        self._outgoing: list[bytes] = []
        self._ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._discarding_writes = False

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)  # a TCP transport reads and writes

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes, whether a response is expected or not."""
        self._wire_state.response_started = True
        self._received += data
        if len(self._received) > RECEIVE_HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Records that the peer sends no more; the result lets the transport close itself."""
        self._ended = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Records that either side has closed the connection."""
        self._ended = True
        self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # ports.BackendStream

    @property
    def usable(self) -> bool:
        """Whether the stream is open and holds neither unread nor unsent bytes.

        A backend that responded before it read the whole request body may never read the rest, so no further
        request may be queued behind those bytes.
        """
        if self._ended or self._received or self._transport.is_closing():
            return False
        return not self._transport.get_write_buffer_size()

    def begin_request(self) -> ports.WireState:
        """Starts a new request and returns its state; the previous request's state no longer changes."""
        self._wire_state = ports.WireState()
        self._discarding_writes = False
        return self._wire_state

    def push_back(self, received: bytes) -> None:
        """Pushes `received` back to be read first, and drops all writes until the next `begin_request`."""
        self._received[:0] = received
        self._discarding_writes = True

    def abort(self) -> None:
        """Closes at once and drops unsent bytes; a pending read fails instead of seeing an end of stream."""
        self._outgoing.clear()
        if not self._ended:
            self._ended = True
            self._error = ConnectionAbortedError("closed here")
        self._transport.abort()
        self._wake()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffers the bytes until the next read; drops them after `push_back`.  Never waits."""
        if buffer and not self._discarding_writes:
            self._outgoing.append(bytes(buffer))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Sends the buffered writes, then waits for up to `max_bytes`; empty at the end of the stream.

        Raises httpcore.ReadError if the connection broke or was closed locally.  `timeout` is not used: the
        exchange's deadline bounds every wait, and `SILENCE_LIMITS` on the socket detect a dead peer.
        """
        self._flush()
        while not self._received and not self._ended:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if not self._received:
            if self._error is not None:
                raise httpcore.ReadError(str(self._error)) from self._error
            return b""
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        if self._reading_paused and not self._ended:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    def _flush(self) -> None:
        if not self._outgoing or self._ended:
            return
        self._wire_state.sent = True
        if sum(map(len, self._outgoing)) <= JOINED_BYTES:
            self._transport.write(b"".join(self._outgoing))
        else:
            for part in self._outgoing:
                self._transport.write(part)
        self._outgoing.clear()

    async def aclose(self) -> None:
        """Closes at once, so that the rest of an abandoned request is not sent."""
        self.abort()

    def get_extra_info(self, info: str) -> Any:
        """Answers httpcore's query `is_readable`, on which httpcore drops an idle connection; the transport
        answers all others."""
        if info == "is_readable":
            return not self.usable
        return self._transport.get_extra_info(info)


class TcpNetwork:
    """Opens TCP connections that fail when the peer stops responding (`SILENCE_LIMITS`)."""

    async def connect(self, address: str, timeout_s: float) -> TcpStream:
        """Opens a stream to `ip:port`; raises OSError, including TimeoutError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            configure_socket(sock, SILENCE_LIMITS)
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(sock, (host, int(port)))
            _, stream = await loop.create_connection(TcpStream, sock=sock)
        except BaseException:
            sock.close()
            raise
        return stream
