"""The leader's view of one follower, and the start times of heartbeat rounds.

Invariant: a reply counts from the time its round began, not from its arrival, so that replies that waited
in a socket while the process was paused say nothing about the present.
Hazard: a rejection of an earlier message that is taken for a rejection of a later one: see
`fallback_round`.
"""

from __future__ import annotations

from collections import deque

import attrs

from .snapshot_transfer import SnapshotSender
from .timing import Timing

NEVER = float("-inf")


@attrs.frozen
class Outstanding:
    """Entries that were sent together and are not acknowledged yet."""

    first_index: int
    last_index: int
    size: int


@attrs.define
class Progress:
    """The state of one follower: `match_index` is durable there, `next_index` has not been sent yet.

    `snapshot_sender` transfers a snapshot to it, in place of the entries up to the snapshot's index.
    """

    next_index: int
    match_index: int = 0
    last_contact_at: float = NEVER  # the start time of the latest acknowledged round
    acknowledged_round: int = 0
    sent_round: int = 0
    sent_commit_index: int = 0
    fallback_round: int = 0  # rejections of earlier rounds are ignored
    snapshot_sender: SnapshotSender | None = None
    outstanding: deque[Outstanding] = attrs.field(factory=deque)
    outstanding_bytes: int = 0
    advanced_at: float = NEVER  # when entries in flight were last acknowledged, or first sent

    @property
    def needed_after(self) -> int:
        """The index after which this follower still needs entries."""
        if self.snapshot_sender is not None:
            return self.snapshot_sender.snapshot.index
        return (self.outstanding[0].first_index if self.outstanding else self.next_index) - 1

    def record_sent(self, last_index: int, size: int, now: float) -> None:
        """Records that entries up to `last_index`, of `size` bytes in total, were sent."""
        if not self.outstanding:
            self.advanced_at = now
        self.outstanding.append(Outstanding(self.next_index, last_index, size))
        self.outstanding_bytes += size
        self.next_index = last_index + 1

    def record_match(self, index: int, now: float) -> None:
        """Records that the follower's disk holds the log up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.outstanding and self.outstanding[0].last_index <= self.match_index:
            self.outstanding_bytes -= self.outstanding.popleft().size
            self.advanced_at = now

    def fall_back(self, hint: int, round_number: int) -> None:
        """Continues after `hint`, as the follower's log lacks the entry that precedes those sent.

        Rejections of rounds before `round_number` answer earlier messages and are ignored.
        """
        self.next_index = max(self.match_index + 1, min(self.next_index, hint + 1))
        self.fallback_round = round_number
        self._clear_outstanding()

    def resend(self) -> None:
        """Treats everything in flight as lost: continues after what the follower has acknowledged."""
        if self.outstanding:
            self.next_index = max(self.match_index + 1, self.outstanding[0].first_index)
            self._clear_outstanding()
        if self.snapshot_sender is not None:
            self.snapshot_sender.resume()

    def may_be_overtaken(self, now: float, timing: Timing) -> bool:
        """Whether what is in flight is so large that a smaller message may arrive before it.

        Connections let small messages pass large ones.  If a message arrived before the large one to which it
        refers, the follower would reject it and the large one would be sent again.  A large message that
        takes too long counts as lost.
        """
        if not any(sent.size > timing.overtaken_bytes for sent in self.outstanding):
            return False
        max_wait = timing.snapshot_retry + self.outstanding_bytes / timing.overtaken_rate
        return now - self.advanced_at <= max_wait

    def _clear_outstanding(self) -> None:
        self.outstanding.clear()
        self.outstanding_bytes = 0


class HeartbeatRounds:
    """The number of the current heartbeat round, and the start times of recent rounds."""

    MAX_KEPT_ROUNDS = 256

    def __init__(self) -> None:
        self.current = 0
        self._started_at: deque[float] = deque(maxlen=self.MAX_KEPT_ROUNDS)

    def start(self, now: float) -> int:
        """Starts a round and returns its number."""
        self.current += 1
        self._started_at.append(now)
        return self.current

    def started_at(self, number: int) -> float:
        """When the round began; NEVER if it is too old or has not begun."""
        age = self.current - number
        if number <= 0 or age < 0 or age >= len(self._started_at):
            return NEVER
        return self._started_at[-1 - age]
