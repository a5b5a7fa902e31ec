"""Orders by which the owner of the configuration shard records disks, and shards that have left a node.

Invariant: a disk is recorded before a shard is placed on it, so that the node of a replica is known from the
replica's name.  That a shard has left a retiring node is recorded only from a report of a committed group by
the shard's own owner.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..configuration.messages import ConfigOrder, OrderKind
from ..configuration.state import ConfigurationState
from ..configuration.stores import DiskRecord, ShardRemoval, encode_disk, encode_shard_removal
from ..membership.messages import Member, ShardReport
from ..membership.placement import CONFIGURATION_SHARD


def unknown_disk_orders(state: ConfigurationState, members: Iterable[Member]) -> list[ConfigOrder]:
    """Returns orders to record those disks of the members that are not recorded yet."""
    disks = [
        DiskRecord(member.node, member.replica, member.serves_storage) for member in members if member.replica
    ]
    unknown = [disk for disk in disks if not state.stores.has_disk(disk)]
    return [ConfigOrder(OrderKind.DISK, 0, encode_disk(disk)) for disk in unknown]


def due_emptied_orders(state: ConfigurationState, reports: dict[str, ShardReport]) -> list[ConfigOrder]:
    """Returns orders to record which shards have left retiring nodes."""
    shards = [CONFIGURATION_SHARD, *(placement.shard for placement in state.placements)]
    orders = []
    for node in state.retiring:
        for shard in shards:
            report = reports.get(shard)
            if report is None or state.stores.is_removed(node, shard):
                continue
            fact = emptied_evidence(node, report)
            if fact is not None and state.stores.may_record_removal(fact, state.placement(shard)):
                orders.append(ConfigOrder(OrderKind.SHARD_REMOVAL, 0, encode_shard_removal(fact)))
    return orders


def emptied_evidence(node: str, report: ShardReport) -> ShardRemoval | None:
    """Returns the fact that a shard has left a node, if the report is by the shard's owner in a stable group.

    Whether the group really has no voter on the node is checked by the store records (`may_record_removal`).
    """
    if report.replica != report.owner or not report.stable or not report.committed_voters:
        return None
    return ShardRemoval(node, report.shard, report.epoch, report.committed_voters, report.placement_number)
