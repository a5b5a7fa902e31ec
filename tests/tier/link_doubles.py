"""What a connection needs around it in tests: a transport that keeps what is written, and a process."""

from __future__ import annotations

from kestrelbend.tier.membership.messages import Hello


class MemoryTransport:
    """Keeps what was written, until a test carries it on."""

    def __init__(self):
        self.written = bytearray()
        self.aborted = False

    def get_extra_info(self, name):
        """The socket, whose options change nothing here."""
        return self

    def setsockopt(self, *arguments):
        pass

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.aborted

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True


class EndpointDouble:
    """The process at one end; keeps what was received as (connection, message, sequence)."""

    def __init__(self, address="a"):
        self.hello = Hello(address, f"{address}#d", 1)
        self.log = self
        self.opened = {}
        self.sent_bytes = 0
        self.got = []

    def warning(self, *arguments):
        """Takes a line of the log."""

    def greeted(self, connection):
        pass

    def lost(self, connection):
        pass

    def received(self, connection, message, sequence):
        self.got.append((connection, message, sequence))
