"""Records as a journal takes them: bytes, or the means to make them on the thread that writes them.

Making the bytes of a large record takes long enough to hold up the event loop, so the writer's thread makes
them.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.frozen(eq=False)
class DeferredRecord:
    """A record that is made when it is written; `make` gives the same bytes at each call.

    `size` is about its length in bytes, and serves to decide what is written together.
    """

    size: int
    make: Callable[[], bytes]


Record = bytes | DeferredRecord
"""What a journal takes."""


def record_size(record: Record) -> int:
    """About the length of a record in bytes."""
    return record.size if isinstance(record, DeferredRecord) else len(record)


def record_bytes(record: Record) -> bytes:
    """The record's bytes, made now where that was deferred."""
    return record.make() if isinstance(record, DeferredRecord) else record
