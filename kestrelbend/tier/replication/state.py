"""The state that all roles of a replica share: its term, vote, log, pending writes and effects.

Raft's persistent state (Ongaro 2014, figure 3.1) is the term, the vote and the log; the commit index and
pending writes are not stored.

Invariant: the term never decreases, and at most one vote is given in a term.
Hazard: a message that is sent before the write on which it depends; such messages go through
`send_after_write`.
"""

from __future__ import annotations

from .disk import WriteTracker
from .effects import Effects
from .group import Voters
from .log import ReplicaLog
from .messages import DurableRecord, DurableState, Entry, ReplicaId, ReplicaMessage, ShardId, Snapshot
from .snapshot_transfer import SnapshotReceiver
from .timing import Timing


class ReplicaState:
    """The shared state; `begin_write` collects all changes since the last write into one record."""

    def __init__(self, shard: ShardId, identity: ReplicaId, durable: DurableState, timing: Timing) -> None:
        self.shard = shard
        self.identity = identity
        self.timing = timing
        self.term = durable.term
        self.voted_for = durable.voted_for
        self.commit_index = durable.snapshot.index
        self.log = ReplicaLog(durable)
        self.disk = WriteTracker()
        self.effects = Effects()
        self.snapshot_receiver = SnapshotReceiver()
        self._after_write: list[tuple[ReplicaId, ReplicaMessage]] = []
        self._hard_state_changed = False
        self._hard_state_ticket = 0

    @property
    def hard_state_durable(self) -> bool:
        """Whether the present term and vote are durable."""
        return not self._hard_state_changed and self._hard_state_ticket <= self.disk.completed

    @property
    def voters(self) -> Voters:
        """The voters named by the newest GROUP entry, committed or not."""
        return self.log.voters

    @property
    def is_voter(self) -> bool:
        """Whether the replica's own log names it as a voter."""
        return self.identity in self.log.voters

    def other_voters(self) -> Voters:
        """The voters except this replica."""
        return tuple(voter for voter in self.log.voters if voter != self.identity)

    def disk_stalls(self, now: float) -> bool:
        """Whether a write has been pending for so long that this replica should not lead."""
        return self.disk.is_stalled(now, self.timing.disk_stall)

    def send(self, receiver: ReplicaId, message: ReplicaMessage) -> None:
        """Sends a message that depends on no write."""
        self.effects.sends.append((receiver, message))

    def send_after_write(self, receiver: ReplicaId, message: ReplicaMessage) -> None:
        """Sends a message once all changes up to now are durable."""
        self._after_write.append((receiver, message))

    def raise_term(self, term: int) -> None:
        """Enters `term` without a vote in it, if it is newer."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._hard_state_changed = True

    def vote_for(self, candidate: ReplicaId) -> None:
        """Votes for the candidate in the present term."""
        assert self.voted_for in ("", candidate), "two votes in one term"
        if self.voted_for != candidate:
            self.voted_for = candidate
            self._hard_state_changed = True

    def commit_to(self, index: int) -> None:
        """Raises the commit index to `index` and hands out the newly committed entries to be applied."""
        if index > self.commit_index:
            self.effects.applied.extend(self.log.entries_between(self.commit_index + 1, index))
            self.commit_index = index
            self.snapshot_receiver.discard_up_to(index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Installs a leader's snapshot if it is ahead of the commit index."""
        if snapshot.index > self.commit_index:
            self.log.install_snapshot(snapshot, self.commit_index)
            self.commit_index = snapshot.index
            self.snapshot_receiver.discard_up_to(snapshot.index)
            self.effects.restore = snapshot
            self.effects.applied.clear()

    def begin_write(self, now: float) -> None:
        """Issues one write of all changes, if there are any; sends the messages whose writes are complete."""
        if self._hard_state_changed or self.log.has_unwritten():
            ticket = self.disk.issue(now)
            entries, snapshot = self.log.begin_write(ticket)
            if self._hard_state_changed:
                self._hard_state_ticket = ticket
                self._hard_state_changed = False
            self.effects.writes.append((ticket, self.record(entries, snapshot)))
        for send in self._after_write:
            self.disk.defer(send)
        self._after_write.clear()
        self.effects.sends.extend(self.disk.release_ready())

    def complete_write(self, ticket: int) -> None:
        """The write `ticket`, and all before it, are durable."""
        self.disk.complete(ticket)
        self.log.end_write(ticket)

    def record(self, entries: tuple[Entry, ...], snapshot: Snapshot | None) -> DurableRecord:
        """A record of these entries and this snapshot with the present term and vote."""
        return DurableRecord(self.shard, self.identity, self.term, self.voted_for, entries, snapshot)

    def drain_effects(self) -> Effects:
        """Returns the collected effects and starts an empty collection."""
        effects, self.effects = self.effects, Effects()
        return effects
