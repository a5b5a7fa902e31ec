"""A `Disk` in memory that loses what was not synced, tears files, fills up, and fails at a chosen step."""

from __future__ import annotations

import copy
import errno
import itertools
from collections.abc import Callable, Iterator

import attrs


class PowerLoss(Exception):
    """The machine went away in the middle of an operation."""


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
    """One name goes, one comes."""

    removed: str | None
    put: str | None
    file: _File | None

    def apply(self, directory: _Directory) -> None:
        if self.removed is not None:
            directory.pop(self.removed, None)
        if self.put is not None:
            directory[self.put] = self.file


class MemoryDisk:
    """Paths are plain keys.  `fail_at` counts operations down to the one that is cut short."""

    def __init__(self, files: _Directory | None = None) -> None:
        self.files: _Directory = files or {}
        self.durable: _Directory = dict(self.files)
        self.changes: list[_Change] = []  # of names, since the directory's last sync
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
            self._step()
            self._change(_Change(None, path, _File()))

    def write(self, path: str, content: bytes) -> None:
        self.create(path)
        file = self.files[path]
        file.content = content[: len(content) // 2]
        self._step()
        file.content = content
        self.longest_write = max(self.longest_write, len(content))

    def append(self, path: str, content: bytes) -> None:
        file = self.files[path]
        before = file.content
        file.content = before + bytes(content[: len(content) // 2])
        self._step()
        file.content = before + bytes(content)
        self.longest_write = max(self.longest_write, len(content))

    def sync(self, path: str) -> None:
        self._step()
        self.files[path].synced = self.files[path].content

    def rename(self, old: str, new: str) -> None:
        self._step()
        self._change(_Change(old, new, self.files[old]))

    def remove(self, path: str) -> None:
        self._step()
        self._change(_Change(path, None, None))

    def sync_directory(self, path: str) -> None:
        self._step()
        self.durable = dict(self.files)
        self.changes.clear()

    def after_process_kill(self) -> MemoryDisk:
        """What a process finds whose machine went on: all that was done, durable or not."""
        return copy.deepcopy(self)

    def after_power_loss(self) -> Iterator[MemoryDisk]:
        """Each disk that a loss of power may leave."""
        for kept in itertools.product((False, True), repeat=len(self.changes)):
            directory = dict(self.durable)
            for change in itertools.compress(self.changes, kept):
                change.apply(directory)
            contents = [file.possible_contents() for file in directory.values()]
            for left in itertools.product(*contents):
                yield MemoryDisk({name: _File(one) for name, one in zip(directory, left, strict=True)})

    def _change(self, change: _Change) -> None:
        change.apply(self.files)
        self.changes.append(change)

    def _step(self) -> None:
        self.fail_at -= 1
        if self.fail_at == -1:
            raise self.failure()


def disk_full() -> OSError:
    return OSError(errno.ENOSPC, "no space left")
