"""Closes clients' connections.

Closing a socket with unread data makes the system reset the connection (RFC 9112, section 9.6), and any part
of a response still in its send buffer is lost. So only the sending side is shut down. Data that arrives
afterwards is read and dropped, never served, until the client closes its side or `CLOSE_TIMEOUT_S` is over.
"""

from __future__ import annotations

import asyncio
import select
from typing import Any, Final

from .metrics import DescriptorLimits

CLOSE_TIMEOUT_S: Final = 0.5  # after the last byte is in the system's send buffer


def readable(transport: asyncio.BaseTransport | None) -> bool:
    """Whether data, an end of file or a reset waits to be read; False if the transport has no open socket."""
    connection = transport.get_extra_info("socket") if transport is not None else None
    if connection is None or connection.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


class HalfClosingTransport:
    """A client's transport whose `close` shuts down the sending side first.

    All other attributes are those of the wrapped `transport`. `half_closed`: the sending side is shut down,
    and the client has not closed its side yet; `descriptor_limits.half_closed_clients` counts them.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        descriptor_limits: DescriptorLimits,
    ) -> None:
        self.transport = transport
        self.loop = loop
        self.descriptor_limits = descriptor_limits
        self.timer: asyncio.TimerHandle | None = None
        self.half_closed = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Whether no more data can be written."""
        return self.half_closed or self.transport.is_closing()

    def close(self) -> None:
        """Shut down the sending side; only the first call has an effect."""
        if self.is_closing():
            return
        self.half_closed = True
        self.descriptor_limits.half_closed_clients += 1
        try:
            self.transport.resume_reading()  # the client's close is detected only by reading
            self.transport.write_eof()
        except (OSError, RuntimeError):
            self.transport.close()
            return
        self.timer = self.loop.call_later(CLOSE_TIMEOUT_S, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close the connection, unless a slow client is still reading a response."""
        if self.transport.get_write_buffer_size():
            self.timer = self.loop.call_later(CLOSE_TIMEOUT_S, self._close_overdue)
        else:
            self.transport.close()

    def connection_lost(self) -> None:
        """Stop counting the connection as half closed; called by its handler."""
        self.descriptor_limits.half_closed_clients -= self.half_closed
        self.half_closed = False
        if self.timer is not None:
            self.timer.cancel()
