"""Replays the records of a replica's disk, in order, to the state with which the replica starts.

Invariant: after any prefix of the records, the state is one that the replica itself was in, so an
entry that it has acknowledged is found again.
Hazard: entries after a snapshot with which they are inconsistent; see `entries_after`.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import DurableRecord, DurableState, Entry, Snapshot


def apply_record(state: DurableState, record: DurableRecord) -> None:
    """Applies one record to `state`."""
    state.term = record.term
    state.voted_for = record.voted_for
    if record.snapshot is not None:
        state.entries = entries_after(state, record.snapshot)
        state.snapshot = record.snapshot
    if record.entries:
        keep = record.entries[0].index - state.snapshot.index - 1
        state.entries = state.entries[:keep] + list(record.entries)


def entries_after(state: DurableState, snapshot: Snapshot) -> list[Entry]:
    """The entries that follow `snapshot`; none if the log held another entry at the snapshot's index.

    Entries after another entry at that index were never committed; if they were kept, the replica would vote
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
