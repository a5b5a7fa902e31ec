"""The head of an encoded message, as thrift's compact protocol writes it: its name and a sequence number.

It is written and read for each message several times, so this is done here and not by thrift's own code,
which takes longer for it than for all that follows.
"""

from __future__ import annotations

import functools

import attrs

from ..errors import TierError

PROTOCOL_ID = 0x82
ONEWAY_OF_VERSION_1 = 0x81  # the kind of message in the highest three bits
FIXED_BYTES = 2
SEQUENCE_RANGE = 1 << 32  # negative numbers are written as their complement
MAX_SEQUENCE = (1 << 31) - 1
MAX_VARINT_BYTES = 5
VARINT_BITS = 0x7F  # of each byte of a number of variable length; the highest bit says that more follow


class HeaderError(TierError):
    """Bytes that begin no message of the tier."""

    code = "protocol.header"


@attrs.frozen
class Header:
    """The message begins at `end`."""

    name: str
    sequence: int
    end: int


def write_header(name: str, sequence: int) -> bytes:
    """The head of a message of this name."""
    written = sequence if sequence >= 0 else SEQUENCE_RANGE + sequence
    return bytes((PROTOCOL_ID, ONEWAY_OF_VERSION_1)) + _varint(written) + _named(name)


def read_header(data: bytes) -> Header:
    """Reads what `write_header` writes; raises `HeaderError` for anything else."""
    if data[:FIXED_BYTES] != bytes((PROTOCOL_ID, ONEWAY_OF_VERSION_1)):
        raise HeaderError("another protocol, or another kind of message")
    written, position = _read_varint(data, FIXED_BYTES)
    size, position = _read_varint(data, position)
    end = position + size
    if len(data) < end:
        raise HeaderError("the name is cut off")
    sequence = written if written <= MAX_SEQUENCE else written - SEQUENCE_RANGE
    return Header(_text(bytes(data[position:end])), sequence, end)


@functools.cache
def _named(name: str) -> bytes:
    encoded = name.encode()
    return _varint(len(encoded)) + encoded


def _text(name: bytes) -> str:
    try:
        return name.decode()
    except UnicodeDecodeError as fault:
        raise HeaderError("the name is no text") from fault


def _varint(number: int) -> bytes:
    written = bytearray()
    while number > VARINT_BITS:
        written.append(number & VARINT_BITS | VARINT_BITS + 1)
        number >>= 7
    written.append(number)
    return bytes(written)


def _read_varint(data: bytes, position: int) -> tuple[int, int]:
    """The number that begins at `position`, and where it ends."""
    number = 0
    for place in range(MAX_VARINT_BYTES):
        if position + place >= len(data):
            break
        byte = data[position + place]
        number |= (byte & VARINT_BITS) << (7 * place)
        if byte <= VARINT_BITS:
            return number, position + place + 1
    raise HeaderError("a number without an end")
