"""Orders on nodes that are to be emptied: to empty one, to record its disks, to record what it holds no more.

A `Retire.Start` of the operator makes a node *retiring*: it is to be emptied and gets no replica any more.
Each shard that has left it is recorded by a `ShardRemoval`; with the last one the node's state is complete,
and the operator may take the machine away.

Each function here gives the answer to an order that changes nothing, or None: then it must be applied.
"""

from __future__ import annotations

from collections.abc import Iterable

from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, accepted_before
from kestrelbend.tier.configuration.ports import RetireState
from kestrelbend.tier.configuration.statuses import CONFLICT, INVALID, OK, PRECONDITION_FAILED
from kestrelbend.tier.configuration.stores import (
    MAX_NODE_NAME,
    ShardRemoval,
    StoreRecords,
    decode_disk,
)
from kestrelbend.tier.membership.messages import ShardPlacement

MAX_RETIRING = 4096


def node_name(order: ConfigOrder) -> str:
    """The node that an order names, or an empty string where it names none."""
    try:
        node = order.body.decode()
    except UnicodeDecodeError:
        return ""
    return node if len(node) <= MAX_NODE_NAME else ""


def check_retirement(order: ConfigOrder, stores: StoreRecords, version: int) -> ConfigOutcome | None:
    """For the order to empty a node, whose name is its body."""
    node = node_name(order)
    if not node:
        return ConfigOutcome(INVALID, version, "not the name of a node")
    if node in stores.retiring:
        return accepted_before(version)
    if len(stores.retiring) >= MAX_RETIRING:
        return ConfigOutcome(CONFLICT, version, "too many nodes are being emptied")
    return None


def check_disk(order: ConfigOrder, stores: StoreRecords, version: int) -> ConfigOutcome | None:
    """For the order to record a disk."""
    disk = decode_disk(order.body)
    if disk is None:
        return ConfigOutcome(INVALID, version, "not a disk")
    return accepted_before(version) if stores.knows(disk) else None


def check_shard_removal(
    fact: ShardRemoval | None, stores: StoreRecords, placement: ShardPlacement | None, version: int
) -> ConfigOutcome | None:
    """For the order to record that a shard has left a node; `placement` is the shard's one in force."""
    if fact is None:
        return ConfigOutcome(INVALID, version, "not a node that is empty")
    if stores.is_removed(fact.node, fact.shard):
        return accepted_before(version)
    if not stores.may_record_removal(fact, placement):
        return ConfigOutcome(PRECONDITION_FAILED, version, f"{fact.node} may hold {fact.shard}")
    return None


def retire_state(
    order: ConfigOrder, stores: StoreRecords, placements: Iterable[ShardPlacement], version: int
) -> ConfigOutcome:
    """How far the emptying of a node has come, as the reason: never an entry of the log."""
    node = node_name(order)
    if node not in stores.retiring:
        state = RetireState.NOT_ORDERED
    elif stores.is_complete(node, placements):
        state = RetireState.COMPLETE
    else:
        state = RetireState.RUNNING
    return ConfigOutcome(OK, version, state.value)
