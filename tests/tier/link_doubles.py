"""Test doubles around a connection: a transport that keeps what is written, and the process that uses it."""

from __future__ import annotations

from kestrelbend.tier.membership.messages import Hello


class MemoryTransport:
    """Keeps the bytes written until the test delivers them."""

    def __init__(self):
        self.written = bytearray()
        self.aborted = False

    def get_extra_info(self, name):
        """Returns itself as the socket; socket options have no effect here."""
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
    """The process at one end of a connection; keeps received messages as (connection, message, sequence)."""

    def __init__(self, address="a"):
        self.hello = Hello(address, f"{address}#d", 1)
        self.log = self
        self.opened = {}
        self.sent_bytes = 0
        self.received_messages = []

    def warning(self, *arguments):
        """Accepts a log line and ignores it."""

    def greeted(self, connection):
        pass

    def lost(self, connection):
        pass

    def received(self, connection, message, sequence):
        self.received_messages.append((connection, message, sequence))
