"""A journal's directory: one file for each segment, and checkpoints that replace all segments before them.

A segment is one group commit.  It is written under its final name in a file of its own, whose empty file was
created beforehand, many at once, with one sync of the directory for all of them.  So a segment is durable
with one sync, that of its content.  (Writing it under a temporary name and renaming it would cost two: a
rename is durable only with its directory's sync.)  Checkpoints are written under a temporary name, synced,
renamed, and their directory is synced.

Invariant: what `write_segment` or `write_checkpoint` has returned for is there after any loss of power, and
`load` returns nothing that a later loss of power could take away.  It rests on these steps:

- Segment n + 1 is written only after segment n was synced.  So a segment that is torn is the last one, was
  never acknowledged, and may be written anew; content behind it is a broken invariant.  A segment whose sync
  failed is written anew as well, completely, since the system may have dropped what it did not bring to the
  disk.
- A checkpoint's number is that of the first segment that it does not hold.  Older files are removed only
  after its name is durable; those that a loss of power brings back lie below its number and are ignored.
- A process that was killed leaves names and content that are in the machine's memory alone.  `load` syncs the
  directory and the last segment before it gives them out.
"""

from __future__ import annotations

from collections.abc import Sequence

from kestrelbend.tier.storage.checkpoint_writer import CHUNK_BYTES, CheckpointWriter
from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.errors import StorageCode, StorageCorruptedError
from kestrelbend.tier.storage.journal_names import (
    CHECKPOINT_SUFFIX,
    SEGMENT_SUFFIX,
    TEMPORARY_SUFFIX,
    checkpoint_path,
    is_obsolete,
    numbers_of,
    segment_path,
)
from kestrelbend.tier.storage.records import Record
from kestrelbend.tier.storage.segment import decode_segment, encode_segment

FILES_CREATED_AT_ONCE = 64
FILES_REMOVED_AT_ONCE = 4
BLOCK_BYTES = 4096


class JournalFiles:
    """Reads and writes the directory; one user at a time, which calls `load` first."""

    def __init__(
        self,
        disk: Disk,
        directory: str,
        files_at_once: int = FILES_CREATED_AT_ONCE,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self._disk = disk
        self._directory = directory
        self._files_at_once = files_at_once
        self._chunk_bytes = chunk_bytes
        self._first_number = 0  # the oldest segment that is kept
        self._next_number = 0
        self._created_until = 0  # the files of numbers below exist, and their names are durable
        self._checkpoint_bytes = 0
        self._segment_bytes = 0
        self._segment_bytes_before = 0  # of the segments that the checkpoint under way replaces
        self._obsolete: list[str] = []  # paths that may be removed

    @property
    def checkpoint_bytes(self) -> int:
        """What the checkpoint takes of the disk."""
        return self._checkpoint_bytes

    @property
    def segment_bytes(self) -> int:
        """What the segments after the checkpoint take of the disk."""
        return self._segment_bytes

    @property
    def segment_count(self) -> int:
        """The segments after the checkpoint."""
        return self._next_number - self._first_number

    def load(self) -> list[bytes]:
        """The checkpoint's records and those after it, in order; raises `StorageCorruptedError`, `OSError`.

        The first sync guards against a process that was killed: names that it left may be in memory alone.
        """
        self._disk.sync_directory(self._directory)
        names = self._disk.list_directory(self._directory)
        checkpoints = sorted(numbers_of(names, CHECKPOINT_SUFFIX))
        first = checkpoints[-1] if checkpoints else 0
        records = self._load_checkpoint(first) if checkpoints else []
        records += self._load_segments(first, numbers_of(names, SEGMENT_SUFFIX))
        self._obsolete = self._obsolete_paths(names, first)
        return records

    def write_segment(self, records: Sequence[bytes]) -> None:
        """Returns once the records are durable; after an `OSError` it is called again, with at least these.

        The sync guards against a torn or lost content; that of the name was done by `_create_files`.
        """
        if self._next_number >= self._created_until:
            self._create_files(self._next_number)
        path = segment_path(self._directory, self._next_number)
        content = encode_segment(self._next_number, records)
        self._disk.write(path, content)
        self._disk.sync(path)
        self._next_number += 1
        self._segment_bytes += allocated_bytes(len(content))

    def write_checkpoint(self, records: Sequence[Record]) -> None:
        """Puts these records in place of all segments so far; returns once this is durable."""
        writer = self.begin_checkpoint(records)
        while writer.step():
            pass
        self.end_checkpoint(writer)

    def begin_checkpoint(self, records: Sequence[Record]) -> CheckpointWriter:
        """A checkpoint that will replace all segments so far, written in steps between later segments."""
        path = checkpoint_path(self._directory, self._next_number) + TEMPORARY_SUFFIX
        self._segment_bytes_before = self._segment_bytes
        # One of the same number that was given up is written anew, so maintenance must not remove it.
        self._obsolete = [obsolete for obsolete in self._obsolete if obsolete != path]
        return CheckpointWriter(self._disk, path, self._next_number, records, self._chunk_bytes)

    def end_checkpoint(self, writer: CheckpointWriter) -> None:
        """Gives a complete checkpoint its name, and returns once that is durable.

        The directory's sync comes before any removal: else a loss of power could keep the removal of the
        segments and lose the name of what replaces them.
        """
        self._disk.rename(writer.path, writer.path.removesuffix(TEMPORARY_SUFFIX))
        self._disk.sync_directory(self._directory)
        self._obsolete = self._obsolete_paths(self._disk.list_directory(self._directory), writer.number)
        self._first_number = writer.number
        self._checkpoint_bytes = allocated_bytes(writer.length)
        self._segment_bytes -= self._segment_bytes_before

    def maintain(self) -> bool:
        """A step of what can wait: creates files ahead, removes obsolete ones; whether more is to do.

        A step is short, so that segments don't wait behind it for long.  An `OSError` harms nothing.
        """
        if self._created_until - self._next_number <= self._files_at_once // 4:
            self._create_files(self._created_until)
        for path in self._obsolete[:FILES_REMOVED_AT_ONCE]:
            self._disk.remove(path)
        del self._obsolete[:FILES_REMOVED_AT_ONCE]
        return bool(self._obsolete)

    def _load_checkpoint(self, number: int) -> list[bytes]:
        path = checkpoint_path(self._directory, number)
        content = self._disk.read(path)
        records = decode_segment(number, content)
        if records is None:
            raise StorageCorruptedError(StorageCode.CHECKPOINT_DAMAGED, path)
        self._checkpoint_bytes = allocated_bytes(len(content))
        return records

    def _load_segments(self, first: int, numbers: set[int]) -> list[bytes]:
        """The records of the segments from `first` on, up to the first that is missing, empty or torn."""
        records: list[bytes] = []
        number = first
        while number in numbers:
            content = self._disk.read(segment_path(self._directory, number))
            segment = decode_segment(number, content)
            if segment is None:
                break
            records += segment
            self._segment_bytes += allocated_bytes(len(content))
            number += 1
        self._check_nothing_follows(number, numbers)
        if number > first:  # a killed process may have written the last one and not synced it
            self._disk.sync(segment_path(self._directory, number - 1))
        self._first_number = first
        self._next_number = number
        self._created_until = number
        return records

    def _check_nothing_follows(self, end: int, numbers: set[int]) -> None:
        for number in numbers:
            if number > end and self._disk.read(segment_path(self._directory, number)):
                raise StorageCorruptedError(StorageCode.HOLE, segment_path(self._directory, end))

    def _create_files(self, start: int) -> None:
        """Creates the files from `start` on; some may be there, of an earlier run or call.

        The directory's sync guards against a segment whose content was synced and whose name is lost.
        """
        until = start + self._files_at_once
        for number in range(start, until):
            self._disk.create(segment_path(self._directory, number))
        self._disk.sync_directory(self._directory)
        self._created_until = until

    def _obsolete_paths(self, names: list[str], first: int) -> list[str]:
        return [f"{self._directory}/{name}" for name in names if is_obsolete(name, first)]


def allocated_bytes(length: int) -> int:
    """The bytes that a file of this length takes of a disk: complete blocks."""
    return -(-length // BLOCK_BYTES) * BLOCK_BYTES
