"""What a host of replicas needs of others: state machines, their snapshots, and the process's disk.

Hazard: a state machine whose `apply` depends on anything but its state and the command: its replicas
would differ without anybody noticing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..storage.records import Record

# Called with the state machine's outcome, or with None where the command may or may not have been applied.
OutcomeCallback = Callable[[Any], None]


class SnapshotImage(Protocol):
    """A state machine's state at one moment, on its way to bytes."""

    def advance(self) -> bytes | None:
        """A step of a few milliseconds; the complete state with the last one."""


class StateMachine(Protocol):
    """What a shard's committed commands are applied to."""

    def apply(self, command: bytes) -> object:
        """Applies one command; deterministic.  The outcome goes to the proposer, if it is here."""

    def begin_snapshot(self) -> SnapshotImage:
        """The state as it is now, to be saved in steps while commands go on being applied."""

    def snapshot(self) -> bytes:
        """The complete state at once."""

    def restore(self, state: bytes) -> None:
        """Replaces the state by a snapshot's."""


class Journal(Protocol):
    """The process's disk, see `storage.journal`."""

    @property
    def wants_checkpoint(self) -> bool:
        """Whether the records have grown so large that a checkpoint should replace them."""

    def append(self, ticket: int, record: Record) -> None:
        """Takes a record to be written; its ticket comes back once it is durable."""

    def checkpoint(self, records: list[Record]) -> None:
        """Replaces all records so far by these."""
