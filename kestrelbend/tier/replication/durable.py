"""How the records of a replica's disk, in their order, give the state that it begins with.

Invariant: after any prefix of the records, the state is one that the replica itself was in, so an
entry that it has acknowledged is found again.
Hazard: entries behind a snapshot that they don't follow; see `entries_after`.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import DurableRecord, DurableState, Entry, Snapshot


def apply_record(state: DurableState, record: DurableRecord) -> None:
    """Brings `state` from before the write of `record` to after it."""
    state.term = record.term
    state.voted_for = record.voted_for
    if record.snapshot is not None:
        state.entries = entries_after(state, record.snapshot)
        state.snapshot = record.snapshot
    if record.entries:
        keep = record.entries[0].index - state.snapshot.index - 1
        state.entries = state.entries[:keep] + list(record.entries)


def entries_after(state: DurableState, snapshot: Snapshot) -> list[Entry]:
    """The entries that follow `snapshot`: none where the entry at its index was another one.

    Entries behind another one's place were never committed; to keep them would let the replica vote
    by a log that it doesn't hold.
    """
    offset = snapshot.index - state.snapshot.index
    if offset == 0:
        follows = state.snapshot.term == snapshot.term
    else:
        follows = 0 < offset <= len(state.entries) and state.entries[offset - 1].term == snapshot.term
    return state.entries[offset:] if follows else []


def replay(records: Iterable[DurableRecord]) -> DurableState:
    """The state that a disk with these records holds."""
    state = DurableState()
    for record in records:
        apply_record(state, record)
    return state
