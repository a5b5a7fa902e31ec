"""Interface of the file operations that a journal needs; tests substitute a disk that simulates failures.

Durability: a file's content is durable once `sync` of that file has returned, and a file's creation,
renaming or removal is durable once `sync_directory` of its directory has returned.  Until then a power
failure may keep or lose each change independently, and may leave any part of a file's content (a torn write).
"""

from __future__ import annotations

from typing import Protocol


class Disk(Protocol):
    """All paths are absolute.  Every operation but `read` and `list_directory` may raise `OSError`."""

    def make_directory(self, path: str) -> None:
        """Creates the directory and its missing parents."""

    def list_directory(self, path: str) -> list[str]:
        """Returns the names in a directory, in no particular order."""

    def read(self, path: str) -> bytes:
        """Returns the complete content; raises `FileNotFoundError` if there is no such file."""

    def create(self, path: str) -> None:
        """Creates an empty file; an existing file is left unchanged."""

    def write(self, path: str, content: bytes) -> None:
        """Replaces a file's complete content; creates the file if it is missing."""

    def append(self, path: str, content: bytes | memoryview) -> None:
        """Appends to an existing file."""

    def sync(self, path: str) -> None:
        """Returns once the file's content is durable."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file named `new`."""

    def remove(self, path: str) -> None:
        """Removes a file; a missing file is not an error."""

    def sync_directory(self, path: str) -> None:
        """Returns once all creations, renamings and removals in the directory are durable."""
