"""Writes a checkpoint under a temporary name in short steps, while segments are written in between.

Invariant: a checkpoint holds the effect of all segments with a number below its own and of no others, since
its records were captured when its number was the next segment's.  Until its final name is durable, nothing
that it replaces may be removed.  An unfinished checkpoint is obsolete and is removed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.records import Record, record_bytes
from kestrelbend.tier.storage.segment import SegmentEncoder

CHUNK_BYTES = 1 << 20


class CheckpointWriter:
    """Each `step` encodes one record, or writes and syncs one chunk."""

    def __init__(
        self, disk: Disk, path: str, number: int, records: Iterable[Record], chunk_bytes: int = CHUNK_BYTES
    ) -> None:
        self.number = number
        self.length = 0
        self.path = path
        self._disk = disk
        self._chunk_bytes = chunk_bytes
        self._records = iter(list(records))
        self._encoder = SegmentEncoder(number)
        self._chunks: Iterator[bytes | memoryview] | None = None  # set once all records are encoded

    def step(self) -> bool:
        """Returns whether steps remain; once none do, the file is complete and synced.  Raises `OSError`.

        Each chunk is synced separately, since one sync of the whole file would delay the syncs of segments.
        """
        if self._chunks is None:
            self._encode_next()
            return True
        chunk = next(self._chunks, None)
        if chunk is None:
            return False
        self._disk.append(self.path, chunk)
        self._disk.sync(self.path)
        return True

    def _encode_next(self) -> None:
        record = next(self._records, None)
        if record is not None:
            self._encoder.add(record_bytes(record))
            return
        self._disk.write(self.path, b"")
        self.length = self._encoder.length
        self._chunks = _split_into_chunks(self._encoder.buffers(), self._chunk_bytes)


def _split_into_chunks(buffers: Iterable[bytes], size: int) -> Iterator[bytes | memoryview]:
    """Yields the buffers in order, with small ones joined and large ones split."""
    small: list[bytes] = []
    for buffer in buffers:
        if len(buffer) < size:
            small.append(buffer)
            if sum(map(len, small)) < size:
                continue
        if small:
            yield b"".join(small)
            small = []
        if len(buffer) >= size:
            view = memoryview(buffer)
            for begin in range(0, len(buffer), size):
                yield view[begin : begin + size]
    if small:
        yield b"".join(small)
