"""How a client's connection ends: the one place that closes one.

A close over bytes that nobody read makes the machine reset the connection (RFC 9112, section 9.6), and what
of an answer it still holds is lost with it. So only the writing side is shut down; what comes meanwhile is
read and dropped, never served, until the client has closed its own side or a short bound is over.
"""

from __future__ import annotations

import asyncio
import select
from typing import Any, Final

from .metrics import DescriptorLimits

CLOSE_TIMEOUT_S: Final = 0.5  # after the last byte is handed to the machine; the rest is the client's loss


def readable(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes, an end or a reset wait to be read there; False where that cannot be told."""
    connection = transport.get_extra_info("socket") if transport is not None else None
    if connection is None or connection.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


class HalfClosingTransport:
    """A client's transport; its `close` shuts down the writing side first.

    Everything else is the wrapped `transport`'s. `ending`: its writing side is shut down, and its client's
    end is awaited; `sockets.half_closed_clients` counts those.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop, sockets: DescriptorLimits
    ) -> None:
        self.transport = transport
        self.loop = loop
        self.sockets = sockets
        self.timer: asyncio.TimerHandle | None = None
        self.ending = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Whether nothing more is written on it."""
        return self.ending or self.transport.is_closing()

    def close(self) -> None:
        """Shut down the writing side; only the first call counts."""
        if self.is_closing():
            return
        self.ending = True
        self.sockets.half_closed_clients += 1
        try:
            self.transport.resume_reading()  # its client's end is seen by reading alone
            self.transport.write_eof()
        except (OSError, RuntimeError):
            self.transport.close()
            return
        self.timer = self.loop.call_later(CLOSE_TIMEOUT_S, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close it, unless an answer is still being written: its client is slow, but reads."""
        if self.transport.get_write_buffer_size():
            self.timer = self.loop.call_later(CLOSE_TIMEOUT_S, self._close_overdue)
        else:
            self.transport.close()

    def lost(self) -> None:
        """The connection has ended: its handler says so."""
        self.sockets.half_closed_clients -= self.ending
        self.ending = False
        if self.timer is not None:
            self.timer.cancel()
