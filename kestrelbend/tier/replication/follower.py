"""The follower's side of replication: stores entries and snapshots of the leader in the log.

Source: Ongaro 2014, sections 3.5 (log matching) and 5.1 (snapshots in place of entries).

Invariant: the log up to an acknowledged index is durable here and equal to the leader's log.
Hazard: a late message that would restore entries of an older leader; entries that are committed, or that
the log holds with the same term, are never replaced.
"""

from __future__ import annotations

from .messages import AppendEntries, AppendReply, ReplicaId, SnapshotChunk, SnapshotReply
from .state import ReplicaState


class FollowerState:
    """A replica's state as a follower of one term's leader; their logs agree up to `_verified_index`."""

    def __init__(self, state: ReplicaState, leader: ReplicaId) -> None:
        self.leader = leader
        self._state = state
        self._log = state.log
        self._verified_index = 0
        self._round = 0
        self._last_reply: tuple[int, int] | None = None  # round and match index
        self._reply_pending = False

    def append(self, message: AppendEntries) -> None:
        """Stores the entries and replies once they are durable.

        A heartbeat is answered without waiting for the disk, with the index that is already durable.
        """
        if not self._log_matches(message):
            self._reject(message)
            return
        self._store_entries(message)
        self._record_verified(message.previous_index + len(message.entries), message.round)
        self._state.commit_to(min(message.commit_index, self._verified_index))
        if message.entries:
            self._accept_when_durable()
        elif (self._round, self._match_index) != self._last_reply:
            self._accept()

    def receive_chunk(self, message: SnapshotChunk) -> None:
        """Stores a chunk and replies with the number of bytes received; installs a complete snapshot.

        An installed snapshot is acknowledged like entries, once it is durable.
        """
        state = self._state
        if message.snapshot.index <= state.commit_index:
            self._acknowledge_snapshot(message)
            return
        snapshot = state.snapshot_receiver.receive(message)
        received = message.size if snapshot is not None else state.snapshot_receiver.received(message)
        reply = SnapshotReply(
            state.shard, state.identity, state.term, message.digest, received, message.round
        )
        state.send(self.leader, reply)
        if snapshot is not None:
            state.install_snapshot(snapshot)
            self._acknowledge_snapshot(message)

    def _acknowledge_snapshot(self, message: SnapshotChunk) -> None:
        """Acknowledges the log up to the snapshot's index, which this snapshot or committed entries cover."""
        self._record_verified(message.snapshot.index, message.round)
        self._accept_when_durable()

    def handle_completed_writes(self) -> None:
        """Sends the pending reply for what is durable now, if there is one."""
        if self._reply_pending and (self._round, self._match_index) != self._last_reply:
            self._reply_pending = self._match_index < self._verified_index
            self._accept()

    @property
    def _match_index(self) -> int:
        return min(self._log.durable_index, self._verified_index)

    def _record_verified(self, index: int, round_number: int) -> None:
        self._verified_index = max(self._verified_index, index)
        self._round = max(self._round, round_number)

    def _log_matches(self, message: AppendEntries) -> bool:
        """Whether this log holds the entry that precedes the message's entries."""
        if message.previous_index <= self._state.commit_index:
            return True
        return self._log.term_at(message.previous_index) == message.previous_term

    def _store_entries(self, message: AppendEntries) -> None:
        """Replaces the log from the first entry on that differs from it."""
        for position, entry in enumerate(message.entries):
            if entry.index <= self._state.commit_index or self._log.term_at(entry.index) == entry.term:
                continue
            self._log.replace_from(list(message.entries[position:]))
            return

    def _accept_when_durable(self) -> None:
        if self._match_index < self._verified_index:
            self._reply_pending = True
        else:
            self._accept()

    def _accept(self) -> None:
        self._last_reply = (self._round, self._match_index)
        self._reply(True, self._match_index, self._round)

    def _reject(self, message: AppendEntries) -> None:
        """Rejects the message; the hint precedes the conflicting term, or is the end of this log."""
        hint = min(message.previous_index - 1, self._log.last_index)
        if self._log.term_at(message.previous_index) is not None:
            hint = self._log.first_index_of_term_at(message.previous_index) - 1
        self._reply(False, max(hint, self._state.commit_index), message.round)

    def _reply(self, accepted: bool, index: int, round_number: int) -> None:
        state = self._state
        reply = AppendReply(state.shard, state.identity, state.term, accepted, index, round_number)
        state.send(self.leader, reply)
