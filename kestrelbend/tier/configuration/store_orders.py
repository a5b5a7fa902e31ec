"""Orders on storage nodes: retire a node, record a disk, record that a shard was removed from a node.

A `Retire.Start` of the operator makes a node *retiring*: its replicas are moved away and it gets no new ones.
Each shard that no longer needs the node is recorded by a `ShardRemoval`; with the last one the retirement is
complete, and the operator may remove the machine.

Each check function returns the outcome of an order that changes nothing, or None if it must be applied.
"""

from __future__ import annotations

from collections.abc import Iterable

from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, already_accepted_outcome
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
    """Returns the node name in an order's body, or an empty string if it is invalid."""
    try:
        node = order.body.decode()
    except UnicodeDecodeError:
        return ""
    return node if len(node) <= MAX_NODE_NAME else ""


def check_retirement(order: ConfigOrder, stores: StoreRecords, version: int) -> ConfigOutcome | None:
    """Checks an order to retire a node, whose name is the order's body."""
    node = node_name(order)
    if not node:
        return ConfigOutcome(INVALID, version, "not the name of a node")
    if node in stores.retiring:
        return already_accepted_outcome(version)
    if len(stores.retiring) >= MAX_RETIRING:
        return ConfigOutcome(CONFLICT, version, "too many nodes are being emptied")
    return None


def check_disk(order: ConfigOrder, stores: StoreRecords, version: int) -> ConfigOutcome | None:
    """Checks an order to record a disk."""
    disk = decode_disk(order.body)
    if disk is None:
        return ConfigOutcome(INVALID, version, "not a disk")
    return already_accepted_outcome(version) if stores.has_disk(disk) else None


def check_shard_removal(
    removal: ShardRemoval | None, stores: StoreRecords, placement: ShardPlacement | None, version: int
) -> ConfigOutcome | None:
    """Checks an order to record a shard's removal from a node; `placement` is the shard's current one."""
    if removal is None:
        return ConfigOutcome(INVALID, version, "not a node that is empty")
    if stores.is_removed(removal.node, removal.shard):
        return already_accepted_outcome(version)
    if not stores.may_record_removal(removal, placement):
        return ConfigOutcome(PRECONDITION_FAILED, version, f"{removal.node} may hold {removal.shard}")
    return None


def retire_state(
    order: ConfigOrder, stores: StoreRecords, placements: Iterable[ShardPlacement], version: int
) -> ConfigOutcome:
    """Returns the progress of a retirement as the outcome's reason; such an order is never a log entry."""
    node = node_name(order)
    if node not in stores.retiring:
        state = RetireState.NOT_ORDERED
    elif stores.is_retired(node, placements):
        state = RetireState.COMPLETE
    else:
        state = RetireState.RUNNING
    return ConfigOutcome(OK, version, state.value)
