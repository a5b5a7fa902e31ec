"""What a replica holds only while it owns the shard: its followers, its rounds, its waiting reads."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from .group import Voters, has_quorum, quorum_size
from .log import ReplicaLog
from .messages import AppendEntries, AppendReply, InstallSnapshot, ReplicaId, ReplicaMessage, ShardId
from .progress import NEVER, Progress, Rounds
from .timing import Timing


@attrs.frozen
class Confirmation:
    """A read that may be answered once `round` has a majority and `index` is applied."""

    ticket: int
    round: int
    index: int


class Ownership:
    """The owner's side of replication in one epoch.

    Invariant: nothing counts as held by a follower but what a reply of this epoch has acknowledged.
    """

    def __init__(
        self, shard: ShardId, identity: ReplicaId, epoch: int, log: ReplicaLog, timing: Timing, now: float
    ) -> None:
        self.epoch = epoch
        self.first_index = log.last_index + 1
        self.began_at = now
        self.rounds = Rounds()
        self.followers: dict[ReplicaId, Progress] = {}
        self.confirmations: deque[Confirmation] = deque()
        self._shard = shard
        self._identity = identity
        self._log = log
        self._timing = timing
        self._round_began_at = NEVER
        self._round_wanted = False

    def follow(self, identities: Iterable[ReplicaId]) -> None:
        """Replicates to exactly these replicas from here on."""
        wanted = dict.fromkeys(identity for identity in identities if identity != self._identity)
        for identity in [known for known in self.followers if known not in wanted]:
            del self.followers[identity]
        for identity in wanted:
            if identity not in self.followers:
                self.followers[identity] = Progress(next_index=self._log.last_index + 1)

    def begin_round(self, now: float) -> None:
        """Begins a heartbeat round; its messages go out with the next `messages`."""
        self.rounds.begin(now)
        self._round_began_at = now
        self._round_wanted = False

    def begin_due_round(self, now: float) -> None:
        """Begins a round where the last one is a heartbeat interval old."""
        if now - self._round_began_at >= self._timing.heartbeat:
            self.begin_round(now)

    def begin_wanted_round(self, now: float) -> None:
        """Begins the round that all reads since the last one share."""
        if self._round_wanted:
            self.begin_round(now)

    def confirm(self, ticket: int, commit_index: int) -> None:
        """Adds a read of what is committed now, or of this epoch's first entry where that is later."""
        index = max(commit_index, self.first_index)
        self.confirmations.append(Confirmation(ticket, self.rounds.current + 1, index))
        self._round_wanted = True

    def confirmed(self, voters: Voters, commit_index: int) -> list[int]:
        """The tickets of the reads that may be answered now."""
        if not self.confirmations:
            return []
        acknowledged = self._quorum_value(voters, self._acknowledged_round)
        ready = []
        while self.confirmations:
            first = self.confirmations[0]
            if first.round > acknowledged or first.index > commit_index:
                break
            ready.append(self.confirmations.popleft().ticket)
        return ready

    def replied(self, reply: AppendReply) -> None:
        """Takes in a follower's reply of this epoch."""
        progress = self.followers.get(reply.sender)
        if progress is None or reply.round > self.rounds.current:
            return
        progress.contact = max(progress.contact, self.rounds.began(reply.round))
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        if reply.accepted:
            progress.matched(min(reply.match_index, self._log.last_index))
        elif reply.round >= progress.fallback_round:
            self.rounds.begin(self._round_began_at)
            progress.fall_back(reply.match_index, self.rounds.current)

    def commit_index(self, voters: Voters) -> int:
        """The last entry that a majority's disks hold."""
        return self._quorum_value(voters, self._match_index)

    def is_live(self, identity: ReplicaId, now: float) -> bool:
        """Whether the replica acknowledged a round begun within the election timeout."""
        if identity == self._identity:
            return True
        progress = self.followers.get(identity)
        return progress is not None and now - progress.contact <= self._timing.election_timeout

    def in_touch(self, voters: Voters, now: float) -> bool:
        """Whether a majority of the voters is live, or this epoch is too young to tell."""
        if now - self.began_at <= self._timing.election_timeout:
            return True
        return has_quorum(voters, lambda voter: self.is_live(voter, now))

    def is_caught_up(self, identity: ReplicaId) -> bool:
        """Whether the replica's disk lacks only the last few entries."""
        progress = self.followers.get(identity)
        if progress is None:
            return False
        return progress.match_index >= self._log.last_index - self._timing.catchup_entries

    def messages(self, commit_index: int, now: float) -> list[tuple[ReplicaId, ReplicaMessage]]:
        """All that is due to the followers: heartbeats, entries, snapshots, a new commit index."""
        sends: list[tuple[ReplicaId, ReplicaMessage]] = []
        for identity, progress in self.followers.items():
            for message in self._messages_to(progress, commit_index, now):
                sends.append((identity, message))
        return sends

    def _messages_to(self, progress: Progress, commit_index: int, now: float) -> list[ReplicaMessage]:
        messages: list[ReplicaMessage] = []
        if progress.sent_round < self.rounds.current:
            messages.append(self._append(progress, (), commit_index))
        if now - max(progress.contact, self.began_at) <= self._timing.reply_timeout:
            messages.extend(self._entries_to(progress, commit_index, now))
            if progress.sent_commit < min(commit_index, progress.next_index - 1):
                messages.append(self._append(progress, (), commit_index))
        return messages

    def _entries_to(self, progress: Progress, commit_index: int, now: float) -> list[ReplicaMessage]:
        messages: list[ReplicaMessage] = []
        while progress.next_index <= self._log.last_index:
            if progress.outstanding_bytes >= self._timing.window_bytes:
                break
            if progress.next_index <= self._log.base_index:
                messages.extend(self._snapshot_to(progress, now))
                break
            entries = self._log.batch(progress.next_index, self._timing.append_bytes)
            messages.append(self._append(progress, entries, commit_index))
            size = sum(len(entry.data) for entry in entries)
            progress.sent(entries[-1].index, size)
        return messages

    def _snapshot_to(self, progress: Progress, now: float) -> list[ReplicaMessage]:
        if now - progress.snapshot_sent_at < self._timing.snapshot_retry:
            return []
        progress.snapshot_sent_at = now
        snapshot = self._log.snapshot
        progress.sent(snapshot.index, len(snapshot.state))
        return [InstallSnapshot(self._shard, self._identity, self.epoch, snapshot, self.rounds.current)]

    def _append(self, progress: Progress, entries: tuple, commit_index: int) -> AppendEntries:
        previous = max(progress.next_index - 1, self._log.base_index)
        progress.sent_round = self.rounds.current
        progress.sent_commit = min(commit_index, previous + len(entries))
        return AppendEntries(
            shard=self._shard,
            sender=self._identity,
            epoch=self.epoch,
            previous_index=previous,
            previous_epoch=self._log.epoch_at(previous),
            entries=entries,
            commit_index=commit_index,
            round=self.rounds.current,
        )

    def _match_index(self, identity: ReplicaId) -> int:
        if identity == self._identity:
            return self._log.durable_index
        progress = self.followers.get(identity)
        return progress.match_index if progress else 0

    def _acknowledged_round(self, identity: ReplicaId) -> int:
        if identity == self._identity:
            return self.rounds.current
        progress = self.followers.get(identity)
        return progress.acknowledged_round if progress else 0

    def _quorum_value(self, voters: Voters, value_of) -> int:
        values = sorted((value_of(voter) for voter in voters), reverse=True)
        return values[quorum_size(voters) - 1] if values else 0
