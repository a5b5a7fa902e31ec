"""The following side of replication: entries and snapshots from an owner into the log.

Invariant: an acknowledged index is on this replica's disk and equal to the owner's log up to there.
"""

from __future__ import annotations

from .log import ReplicaLog
from .messages import AppendEntries, AppendReply, ReplicaId, ShardId


class Following:
    """What a replica holds of the owner of one epoch; `verified_index` is where the two logs agree."""

    def __init__(self, shard: ShardId, identity: ReplicaId, epoch: int, owner: ReplicaId, log: ReplicaLog):
        self.owner = owner
        self.verified_index = 0
        self._shard = shard
        self._identity = identity
        self._epoch = epoch
        self._log = log
        self._round = 0
        self._answered: tuple[int, int] | None = None
        self._reply_waits = False

    @property
    def match_index(self) -> int:
        return min(self._log.durable_index, self.verified_index)

    def append(self, message: AppendEntries, commit_index: int) -> AppendReply | None:
        """Takes the entries in; gives the reply that may leave at once, if any.

        A heartbeat is answered without waiting for the disk, by what the disk holds already.
        """
        self._round = max(self._round, message.round)
        if not self._follows(message, commit_index):
            return self._refusal(message)
        self._merge(message, commit_index)
        self.verified_index = max(self.verified_index, message.previous_index + len(message.entries))
        if message.entries and self.match_index < self.verified_index:
            self._reply_waits = True
            return None
        return self._acceptance(repeat=bool(message.entries))

    def install(self, index: int, round_number: int) -> AppendReply | None:
        """Notes that the log holds the owner's snapshot at `index`."""
        self._round = max(self._round, round_number)
        self.verified_index = max(self.verified_index, index)
        if self.match_index < index:
            self._reply_waits = True
            return None
        return self._acceptance(repeat=True)

    def written(self) -> AppendReply | None:
        """The reply that waited for the disk, as far as the disk has come."""
        if not self._reply_waits:
            return None
        self._reply_waits = self.match_index < self.verified_index
        return self._acceptance(repeat=False)

    def _follows(self, message: AppendEntries, commit_index: int) -> bool:
        if message.previous_index <= commit_index:
            return True
        return self._log.epoch_at(message.previous_index) == message.previous_epoch

    def _merge(self, message: AppendEntries, commit_index: int) -> None:
        for position, entry in enumerate(message.entries):
            if entry.index <= commit_index or self._log.epoch_at(entry.index) == entry.epoch:
                continue
            self._log.replace_from(list(message.entries[position:]))
            return

    def _refusal(self, message: AppendEntries) -> AppendReply:
        hint = min(message.previous_index - 1, self._log.last_index)
        if self._log.epoch_at(message.previous_index) is not None:
            hint = self._log.first_index_of_epoch_at(message.previous_index) - 1
        return self._reply(False, hint, message.round)

    def _acceptance(self, repeat: bool) -> AppendReply | None:
        answer = (self._round, self.match_index)
        if answer == self._answered and not repeat:
            return None
        self._answered = answer
        return self._reply(True, self.match_index, self._round)

    def _reply(self, accepted: bool, index: int, round_number: int) -> AppendReply:
        return AppendReply(self._shard, self._identity, self._epoch, accepted, index, round_number)
