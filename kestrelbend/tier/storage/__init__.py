"""What a process keeps on its disk: its identity, and one write-ahead log ("journal") for all its replicas.

The life cycle of a record:

    append ──> queue ──> group commit: written to segment n, synced ──> acknowledged (`on_written`)
                                                                             │ segments grow
    removed <── replaced <── checkpoint durable (renamed, directory synced) <┘
       or read again by `load` at the next start: the newest checkpoint, then the segments from its number on

`disk` is the port to the operating system's files (`os_disk`), `segment` the format of one file,
`journal_names` the names of the files, `journal_files` their order and durability, `checkpoint_writer` a
checkpoint that is written in steps, `write_queue` and `capacity` which records are written when, `journal`
the writer thread.
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
