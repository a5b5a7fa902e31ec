"""The configuration shard's state machine: it applies each committed order to the part that it concerns.

Invariant: every replica that applies the same orders in the same sequence holds the same state and answers
the same.  The parts: `document_orders` (the operator's document), `placements` (which replicas hold a shard),
`stores` with `store_orders` (disks, and nodes that are to be emptied), `snapshot` (all of it as bytes).
"""

from __future__ import annotations

from typing import TypeVar

from kestrelbend.tier.configuration.document import Document
from kestrelbend.tier.configuration.document_orders import DocumentOrders
from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, OrderKind, accepted_now
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
    """The current document, the orders accepted, the placements of shards and the nodes to be emptied."""

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
        """The orders on the document; another object after each `restore`, so it isn't to be kept."""
        return self._documents

    @property
    def placements(self) -> tuple[ShardPlacement, ...]:
        """The placements in force, one a shard."""
        return tuple(self._placements.values())

    def placement(self, shard: str) -> ShardPlacement | None:
        """A shard's placement in force; None before its first one."""
        return self._placements.get(shard)

    @property
    def retiring(self) -> tuple[str, ...]:
        """The names of the nodes that are to be emptied, also of those that are empty by now."""
        return self._stores.retiring

    @property
    def stores(self) -> StoreRecords:
        """The disks known, and how far the emptying of nodes has come."""
        return self._stores

    def check(self, order: ConfigOrder) -> ConfigOutcome | None:
        """The answer to an order that changes nothing (rejected, or accepted before); None: apply it."""
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
        """Carries an order out, or rejects it; deterministic."""
        if order.kind in (OrderKind.CHECKED_PUT, OrderKind.CHECKED_PATCH):
            return self._documents.apply_checked(order)
        answer = self.check(order)
        if answer is not None:
            return answer
        match order.kind:
            case OrderKind.PLACEMENT:
                placement = _after_check(decode_placement(order.body))
                self._placements[placement.shard] = placement
            case OrderKind.RETIRE:
                self._stores.retire(order.body.decode())
            case OrderKind.DISK:
                self._stores.record_disk(_after_check(decode_disk(order.body)), self._placed_replicas())
            case OrderKind.SHARD_REMOVAL:
                self._stores.record_removal(_after_check(decode_shard_removal(order.body)))
            case _:
                return self._documents.accept(order)
        return accepted_now(self.version)

    def _check_placement(self, order: ConfigOrder) -> ConfigOutcome | None:
        placement = decode_placement(order.body)
        known = self.placement(placement.shard) if placement is not None else None
        return check_placement(placement, known, self._stores, self.version)

    def _check_shard_removal(self, order: ConfigOrder) -> ConfigOutcome | None:
        fact = decode_shard_removal(order.body)
        placement = self.placement(fact.shard) if fact is not None else None
        return check_shard_removal(fact, self._stores, placement, self.version)

    def _placed_replicas(self) -> set[str]:
        return {voter for placement in self.placements for voter in placement.voters}

    def snapshot(self) -> bytes:
        """The complete state: a line of JSON, then the current document's body as it is."""
        return encode_snapshot(
            SnapshotContent(
                document=self._documents.document,
                history=self._documents.history,
                forgotten_version=self._documents.forgotten_version,
                placements=self.placements,
                retiring=self._stores.retiring,
                disks=self._stores.disks,
                emptied=self._stores.emptied,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot's, or raises `SnapshotError` and leaves it as it was."""
        content = decode_snapshot(snapshot)
        self._documents = DocumentOrders(content.document, content.history, content.forgotten_version)
        self._placements = {placement.shard: placement for placement in content.placements}
        self._stores = StoreRecords(content.disks, content.retiring, content.emptied)


def _after_check(record: _Record | None) -> _Record:
    """The record of an order that `check` has let pass, so that it is there."""
    if record is None:
        raise AssertionError("an order is applied only after its check")
    return record
