"""The file operations that a journal needs, as a port: tests put a disk that loses things in its place.

What a disk promises: a file's content is durable once `sync` of that file has returned, and a file's
creation, renaming or removal is durable once `sync_directory` of its directory has returned.  Without these,
a loss of power may keep or lose each of them, independently, and may leave any part of a file's content (a
torn write).
"""

from __future__ import annotations

from typing import Protocol


class Disk(Protocol):
    """All paths are absolute.  Every operation but `read` and `list_directory` may raise `OSError`."""

    def make_directory(self, path: str) -> None:
        """Creates the directory, and those above it, where they are missing."""

    def list_directory(self, path: str) -> list[str]:
        """The names in a directory, in no order."""

    def read(self, path: str) -> bytes:
        """The complete content; `FileNotFoundError` where there is no such file."""

    def create(self, path: str) -> None:
        """Creates an empty file; one that exists already is left as it is."""

    def write(self, path: str, content: bytes) -> None:
        """Replaces a file's complete content, creating the file where it is missing."""

    def append(self, path: str, content: bytes | memoryview) -> None:
        """Adds to the end of a file that exists."""

    def sync(self, path: str) -> None:
        """Returns once the file's content is durable."""

    def rename(self, old: str, new: str) -> None:
        """Gives a file another name, replacing the file that had it."""

    def remove(self, path: str) -> None:
        """Removes a file; a missing one is no error."""

    def sync_directory(self, path: str) -> None:
        """Returns once all that was created, renamed or removed in the directory is durable."""
