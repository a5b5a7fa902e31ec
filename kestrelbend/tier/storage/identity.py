"""A process's data directory: the disk's identity, and where its journal stands.

Invariant: an identity is used only once it is durable, and an emptied disk gets another one.  So no replica
that has forgotten its votes and entries can pass for the replica that gave them.

The identity is written under a temporary name, synced, renamed, and the directory is synced: the first sync
guards against a torn identity under its final name, the second against a process that acts under an identity
whose name a loss of power takes away.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

import attrs

from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.errors import StorageCode, StorageCorruptedError
from kestrelbend.tier.storage.os_disk import OsDisk

BOOTSTRAP_IDENTITY = "first"
_IDENTITY_NAME = "identity"
_TEMPORARY_NAME = "identity.new"
_JOURNAL_NAME = "journal"
_IDENTITY_BYTES = 4


@attrs.frozen
class DataDirectory:
    """What a process finds in its `DataDir`, or puts there at its first start (`created`)."""

    identity: str
    journal_directory: str
    created: bool

    @classmethod
    def open(
        cls,
        data_dir: str,
        bootstrap: bool,
        disk: Disk | None = None,
        new_identity: Callable[[], str] = lambda: secrets.token_hex(_IDENTITY_BYTES),
    ) -> DataDirectory:
        """Reads the identity, or gives the disk one.

        `bootstrap`: the complete system starts on empty disks, so the disks' identities are known ahead.
        Raises `StorageCorruptedError`, and `OSError` where the disk does not take the identity.
        """
        disk = disk or OsDisk()
        disk.make_directory(data_dir)
        disk.sync_directory(data_dir)
        names = disk.list_directory(data_dir)
        created = _IDENTITY_NAME not in names
        if created:
            _check_no_journal(disk, data_dir, names)
            identity = BOOTSTRAP_IDENTITY if bootstrap else new_identity()
            _write_identity(disk, data_dir, identity)
        identity = _read_identity(disk, data_dir)
        journal_directory = f"{data_dir}/{_JOURNAL_NAME}"
        disk.make_directory(journal_directory)
        disk.sync_directory(data_dir)
        return cls(identity, journal_directory, created)


def _write_identity(disk: Disk, data_dir: str, identity: str) -> None:
    temporary = f"{data_dir}/{_TEMPORARY_NAME}"
    disk.write(temporary, identity.encode())
    disk.sync(temporary)
    disk.rename(temporary, f"{data_dir}/{_IDENTITY_NAME}")
    disk.sync_directory(data_dir)


def _read_identity(disk: Disk, data_dir: str) -> str:
    path = f"{data_dir}/{_IDENTITY_NAME}"
    identity = disk.read(path).decode("ascii", "replace")
    if identity != BOOTSTRAP_IDENTITY and not _is_random_identity(identity):
        raise StorageCorruptedError(StorageCode.IDENTITY_DAMAGED, path)
    return identity


def _is_random_identity(identity: str) -> bool:
    return len(identity) == 2 * _IDENTITY_BYTES and all(digit in "0123456789abcdef" for digit in identity)


def _check_no_journal(disk: Disk, data_dir: str, names: list[str]) -> None:
    journal_directory = f"{data_dir}/{_JOURNAL_NAME}"
    if _JOURNAL_NAME in names and disk.list_directory(journal_directory):
        raise StorageCorruptedError(StorageCode.IDENTITY_MISSING, journal_directory)
