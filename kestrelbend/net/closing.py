"""How a client's connection ends: the one place that closes one.

A close over bytes that nobody read makes the machine reset the connection, and what of an answer it still
holds is lost with it.  So only the writing side is shut down; what comes meanwhile is read and dropped, never
served, until the client has closed its own side or a short bound is over.
"""

from __future__ import annotations

import select

BOUND_S = 0.5  # after the last byte is handed to the machine; then the rest is the client's loss


def readable(transport):
    """Whether bytes, an end or a reset wait to be read there; False where that cannot be told."""
    connection = transport.get_extra_info("socket") if transport is not None else None
    if connection is None or connection.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


class HalfClosing:
    """A client's transport; its `close` shuts down the writing side first."""

    def __init__(self, transport, loop, sockets):
        self.transport, self.loop, self.sockets = transport, loop, sockets
        self.timer, self.ending = None, False

    def __getattr__(self, name):
        return getattr(self.transport, name)

    def is_closing(self):
        return self.ending or self.transport.is_closing()

    def close(self):
        """Again and again if need be: the first call counts."""
        if self.is_closing():
            return
        self.ending = True
        self.sockets.ending += 1
        try:
            self.transport.resume_reading()  # its client's end is seen by reading alone
            self.transport.write_eof()
        except (OSError, RuntimeError):
            self.transport.close()
            return
        self.timer = self.loop.call_later(BOUND_S, self.over)

    def over(self):
        """An answer still being written is not cut short: its client is slow, but reads."""
        if self.transport.get_write_buffer_size():
            self.timer = self.loop.call_later(BOUND_S, self.over)
        else:
            self.transport.close()

    def lost(self):
        """The connection has ended."""
        self.sockets.ending -= self.ending
        self.ending = False
        if self.timer is not None:
            self.timer.cancel()
