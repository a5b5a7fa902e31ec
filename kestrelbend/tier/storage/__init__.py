"""What a process keeps on its disk: its identity and one journal for all its replicas."""

from kestrelbend.tier.storage.errors import StorageCode, StorageDamaged
from kestrelbend.tier.storage.identity import FIRST_IDENTITY, DataFolder
from kestrelbend.tier.storage.journal import DiskJournal, JournalState

__all__ = [
    "FIRST_IDENTITY",
    "DataFolder",
    "DiskJournal",
    "JournalState",
    "StorageCode",
    "StorageDamaged",
]
