"""Addresses as messages carry them: IPv4 and port, six bytes."""

from __future__ import annotations

import socket
import struct

PACKED_ADDRESS_BYTES = 6


def pack_address(address: tuple[str, int]) -> bytes:
    """An IPv4 host and port as six bytes; raises OSError where the host is no IPv4 address."""
    host, port = address
    return socket.inet_aton(host) + struct.pack("!H", port)


def unpack_address(data: bytes) -> tuple[str, int]:
    """The IPv4 host and port of six bytes."""
    port: int = struct.unpack("!H", data[4:])[0]
    return socket.inet_ntoa(data[:4]), port
