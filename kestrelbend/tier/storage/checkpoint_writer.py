"""A large checkpoint, written aside in short steps while versions go on being written.

Invariant: the checkpoint holds the effect of all versions below its number and of none above, since its
records are those of the moment at which the number was the next one.  Until its name lasts, nothing that it
replaces may go; a checkpoint that was begun and not ended is a leftover.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.records import Record, bytes_of
from kestrelbend.tier.storage.segment import SegmentEncoder

CHUNK_BYTES = 1 << 20


class CheckpointWriter:
    """Each `step` makes one record, or writes and syncs one slice."""

    def __init__(
        self, disk: Disk, path: str, number: int, records: Iterable[Record], chunk_bytes: int = CHUNK_BYTES
    ) -> None:
        self.number = number
        self.length = 0
        self.path = path
        self._disk = disk
        self._chunk_bytes = chunk_bytes
        self._records = iter(list(records))
        self._packer = SegmentEncoder(number)
        self._slices: Iterator[bytes | memoryview] | None = None

    def step(self) -> bool:
        """Whether more is to do; once it isn't, the file is whole and synced."""
        if self._slices is None:
            self._make_next()
            return True
        part = next(self._slices, None)
        if part is None:
            return False
        self._disk.append(self.path, part)
        self._disk.sync(self.path)
        return True

    def _make_next(self) -> None:
        record = next(self._records, None)
        if record is not None:
            self._packer.add(bytes_of(record))
            return
        self._disk.write(self.path, b"")
        self.length = self._packer.length
        self._slices = _slices(self._packer.parts(), self._chunk_bytes)


def _slices(parts: Iterable[bytes], size: int) -> Iterator[bytes | memoryview]:
    """The parts in their order, the small ones joined, the large ones cut."""
    small: list[bytes] = []
    for part in parts:
        if len(part) < size:
            small.append(part)
            if sum(map(len, small)) < size:
                continue
        if small:
            yield b"".join(small)
            small = []
        if len(part) >= size:
            view = memoryview(part)
            for begin in range(0, len(part), size):
                yield view[begin : begin + size]
    if small:
        yield b"".join(small)
