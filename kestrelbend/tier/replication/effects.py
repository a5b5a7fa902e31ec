"""What a replica asks its host to do: send messages, write records, apply commands, answer reads.

Invariant: a message that depends on a write is added only after that write was reported as complete, so
the host may send all messages at once.
Hazard: applying `applied` before `restore`, or dropping either: both belong to one sequence of states.
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
    failed_reads: list[int] = attrs.field(factory=list)  # the leadership ended before they were confirmed
    leadership_changed: bool = False
