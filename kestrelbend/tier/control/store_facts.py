"""What the owner of the configuration's shard has to record about disks: which there are, and what is empty.

Invariant: a disk is recorded before a shard is placed on it, so that its node follows from a replica's name;
a shard is recorded as departed from a node only by its own owner's report of a committed group.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..configuration.messages import ConfigOrder, OrderKind
from ..configuration.state import ConfigurationState
from ..configuration.stores import Emptied, KnownDisk, encode_disk, encode_emptied
from ..membership.messages import Member, ShardReport
from ..membership.placement import CONFIGURATION_SHARD


def unknown_disk_orders(state: ConfigurationState, members: Iterable[Member]) -> list[ConfigOrder]:
    """The orders that record the members' disks where that wasn't done."""
    disks = [
        KnownDisk(member.node, member.replica, member.serves_storage) for member in members if member.replica
    ]
    unknown = [disk for disk in disks if not state.stores.knows(disk)]
    return [ConfigOrder(OrderKind.STORE, 0, encode_disk(disk)) for disk in unknown]


def due_emptied_orders(state: ConfigurationState, reports: dict[str, ShardReport]) -> list[ConfigOrder]:
    """The orders that record which shards have departed from nodes that are to be emptied."""
    shards = [CONFIGURATION_SHARD, *(placed.shard for placed in state.placements)]
    orders = []
    for node in state.retiring:
        for shard in shards:
            report = reports.get(shard)
            if report is None or state.stores.is_emptied(node, shard):
                continue
            fact = emptied_evidence(node, report)
            if fact is not None and state.stores.may_record(fact, state.placement(shard)):
                orders.append(ConfigOrder(OrderKind.EMPTIED, 0, encode_emptied(fact)))
    return orders


def emptied_evidence(node: str, report: ShardReport) -> Emptied | None:
    """What a report proves of a shard's group: nothing unless it is its owner's and the group is stable."""
    if report.replica != report.owner or not report.stable or not report.committed_voters:
        return None
    return Emptied(node, report.shard, report.epoch, report.committed_voters, report.placement_number)
