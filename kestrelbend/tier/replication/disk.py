"""The writes under way and the messages that wait for them.

Writes run beside the sending of entries (Ongaro 2014, section 10.2.1).

Invariant: a message that depends on a write leaves only after that write is on the disk.
Hazard: a disk that stalls without an error; the age of the oldest write tells (`is_stalled`).
"""

from __future__ import annotations

from collections import deque

import attrs

from .messages import ReplicaId, ReplicaMessage

Send = tuple[ReplicaId, ReplicaMessage]  # the receiver and the message


@attrs.define
class IssuedWrite:
    """A write under way since `issued_at`, in seconds of the steady clock."""

    ticket: int
    issued_at: float


@attrs.define
class DeferredSend:
    """A message that leaves once the write `ticket` is done."""

    ticket: int
    send: Send


class DiskGate:
    """Tickets in their order; the carrier reports each one's end by `complete`."""

    def __init__(self) -> None:
        self.issued = 0
        self.completed = 0
        self._writes: deque[IssuedWrite] = deque()
        self._waiting: deque[DeferredSend] = deque()

    def issue(self, now: float) -> int:
        """The ticket of a new write."""
        self.issued += 1
        self._writes.append(IssuedWrite(self.issued, now))
        return self.issued

    def complete(self, ticket: int) -> None:
        """The write `ticket`, and so all before it, is on the disk."""
        self.completed = max(self.completed, min(ticket, self.issued))
        while self._writes and self._writes[0].ticket <= self.completed:
            self._writes.popleft()

    def defer(self, send: Send) -> None:
        """Keeps a message back until every write issued so far is done."""
        self._waiting.append(DeferredSend(self.issued, send))

    def release_ready(self) -> list[Send]:
        """The messages whose writes are done."""
        released = []
        while self._waiting and self._waiting[0].ticket <= self.completed:
            released.append(self._waiting.popleft().send)
        return released

    def is_stalled(self, now: float, bound: float) -> bool:
        """Whether the oldest write under way was issued more than `bound` seconds ago."""
        return bool(self._writes) and now - self._writes[0].issued_at > bound

    def restart_stall_clock(self, now: float) -> None:
        """Counts the writes under way as issued now: the process itself had stood still."""
        self._writes = deque(IssuedWrite(write.ticket, now) for write in self._writes)
