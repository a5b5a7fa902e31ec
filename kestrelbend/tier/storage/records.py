"""Records that can be appended to a journal: bytes, or a function that encodes them in the writer thread.

Encoding a large record takes long enough to block the event loop, so the writer thread does it.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.frozen(eq=False)
class DeferredRecord:
    """A record that is encoded when it is written; `encode` must return the same bytes at each call.

    `size` is its approximate length in bytes, used to group the records that are written together.
    """

    size: int
    encode: Callable[[], bytes]


Record = bytes | DeferredRecord
"""A record in either form."""


def record_size(record: Record) -> int:
    """Returns the approximate length of a record in bytes."""
    return record.size if isinstance(record, DeferredRecord) else len(record)


def record_bytes(record: Record) -> bytes:
    """Returns the record's bytes; encodes a deferred record."""
    return record.encode() if isinstance(record, DeferredRecord) else record
