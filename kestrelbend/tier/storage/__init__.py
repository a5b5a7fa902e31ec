"""What a process keeps on its disk: its identity and one journal for all its replicas."""

from kestrelbend.tier.storage.errors import StorageCode, StorageCorruptedError
from kestrelbend.tier.storage.identity import FIRST_IDENTITY, DataDirectory
from kestrelbend.tier.storage.journal import DiskJournal, JournalState

__all__ = [
    "FIRST_IDENTITY",
    "DataDirectory",
    "DiskJournal",
    "JournalState",
    "StorageCode",
    "StorageCorruptedError",
]
