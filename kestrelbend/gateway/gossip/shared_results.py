"""Results of one member's work that all others can use, spread with the messages."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from .codec import encoded_size
from .dissemination import MAX_CANDIDATES
from .member import LocalMember
from .messages import GossipMessage, SharedResult
from .parameters import MILLISECOND_US, SECOND_US

NEW_PROCESS_AFTER_US = 10 * SECOND_US  # longer than a datagram is under way


class ResultKey(NamedTuple):
    """Of one origin and one subject the latest result alone is kept."""

    kind: str
    subject: str
    origin: str


class ReceivedResult(NamedTuple):
    """A result of another member, for whoever carries the core."""

    result: SharedResult
    made_at_us: int


@dataclass(slots=True)
class KeptResult:
    """A result that is sent on."""

    result: SharedResult
    made_at_us: int
    times_sent: int = 0

    def aged(self, now_us: int) -> SharedResult:
        """The result with its age by now."""
        result = self.result
        age_ms = max(0, (now_us - self.made_at_us) // MILLISECOND_US)
        return SharedResult(result.kind, result.subject, result.origin, result.sequence, age_ms, result.body)


def _is_newer(sequence: int, made_at_us: int, old: KeptResult) -> bool:
    """Whether a result of the same origin and subject comes after another.

    Numbers tell, but for those of two processes: the later one's may be lower, where its clock was set back.
    """
    later_us = made_at_us - old.made_at_us
    if abs(later_us) >= NEW_PROCESS_AFTER_US:
        return later_us > 0
    return sequence > old.result.sequence


class SharedResults:
    """The results known; at most `max_results`, the oldest go first."""

    def __init__(self, local: LocalMember, max_results: int) -> None:
        self.kept: dict[ResultKey, KeptResult] = {}
        self.received: deque[ReceivedResult] = deque()
        self._local = local
        self._max_results = max_results

    def publish(self, kind: str, subject: str, body: bytes, age_us: int = 0) -> None:
        """A result of this member, for all others; it takes the place of the one before."""
        local = self._local
        old = self.kept.get(ResultKey(kind, subject, local.name))
        sequence = max((old.result.sequence if old else 0) + 1, local.generation)
        result = SharedResult(kind, subject, local.name, sequence, age_us // MILLISECOND_US, body)
        self._keep(result, local.now_us - age_us)

    def receive(self, result: SharedResult) -> None:
        """Keeps another member's result where it is newer than what is known."""
        old = self.kept.get(ResultKey(result.kind, result.subject, result.origin))
        if result.origin == self._local.name or result.age_ms < 0:
            return
        made_at_us = self._local.now_us - result.age_ms * MILLISECOND_US
        if old is not None and not _is_newer(result.sequence, made_at_us, old):
            return
        self._keep(result, made_at_us)
        self.received.append(ReceivedResult(result, made_at_us))

    def forget_before(self, made_at_us: int) -> None:
        """Results made before then are not sent on."""
        for key in [key for key, kept in self.kept.items() if kept.made_at_us < made_at_us]:
            del self.kept[key]

    def add_results(self, message: GossipMessage, remaining: int, retransmit_limit: int) -> None:
        """Adds to a message what fits into `remaining` bytes, those sent least often first."""
        for key in sorted(self.kept, key=lambda key: self.kept[key].times_sent)[:MAX_CANDIDATES]:
            kept = self.kept[key]
            if kept.times_sent >= retransmit_limit:
                continue
            result = kept.aged(self._local.now_us)
            cost = encoded_size(result)
            if cost <= remaining:
                remaining -= cost
                message.results.append(result)
                kept.times_sent += 1

    def _keep(self, result: SharedResult, made_at_us: int) -> None:
        key = ResultKey(result.kind, result.subject, result.origin)
        self.kept.pop(key, None)
        self.kept[key] = KeptResult(result, made_at_us)
        while len(self.kept) > self._max_results:
            del self.kept[next(iter(self.kept))]
