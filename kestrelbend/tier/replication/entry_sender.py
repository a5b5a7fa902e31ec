"""Decides what a leader sends its followers and when: heartbeats, entries, snapshots, a new commit index.

Log replication (Ongaro 2014, section 3.5) with pipelined entries (10.2.1): entries are sent before they are
durable at the leader.

Invariant: a message's `previous_index` names an entry that the follower can hold when the message arrives,
even if smaller messages overtake larger ones.
Hazard: entries that are sent again and again to a follower that is slow but has lost nothing; see
`Progress.may_be_overtaken`.
"""

from __future__ import annotations

from .messages import AppendEntries, Entry, ReplicaId
from .progress import HeartbeatRounds, Progress
from .snapshot_transfer import SnapshotSender, chunk_message
from .state import ReplicaState

ENTRY_BYTES = 64  # approximate size of an entry without its data


class EntrySender:
    """The sending side of one leadership, which began at `elected_at` seconds of the monotonic clock."""

    def __init__(
        self, state: ReplicaState, rounds: HeartbeatRounds, elected_at: float, announces_commits: bool
    ) -> None:
        self._state = state
        self._log = state.log
        self._timing = state.timing
        self._rounds = rounds
        self._elected_at = elected_at
        self._announces_commits = announces_commits  # at once instead of with the next entries or round

    def send_due(self, followers: dict[ReplicaId, Progress], now: float) -> None:
        """Sends each follower all that is due.

        A follower that has not replied for a while receives only heartbeats until it replies.
        """
        for identity, progress in followers.items():
            if progress.sent_round < self._rounds.current:
                self._send_append(identity, progress, (), now)
            if now - max(progress.last_contact_at, self._elected_at) > self._timing.reply_timeout:
                continue
            self._send_entries(identity, progress, now)
            if self._announces_commits and self._lacks_commit(progress, now):
                self._send_append(identity, progress, (), now)

    def _lacks_commit(self, progress: Progress, now: float) -> bool:
        """Whether the follower could commit more than the commit index it was sent."""
        return progress.sent_commit_index < min(self._state.commit_index, self._previous_index(progress, now))

    def _send_entries(self, identity: ReplicaId, progress: Progress, now: float) -> None:
        while progress.snapshot_sender is None and progress.next_index <= self._log.last_index:
            if progress.outstanding_bytes >= self._timing.window_bytes:
                return
            if progress.may_be_overtaken(now, self._timing):
                return
            if progress.next_index <= self._log.base_index:
                progress.snapshot_sender = SnapshotSender(self._log.snapshot, self._timing, now)
                break
            entries = self._log.batch(progress.next_index, self._timing.append_bytes, ENTRY_BYTES)
            self._send_append(identity, progress, entries, now)
            size = sum(len(entry.data) + ENTRY_BYTES for entry in entries)
            progress.record_sent(entries[-1].index, size, now)
        if progress.snapshot_sender is not None:
            self._send_chunks(identity, progress.snapshot_sender, now)

    def _send_chunks(self, identity: ReplicaId, snapshot_sender: SnapshotSender, now: float) -> None:
        state = self._state
        for chunk in snapshot_sender.due_chunks(now):
            message = chunk_message(
                snapshot_sender, chunk, state.shard, state.identity, state.term, self._rounds.current
            )
            state.send(identity, message)

    def _previous_index(self, progress: Progress, now: float) -> int:
        """The entry that a message follows: the last one sent, unless that may arrive after the message."""
        index = progress.next_index - 1
        if progress.may_be_overtaken(now, self._timing):
            index = min(index, progress.match_index)
        return max(index, self._log.base_index)

    def _send_append(
        self, identity: ReplicaId, progress: Progress, entries: tuple[Entry, ...], now: float
    ) -> None:
        state = self._state
        previous = self._previous_index(progress, now)
        previous_term = self._log.term_at(previous)
        assert previous_term is not None, "the previous index is not in the log"
        progress.sent_round = self._rounds.current
        progress.sent_commit_index = min(state.commit_index, previous + len(entries))
        message = AppendEntries(
            shard=state.shard,
            sender=state.identity,
            term=state.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit_index=state.commit_index,
            round=self._rounds.current,
        )
        state.send(identity, message)
