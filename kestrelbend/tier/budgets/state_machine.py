"""A budget table as a shard's state machine, which every replica applies the shard's entries to."""

from __future__ import annotations

from kestrelbend.tier.budgets.commands import decode_commands, decode_elapsed_ms
from kestrelbend.tier.budgets.messages import ReserveOutcome
from kestrelbend.tier.budgets.table import BudgetTable
from kestrelbend.tier.budgets.table_snapshot import TableSnapshot


class BudgetStateMachine:
    """An entry holds the commands of one request.

    Invariant: applying an entry is deterministic, so all replicas give the same outcomes.
    """

    def __init__(self) -> None:
        self.table = BudgetTable()

    def apply(self, command: bytes) -> tuple[ReserveOutcome, ...]:
        """Applies one request's commands, settlements first; the outcomes are its reservations'."""
        self.table.advance(decode_elapsed_ms(command))
        settlements, reserves = decode_commands(command)
        for settlement in settlements:
            self.table.settle(settlement)
        return tuple([self.table.reserve(reserve) for reserve in reserves])

    def begin_snapshot(self) -> TableSnapshot:
        """The table as it is now, to be encoded in steps."""
        return self.table.begin_snapshot()

    def snapshot(self) -> bytes:
        """The complete table, encoded at once."""
        return self.table.snapshot()

    def restore(self, state: bytes) -> None:
        """Replaces the table by a snapshot's."""
        self.table.restore(state)
