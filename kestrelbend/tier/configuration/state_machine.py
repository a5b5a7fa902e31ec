"""Adapts the configuration's state to the replication of a shard."""

from __future__ import annotations

import attrs

from ..protocol.codec import decode
from .messages import ConfigOrder, ConfigOutcome
from .state import ConfigurationState


@attrs.frozen
class FinishedSnapshot:
    """A snapshot that was encoded in one step."""

    state: bytes

    def advance(self) -> bytes:
        """Returns the complete encoded state."""
        return self.state


class ConfigurationStateMachine:
    """Adapts `ConfigurationState` to the state machine interface of a shard."""

    def __init__(self) -> None:
        self.state = ConfigurationState()

    def apply(self, command: bytes) -> ConfigOutcome:
        """Applies an encoded order."""
        order: ConfigOrder = decode(command)
        return self.state.apply(order)

    def begin_snapshot(self) -> FinishedSnapshot:
        """Returns a snapshot of the state; it takes milliseconds because the document is kept as bytes."""
        return FinishedSnapshot(self.state.snapshot())

    def snapshot(self) -> bytes:
        """Returns the complete encoded state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replaces the state; raises `snapshot.SnapshotError` and keeps the state if it is unreadable."""
        self.state.restore(state)
