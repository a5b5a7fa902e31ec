"""How the configuration shard's state is written as a snapshot: a line of JSON, then the current document.

The document's body stands at the end as it is, so that writing a snapshot costs no encoding of it.

Invariant: `decode_snapshot` gives back what `encode_snapshot` was given, or raises; it never gives a part.
Hazard: snapshots lie on disks of earlier releases.  Keys and their order never change; a key that was added
later is absent in older snapshots and stands for nothing then.
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

SNAPSHOT_FORM = 1

# Keys of a snapshot's head: they stand in snapshots on disk, apart from the names of fields.
_FORM = "form"
_HISTORY = "history"
_FORGOTTEN = "forgotten"
_PLACEMENTS = "placements"
_RETIRING = "retiring"
_DISKS = "disks"
_EMPTIED = "emptied"

_Record = TypeVar("_Record")


class SnapshotError(TierError):
    """A snapshot of the configuration can't be used; the state stays as it was."""

    code = "configuration.snapshot"


class UnknownSnapshotForm(SnapshotError):
    """A snapshot was written by a release that knows another form."""

    code = "configuration.snapshot.unknown_form"

    def __init__(self, form: object) -> None:
        super().__init__(
            f"configuration's snapshot: form {form!r} is unknown, {SNAPSHOT_FORM} is read: "
            "restore it by the release that wrote it"
        )


class UnreadableSnapshot(SnapshotError):
    """A snapshot is damaged, or isn't one."""

    code = "configuration.snapshot.unreadable"

    def __init__(self, reason: str) -> None:
        super().__init__(f"configuration's snapshot: {reason}: take one from another replica")


@attrs.frozen(eq=False)
class SnapshotContent:
    """What a snapshot holds; the order of the items is part of the state."""

    document: Document | None
    history: dict[bytes, int]  # the version that each accepted order brought, by the order's digest
    forgotten_version: int  # the highest version that an order brought which the history holds no more
    placements: tuple[ShardPlacement, ...]
    retiring: tuple[str, ...]  # names of nodes
    disks: tuple[DiskRecord, ...]
    emptied: tuple[ShardRemoval, ...]


def encode_snapshot(content: SnapshotContent) -> bytes:
    """The snapshot's bytes; equal states give equal bytes."""
    head = {
        _FORM: SNAPSHOT_FORM,
        _HISTORY: [[digest.hex(), version] for digest, version in content.history.items()],
        _FORGOTTEN: content.forgotten_version,
        _PLACEMENTS: [encode_placement(placement).decode() for placement in content.placements],
        _RETIRING: list(content.retiring),
        _DISKS: [encode_disk(disk).decode() for disk in content.disks],
        _EMPTIED: [encode_shard_removal(fact).decode() for fact in content.emptied],
    }
    body = content.document.body if content.document is not None else b""
    return encode_json(head) + b"\n" + body


def decode_snapshot(snapshot: bytes) -> SnapshotContent:
    """What a snapshot holds; raises `SnapshotError`."""
    head_line, _, body = bytes(snapshot).partition(b"\n")
    try:
        head = json.loads(head_line)
        if head[_FORM] != SNAPSHOT_FORM:
            raise UnknownSnapshotForm(head[_FORM])
        return SnapshotContent(
            document=read_accepted(body) if body else None,
            history={bytes.fromhex(digest): int(version) for digest, version in head[_HISTORY]},
            forgotten_version=int(head.get(_FORGOTTEN, 0)),
            placements=_decode_all(decode_placement, head[_PLACEMENTS]),
            retiring=tuple(str(node) for node in head[_RETIRING]),
            disks=_decode_all(decode_disk, head.get(_DISKS, ())),
            emptied=_decode_all(decode_shard_removal, head.get(_EMPTIED, ())),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise UnreadableSnapshot(f"{type(error).__name__}: {error}") from None


def _decode_all(decode: Callable[[bytes], _Record | None], texts: Iterable[str]) -> tuple[_Record, ...]:
    records = []
    for text in texts:
        record = decode(text.encode())
        if record is None:
            raise UnreadableSnapshot(f"no record that `{decode.__name__}` reads")
        records.append(record)
    return tuple(records)
