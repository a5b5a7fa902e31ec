"""Committed records of the known disks, the retiring nodes, and the shards that were removed from them.

Invariant: a retirement is complete only by records that stay true.  A `ShardRemoval` contains a committed
group without the node, which resulted from a placement without it.  Later placements have higher numbers and
cannot add a disk of a retiring node, and no group moves to a placement with a lower number than its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from kestrelbend.tier.configuration.field_checks import is_text
from kestrelbend.tier.configuration.json_codec import decode_object, encode_json
from kestrelbend.tier.membership.messages import ShardPlacement
from kestrelbend.tier.membership.placement import CONFIGURATION_SHARD

MAX_DISKS = 16384
MAX_NODE_NAME = 256

# Keys of the bodies below.  They are stored in journals and snapshots, independently of field names.
_NODE = "node"
_REPLICA = "replica"
_SERVES_STORAGE = "serves_storage"
_SHARD = "shard"
_EPOCH = "epoch"
_GROUP = "group"
_NUMBER = "number"


@attrs.frozen
class DiskRecord:
    """A disk that may hold replicas; an emptied disk becomes another replica of the same node."""

    node: str
    replica: str
    serves_storage: bool


@attrs.frozen
class ShardRemoval:
    """A shard was removed from a node: its owner reported a committed group without the node's disks.

    The live voters of that group hold the complete data, so this shard no longer needs the node.
    """

    node: str
    shard: str
    epoch: int  # of the owner that reported it
    group: tuple[str, ...]  # the replicas that are voters of the group
    number: int  # of the placement that the owner moved the group to


def encode_disk(disk: DiskRecord) -> bytes:
    """Encodes the body of an order of kind DISK."""
    return encode_json({_NODE: disk.node, _REPLICA: disk.replica, _SERVES_STORAGE: disk.serves_storage})


def decode_disk(body: bytes) -> DiskRecord | None:
    """Decodes the body of an order of kind DISK; returns None if it is invalid."""
    values = decode_object(body)
    if values is None:
        return None
    node: Any = values.get(_NODE)
    replica: Any = values.get(_REPLICA)
    serves: Any = values.get(_SERVES_STORAGE)
    if not (_is_node(node) and is_text(replica) and isinstance(serves, bool)):
        return None
    return DiskRecord(node, replica, serves)


def encode_shard_removal(record: ShardRemoval) -> bytes:
    """Encodes the body of an order of kind SHARD_REMOVAL."""
    return encode_json(
        {
            _NODE: record.node,
            _SHARD: record.shard,
            _EPOCH: record.epoch,
            _GROUP: list(record.group),
            _NUMBER: record.number,
        }
    )


def decode_shard_removal(body: bytes) -> ShardRemoval | None:
    """Decodes the body of an order of kind SHARD_REMOVAL; returns None if it is invalid."""
    values = decode_object(body)
    if values is None:
        return None
    node: Any = values.get(_NODE)
    shard: Any = values.get(_SHARD)
    group: Any = values.get(_GROUP)
    epoch: Any = values.get(_EPOCH)
    number: Any = values.get(_NUMBER)
    if not (_is_node(node) and is_text(shard) and isinstance(group, list) and group):
        return None
    if not (
        all(map(is_text, group)) and _is_non_negative_integer(epoch) and _is_non_negative_integer(number)
    ):
        return None
    return ShardRemoval(node, shard, epoch, tuple(group), number)


class StoreRecords:
    """The known disks, the retiring nodes and the shard removals; modified only by applying orders."""

    def __init__(
        self,
        disks: Iterable[DiskRecord] = (),
        retiring: Iterable[str] = (),
        removals: Iterable[ShardRemoval] = (),
    ) -> None:
        self._disks = {disk.replica: disk for disk in disks}
        self._retiring = dict.fromkeys(retiring)
        self._removals = {(removal.node, removal.shard): removal for removal in removals}

    @property
    def disks(self) -> tuple[DiskRecord, ...]:
        """The known disks, oldest first."""
        return tuple(self._disks.values())

    @property
    def retiring(self) -> tuple[str, ...]:
        """The retiring nodes; a name is kept permanently, also after the node has left the tier."""
        return tuple(self._retiring)

    @property
    def removals(self) -> tuple[ShardRemoval, ...]:
        """The recorded shard removals."""
        return tuple(self._removals.values())

    def has_disk(self, disk: DiskRecord) -> bool:
        """Whether exactly this record exists."""
        return self._disks.get(disk.replica) == disk

    def is_store(self, node: str) -> bool:
        """Whether a node with this name has ever served as a store."""
        return any(disk.node == node and disk.serves_storage for disk in self._disks.values())

    def is_recorded(self, replica: str) -> bool:
        """Whether the disk of a replica is recorded."""
        return replica in self._disks

    def is_storage_disk(self, replica: str) -> bool:
        """Whether the replica is on the disk of a node that serves as a store."""
        disk = self._disks.get(replica)
        return disk is not None and disk.serves_storage

    def replicas_of(self, node: str) -> set[str]:
        """Returns the replicas on all disks that the node ever had."""
        return {disk.replica for disk in self._disks.values() if disk.node == node}

    def is_on_retiring_node(self, replica: str) -> bool:
        """Whether the replica is on a disk of a retiring node."""
        disk = self._disks.get(replica)
        return disk is not None and disk.node in self._retiring

    def is_removed(self, node: str, shard: str) -> bool:
        """Whether the removal of the shard from the node is recorded."""
        return (node, shard) in self._removals

    def is_retired(self, node: str, placements: Iterable[ShardPlacement]) -> bool:
        """Whether the node is retiring and the removal of every existing shard from it is recorded."""
        shards = [CONFIGURATION_SHARD, *(placement.shard for placement in placements)]
        return node in self._retiring and all(self.is_removed(node, shard) for shard in shards)

    def may_record_removal(self, removal: ShardRemoval, placement: ShardPlacement | None) -> bool:
        """Whether a removal will stay true; `placement` is the shard's current one.

        It stays true if no replica of the node is in the group or can be added to a later one: the group
        results from the current placement, and no later placement adds a replica of a retiring node.
        """
        node_replicas = self.replicas_of(removal.node)
        if removal.node not in self._retiring or not self._disks.keys() >= set(removal.group):
            return False
        if removal.shard == CONFIGURATION_SHARD:
            return node_replicas.isdisjoint(removal.group)
        if placement is None or not 0 < placement.number == removal.number:
            return False
        return node_replicas.isdisjoint(removal.group) and node_replicas.isdisjoint(placement.voters)

    def record_disk(self, disk: DiskRecord, placed_replicas: set[str]) -> None:
        """Records a disk; beyond `MAX_DISKS`, evicts the oldest that is not in `placed_replicas`."""
        self._disks[disk.replica] = disk
        if len(self._disks) > MAX_DISKS:
            oldest = next((replica for replica in self._disks if replica not in placed_replicas), None)
            if oldest is not None:
                del self._disks[oldest]

    def retire(self, node: str) -> None:
        """Records that a node is retiring."""
        self._retiring[node] = None

    def record_removal(self, removal: ShardRemoval) -> None:
        """Records that a shard was removed from a node."""
        self._removals[removal.node, removal.shard] = removal


def _is_node(value: Any) -> bool:
    return is_text(value) and 0 < len(value) <= MAX_NODE_NAME


def _is_non_negative_integer(value: Any) -> bool:
    return type(value) is int and value >= 0
