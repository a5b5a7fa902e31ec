"""An in-memory `Disk` that loses unsynced changes, leaves torn files, and fails at a chosen operation."""

from __future__ import annotations

import copy
import errno
import itertools
from collections.abc import Callable, Iterator

import attrs


class PowerLoss(Exception):
    """The machine lost power in the middle of an operation."""


class _File:
    def __init__(self, content: bytes = b"") -> None:
        self.content = content
        self.synced = content

    def possible_contents(self) -> list[bytes]:
        if self.synced == self.content:
            return [self.content]
        torn = self.content[: len(self.content) // 2]
        return list(dict.fromkeys([self.synced, b"", torn, self.content]))


_Directory = dict[str, _File]


@attrs.frozen
class _Change:
    """A change of directory entries: the name that is removed, and the name and file that are added."""

    removed: str | None
    added: str | None
    file: _File | None

    def apply(self, directory: _Directory) -> None:
        if self.removed is not None:
            directory.pop(self.removed, None)
        if self.added is not None:
            directory[self.added] = self.file


class MemoryDisk:
    """Paths are plain keys.  `fail_at` counts down the operations before the one that raises `failure`."""

    def __init__(self, files: _Directory | None = None) -> None:
        self.files: _Directory = files or {}
        self.durable: _Directory = dict(self.files)
        self.changes: list[_Change] = []  # changes of directory entries since the last directory sync
        self.longest_write = 0
        self.fail_at = -1
        self.failure: Callable[[], Exception] = PowerLoss

    def make_directory(self, path: str) -> None:
        pass

    def list_directory(self, path: str) -> list[str]:
        return list(dict.fromkeys(name[len(path) + 1 :].split("/")[0] for name in self.files))

    def read(self, path: str) -> bytes:
        return self.files[path].content

    def create(self, path: str) -> None:
        if path not in self.files:
            self._count_operation()
            self._change(_Change(None, path, _File()))

    def write(self, path: str, content: bytes) -> None:
        self.create(path)
        file = self.files[path]
        file.content = content[: len(content) // 2]
        self._count_operation()
        file.content = content
        self.longest_write = max(self.longest_write, len(content))

    def append(self, path: str, content: bytes) -> None:
        file = self.files[path]
        before = file.content
        file.content = before + bytes(content[: len(content) // 2])
        self._count_operation()
        file.content = before + bytes(content)
        self.longest_write = max(self.longest_write, len(content))

    def sync(self, path: str) -> None:
        self._count_operation()
        self.files[path].synced = self.files[path].content

    def rename(self, old: str, new: str) -> None:
        self._count_operation()
        self._change(_Change(old, new, self.files[old]))

    def remove(self, path: str) -> None:
        self._count_operation()
        self._change(_Change(path, None, None))

    def sync_directory(self, path: str) -> None:
        self._count_operation()
        self.durable = dict(self.files)
        self.changes.clear()

    def after_process_kill(self) -> MemoryDisk:
        """Returns the disk after a process kill: all changes are kept, durable or not."""
        return copy.deepcopy(self)

    def after_power_loss(self) -> Iterator[MemoryDisk]:
        """Yields every disk that a power failure may leave."""
        for kept in itertools.product((False, True), repeat=len(self.changes)):
            directory = dict(self.durable)
            for change in itertools.compress(self.changes, kept):
                change.apply(directory)
            contents = [file.possible_contents() for file in directory.values()]
            for remaining in itertools.product(*contents):
                yield MemoryDisk(
                    {
                        name: _File(file_content)
                        for name, file_content in zip(directory, remaining, strict=True)
                    }
                )

    def _change(self, change: _Change) -> None:
        change.apply(self.files)
        self.changes.append(change)

    def _count_operation(self) -> None:
        self.fail_at -= 1
        if self.fail_at == -1:
            raise self.failure()


def disk_full() -> OSError:
    return OSError(errno.ENOSPC, "no space left")
