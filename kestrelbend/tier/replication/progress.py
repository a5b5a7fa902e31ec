"""What the owner knows of one follower, and when each heartbeat round began.

Invariant: a reply speaks for the moment at which its round began, never for the moment it came, so
replies that lay in a socket while the process stood still prove nothing about now.
"""

from __future__ import annotations

from collections import deque

import attrs

NEVER = float("-inf")


@attrs.define
class Progress:
    """One follower: `match_index` is on its disk, `next_index` is the first not yet sent."""

    next_index: int
    match_index: int = 0
    contact: float = NEVER
    acknowledged_round: int = 0
    sent_round: int = 0
    sent_commit: int = 0
    fallback_round: int = 0
    snapshot_sent_at: float = NEVER
    outstanding: deque[tuple[int, int]] = attrs.field(factory=deque)
    outstanding_bytes: int = 0

    def sent(self, last_index: int, size: int) -> None:
        """Entries up to `last_index`, of `size` bytes together, are under way."""
        self.next_index = last_index + 1
        self.outstanding.append((last_index, size))
        self.outstanding_bytes += size

    def matched(self, index: int) -> None:
        """The follower's disk holds the log up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.outstanding and self.outstanding[0][0] <= self.match_index:
            self.outstanding_bytes -= self.outstanding.popleft()[1]

    def fall_back(self, hint: int, round_number: int) -> None:
        """The follower lacks what came before: begin again after `hint`.

        Refusals of rounds before `round_number` answer what was sent earlier and count no more.
        """
        self.next_index = max(self.match_index + 1, min(self.next_index, hint + 1))
        self.fallback_round = round_number
        self.outstanding.clear()
        self.outstanding_bytes = 0


class Rounds:
    """Heartbeat rounds, numbered upwards, and when the recent ones began."""

    KEPT = 256

    def __init__(self) -> None:
        self.current = 0
        self._began: deque[float] = deque(maxlen=self.KEPT)

    def begin(self, now: float) -> int:
        """Begins a round and gives its number."""
        self.current += 1
        self._began.append(now)
        return self.current

    def began(self, number: int) -> float:
        """When the round began; NEVER for one forgotten or not begun."""
        age = self.current - number
        if number <= 0 or age < 0 or age >= len(self._began):
            return NEVER
        return self._began[-1 - age]
