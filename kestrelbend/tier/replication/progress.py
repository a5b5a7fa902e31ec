"""What the leader knows of one follower, and when each heartbeat round began.

Invariant: a reply speaks for the moment at which its round began, never for the moment it came, so
replies that lay in a socket while the process stood still prove nothing about now.
Hazard: a refusal that answers an earlier message, taken for one of the last: see `fallback_round`.
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
    """One follower: `match_index` is on its disk, `next_index` is the first not yet sent.

    `transfer` is the snapshot under way to it, in place of the entries up to its index.
    """

    next_index: int
    match_index: int = 0
    last_contact_at: float = NEVER  # when the latest acknowledged round began
    acknowledged_round: int = 0
    sent_round: int = 0
    sent_commit_index: int = 0
    fallback_round: int = 0  # refusals of earlier rounds count no more
    transfer: SnapshotSender | None = None
    outstanding: deque[Outstanding] = attrs.field(factory=deque)
    outstanding_bytes: int = 0
    advanced_at: float = NEVER  # when what is under way last came forward

    @property
    def needed_after(self) -> int:
        """The index after which this follower still needs entries."""
        if self.transfer is not None:
            return self.transfer.snapshot.index
        return (self.outstanding[0].first_index if self.outstanding else self.next_index) - 1

    def record_sent(self, last_index: int, size: int, now: float) -> None:
        """Entries up to `last_index`, of `size` bytes together, are under way."""
        if not self.outstanding:
            self.advanced_at = now
        self.outstanding.append(Outstanding(self.next_index, last_index, size))
        self.outstanding_bytes += size
        self.next_index = last_index + 1

    def record_match(self, index: int, now: float) -> None:
        """The follower's disk holds the log up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.outstanding and self.outstanding[0].last_index <= self.match_index:
            self.outstanding_bytes -= self.outstanding.popleft().size
            self.advanced_at = now

    def fall_back(self, hint: int, round_number: int) -> None:
        """The follower lacks what came before: begin again after `hint`.

        Refusals of rounds before `round_number` answer what was sent earlier and count no more.
        """
        self.next_index = max(self.match_index + 1, min(self.next_index, hint + 1))
        self.fallback_round = round_number
        self._clear_outstanding()

    def resend(self) -> None:
        """What is under way is lost: begin again after what the follower has acknowledged."""
        if self.outstanding:
            self.next_index = max(self.match_index + 1, self.outstanding[0].first_index)
            self._clear_outstanding()
        if self.transfer is not None:
            self.transfer.resume()

    def is_overtaken(self, now: float, timing: Timing) -> bool:
        """Whether what is under way is so large that a smaller message may come before it.

        Links let small messages pass large ones.  What was sent after a large message would be refused if it
        came first, and the large one sent again.  One that is under way for too long counts as lost.
        """
        if not any(sent.size > timing.overtaken_bytes for sent in self.outstanding):
            return False
        longest = timing.snapshot_retry + self.outstanding_bytes / timing.overtaken_rate
        return now - self.advanced_at <= longest

    def _clear_outstanding(self) -> None:
        self.outstanding.clear()
        self.outstanding_bytes = 0


class HeartbeatRounds:
    """Heartbeat rounds, numbered upwards, and when the recent ones began."""

    KEPT = 256

    def __init__(self) -> None:
        self.current = 0
        self._started_at: deque[float] = deque(maxlen=self.KEPT)

    def start(self, now: float) -> int:
        """Begins a round and gives its number."""
        self.current += 1
        self._started_at.append(now)
        return self.current

    def started_at(self, number: int) -> float:
        """When the round began; NEVER for one forgotten or not begun."""
        age = self.current - number
        if number <= 0 or age < 0 or age >= len(self._started_at):
            return NEVER
        return self._started_at[-1 - age]
