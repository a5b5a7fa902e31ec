"""Read index (Ongaro 2014, section 6.4), at the leader and at followers that request it.

The leader records its commit index when a request arrives, and replies once a majority has acknowledged a
round begun after that.  A follower that has applied entries up to that index is as new as the shard was at
the time of its request.

Invariants: a reply counts from the time of its request, by the requester's own monotonic clock, never from
its arrival; a reply counts only for a request that this process sent in this incarnation, to the leader that
it follows in the present term.
Hazard: a leader that was replaced and doesn't know it yet; it replies only once a majority has acknowledged a
round begun after the request.
"""

from __future__ import annotations

from collections import deque

import attrs

from .messages import ReplicaId
from .progress import NEVER

LOCAL_REQUESTER = ""  # the requester of the leader's own reads
MAX_PENDING_PER_FOLLOWER = 8  # requests of one follower; more are dropped, as the follower repeats them
MAX_REMEMBERED_REQUESTS = 16  # requests and replies kept by a follower; older ones are useless


@attrs.frozen
class PendingRead:
    """A request that may be answered once a majority has acknowledged `round` and `index` is committed."""

    ticket: int
    round: int
    index: int
    requester: ReplicaId = LOCAL_REQUESTER


class PendingReads:
    """The leader's side: pending requests in the order of their arrival."""

    def __init__(self) -> None:
        self._pending: deque[PendingRead] = deque()

    def add(self, read: PendingRead) -> None:
        """Adds a request; its round and index are at least those of the request before."""
        if read.requester != LOCAL_REQUESTER and self._count(read.requester) >= MAX_PENDING_PER_FOLLOWER:
            return
        self._pending.append(read)

    def local_tickets(self) -> list[int]:
        """The tickets of the leader's own pending requests."""
        return [read.ticket for read in self._pending if read.requester == LOCAL_REQUESTER]

    def take_ready(self, acknowledged_round: int, commit_index: int) -> list[PendingRead]:
        """Removes and returns the requests that may be answered now."""
        ready = []
        while self._pending:
            first = self._pending[0]
            if first.round > acknowledged_round or first.index > commit_index:
                break
            ready.append(self._pending.popleft())
        return ready

    def __bool__(self) -> bool:
        return bool(self._pending)

    def _count(self, requester: ReplicaId) -> int:
        return sum(1 for read in self._pending if read.requester == requester)


@attrs.frozen
class ReadIndexAnswer:
    """A leader's answer: all entries up to `index` were committed at the time of the request."""

    requested_at: float
    index: int


class FollowerReads:
    """The follower's side: its requests to one leader in one term, and what the replies confirm.

    Tickets begin at `first_ticket`, which increases with each incarnation of the process, so that a reply
    to an earlier incarnation never counts.
    """

    def __init__(self, first_ticket: int, interval: float) -> None:
        self.confirmed_at = NEVER
        self._next_ticket = first_ticket
        self._interval = interval
        self._last_requested_at = NEVER
        self._requested_at: dict[int, float] = {}
        self._answers: deque[ReadIndexAnswer] = deque(maxlen=MAX_REMEMBERED_REQUESTS)

    def is_due(self, now: float) -> bool:
        """Whether another request should be sent."""
        return now - self._last_requested_at >= self._interval

    def begin_request(self, now: float) -> int:
        """Records a request sent now and returns its ticket."""
        ticket = self._next_ticket
        self._next_ticket += 1
        self._last_requested_at = now
        self._requested_at[ticket] = now
        while len(self._requested_at) > MAX_REMEMBERED_REQUESTS:
            del self._requested_at[next(iter(self._requested_at))]
        return ticket

    def record_answer(self, ticket: int, index: int) -> None:
        """Records that the leader, confirmed after the request, had committed up to `index` by then."""
        requested_at = self._requested_at.pop(ticket, None)
        if requested_at is None:
            return
        self.confirmed_at = max(self.confirmed_at, requested_at)
        self._answers.append(ReadIndexAnswer(requested_at, index))

    def current_at(self, applied_index: int) -> float:
        """The time of the latest request whose index is applied, or NEVER."""
        applied = (answer.requested_at for answer in self._answers if answer.index <= applied_index)
        return max(applied, default=NEVER)

    def reset(self) -> None:
        """Discards requests and replies, because the leader or the term has changed."""
        self.confirmed_at = NEVER
        self._last_requested_at = NEVER
        self._requested_at.clear()
        self._answers.clear()
