"""The state machine of a budget shard: applies the shard's log entries to a budget table."""

from __future__ import annotations

from kestrelbend.tier.budgets.commands import decode_commands, decode_elapsed_ms
from kestrelbend.tier.budgets.messages import ReserveOutcome
from kestrelbend.tier.budgets.table import BudgetTable
from kestrelbend.tier.budgets.table_snapshot import TableSnapshot


class BudgetStateMachine:
    """A budget table as a replicated state machine; each log entry holds the commands of one request.

    Invariant: applying an entry is deterministic, so all replicas compute the same outcomes.
    """

    def __init__(self) -> None:
        self.table = BudgetTable()

    def apply(self, command: bytes) -> tuple[ReserveOutcome, ...]:
        """Applies one request's commands, settlements first; returns the outcomes of its reservations."""
        self.table.advance(decode_elapsed_ms(command))
        settlements, reserves = decode_commands(command)
        for settlement in settlements:
            self.table.settle(settlement)
        return tuple([self.table.reserve(reserve) for reserve in reserves])

    def begin_snapshot(self) -> TableSnapshot:
        """Starts a snapshot of the current table, which is encoded in steps."""
        return self.table.begin_snapshot()

    def snapshot(self) -> bytes:
        """Encodes the complete table at once."""
        return self.table.snapshot()

    def restore(self, state: bytes) -> None:
        """Replaces the table by that of a snapshot."""
        self.table.restore(state)
