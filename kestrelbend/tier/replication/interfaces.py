"""What a host of replicas needs from other packages: state machines, snapshots, the process's journal.

Hazard: a state machine whose `apply` depends on anything but its state and the command: its replicas
would diverge undetected.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..storage.records import Record

# Called with the state machine's outcome, or with None where the command may or may not have been applied.
OutcomeCallback = Callable[[Any], None]


class SnapshotImage(Protocol):
    """A state machine's state at one point in time, serialized in steps."""

    def advance(self) -> bytes | None:
        """Runs one step of a few milliseconds; returns the complete state with the last step."""


class StateMachine(Protocol):
    """The state machine to which a shard's committed commands are applied."""

    def apply(self, command: bytes) -> object:
        """Applies one command; deterministic.  The outcome goes to the proposer, if it is in this process."""

    def begin_snapshot(self) -> SnapshotImage:
        """Captures the present state, to be serialized in steps while further commands are applied."""

    def snapshot(self) -> bytes:
        """Returns the complete state at once."""

    def restore(self, state: bytes) -> None:
        """Replaces the state with that of a snapshot."""


class Journal(Protocol):
    """The process's journal on its disk, see `storage.journal`."""

    @property
    def wants_checkpoint(self) -> bool:
        """Whether the records have grown so large that a checkpoint should replace them."""

    def append(self, ticket: int, record: Record) -> None:
        """Queues a record to be written; its ticket is reported once the record is durable."""

    def checkpoint(self, records: list[Record]) -> None:
        """Replaces all records so far with these."""
