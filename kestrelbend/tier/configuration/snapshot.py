"""Snapshot format of the configuration shard's state: a line of JSON, then the current document.

The document's body is appended as it is, so that writing a snapshot does not encode the document again.

Invariant: `decode_snapshot` returns exactly the content given to `encode_snapshot`, or raises; it never
returns partial content.
Compatibility: snapshots of earlier releases exist on disks.  Keys and their order must not change; a key that
was added later is missing in older snapshots and defaults to an empty value.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

from kestrelbend.tier.configuration.document import Document, read_accepted
from kestrelbend.tier.configuration.json_codec import encode_json
from kestrelbend.tier.configuration.placements import decode_placement, encode_placement
from kestrelbend.tier.configuration.stores import (
    DiskRecord,
    ShardRemoval,
    decode_disk,
    decode_shard_removal,
    encode_disk,
    encode_shard_removal,
)
from kestrelbend.tier.errors import TierError
from kestrelbend.tier.membership.messages import ShardPlacement

SNAPSHOT_FORMAT = 1

# Keys of a snapshot's head.  They are stored on disk, so they are independent of field names.
_FORMAT = "form"
_HISTORY = "history"
_FORGOTTEN = "forgotten"
_PLACEMENTS = "placements"
_RETIRING = "retiring"
_DISKS = "disks"
_REMOVALS = "emptied"

_Record = TypeVar("_Record")


class SnapshotError(TierError):
    """A snapshot of the configuration cannot be restored; the state is unchanged."""

    code = "configuration.snapshot"


class UnknownSnapshotFormat(SnapshotError):
    """A snapshot has a format that this release does not support."""

    code = "configuration.snapshot.unknown_form"

    def __init__(self, snapshot_format: object) -> None:
        super().__init__(
            f"configuration snapshot: format {snapshot_format!r} is unknown, expected {SNAPSHOT_FORMAT}: "
            "restore it with the release that wrote it"
        )


class UnreadableSnapshot(SnapshotError):
    """A snapshot is damaged, or the bytes are not a snapshot."""

    code = "configuration.snapshot.unreadable"

    def __init__(self, reason: str) -> None:
        super().__init__(f"configuration snapshot: {reason}: use a snapshot from another replica")


@attrs.frozen(eq=False)
class SnapshotContent:
    """The content of a snapshot; the order of items is part of the state."""

    document: Document | None
    history: dict[bytes, int]  # the version that each accepted order produced, by the order's digest
    evicted_version: int  # the highest version produced by an order evicted from the history
    placements: tuple[ShardPlacement, ...]
    retiring: tuple[str, ...]  # node names
    disks: tuple[DiskRecord, ...]
    removals: tuple[ShardRemoval, ...]


def encode_snapshot(content: SnapshotContent) -> bytes:
    """Encodes a snapshot; equal states give equal bytes."""
    head = {
        _FORMAT: SNAPSHOT_FORMAT,
        _HISTORY: [[digest.hex(), version] for digest, version in content.history.items()],
        _FORGOTTEN: content.evicted_version,
        _PLACEMENTS: [encode_placement(placement).decode() for placement in content.placements],
        _RETIRING: list(content.retiring),
        _DISKS: [encode_disk(disk).decode() for disk in content.disks],
        _REMOVALS: [encode_shard_removal(removal).decode() for removal in content.removals],
    }
    body = content.document.body if content.document is not None else b""
    return encode_json(head) + b"\n" + body


def decode_snapshot(snapshot: bytes) -> SnapshotContent:
    """Decodes a snapshot; raises `SnapshotError`."""
    head_line, _, body = bytes(snapshot).partition(b"\n")
    try:
        head = json.loads(head_line)
        if head[_FORMAT] != SNAPSHOT_FORMAT:
            raise UnknownSnapshotFormat(head[_FORMAT])
        return SnapshotContent(
            document=read_accepted(body) if body else None,
            history={bytes.fromhex(digest): int(version) for digest, version in head[_HISTORY]},
            evicted_version=int(head.get(_FORGOTTEN, 0)),
            placements=_decode_all(decode_placement, head[_PLACEMENTS]),
            retiring=tuple(str(node) for node in head[_RETIRING]),
            disks=_decode_all(decode_disk, head.get(_DISKS, ())),
            removals=_decode_all(decode_shard_removal, head.get(_REMOVALS, ())),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise UnreadableSnapshot(f"{type(error).__name__}: {error}") from None


def _decode_all(decode: Callable[[bytes], _Record | None], texts: Iterable[str]) -> tuple[_Record, ...]:
    records = []
    for text in texts:
        record = decode(text.encode())
        if record is None:
            raise UnreadableSnapshot(f"invalid record, rejected by `{decode.__name__}`")
        records.append(record)
    return tuple(records)
