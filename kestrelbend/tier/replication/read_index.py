"""Reads by index (Ongaro 2014, section 6.4), at the leader and at followers that ask it.

The leader notes what is committed when a question comes, and answers once a majority has acknowledged a round
begun after it.  A follower that has applied that much is as new as the shard was when it asked.

Invariants: an answer counts from the moment its question was asked, by the asker's own steady clock, never
from the moment it came; an answer counts only for a question that this process asked in this incarnation,
of the leader that it follows in the present term.
Hazard: a leader that was replaced and doesn't know it yet; it answers nothing until a majority has
acknowledged a round begun after the question.
"""

from __future__ import annotations

from collections import deque

import attrs

from .messages import ReplicaId
from .progress import NEVER

LOCAL = ""  # stands for the leader itself among those who ask
MAX_PENDING_PER_FOLLOWER = 8  # questions of one follower; more are dropped, as it asks again
MAX_REMEMBERED_REQUESTS = 16  # questions and answers that a follower keeps; older ones prove nothing of use


@attrs.frozen
class PendingRead:
    """A question that may be answered once `round` has a majority and `index` is committed."""

    ticket: int
    round: int
    index: int
    requester: ReplicaId = LOCAL


class PendingReads:
    """The leader's side: questions in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: deque[PendingRead] = deque()

    def add(self, read: PendingRead) -> None:
        """Adds a question; its round and index are at least those of the one before."""
        if read.requester != LOCAL and self._count(read.requester) >= MAX_PENDING_PER_FOLLOWER:
            return
        self._waiting.append(read)

    def local_tickets(self) -> list[int]:
        """The tickets of the leader's own questions that wait."""
        return [read.ticket for read in self._waiting if read.requester == LOCAL]

    def take_ready(self, acknowledged_round: int, commit_index: int) -> list[PendingRead]:
        """Takes out the questions that may be answered now."""
        ready = []
        while self._waiting:
            first = self._waiting[0]
            if first.round > acknowledged_round or first.index > commit_index:
                break
            ready.append(self._waiting.popleft())
        return ready

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def _count(self, requester: ReplicaId) -> int:
        return sum(1 for read in self._waiting if read.requester == requester)


@attrs.frozen
class ReadIndexAnswer:
    """A leader's answer: all up to `index` was committed when it was asked, at `requested_at` seconds."""

    requested_at: float
    index: int


class FollowerReads:
    """The follower's side: its questions to one leader in one term, and what their answers prove.

    Tickets begin at `first_ticket`, which rises with each incarnation of the process, so that no answer
    to an earlier one counts in this one.
    """

    def __init__(self, first_ticket: int, interval: float) -> None:
        self.confirmed_at = NEVER
        self._next_ticket = first_ticket
        self._interval = interval
        self._last_requested_at = NEVER
        self._requested_at: dict[int, float] = {}
        self._answers: deque[ReadIndexAnswer] = deque(maxlen=MAX_REMEMBERED_REQUESTS)

    def is_due(self, now: float) -> bool:
        """Whether another question should be asked."""
        return now - self._last_requested_at >= self._interval

    def begin_request(self, now: float) -> int:
        """Notes a question asked now; its ticket."""
        ticket = self._next_ticket
        self._next_ticket += 1
        self._last_requested_at = now
        self._requested_at[ticket] = now
        while len(self._requested_at) > MAX_REMEMBERED_REQUESTS:
            del self._requested_at[next(iter(self._requested_at))]
        return ticket

    def record_answer(self, ticket: int, index: int) -> None:
        """The leader, confirmed after the question, had committed up to `index` when it came."""
        requested_at = self._requested_at.pop(ticket, None)
        if requested_at is None:
            return
        self.confirmed_at = max(self.confirmed_at, requested_at)
        self._answers.append(ReadIndexAnswer(requested_at, index))

    def current_at(self, applied_index: int) -> float:
        """When the newest question was asked whose index is applied; NEVER where there is none."""
        applied = (answer.requested_at for answer in self._answers if answer.index <= applied_index)
        return max(applied, default=NEVER)

    def reset(self) -> None:
        """The leader or the term has changed: what was asked and answered counts no more."""
        self.confirmed_at = NEVER
        self._last_requested_at = NEVER
        self._requested_at.clear()
        self._answers.clear()
