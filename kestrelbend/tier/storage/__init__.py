"""Durable storage of a process: its identity, and one write-ahead log ("journal") shared by all its replicas.

The life cycle of a record:

    append ──> queue ──> group commit: written to segment n, synced ──> acknowledged (`on_written`)
                                                                             │ segments grow
    removed <── replaced <── checkpoint durable (renamed, directory synced) <┘
       or replayed by `load` at the next start: the newest checkpoint, then the segments from its number on

Modules: `disk` is the file system interface and `os_disk` its implementation; `segment` encodes and decodes
one file; `journal_names` builds and parses file names; `journal_files` orders the files and makes them
durable; `checkpoint_writer` writes a checkpoint in steps; `write_queue` and `capacity` decide which records
are written when; `journal` runs the writer thread.
"""

from kestrelbend.tier.storage.errors import StorageCode, StorageCorruptedError, StorageError
from kestrelbend.tier.storage.identity import BOOTSTRAP_IDENTITY, DataDirectory
from kestrelbend.tier.storage.journal import DiskJournal, JournalState

__all__ = [
    "BOOTSTRAP_IDENTITY",
    "DataDirectory",
    "DiskJournal",
    "JournalState",
    "StorageCode",
    "StorageCorruptedError",
    "StorageError",
]
