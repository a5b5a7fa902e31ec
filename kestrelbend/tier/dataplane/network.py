"""A lean network stream for httpcore over an asyncio transport.

Writes are buffered until the next read, so that a request's head and body leave in one packet.  The stream
keeps count of what a retry must know: whether any byte of a request may have reached the network, and
whether any byte came back.  Bytes or an end that arrive between requests make the stream unusable.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast

import httpcore

from ..socket_options import SilenceLimits, configure_socket
from . import ports

# A backend that is gone is found while its answer is waited for.
SILENCE_LIMITS = SilenceLimits(unacknowledged_ms=2000, probe_after_s=1, probe_interval_s=1, probes=2)
RECEIVE_HIGH_WATER_BYTES = 256 * 1024


class TcpStream(asyncio.Protocol, ports.BackendStream):
    """One TCP connection.  Reads and writes are made by one task at a time.

    The event loop calls `connection_made` before anyone else gets the stream.
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

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The transport is up."""
        self._transport = cast(asyncio.Transport, transport)  # of a TCP socket: both directions

    def data_received(self, data: bytes) -> None:
        """Bytes came, asked for or not."""
        self._wire_state.response_started = True
        self._received += data
        if len(self._received) > RECEIVE_HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """The peer sends no more; the transport closes itself."""
        self._ended = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed, by either side."""
        self._ended = True
        self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # ports.BackendStream

    @property
    def usable(self) -> bool:
        """Neither closed nor holding bytes that nobody asked for or that have not left.

        A backend that answered before it read a whole body may never read the rest; nothing waits behind it.
        """
        if self._ended or self._received or self._transport.is_closing():
            return False
        return not self._transport.get_write_buffer_size()

    def begin_request(self) -> ports.WireState:
        """The account of a new request; the one before is not written to any more."""
        self._wire_state = ports.WireState()
        self._discarding_writes = False
        return self._wire_state

    def push_back(self, received: bytes) -> None:
        """`received` is read first, and what is written before that is dropped."""
        self._received[:0] = received
        self._discarding_writes = True

    def abort(self) -> None:
        """Closes at once; what has not left is dropped.  Who reads still sees an error, not a proper end."""
        self._outgoing.clear()
        if not self._ended:
            self._ended = True
            self._error = ConnectionAbortedError("closed here")
        self._transport.abort()
        self._wake()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffers the bytes until the next read; drops them after `replay`.  Never waits."""
        if buffer and not self._discarding_writes:
            self._outgoing.append(bytes(buffer))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Sends what is buffered, then waits for at most `max_bytes`; empty at the peer's proper end.

        Raises httpcore.ReadError where the connection broke or was closed here.  `timeout` is not used: the
        exchange's deadline bounds every wait, and the socket's own limits find a peer that is gone.
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
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        self._wire_state.sent = True
        self._transport.write(data)

    async def aclose(self) -> None:
        """Closes at once: a request that is given up should not go on leaving."""
        self.abort()

    def get_extra_info(self, info: str) -> Any:
        """`is_readable` as httpcore asks for it (it gives up such an idle connection); all else from the
        transport."""
        if info == "is_readable":
            return not self.usable
        return self._transport.get_extra_info(info)


class TcpNetwork:
    """Opens TCP connections that break when the other machine falls silent."""

    async def connect(self, address: str, timeout_s: float) -> TcpStream:
        """A connected stream; raises OSError, TimeoutError among them."""
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
