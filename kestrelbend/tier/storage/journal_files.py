"""A journal's directory: one file for each segment, and checkpoints that replace all segments before them.

A segment is one group commit.  It is written under its final name to an empty file that was created in
advance, in a batch with one sync of the directory.  So making a segment durable costs one sync, that of its
content.  (Writing it under a temporary name and renaming it would cost two, since a rename is durable only
after a sync of the directory.)  Checkpoints are written under a temporary name, synced and renamed, and then
the directory is synced.

Invariant: records for which `write_segment` or `write_checkpoint` has returned survive any power failure, and
`load` returns no record that a later power failure could remove.  This depends on the following rules:

- Segment n + 1 is written only after segment n was synced.  So only the last segment can be torn; it was
  never acknowledged and may be rewritten.  Content after a torn segment means that the disk is corrupted.  A
  segment whose sync failed is rewritten completely, since the system may have dropped the pages that it
  failed to write.
- A checkpoint's number is that of the first segment that it does not replace.  Older files are removed only
  after its name is durable; if a power failure undoes a removal, the file has a lower number and is ignored.
- A killed process can leave names and content that are only in the page cache.  `load` syncs the directory
  and the last segment before it returns their records.
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
    file_numbers,
    is_obsolete,
    segment_path,
)
from kestrelbend.tier.storage.records import Record
from kestrelbend.tier.storage.segment import decode_segment, encode_segment

FILES_CREATED_PER_BATCH = 64
FILES_REMOVED_PER_STEP = 4
BLOCK_BYTES = 4096


class JournalFiles:
    """Reads and writes the directory; not thread-safe, and `load` must be called first."""

    def __init__(
        self,
        disk: Disk,
        directory: str,
        files_per_batch: int = FILES_CREATED_PER_BATCH,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self._disk = disk
        self._directory = directory
        self._files_per_batch = files_per_batch
        self._chunk_bytes = chunk_bytes
        self._first_segment = 0  # the first segment after the checkpoint
        self._next_segment = 0
        self._created_end = 0  # files with lower numbers exist, and their names are durable
        self._checkpoint_bytes = 0
        self._segment_bytes = 0
        self._replaced_segment_bytes = 0  # size of the segments that the checkpoint in progress replaces
        self._obsolete_paths: list[str] = []  # of files that may be removed

    @property
    def checkpoint_bytes(self) -> int:
        """The disk space that the checkpoint uses."""
        return self._checkpoint_bytes

    @property
    def segment_bytes(self) -> int:
        """The disk space that the segments after the checkpoint use."""
        return self._segment_bytes

    @property
    def segment_count(self) -> int:
        """The number of segments after the checkpoint."""
        return self._next_segment - self._first_segment

    def load(self) -> list[bytes]:
        """Returns the records of the checkpoint and of the segments after it, in order.

        The first sync makes names durable that a killed process may have left in the page cache only.  Raises
        `StorageCorruptedError` or `OSError`.
        """
        self._disk.sync_directory(self._directory)
        names = self._disk.list_directory(self._directory)
        checkpoints = sorted(file_numbers(names, CHECKPOINT_SUFFIX))
        first = checkpoints[-1] if checkpoints else 0
        records = self._load_checkpoint(first) if checkpoints else []
        records += self._load_segments(first, file_numbers(names, SEGMENT_SUFFIX))
        self._obsolete_paths = self._find_obsolete(names, first)
        return records

    def write_segment(self, records: Sequence[bytes]) -> None:
        """Returns once the records are durable; after an `OSError`, retry with at least these records.

        The sync guards against torn or lost content; `_create_files` has already made the name durable.
        """
        if self._next_segment >= self._created_end:
            self._create_files(self._next_segment)
        path = segment_path(self._directory, self._next_segment)
        content = encode_segment(self._next_segment, records)
        self._disk.write(path, content)
        self._disk.sync(path)
        self._next_segment += 1
        self._segment_bytes += allocated_bytes(len(content))

    def write_checkpoint(self, records: Sequence[Record]) -> None:
        """Replaces all segments so far by a checkpoint of these records; returns once it is durable."""
        writer = self.begin_checkpoint(records)
        while writer.step():
            pass
        self.commit_checkpoint(writer)

    def begin_checkpoint(self, records: Sequence[Record]) -> CheckpointWriter:
        """Returns a writer for a checkpoint of all segments so far; segments may follow between its steps."""
        path = checkpoint_path(self._directory, self._next_segment) + TEMPORARY_SUFFIX
        self._replaced_segment_bytes = self._segment_bytes
        # An abandoned checkpoint of the same number is overwritten, so `maintain` must not remove the file.
        self._obsolete_paths = [obsolete for obsolete in self._obsolete_paths if obsolete != path]
        return CheckpointWriter(self._disk, path, self._next_segment, records, self._chunk_bytes)

    def commit_checkpoint(self, writer: CheckpointWriter) -> None:
        """Renames a complete checkpoint to its final name; returns once the name is durable.

        The directory is synced before any removal.  Otherwise a power failure could keep the removal of the
        segments and lose the name of the checkpoint that replaces them.
        """
        self._disk.rename(writer.path, writer.path.removesuffix(TEMPORARY_SUFFIX))
        self._disk.sync_directory(self._directory)
        self._obsolete_paths = self._find_obsolete(self._disk.list_directory(self._directory), writer.number)
        self._first_segment = writer.number
        self._checkpoint_bytes = allocated_bytes(writer.length)
        self._segment_bytes -= self._replaced_segment_bytes

    def maintain(self) -> bool:
        """Creates files in advance, removes some obsolete files; returns whether more are to be removed.

        One call is short, so that it delays segments only briefly.  It may be repeated after an `OSError`.
        """
        if self._created_end - self._next_segment <= self._files_per_batch // 4:
            self._create_files(self._created_end)
        for path in self._obsolete_paths[:FILES_REMOVED_PER_STEP]:
            self._disk.remove(path)
        del self._obsolete_paths[:FILES_REMOVED_PER_STEP]
        return bool(self._obsolete_paths)

    def _load_checkpoint(self, number: int) -> list[bytes]:
        path = checkpoint_path(self._directory, number)
        content = self._disk.read(path)
        records = decode_segment(number, content)
        if records is None:
            raise StorageCorruptedError(StorageCode.CHECKPOINT_DAMAGED, path)
        self._checkpoint_bytes = allocated_bytes(len(content))
        return records

    def _load_segments(self, first: int, numbers: set[int]) -> list[bytes]:
        """Returns the records of the segments from `first` up to the first that is missing, empty or torn."""
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
        self._check_no_later_segments(number, numbers)
        if number > first:  # a killed process may have written the last segment without syncing it
            self._disk.sync(segment_path(self._directory, number - 1))
        self._first_segment = first
        self._next_segment = number
        self._created_end = number
        return records

    def _check_no_later_segments(self, end: int, numbers: set[int]) -> None:
        for number in numbers:
            if number > end and self._disk.read(segment_path(self._directory, number)):
                raise StorageCorruptedError(StorageCode.SEGMENT_GAP, segment_path(self._directory, end))

    def _create_files(self, start: int) -> None:
        """Creates a batch of empty files from `start` on; some may exist from an earlier run or call.

        The directory sync guards against a segment whose content was synced but whose name is lost.
        """
        until = start + self._files_per_batch
        for number in range(start, until):
            self._disk.create(segment_path(self._directory, number))
        self._disk.sync_directory(self._directory)
        self._created_end = until

    def _find_obsolete(self, names: list[str], first: int) -> list[str]:
        return [f"{self._directory}/{name}" for name in names if is_obsolete(name, first)]


def allocated_bytes(length: int) -> int:
    """Returns the disk space that a file of this length uses, in whole blocks."""
    return -(-length // BLOCK_BYTES) * BLOCK_BYTES
