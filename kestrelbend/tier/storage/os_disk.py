"""Implementation of `Disk` on the operating system's files."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator

_OWNER_ONLY = 0o600


class OsDisk:
    """Each operation is a few system calls, all of which release the GIL.

    `OSError` is passed on from the operating system; see `disk.Disk` for the contract of each operation.
    """

    def make_directory(self, path: str) -> None:
        """Creates the directory and its missing parents."""
        os.makedirs(path, exist_ok=True)

    def list_directory(self, path: str) -> list[str]:
        """Returns the names in a directory, in no particular order."""
        return os.listdir(path)

    def read(self, path: str) -> bytes:
        """Returns the complete content."""
        with open(path, "rb", buffering=0) as file:
            return file.read()

    def create(self, path: str) -> None:
        """Creates an empty file; leaves an existing file unchanged."""
        with _open_descriptor(path, os.O_WRONLY | os.O_CREAT):
            pass

    def write(self, path: str, content: bytes) -> None:
        """Replaces the complete content; a power failure may leave a torn write until `sync` has returned."""
        with _open_descriptor(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as descriptor:
            _write_all(descriptor, content)

    def append(self, path: str, content: bytes | memoryview) -> None:
        """Appends to the file; a power failure may leave a torn write until `sync` has returned."""
        with _open_descriptor(path, os.O_WRONLY | os.O_APPEND) as descriptor:
            _write_all(descriptor, content)

    def sync(self, path: str) -> None:
        """Makes the file's content durable."""
        with _open_descriptor(path, os.O_WRONLY) as descriptor:
            os.fsync(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Renames a file; a power failure may undo it until `sync_directory` has returned."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Removes a file; a power failure may undo it until `sync_directory` has returned."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    def sync_directory(self, path: str) -> None:
        """Makes creations, renamings and removals in the directory durable."""
        with _open_descriptor(path, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)


@contextlib.contextmanager
def _open_descriptor(path: str, flags: int) -> Iterator[int]:
    """Yields a file descriptor and closes it afterwards; a new file is accessible to its owner only."""
    descriptor = os.open(path, flags | os.O_CLOEXEC, _OWNER_ONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, content: bytes | memoryview) -> None:
    """Writes all of the content; each system call may write only a part of it."""
    remaining = memoryview(content)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
