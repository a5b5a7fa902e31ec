"""The content of a file of versions: a header with a checksum, then records.

A file counts as a whole or not at all, so a torn file can be written anew without losing a record that
somebody has read.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

_MAGIC = b"kbv1"
_HEADER = struct.Struct("<4sQII")  # magic, number, bytes of the body, checksum
_LENGTH = struct.Struct("<I")


class SegmentEncoder:
    """A file's content, a record at a time; `number` is the file's own, so no file passes for another."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._parts: list[bytes] = []
        self._body_length = 0
        self._checksum = _checksum(number, b"")

    def add(self, record: bytes) -> None:
        """Adds the next record."""
        for part in (_LENGTH.pack(len(record)), record):
            self._parts.append(part)
            self._body_length += len(part)
            self._checksum = zlib.crc32(part, self._checksum)

    @property
    def length(self) -> int:
        """The length of the whole content."""
        return _HEADER.size + self._body_length

    def parts(self) -> list[bytes]:
        """The content, to be written one part after the other."""
        header = _HEADER.pack(_MAGIC, self._number, self._body_length, self._checksum)
        return [header, *self._parts]


def encode_segment(number: int, records: Iterable[bytes]) -> bytes:
    """A file's content at once."""
    packer = SegmentEncoder(number)
    for record in records:
        packer.add(record)
    return b"".join(packer.parts())


def decode_segment(number: int, content: bytes) -> list[bytes] | None:
    """The records of a whole file, None for one that is torn."""
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
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(bytes(body[position : position + length]))
        position += length
    return records
