"""The configuration shard's state machine: dispatches each committed order to the component that handles it.

Invariant: replicas that apply the same orders in the same sequence have the same state and return the same
outcomes.  Components: `document_orders` (the operator's document), `placements` (which replicas hold each
shard), `stores` with `store_orders` (disks and retiring nodes), `snapshot` (encoding of the complete state).
"""

from __future__ import annotations

from typing import TypeVar

from kestrelbend.tier.configuration.document import Document
from kestrelbend.tier.configuration.document_orders import DocumentOrders
from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, OrderKind, accepted_outcome
from kestrelbend.tier.configuration.placements import check_placement, decode_placement
from kestrelbend.tier.configuration.snapshot import SnapshotContent, decode_snapshot, encode_snapshot
from kestrelbend.tier.configuration.store_orders import (
    check_disk,
    check_retirement,
    check_shard_removal,
    retire_state,
)
from kestrelbend.tier.configuration.stores import StoreRecords, decode_disk, decode_shard_removal
from kestrelbend.tier.membership.messages import ShardPlacement

_Record = TypeVar("_Record")


class ConfigurationState:
    """The current document, the history of accepted orders, shard placements, disks and retiring nodes."""

    def __init__(self) -> None:
        self._documents = DocumentOrders()
        self._placements: dict[str, ShardPlacement] = {}
        self._stores = StoreRecords()

    @property
    def version(self) -> int:
        """The current version; 0 before the first configuration."""
        return self._documents.version

    @property
    def body(self) -> bytes:
        """The current configuration as `Config.Get` returns it; empty before the first one."""
        document = self._documents.document
        return document.body if document is not None else b""

    @property
    def document(self) -> Document | None:
        """The current configuration; None before the first one."""
        return self._documents.document

    @property
    def documents(self) -> DocumentOrders:
        """The orders on the document; `restore` replaces this object, so callers must not keep it."""
        return self._documents

    @property
    def placements(self) -> tuple[ShardPlacement, ...]:
        """The current placements, one per shard."""
        return tuple(self._placements.values())

    def placement(self, shard: str) -> ShardPlacement | None:
        """Returns a shard's current placement; None before its first one."""
        return self._placements.get(shard)

    @property
    def retiring(self) -> tuple[str, ...]:
        """The names of the retiring nodes, including those whose retirement is complete."""
        return self._stores.retiring

    @property
    def stores(self) -> StoreRecords:
        """The known disks, and the progress of retirements."""
        return self._stores

    def check(self, order: ConfigOrder) -> ConfigOutcome | None:
        """Returns the outcome of an order that changes nothing (rejected or already accepted), else None."""
        match order.kind:
            case OrderKind.PLACEMENT:
                return self._check_placement(order)
            case OrderKind.RETIRE:
                return check_retirement(order, self._stores, self.version)
            case OrderKind.DISK:
                return check_disk(order, self._stores, self.version)
            case OrderKind.SHARD_REMOVAL:
                return self._check_shard_removal(order)
            case OrderKind.RETIRE_STATE:
                return retire_state(order, self._stores, self.placements, self.version)
            case _:
                return self._documents.check(order)

    def apply(self, order: ConfigOrder) -> ConfigOutcome:
        """Applies or rejects an order; deterministic."""
        if order.kind in (OrderKind.CHECKED_PUT, OrderKind.CHECKED_PATCH):
            return self._documents.apply_checked(order)
        outcome = self.check(order)
        if outcome is not None:
            return outcome
        match order.kind:
            case OrderKind.PLACEMENT:
                placement = _require_record(decode_placement(order.body))
                self._placements[placement.shard] = placement
            case OrderKind.RETIRE:
                self._stores.retire(order.body.decode())
            case OrderKind.DISK:
                self._stores.record_disk(_require_record(decode_disk(order.body)), self._placed_replicas())
            case OrderKind.SHARD_REMOVAL:
                self._stores.record_removal(_require_record(decode_shard_removal(order.body)))
            case _:
                return self._documents.accept(order)
        return accepted_outcome(self.version)

    def _check_placement(self, order: ConfigOrder) -> ConfigOutcome | None:
        placement = decode_placement(order.body)
        known = self.placement(placement.shard) if placement is not None else None
        return check_placement(placement, known, self._stores, self.version)

    def _check_shard_removal(self, order: ConfigOrder) -> ConfigOutcome | None:
        removal = decode_shard_removal(order.body)
        placement = self.placement(removal.shard) if removal is not None else None
        return check_shard_removal(removal, self._stores, placement, self.version)

    def _placed_replicas(self) -> set[str]:
        return {voter for placement in self.placements for voter in placement.voters}

    def snapshot(self) -> bytes:
        """Encodes the complete state: a line of JSON, then the current document's body as it is."""
        return encode_snapshot(
            SnapshotContent(
                document=self._documents.document,
                history=self._documents.history,
                evicted_version=self._documents.evicted_version,
                placements=self.placements,
                retiring=self._stores.retiring,
                disks=self._stores.disks,
                removals=self._stores.removals,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot's; raises `SnapshotError` and keeps the state if that fails."""
        content = decode_snapshot(snapshot)
        self._documents = DocumentOrders(content.document, content.history, content.evicted_version)
        self._placements = {placement.shard: placement for placement in content.placements}
        self._stores = StoreRecords(content.disks, content.retiring, content.removals)


def _require_record(record: _Record | None) -> _Record:
    """Returns the decoded record of an order that `check` has validated, so it is never None."""
    if record is None:
        raise AssertionError("an order is applied only after its check")
    return record
