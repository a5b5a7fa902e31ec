"""The faults of a day: what each does to the world, and how it ends.

Each is drawn by its own generator, so that leaving others out changes nothing about it.  A fault of
machines whose loss is counted keeps to what `Tolerate` allows; `day.py` keeps such faults apart in time.
"""

from . import backends, disks, machines, network, orders, pairs, programs, zones
from .kinds import KINDS, FaultKind
from .picking import acknowledging_machine, owner_machine, pick_quorum_machine, start_all

__all__ = [
    "KINDS",
    "FaultKind",
    "acknowledging_machine",
    "backends",
    "disks",
    "machines",
    "network",
    "orders",
    "owner_machine",
    "pairs",
    "pick_quorum_machine",
    "programs",
    "start_all",
    "zones",
]
