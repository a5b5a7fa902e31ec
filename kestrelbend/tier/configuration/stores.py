"""Which disks are known, which nodes are to be emptied, and what is known to be empty: committed facts.

Invariant: a node counts as empty only by facts that stay true.  An `Emptied` names a committed group without
the node, moved there by a placement without it; later placements have higher numbers, none of them may add
a disk of a node that is to be emptied, and no group follows a lower number than its own.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from kestrelbend.tier.configuration.field_checks import is_text
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
class KnownDisk:
    """A disk that may hold replicas: an emptied one is another replica of the same node."""

    node: str
    replica: str
    serves_storage: bool


@attrs.frozen
class Emptied:
    """A shard's owner has told of a committed group without the node, whose live voters hold everything."""

    node: str
    shard: str
    epoch: int
    group: tuple[str, ...]
    number: int  # of the placement that the group was moved to


def encode_disk(disk: KnownDisk) -> bytes:
    """The body of an order of kind STORE."""
    return _encode({_NODE: disk.node, _REPLICA: disk.replica, _SERVES_STORAGE: disk.serves_storage})


def decode_disk(body: bytes) -> KnownDisk | None:
    """The disk that a body names, or None if it names none."""
    values = _decode(body)
    node, replica, serves = (values.get(key) for key in (_NODE, _REPLICA, _SERVES_STORAGE))
    if not (_is_node(node) and is_text(replica) and isinstance(serves, bool)):
        return None
    return KnownDisk(node, replica, serves)


def encode_emptied(emptied: Emptied) -> bytes:
    """The body of an order of kind EMPTIED."""
    return _encode(
        {
            _NODE: emptied.node,
            _SHARD: emptied.shard,
            _EPOCH: emptied.epoch,
            _GROUP: list(emptied.group),
            _NUMBER: emptied.number,
        }
    )


def decode_emptied(body: bytes) -> Emptied | None:
    """What a body says to be empty, or None if it says nothing of the kind."""
    values = _decode(body)
    node, shard, group = (values.get(key) for key in (_NODE, _SHARD, _GROUP))
    numbers = (values.get(_EPOCH), values.get(_NUMBER))
    if not (_is_node(node) and is_text(shard) and isinstance(group, list) and group):
        return None
    if not (all(map(is_text, group)) and all(type(number) is int and number >= 0 for number in numbers)):
        return None
    return Emptied(node, shard, numbers[0], tuple(group), numbers[1])


class StoreRecords:
    """The disks known, and the facts of their nodes' emptying; changed by applied orders alone."""

    def __init__(
        self,
        disks: Iterable[KnownDisk] = (),
        retiring: Iterable[str] = (),
        emptied: Iterable[Emptied] = (),
    ) -> None:
        self._disks = {disk.replica: disk for disk in disks}
        self._retiring = dict.fromkeys(retiring)
        self._emptied = {(fact.node, fact.shard): fact for fact in emptied}

    @property
    def disks(self) -> tuple[KnownDisk, ...]:
        return tuple(self._disks.values())

    @property
    def retiring(self) -> tuple[str, ...]:
        """The nodes to be emptied; a name stays here for good, also once its node is gone."""
        return tuple(self._retiring)

    @property
    def emptied(self) -> tuple[Emptied, ...]:
        return tuple(self._emptied.values())

    def knows(self, disk: KnownDisk) -> bool:
        """Whether exactly this was noted."""
        return self._disks.get(disk.replica) == disk

    def is_store(self, node: str) -> bool:
        """Whether a node with this name has ever served as a store."""
        return any(disk.node == node and disk.serves_storage for disk in self._disks.values())

    def replicas_of(self, node: str) -> set[str]:
        """All disks that the node ever had."""
        return {disk.replica for disk in self._disks.values() if disk.node == node}

    def must_be_emptied(self, replica: str) -> bool:
        """Whether the replica is on the disk of a node that is to be emptied."""
        disk = self._disks.get(replica)
        return disk is not None and disk.node in self._retiring

    def is_emptied(self, node: str, shard: str) -> bool:
        """Whether the shard is known to be gone from the node."""
        return (node, shard) in self._emptied

    def is_complete(self, node: str, placements: Iterable[ShardPlacement]) -> bool:
        """Whether every shard that exists is known to be gone from a node that is to be emptied."""
        shards = [CONFIGURATION_SHARD, *(placed.shard for placed in placements)]
        return node in self._retiring and all(self.is_emptied(node, shard) for shard in shards)

    def may_record(self, fact: Emptied, placed: ShardPlacement | None) -> bool:
        """Whether a fact stays true from here on; `placed` is where its shard should be."""
        gone = self.replicas_of(fact.node)
        if fact.node not in self._retiring or not self._disks.keys() >= set(fact.group):
            return False
        if fact.shard == CONFIGURATION_SHARD:
            return gone.isdisjoint(fact.group)
        if placed is None or not 0 < placed.number == fact.number:
            return False
        return gone.isdisjoint(fact.group) and gone.isdisjoint(placed.voters)

    def record_disk(self, disk: KnownDisk, placed: set[str]) -> None:
        """Notes a disk; beyond the bound the oldest that no placement names is forgotten."""
        self._disks[disk.replica] = disk
        if len(self._disks) > MAX_DISKS:
            oldest = next((known for known in self._disks if known not in placed), None)
            self._disks.pop(oldest, None)

    def retire(self, node: str) -> None:
        """Notes that a node is to be emptied."""
        self._retiring[node] = None

    def record_emptied(self, fact: Emptied) -> None:
        """Notes that a shard is gone from a node."""
        self._emptied[fact.node, fact.shard] = fact


def _is_node(value: Any) -> bool:
    return is_text(value) and 0 < len(value) <= MAX_NODE_NAME


def _encode(values: dict[str, Any]) -> bytes:
    return json.dumps(values, separators=(",", ":")).encode()


def _decode(body: bytes) -> dict[str, Any]:
    """The object that a body holds; an empty one where it holds none."""
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return values if isinstance(values, dict) else {}
