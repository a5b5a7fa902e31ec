"""A replica with its state machine: applies commands, answers proposers, takes snapshots in steps.

Invariants: the state machine has applied exactly the committed entries up to the replica's
`applied_index`, in order; each proposal and each read is answered once.
Hazard: an entry of another leader at the index of a proposal: the outcome counts only if the entry
has the term in which the command was proposed.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from .effects import Effects
from .interfaces import OutcomeCallback, SnapshotImage, StateMachine
from .messages import Entry, EntryKind
from .replica import Replica

COMPACT_ENTRIES = 2000  # entries between two snapshots, unless the entries are large
COMPACT_BYTES = 16 << 20  # bytes of commands after which a snapshot is due
SNAPSHOT_STEPS_PER_TICK = 4


@attrs.define
class PendingProposal:
    """A command that was appended in `term` and whose proposer waits."""

    term: int
    outcome: OutcomeCallback


@attrs.frozen
class PendingSnapshot:
    """A pending snapshot of the state after the entry `index`."""

    index: int
    image: SnapshotImage


@attrs.define(eq=False)
class HostedReplica:
    """One replica in its process."""

    replica: Replica
    state_machine: StateMachine
    _proposals: dict[int, PendingProposal] = attrs.field(factory=dict, init=False)  # by index
    _reads: dict[int, Callable[[bool], None]] = attrs.field(factory=dict, init=False)  # by ticket
    _snapshot: PendingSnapshot | None = attrs.field(default=None, init=False)
    _applied_bytes: int = attrs.field(default=0, init=False)  # since the last snapshot began

    def propose(self, command: bytes, outcome: OutcomeCallback, now: float) -> bool:
        """Proposes a command; returns False if this replica can't accept it."""
        index = self.replica.propose(command, now)
        if index is None:
            return False
        self._proposals[index] = PendingProposal(self.replica.term, outcome)
        return True

    def confirm_read(self, outcome: Callable[[bool], None], now: float) -> bool:
        """Begins a read index operation; returns False if this replica can't confirm one."""
        ticket = self.replica.confirm_read(now)
        if ticket is None:
            return False
        self._reads[ticket] = outcome
        return True

    def apply_effects(self, effects: Effects) -> None:
        """Applies committed entries to the state machine and answers the proposals and reads that waited."""
        if effects.restore is not None:
            self._snapshot = None
            self._applied_bytes = 0
            self.state_machine.restore(effects.restore.state)
            self._fail_proposals()
        for entry in effects.applied:
            self._apply(entry)
        for ticket in effects.confirmed_reads:
            self._answer_read(ticket, True)
        for ticket in effects.failed_reads:
            self._answer_read(ticket, False)
        if self._proposals and not self.replica.is_leader:
            self._fail_proposals()

    def _apply(self, entry: Entry) -> None:
        outcome = None
        if entry.kind == EntryKind.COMMAND:
            outcome = self.state_machine.apply(entry.data)
        self._begin_snapshot_when_due(entry)
        pending = self._proposals.pop(entry.index, None)
        if pending is not None:
            pending.outcome(outcome if pending.term == entry.term else None)

    def _fail_proposals(self) -> None:
        pending, self._proposals = self._proposals, {}
        for proposal in pending.values():
            proposal.outcome(None)

    def _answer_read(self, ticket: int, confirmed: bool) -> None:
        outcome = self._reads.pop(ticket, None)
        if outcome is not None:
            outcome(confirmed)

    def _begin_snapshot_when_due(self, entry: Entry) -> None:
        """Begins a snapshot after the entry, at the same indexes on all replicas unless entries are large.

        Replicas that took the same snapshot can continue each other's transfers.
        """
        self._applied_bytes += len(entry.data)
        due = entry.index % COMPACT_ENTRIES == 0 or self._applied_bytes >= COMPACT_BYTES
        if due and self._snapshot is None:
            self._snapshot = PendingSnapshot(entry.index, self.state_machine.begin_snapshot())
            self._applied_bytes = 0

    @property
    def is_taking_snapshot(self) -> bool:
        """Whether a snapshot is pending."""
        return self._snapshot is not None

    def advance_snapshot(self) -> bool:
        """Runs some steps of the pending snapshot; returns True if it completed and the log was compacted."""
        pending = self._snapshot
        if pending is None:
            return False
        for _ in range(SNAPSHOT_STEPS_PER_TICK):
            state = pending.image.advance()
            if state is not None:
                self._snapshot = None
                self.replica.compact(pending.index, state)
                return True
        return False
