"""Tracks pending writes and the messages that wait for them.

Writes run in parallel with the sending of entries (Ongaro 2014, section 10.2.1).

Invariant: a message that depends on a write is sent only once that write is durable.
Hazard: a disk that stalls without an error; it is detected by the age of the oldest pending write
(`is_stalled`).
"""

from __future__ import annotations

from collections import deque

import attrs

from .messages import ReplicaId, ReplicaMessage

Send = tuple[ReplicaId, ReplicaMessage]  # the receiver and the message


@attrs.define
class IssuedWrite:
    """A write pending since `issued_at`, in seconds of the monotonic clock."""

    ticket: int
    issued_at: float


@attrs.define
class DeferredSend:
    """A message to be sent once the write `ticket` is complete."""

    ticket: int
    send: Send


class WriteTracker:
    """Issues the tickets of writes in order; the host reports completed writes through `complete`."""

    def __init__(self) -> None:
        self.issued = 0
        self.completed = 0
        self._writes: deque[IssuedWrite] = deque()
        self._deferred: deque[DeferredSend] = deque()

    def issue(self, now: float) -> int:
        """Returns the ticket of a new write."""
        self.issued += 1
        self._writes.append(IssuedWrite(self.issued, now))
        return self.issued

    def complete(self, ticket: int) -> None:
        """Marks the write `ticket`, and all before it, as durable."""
        self.completed = max(self.completed, min(ticket, self.issued))
        while self._writes and self._writes[0].ticket <= self.completed:
            self._writes.popleft()

    def defer(self, send: Send) -> None:
        """Holds a message back until every write issued so far is complete."""
        self._deferred.append(DeferredSend(self.issued, send))

    def release_ready(self) -> list[Send]:
        """Removes and returns the messages whose writes are complete."""
        released = []
        while self._deferred and self._deferred[0].ticket <= self.completed:
            released.append(self._deferred.popleft().send)
        return released

    def is_stalled(self, now: float, max_age: float) -> bool:
        """Whether the oldest pending write was issued more than `max_age` seconds ago."""
        return bool(self._writes) and now - self._writes[0].issued_at > max_age

    def restart_stall_clock(self, now: float) -> None:
        """Treats the pending writes as issued now, after a pause of the process itself."""
        self._writes = deque(IssuedWrite(write.ticket, now) for write in self._writes)
