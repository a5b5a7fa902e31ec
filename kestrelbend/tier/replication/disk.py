"""The writes under way and the messages that wait for them.

Invariant: a message that depends on a write leaves only after that write is on the disk.
"""

from __future__ import annotations

from collections import deque

from .messages import ReplicaId, ReplicaMessage

Send = tuple[ReplicaId, ReplicaMessage]


class DiskGate:
    """Tickets in their order; the carrier reports each one's end by `complete`."""

    def __init__(self) -> None:
        self.issued = 0
        self.completed = 0
        self._issued_at: deque[tuple[int, float]] = deque()
        self._waiting: deque[tuple[int, Send]] = deque()

    def issue(self, now: float) -> int:
        """The ticket of a new write."""
        self.issued += 1
        self._issued_at.append((self.issued, now))
        return self.issued

    def complete(self, ticket: int) -> None:
        """The write `ticket`, and so all before it, is on the disk."""
        self.completed = max(self.completed, min(ticket, self.issued))
        while self._issued_at and self._issued_at[0][0] <= self.completed:
            self._issued_at.popleft()

    def defer(self, send: Send) -> None:
        """Keeps a message back until every write issued so far is done."""
        self._waiting.append((self.issued, send))

    def release_ready(self) -> list[Send]:
        """The messages whose writes are done."""
        released = []
        while self._waiting and self._waiting[0][0] <= self.completed:
            released.append(self._waiting.popleft()[1])
        return released

    def is_stalled(self, now: float, bound: float) -> bool:
        """Whether the oldest write under way was issued more than `bound` seconds ago."""
        return bool(self._issued_at) and now - self._issued_at[0][1] > bound

    def restart_stall_clock(self, now: float) -> None:
        """Counts the writes under way as issued now: the process itself had stood still."""
        self._issued_at = deque((ticket, now) for ticket, _ in self._issued_at)
