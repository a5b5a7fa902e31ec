"""`Disk` on the operating system's files."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator

_OWNER_ONLY = 0o600


class OsDisk:
    """Each operation is a few system calls; all of them release the interpreter's lock.

    The operations raise `OSError` as the system gives it; see `disk.Disk` for what each promises.
    """

    def make_directory(self, path: str) -> None:
        """Creates the directory and those above it."""
        os.makedirs(path, exist_ok=True)

    def list_directory(self, path: str) -> list[str]:
        """The names in a directory, in no order."""
        return os.listdir(path)

    def read(self, path: str) -> bytes:
        """The complete content."""
        with open(path, "rb", buffering=0) as file:
            return file.read()

    def create(self, path: str) -> None:
        """Creates an empty file, or leaves the one that exists."""
        with _opened(path, os.O_WRONLY | os.O_CREAT):
            pass

    def write(self, path: str, content: bytes) -> None:
        """Replaces the complete content; torn by a loss of power until `sync` has returned."""
        with _opened(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as descriptor:
            _write_all(descriptor, content)

    def append(self, path: str, content: bytes | memoryview) -> None:
        """Adds to the end; torn by a loss of power until `sync` has returned."""
        with _opened(path, os.O_WRONLY | os.O_APPEND) as descriptor:
            _write_all(descriptor, content)

    def sync(self, path: str) -> None:
        """Makes the file's content durable."""
        with _opened(path, os.O_WRONLY) as descriptor:
            os.fsync(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Gives a file another name; a loss of power may undo it until `sync_directory` has returned."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Removes a file; a loss of power may undo it until `sync_directory` has returned."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    def sync_directory(self, path: str) -> None:
        """Makes the directory's names durable."""
        with _opened(path, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)


@contextlib.contextmanager
def _opened(path: str, flags: int) -> Iterator[int]:
    """A descriptor, closed at the end; a file that is created is its owner's alone."""
    descriptor = os.open(path, flags | os.O_CLOEXEC, _OWNER_ONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, content: bytes | memoryview) -> None:
    """Writes all of the content; the system may take only a part at each call."""
    remaining = memoryview(content)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
