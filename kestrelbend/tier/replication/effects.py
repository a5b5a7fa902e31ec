"""What a replica wants done outside: messages, writes, commands to apply, reads that may be answered.

Invariant: messages that depend on a write are not here before that write was reported as done, so a
carrier may send at once.
Hazard: applying before restoring, or dropping either: both belong to one sequence of states.
"""

from __future__ import annotations

import attrs

from .messages import DurableRecord, Entry, ReplicaId, ReplicaMessage, Snapshot


@attrs.define
class Effects:
    """Drained by `Replica.drain_effects`; `restore` goes before `applied`, and `applied` before
    `confirmed_reads`.
    """

    sends: list[tuple[ReplicaId, ReplicaMessage]] = attrs.field(factory=list)
    writes: list[tuple[int, DurableRecord]] = attrs.field(factory=list)
    restore: Snapshot | None = None
    applied: list[Entry] = attrs.field(factory=list)
    confirmed_reads: list[int] = attrs.field(factory=list)
    failed_reads: list[int] = attrs.field(factory=list)  # their leadership ended first
    leadership_changed: bool = False
