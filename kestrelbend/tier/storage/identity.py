"""A process's data directory: the identity of the disk and the path of its journal.

Invariant: an identity is used only once it is durable, and an emptied disk gets a new one.  So a replica that
has lost its votes and entries is never mistaken for the replica that acknowledged them.

The identity is written to a temporary file and synced, the file is renamed, and the directory is synced.
The first sync prevents a torn identity under the final name.  The second prevents a process from using an
identity whose file a power failure could still remove.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

import attrs

from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.errors import StorageCode, StorageCorruptedError
from kestrelbend.tier.storage.os_disk import OsDisk

BOOTSTRAP_IDENTITY = "first"
_IDENTITY_FILE = "identity"
_TEMPORARY_FILE = "identity.new"
_JOURNAL_DIRECTORY = "journal"
_RANDOM_IDENTITY_BYTES = 4


@attrs.frozen
class DataDirectory:
    """The content of a process's `DataDir`; `created` is set if the identity was created by this `open`."""

    identity: str
    journal_directory: str
    created: bool

    @classmethod
    def open(
        cls,
        data_dir: str,
        bootstrap: bool,
        disk: Disk | None = None,
        new_identity: Callable[[], str] = lambda: secrets.token_hex(_RANDOM_IDENTITY_BYTES),
    ) -> DataDirectory:
        """Reads the identity, or creates it on an empty disk.

        `bootstrap`: the whole system starts on empty disks for the first time, so an empty disk gets the
        predefined `BOOTSTRAP_IDENTITY`.

        Raises `StorageCorruptedError`, or `OSError` if a disk operation fails.
        """
        disk = disk or OsDisk()
        disk.make_directory(data_dir)
        disk.sync_directory(data_dir)
        names = disk.list_directory(data_dir)
        created = _IDENTITY_FILE not in names
        if created:
            _check_no_journal(disk, data_dir, names)
            identity = BOOTSTRAP_IDENTITY if bootstrap else new_identity()
            _write_identity(disk, data_dir, identity)
        identity = _read_identity(disk, data_dir)
        journal_directory = f"{data_dir}/{_JOURNAL_DIRECTORY}"
        disk.make_directory(journal_directory)
        disk.sync_directory(data_dir)
        return cls(identity, journal_directory, created)


def _write_identity(disk: Disk, data_dir: str, identity: str) -> None:
    temporary = f"{data_dir}/{_TEMPORARY_FILE}"
    disk.write(temporary, identity.encode())
    disk.sync(temporary)
    disk.rename(temporary, f"{data_dir}/{_IDENTITY_FILE}")
    disk.sync_directory(data_dir)


def _read_identity(disk: Disk, data_dir: str) -> str:
    path = f"{data_dir}/{_IDENTITY_FILE}"
    identity = disk.read(path).decode("ascii", "replace")
    if identity != BOOTSTRAP_IDENTITY and not _is_random_identity(identity):
        raise StorageCorruptedError(StorageCode.IDENTITY_DAMAGED, path)
    return identity


def _is_random_identity(identity: str) -> bool:
    return len(identity) == 2 * _RANDOM_IDENTITY_BYTES and all(
        digit in "0123456789abcdef" for digit in identity
    )


def _check_no_journal(disk: Disk, data_dir: str, names: list[str]) -> None:
    journal_directory = f"{data_dir}/{_JOURNAL_DIRECTORY}"
    if _JOURNAL_DIRECTORY in names and disk.list_directory(journal_directory):
        raise StorageCorruptedError(StorageCode.IDENTITY_MISSING, journal_directory)
