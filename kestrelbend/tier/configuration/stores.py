"""Which disks are known, which nodes are to be emptied, and what is known to be empty: committed facts.

Invariant: a node counts as empty only by facts that stay true.  A `ShardRemoval` names a committed group
without the node, moved there by a placement without it; later placements have higher numbers, none of them
may add a disk of a node that is to be emptied, and no group follows a lower number than its own.
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

# Keys of the bodies below: they stand in journals and snapshots on disk, apart from the names of fields.
_NODE = "node"
_REPLICA = "replica"
_SERVES_STORAGE = "serves_storage"
_SHARD = "shard"
_EPOCH = "epoch"
_GROUP = "group"
_NUMBER = "number"


@attrs.frozen
class DiskRecord:
    """A disk that may hold replicas: an emptied one is another replica of the same node."""

    node: str
    replica: str
    serves_storage: bool


@attrs.frozen
class ShardRemoval:
    """A shard has left a node: its owner reported a committed group without the node's disks.

    The live voters of that group hold everything, so the node is not needed for this shard any more.
    """

    node: str
    shard: str
    epoch: int  # of the owner that reported it
    group: tuple[str, ...]  # the replicas that are the group's voters
    number: int  # of the placement that the group was moved to


def encode_disk(disk: DiskRecord) -> bytes:
    """The body of an order of kind DISK."""
    return encode_json({_NODE: disk.node, _REPLICA: disk.replica, _SERVES_STORAGE: disk.serves_storage})


def decode_disk(body: bytes) -> DiskRecord | None:
    """The disk that a body names, or None if it names none."""
    values = decode_object(body)
    if values is None:
        return None
    node: Any = values.get(_NODE)
    replica: Any = values.get(_REPLICA)
    serves: Any = values.get(_SERVES_STORAGE)
    if not (_is_node(node) and is_text(replica) and isinstance(serves, bool)):
        return None
    return DiskRecord(node, replica, serves)


def encode_shard_removal(emptied: ShardRemoval) -> bytes:
    """The body of an order of kind SHARD_REMOVAL."""
    return encode_json(
        {
            _NODE: emptied.node,
            _SHARD: emptied.shard,
            _EPOCH: emptied.epoch,
            _GROUP: list(emptied.group),
            _NUMBER: emptied.number,
        }
    )


def decode_shard_removal(body: bytes) -> ShardRemoval | None:
    """What a body says to be empty, or None if it says nothing of the kind."""
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
    if not (all(map(is_text, group)) and _is_count(epoch) and _is_count(number)):
        return None
    return ShardRemoval(node, shard, epoch, tuple(group), number)


class StoreRecords:
    """The disks known, the nodes to be emptied and what has left them; changed by applied orders alone."""

    def __init__(
        self,
        disks: Iterable[DiskRecord] = (),
        retiring: Iterable[str] = (),
        emptied: Iterable[ShardRemoval] = (),
    ) -> None:
        self._disks = {disk.replica: disk for disk in disks}
        self._retiring = dict.fromkeys(retiring)
        self._emptied = {(fact.node, fact.shard): fact for fact in emptied}

    @property
    def disks(self) -> tuple[DiskRecord, ...]:
        """The disks known, oldest first."""
        return tuple(self._disks.values())

    @property
    def retiring(self) -> tuple[str, ...]:
        """The nodes to be emptied; a name stays here for good, also once its node has departed."""
        return tuple(self._retiring)

    @property
    def emptied(self) -> tuple[ShardRemoval, ...]:
        """What is known to have left a node."""
        return tuple(self._emptied.values())

    def knows(self, disk: DiskRecord) -> bool:
        """Whether exactly this was recorded."""
        return self._disks.get(disk.replica) == disk

    def is_store(self, node: str) -> bool:
        """Whether a node with this name has ever served as a store."""
        return any(disk.node == node and disk.serves_storage for disk in self._disks.values())

    def replicas_of(self, node: str) -> set[str]:
        """All disks that the node ever had."""
        return {disk.replica for disk in self._disks.values() if disk.node == node}

    def is_on_retiring_node(self, replica: str) -> bool:
        """Whether the replica is on the disk of a node that is to be emptied."""
        disk = self._disks.get(replica)
        return disk is not None and disk.node in self._retiring

    def is_removed(self, node: str, shard: str) -> bool:
        """Whether the shard is known to have left the node."""
        return (node, shard) in self._emptied

    def is_complete(self, node: str, placements: Iterable[ShardPlacement]) -> bool:
        """Whether every shard that exists is known to have left a node that is to be emptied."""
        shards = [CONFIGURATION_SHARD, *(placement.shard for placement in placements)]
        return node in self._retiring and all(self.is_removed(node, shard) for shard in shards)

    def may_record_removal(self, fact: ShardRemoval, placement: ShardPlacement | None) -> bool:
        """Whether a fact stays true from here on; `placement` is the one in force of its shard.

        It does if no replica of the node is in the group or may come into a later one: the group is the one
        that the placement in force led to, and no later placement adds a replica of a retiring node.
        """
        node_replicas = self.replicas_of(fact.node)
        if fact.node not in self._retiring or not self._disks.keys() >= set(fact.group):
            return False
        if fact.shard == CONFIGURATION_SHARD:
            return node_replicas.isdisjoint(fact.group)
        if placement is None or not 0 < placement.number == fact.number:
            return False
        return node_replicas.isdisjoint(fact.group) and node_replicas.isdisjoint(placement.voters)

    def record_disk(self, disk: DiskRecord, placed: set[str]) -> None:
        """Records a disk; beyond the bound the oldest that is none of the `placed` ones is forgotten."""
        self._disks[disk.replica] = disk
        if len(self._disks) > MAX_DISKS:
            oldest = next((replica for replica in self._disks if replica not in placed), None)
            if oldest is not None:
                del self._disks[oldest]

    def retire(self, node: str) -> None:
        """Records that a node is to be emptied."""
        self._retiring[node] = None

    def record_removal(self, fact: ShardRemoval) -> None:
        """Records that a shard has left a node."""
        self._emptied[fact.node, fact.shard] = fact


def _is_node(value: Any) -> bool:
    return is_text(value) and 0 < len(value) <= MAX_NODE_NAME


def _is_count(value: Any) -> bool:
    return type(value) is int and value >= 0
