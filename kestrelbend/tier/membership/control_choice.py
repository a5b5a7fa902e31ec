"""Which control nodes a process reports to and takes its streams from: the nearest one that is settled.

A process's own zone comes first, then the others, each in the order of the process's own ring: those who
lose a control node spread over the ones that are left.  A node is settled if it says so in its answer to a
heartbeat of the last `ANSWER_S`.  Nodes before the first settled one stay chosen, so that one which comes
back is noticed.  Where none is settled, the process reports to several at once, as a heartbeat is small and
its silence would move its replicas; streams are large, and one more is wanted with each span of patience.

Invariant: at least one node is chosen wherever one is known, and `MOST_CHOSEN` at the most.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from .messages import Member
from .ring import monitors

ANSWER_S = 0.45  # for which an answer counts, from its heartbeat on
SETTLING_S = 3.0  # that a node which answers may take to settle before another one's streams are wanted
FIRST_SETTLING_S = 8.0  # the same where none was settled yet: the tier as a whole is starting
MOST_CHOSEN = 3
MOST_REMEMBERED = 16  # heartbeats whose answers may still come
NEVER = float("-inf")


@attrs.frozen
class _SentHeartbeat:
    sequence: int
    sent_at: float


@attrs.define
class _Answer:
    """A node's answer to the newest heartbeat that it answered, and when that was sent."""

    sent_at: float = NEVER
    settled: bool = False


class ControlChoice:
    """The choice of one process, by what `sent` and `answered` told it."""

    def __init__(self, address: str, zone: str, now: float) -> None:
        self._address = address
        self._zone = zone
        self._settled_at = now  # when a settled node was last known, or the beginning
        self._settling_s = FIRST_SETTLING_S
        self._heartbeats: deque[_SentHeartbeat] = deque(maxlen=MOST_REMEMBERED)
        self._answers: dict[str, _Answer] = {}

    def order(self, members: Iterable[Member], seeds: Iterable[str]) -> list[str]:
        """All known control nodes, nearest first; seeds that nobody told of come last."""
        told = [member for member in members if member.serves_control]
        near = [member.address for member in told if member.zone == self._zone]
        far = [member.address for member in told if member.zone != self._zone]
        others = set(seeds).difference(near, far)
        return [*self._ring(near), *self._ring(far), *self._ring(others)]

    def sent(self, sequence: int, now: float) -> None:
        """A heartbeat of this number was sent."""
        self._heartbeats.append(_SentHeartbeat(sequence, now))

    def answered(self, address: str, sequence: int, settled: bool) -> None:
        """A node has answered a heartbeat."""
        sent_at = next((sent.sent_at for sent in self._heartbeats if sent.sequence == sequence), NEVER)
        known = self._answers.get(address)
        if known is None or sent_at >= known.sent_at:
            self._answers[address] = _Answer(sent_at, settled)

    def to_report_to(self, order: Sequence[str], now: float) -> list[str]:
        """The nodes that heartbeats go to now."""
        return self._up_to_settled(order, now) or list(order[:MOST_CHOSEN])

    def to_stream_from(self, order: Sequence[str], now: float) -> list[str]:
        """The nodes whose streams are wanted whole now."""
        chosen = self._up_to_settled(order, now)
        if chosen is not None:
            self._settled_at = now
            self._settling_s = SETTLING_S
            return chosen
        heard = any(self._answered(address, now) for address in order[:MOST_CHOSEN])
        patience = self._settling_s if heard else ANSWER_S
        return list(order[: min(MOST_CHOSEN, 1 + int((now - self._settled_at) / patience))])

    def _up_to_settled(self, order: Sequence[str], now: float) -> list[str] | None:
        for place, address in enumerate(order[:MOST_CHOSEN]):
            if self._answered(address, now) and self._answers[address].settled:
                return list(order[: place + 1])
        return None

    def _answered(self, address: str, now: float) -> bool:
        known = self._answers.get(address)
        return known is not None and now - known.sent_at <= ANSWER_S

    def _ring(self, addresses: Iterable[str]) -> list[str]:
        listed = list(addresses)
        return monitors(self._address, listed, len(listed))
