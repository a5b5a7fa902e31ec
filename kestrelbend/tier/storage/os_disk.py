"""`Disk` on the operating system's files."""

from __future__ import annotations

import os

_OWNER_ONLY = 0o600


class OsDisk:
    """Each operation is one or two system calls; all of them release the interpreter's lock."""

    def make_directory(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)

    def list_directory(self, path: str) -> list[str]:
        return os.listdir(path)

    def read(self, path: str) -> bytes:
        with open(path, "rb", buffering=0) as file:
            return file.read()

    def create(self, path: str) -> None:
        os.close(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, _OWNER_ONLY))

    def write(self, path: str, content: bytes) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, _OWNER_ONLY)
        try:
            _write_all(descriptor, content)
        finally:
            os.close(descriptor)

    def append(self, path: str, content: bytes | memoryview) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        try:
            _write_all(descriptor, content)
        finally:
            os.close(descriptor)

    def sync(self, path: str) -> None:
        _sync(path, os.O_WRONLY)

    def rename(self, old: str, new: str) -> None:
        os.replace(old, new)

    def remove(self, path: str) -> None:
        try:
            os.unlink(path)
        except FileNotFoundError:
            pass

    def sync_directory(self, path: str) -> None:
        _sync(path, os.O_RDONLY | os.O_DIRECTORY)


def _write_all(descriptor: int, content: bytes | memoryview) -> None:
    view = memoryview(content)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def _sync(path: str, flags: int) -> None:
    descriptor = os.open(path, flags | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
