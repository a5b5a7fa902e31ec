"""The file operations that a journal needs, so that tests can put a disk that loses things in their place.

What a disk promises: a file's content lasts once `sync` of that file has returned, and a file's making,
renaming or removal lasts once `sync_directory` of its directory has returned.  Without these, a loss of power
may keep or lose each of them, independently, and may leave any part of a file's content.
"""

from __future__ import annotations

from typing import Protocol


class Disk(Protocol):
    """All paths are whole paths.  Every operation but `read` and `list_directory` may raise `OSError`."""

    def make_directory(self, path: str) -> None:
        """Makes the folder, and those above it, where they are missing."""

    def list_directory(self, path: str) -> list[str]:
        """The names in a folder, in no order."""

    def read(self, path: str) -> bytes:
        """The whole content; `FileNotFoundError` where there is none."""

    def create(self, path: str) -> None:
        """Makes an empty file; one that stands already is left as it is."""

    def write(self, path: str, content: bytes) -> None:
        """Replaces a file's whole content, making the file where it is missing."""

    def append(self, path: str, content: bytes | memoryview) -> None:
        """Adds to the end of a file that is there."""

    def sync(self, path: str) -> None:
        """Returns once the file's content lasts."""

    def rename(self, old: str, new: str) -> None:
        """Gives a file another name, replacing the file that had it."""

    def remove(self, path: str) -> None:
        """Removes a file; none there is no error."""

    def sync_directory(self, path: str) -> None:
        """Returns once all that was made, renamed or removed in the folder lasts."""
