"""A journal's folder: one file for each version, and checkpoints that replace all versions before them.

A version is one group commit.  It is written under its final name in a file of its own, whose empty file was
made beforehand, many at once, with one sync of the folder for all of them.  So a version lasts with one sync,
that of its content.  (Writing it aside and renaming it would cost two: a rename lasts only with its folder's
sync.)  Checkpoints are written aside, synced, renamed, and their folder is synced.

Invariant: what `write_segment` or `write_checkpoint` has returned for is there after any loss of power, and
`load` returns nothing that a later loss of power could take away.  It rests on these steps:

- Version n + 1 is written only after version n was synced.  So a version that is not whole is the last one,
  was never acknowledged, and may be written anew; content behind it is a broken invariant.  A version whose
  sync failed is written anew as well, whole, since the system may have dropped what it did not bring to disk.
- A checkpoint's number is that of the first version that it does not hold.  Older files go only after its
  name lasts; those that a loss of power brings back lie below its number and are ignored.
- A process that was killed leaves names and content that are in the machine's memory alone.  `load` syncs
  the folder and the last version before it gives them out.
"""

from __future__ import annotations

from kestrelbend.tier.storage.checkpoint_writer import CHUNK_BYTES, CheckpointWriter
from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.errors import StorageCode, StorageCorruptedError
from kestrelbend.tier.storage.records import Record
from kestrelbend.tier.storage.segment import encode_segment, decode_segment

SEGMENT_SUFFIX = ".versions"
CHECKPOINT_SUFFIX = ".checkpoint"
ASIDE_SUFFIX = ".new"
FILES_CREATED_AT_ONCE = 64
FILES_REMOVED_AT_ONCE = 4
BLOCK_BYTES = 4096


class JournalFiles:
    """Reads and writes the folder; one user at a time, which calls `load` first."""

    def __init__(
        self,
        disk: Disk,
        folder: str,
        files_at_once: int = FILES_CREATED_AT_ONCE,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self._chunk_bytes = chunk_bytes
        self._disk = disk
        self._directory = folder
        self._files_at_once = files_at_once
        self._next_number = 0
        self._created_until = 0  # the files of numbers below are there, and their names last
        self._first_number = 0  # the oldest version that is kept
        self._checkpoint_bytes = 0
        self._segment_bytes = 0
        self._segment_bytes_before = 0  # of the versions that the checkpoint under way replaces
        self._replaced: list[str] = []  # paths that may go

    @property
    def checkpoint_bytes(self) -> int:
        """What the checkpoint takes of the disk."""
        return self._checkpoint_bytes

    @property
    def segment_bytes(self) -> int:
        """What the versions after the checkpoint take of the disk."""
        return self._segment_bytes

    @property
    def segment_count(self) -> int:
        """The versions after the checkpoint."""
        return self._next_number - self._first_number

    def load(self) -> list[bytes]:
        """The checkpoint's records and those after it, in order; raises `StorageCorruptedError`."""
        self._disk.sync_directory(self._directory)
        names = self._disk.list_directory(self._directory)
        checkpoints = sorted(_numbers(names, CHECKPOINT_SUFFIX))
        first = checkpoints[-1] if checkpoints else 0
        records = self._load_checkpoint(first) if checkpoints else []
        records += self._load_segments(first, _numbers(names, SEGMENT_SUFFIX))
        self._replaced = self._obsolete_paths(names, first)
        return records

    def write_segment(self, records: list[bytes]) -> None:
        """Returns once the records last; after an `OSError` it is called again, with at least these."""
        if self._next_number >= self._created_until:
            self._create_files(self._next_number)
        path = self._path(self._next_number, SEGMENT_SUFFIX)
        content = encode_segment(self._next_number, records)
        self._disk.write(path, content)
        self._disk.sync(path)
        self._next_number += 1
        self._segment_bytes += allocated_bytes(len(content))

    def write_checkpoint(self, records: list[bytes]) -> None:
        """Puts these records in place of all versions so far; returns once this lasts."""
        writer = self.begin_checkpoint(records)
        while writer.step():
            pass
        self.end_checkpoint(writer)

    def begin_checkpoint(self, records: list[Record]) -> CheckpointWriter:
        """A checkpoint that will replace all versions so far, written in steps between later versions."""
        path = self._path(self._next_number, CHECKPOINT_SUFFIX) + ASIDE_SUFFIX
        self._segment_bytes_before = self._segment_bytes
        self._replaced = [replaced for replaced in self._replaced if replaced != path]
        return CheckpointWriter(self._disk, path, self._next_number, records, self._chunk_bytes)

    def end_checkpoint(self, writer: CheckpointWriter) -> None:
        """Gives a checkpoint that is whole its name, and returns once that lasts."""
        self._disk.rename(writer.path, writer.path.removesuffix(ASIDE_SUFFIX))
        self._disk.sync_directory(self._directory)
        self._replaced = self._obsolete_paths(self._disk.list_directory(self._directory), writer.number)
        self._first_number = writer.number
        self._checkpoint_bytes = allocated_bytes(writer.length)
        self._segment_bytes -= self._segment_bytes_before

    def maintain(self) -> bool:
        """A step of what can wait: makes files ahead, removes what is replaced; whether more is to do.

        A step is short, so that versions don't wait behind it for long.  An `OSError` harms nothing.
        """
        if self._created_until - self._next_number <= self._files_at_once // 4:
            self._create_files(self._created_until)
        for path in self._replaced[:FILES_REMOVED_AT_ONCE]:
            self._disk.remove(path)
        del self._replaced[:FILES_REMOVED_AT_ONCE]
        return bool(self._replaced)

    def _load_checkpoint(self, number: int) -> list[bytes]:
        path = self._path(number, CHECKPOINT_SUFFIX)
        content = self._disk.read(path)
        records = decode_segment(number, content)
        if records is None:
            raise StorageCorruptedError(StorageCode.CHECKPOINT_DAMAGED, path)
        self._checkpoint_bytes = allocated_bytes(len(content))
        return records

    def _load_segments(self, first: int, numbers: set[int]) -> list[bytes]:
        records: list[bytes] = []
        number = first
        while number in numbers:
            content = self._disk.read(self._path(number, SEGMENT_SUFFIX))
            version = decode_segment(number, content)
            if version is None:
                break
            records += version
            self._segment_bytes += allocated_bytes(len(content))
            number += 1
        self._check_nothing_follows(number, numbers)
        if number > first:
            self._disk.sync(self._path(number - 1, SEGMENT_SUFFIX))
        self._first_number = first
        self._next_number = number
        self._created_until = number
        return records

    def _check_nothing_follows(self, end: int, numbers: set[int]) -> None:
        for number in numbers:
            path = self._path(number, SEGMENT_SUFFIX)
            if number > end and self._disk.read(path):
                raise StorageCorruptedError(StorageCode.HOLE, self._path(end, SEGMENT_SUFFIX))

    def _create_files(self, start: int) -> None:
        """Makes the files from `start` on; some may be there, of an earlier run or call."""
        until = start + self._files_at_once
        for number in range(start, until):
            self._disk.create(self._path(number, SEGMENT_SUFFIX))
        self._disk.sync_directory(self._directory)
        self._created_until = until

    def _obsolete_paths(self, names: list[str], first: int) -> list[str]:
        """What is older than the version `first`, or was left aside."""
        old = (name for name in names if name.endswith(ASIDE_SUFFIX) or _number(name, first) < first)
        return [f"{self._directory}/{name}" for name in old]

    def _path(self, number: int, suffix: str) -> str:
        return f"{self._directory}/{number:012d}{suffix}"


def allocated_bytes(length: int) -> int:
    """The bytes that a file of this length takes of a disk, whole blocks."""
    return -(-length // BLOCK_BYTES) * BLOCK_BYTES


def _numbers(names: list[str], suffix: str) -> set[int]:
    stems = (name.removesuffix(suffix) for name in names if name.endswith(suffix))
    return {int(stem) for stem in stems if stem.isdigit()}


def _number(name: str, other: int) -> int:
    stem = name.partition(".")[0]
    return int(stem) if stem.isdigit() else other
