"""File format of the write-ahead log, used by segments and checkpoints: a header, then records.

    magic (4) | number (8) | body length (4) | CRC-32 of number and body (4) | [length (4) | record]...

All integers are little-endian.  The number is the one in the file's name, so that a file under a wrong name
is detected.  Invariant: a file is either read completely or rejected completely.  So a torn file can be
rewritten without losing a record that was already read.  The magic stands for "version file", an earlier name
for a segment; the file suffix `.versions` has the same origin.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

_MAGIC = b"kbv1"
_HEADER = struct.Struct("<4sQII")  # magic, number, body length, checksum
_LENGTH = struct.Struct("<I")
RECORD_OVERHEAD_BYTES = _LENGTH.size


class SegmentEncoder:
    """Encodes a file's content, one record at a time; `number` is the one in the file's name."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._body: list[bytes] = []
        self._body_length = 0
        self._checksum = _checksum(number, b"")

    def add(self, record: bytes) -> None:
        """Appends a record to the content."""
        self._add_to_body(_LENGTH.pack(len(record)))
        self._add_to_body(record)

    @property
    def length(self) -> int:
        """The length of the complete content in bytes."""
        return _HEADER.size + self._body_length

    def buffers(self) -> list[bytes]:
        """Returns the content as buffers to be written in order."""
        header = _HEADER.pack(_MAGIC, self._number, self._body_length, self._checksum)
        return [header, *self._body]

    def _add_to_body(self, content: bytes) -> None:
        self._body.append(content)
        self._body_length += len(content)
        self._checksum = zlib.crc32(content, self._checksum)


def encode_segment(number: int, records: Iterable[bytes]) -> bytes:
    """Returns the complete content of a file."""
    encoder = SegmentEncoder(number)
    for record in records:
        encoder.add(record)
    return b"".join(encoder.buffers())


def decode_segment(number: int, content: bytes) -> list[bytes] | None:
    """Returns the records of a complete file; None if it is torn or has another number."""
    if len(content) < _HEADER.size:
        return None
    magic, found_number, length, checksum = _HEADER.unpack_from(content)
    body = memoryview(content)[_HEADER.size :]
    if magic != _MAGIC or found_number != number or length != len(body):
        return None
    if checksum != _checksum(number, body):
        return None
    return _split(body)


def _checksum(number: int, body: bytes | memoryview) -> int:
    return zlib.crc32(body, zlib.crc32(number.to_bytes(8, "little")))


def _split(body: memoryview) -> list[bytes]:
    records: list[bytes] = []
    offset = 0
    while offset < len(body):
        (length,) = _LENGTH.unpack_from(body, offset)
        offset += _LENGTH.size
        records.append(bytes(body[offset : offset + length]))
        offset += length
    return records
