"""The state of a leader: its followers, heartbeat rounds and pending reads.

Commitment by a majority's disks (Ongaro 2014, sections 3.5 and 3.6.2), check-quorum (6.2), and reads that
a heartbeat round confirms (6.4).

Invariant: a follower counts as storing only what its replies of this term have acknowledged, and a read
counts as confirmed only by a round that began after the read was requested.
Hazard: entries of older terms that a majority stores may still be replaced by a later leader; they are
committed only together with an entry of this term.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import attrs

from .entry_sender import EntrySender
from .group import has_quorum, quorum_size
from .messages import AppendReply, Entry, EntryKind, ReplicaId, SnapshotReply
from .progress import NEVER, HeartbeatRounds, Progress
from .read_index import LOCAL_REQUESTER, PendingRead, PendingReads
from .state import ReplicaState


@attrs.define
class CommitPoint:
    """The commit index at a time, in seconds of the monotonic clock."""

    at: float
    commit_index: int


class LeaderState:
    """The leader's side of replication in one term.

    Invariant: a follower counts as storing only what its replies of this term have acknowledged.
    """

    def __init__(self, state: ReplicaState, now: float, announces_commits: bool) -> None:
        self.first_index_of_term = state.log.last_index + 1
        self.elected_at = now
        self.followers: dict[ReplicaId, Progress] = {}
        self._state = state
        self._log = state.log
        self._timing = state.timing
        self._rounds = HeartbeatRounds()
        self._sender = EntrySender(state, self._rounds, now, announces_commits)
        self._reads = PendingReads()
        self._round_started_at = NEVER
        self._round_requested = False
        self._commit_history: deque[CommitPoint] = deque()  # one for each round

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Appends an entry of this term and returns its index."""
        index = self._log.last_index + 1
        self._log.append(Entry(index, self._state.term, kind, data))
        return index

    def set_followers(self, identities: Iterable[ReplicaId]) -> None:
        """Sets the replicas that receive the log from now on."""
        selected = dict.fromkeys(identity for identity in identities if identity != self._state.identity)
        for identity in [known for known in self.followers if known not in selected]:
            del self.followers[identity]
        for identity in selected:
            if identity not in self.followers:
                self.followers[identity] = Progress(next_index=self._log.last_index + 1)

    def begin_round(self, now: float) -> None:
        """Begins a heartbeat round; its messages are sent by the next `send_due`."""
        self._rounds.start(now)
        self._commit_history.append(CommitPoint(now, self._state.commit_index))
        self._trim_commit_history(now - self._timing.election_timeout)
        self._round_started_at = now
        self._round_requested = False

    def begin_due_round(self, now: float) -> None:
        """Begins a round if the last one is a heartbeat interval old."""
        if now - self._round_started_at >= self._timing.heartbeat:
            self.begin_round(now)

    def confirm_read(self, ticket: int) -> None:
        """Adds a local read of what is committed now, or of this term's first entry if that is later."""
        self._add_read(ticket, LOCAL_REQUESTER)
        self._round_requested = True

    def confirm_for_follower(self, follower: ReplicaId, ticket: int) -> None:
        """Adds a follower's read; waiting for the next heartbeat round costs no additional messages."""
        self._add_read(ticket, follower)

    def _add_read(self, ticket: int, requester: ReplicaId) -> None:
        self._reads.add(PendingRead(ticket, self._rounds.current + 1, self._read_index(), requester))

    def _read_index(self) -> int:
        """The index a read must see: the commit index, and at least the first entry of this term.

        A new leader knows all that is committed only once its first entry is.
        """
        return max(self._state.commit_index, self.first_index_of_term)

    def pending_local_reads(self) -> list[int]:
        """The tickets of this replica's own reads that wait for confirmation."""
        return self._reads.local_tickets()

    def confirmed_reads(self) -> list[PendingRead]:
        """Removes and returns the reads that may be answered now."""
        if not self._reads:
            return []
        return self._reads.take_ready(self._majority_round(), self._state.commit_index)

    @property
    def confirmed_at(self) -> float:
        """The start time of the latest round that a majority has acknowledged, or NEVER."""
        return self._rounds.started_at(self._majority_round())

    def _majority_round(self) -> int:
        return self._quorum_value(self._acknowledged_round)

    def receive_append_reply(self, reply: AppendReply, now: float) -> None:
        """Handles a follower's reply of this term."""
        progress = self._record_contact(reply)
        if progress is None:
            return
        if reply.accepted:
            progress.record_match(min(reply.match_index, self._log.last_index), now)
        self._end_unneeded_transfer(progress, reply)
        if reply.accepted or progress.snapshot_sender is not None:
            return
        if reply.round >= progress.fallback_round:
            self._rounds.start(self._round_started_at)
            progress.fall_back(reply.match_index, self._rounds.current)

    def receive_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Handles a follower's reply about the snapshot in transit to it."""
        progress = self._record_contact(reply)
        if progress is None or progress.snapshot_sender is None:
            return
        progress.snapshot_sender.receive_reply(reply, now)
        if progress.snapshot_sender.is_complete:
            progress.next_index = progress.snapshot_sender.snapshot.index
            progress.record_sent(progress.snapshot_sender.snapshot.index, 0, now)
            progress.snapshot_sender = None

    def resend(self, identity: ReplicaId) -> None:
        """Treats what is in flight to this replica as lost with its connection."""
        progress = self.followers.get(identity)
        if progress is not None:
            progress.resend()

    def needed_after(self, now: float) -> int:
        """The index after which followers that have replied lately still need entries."""
        recent = (
            progress
            for progress in self.followers.values()
            if now - progress.last_contact_at <= self._timing.retention
        )
        needed = (progress.needed_after for progress in recent)
        return min((index for index in needed if index >= self._log.base_index), default=self._log.last_index)

    def _record_contact(self, reply: AppendReply | SnapshotReply) -> Progress | None:
        """Records that a follower confirmed the leadership in the reply's round."""
        progress = self.followers.get(reply.sender)
        if progress is None or reply.round > self._rounds.current:
            return None
        progress.last_contact_at = max(progress.last_contact_at, self._rounds.started_at(reply.round))
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        return progress

    def _end_unneeded_transfer(self, progress: Progress, reply: AppendReply) -> None:
        """Ends a snapshot transfer that the follower no longer needs.

        That is so once its log reaches the base of this log, or it has committed up to the snapshot's index.
        """
        snapshot_sender = progress.snapshot_sender
        if snapshot_sender is None:
            return
        if (
            progress.match_index >= self._log.base_index
            or reply.match_index >= snapshot_sender.snapshot.index
        ):
            progress.snapshot_sender = None

    def advance_commit(self) -> bool:
        """Commits what is durable at a majority; returns whether the commit index advanced.

        Entries of older terms are committed only together with one of this term (Ongaro 2014, 3.6.2).
        """
        index = self._quorum_value(self._match_index)
        if index <= self._state.commit_index or index < self.first_index_of_term:
            return False
        self._state.commit_to(index)
        return True

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.commit_index >= self.first_index_of_term

    def is_live(self, identity: ReplicaId, now: float) -> bool:
        """Whether the replica acknowledged a round that began within the election timeout."""
        if identity == self._state.identity:
            return True
        progress = self.followers.get(identity)
        return progress is not None and now - progress.last_contact_at <= self._timing.election_timeout

    def has_quorum_contact(self, now: float) -> bool:
        """Whether a majority of the voters is live, or this term is too young to tell."""
        if now - self.elected_at <= self._timing.election_timeout:
            return True
        return has_quorum(self._state.voters, lambda voter: self.is_live(voter, now))

    def is_caught_up(self, identity: ReplicaId, now: float) -> bool:
        """Whether the replica's disk holds all that was committed an election timeout ago.

        It receives the rest sooner than a leader could be replaced (the last round of Ongaro 2014, 4.2.1).
        A replica that holds all that is committed now is caught up however young the leadership is.
        """
        return self._match_index(identity) >= self._committed_before(now - self._timing.election_timeout)

    def has_stored(self, identity: ReplicaId, index: int) -> bool:
        """Whether the replica's disk holds the log up to `index`."""
        return self._match_index(identity) >= index

    def _committed_before(self, cutoff: float) -> int:
        """The newest commit index recorded at `cutoff` or before, or the present one if there is none."""
        self._trim_commit_history(cutoff)
        if not self._commit_history or self._commit_history[0].at > cutoff:
            return self._state.commit_index
        return max(self.first_index_of_term, self._commit_history[0].commit_index)

    def _trim_commit_history(self, cutoff: float) -> None:
        """Keeps the newest commit point of `cutoff` or before, and all later ones."""
        while len(self._commit_history) > 1 and self._commit_history[1].at <= cutoff:
            self._commit_history.popleft()

    def send_due(self, now: float) -> None:
        """Sends the followers all that is due, after beginning a round if reads wait for one."""
        if self._round_requested:
            self.begin_round(now)
        self._sender.send_due(self.followers, now)

    def _match_index(self, identity: ReplicaId) -> int:
        if identity == self._state.identity:
            return self._log.durable_index
        progress = self.followers.get(identity)
        return progress.match_index if progress else 0

    def _acknowledged_round(self, identity: ReplicaId) -> int:
        if identity == self._state.identity:
            return self._rounds.current
        progress = self.followers.get(identity)
        return progress.acknowledged_round if progress else 0

    def _quorum_value(self, value_of: Callable[[ReplicaId], int]) -> int:
        """The highest value that a majority of the voters has reached."""
        voters = self._state.voters
        values = sorted((value_of(voter) for voter in voters), reverse=True)
        return values[quorum_size(voters) - 1] if values else 0
