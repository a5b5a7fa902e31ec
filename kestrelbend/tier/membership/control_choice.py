"""Which control nodes a process reports to and takes its streams from: the nearest one that is stable.

A process's own zone comes first, then the others, each in the order of the process's own ring: processes
that lose a control node spread over the remaining ones.  A node is stable if it says so in its reply to a
heartbeat of the last `REPLY_VALIDITY_S`.  Nodes before the first stable one stay chosen, so that one which
comes back is noticed.  Where none is stable, the process reports to several at once: a heartbeat is small,
and without one the process's replicas would be moved.  Streams are large: one more is requested with each
timeout.

Invariant: at least one node is chosen wherever one is known, and `MAX_CHOSEN` at the most.
All times are the process's own steady clock, in seconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from .messages import Member
from .ring import nearest_control_nodes

REPLY_VALIDITY_S = 0.45  # for which a reply counts, from its heartbeat on
STABILIZATION_TIMEOUT_S = 3.0  # for a node that replies to become stable, before another one's streams
FIRST_STABILIZATION_TIMEOUT_S = 8.0  # the same where none was stable yet: all of the tier is starting
MAX_CHOSEN = 3
MAX_REMEMBERED_HEARTBEATS = 16  # whose replies may still come
NEVER = float("-inf")


@attrs.frozen
class _SentHeartbeat:
    sequence: int
    sent_at: float


@attrs.define
class _Reply:
    """A node's reply to the newest heartbeat that it replied to, and when that heartbeat was sent."""

    sent_at: float = NEVER
    stable: bool = False


class ControlChoice:
    """The choice of one process, from the calls of `record_sent` and `record_reply`."""

    def __init__(self, address: str, zone: str, now: float) -> None:
        self._address = address
        self._zone = zone
        self._stable_at = now  # when a stable node was last known, or the beginning
        self._stabilization_timeout_s = FIRST_STABILIZATION_TIMEOUT_S
        self._heartbeats: deque[_SentHeartbeat] = deque(maxlen=MAX_REMEMBERED_HEARTBEATS)
        self._replies: dict[str, _Reply] = {}

    def nearest_first(self, members: Iterable[Member], seeds: Iterable[str]) -> list[str]:
        """The addresses of all known control nodes, nearest first; seeds unknown to it come last."""
        controls = [member for member in members if member.serves_control]
        near = [member.address for member in controls if member.zone == self._zone]
        far = [member.address for member in controls if member.zone != self._zone]
        others = set(seeds).difference(near, far)
        return [*self._ring_order(near), *self._ring_order(far), *self._ring_order(others)]

    def record_sent(self, sequence: int, now: float) -> None:
        """Records that the heartbeat of this sequence number was sent."""
        self._heartbeats.append(_SentHeartbeat(sequence, now))

    def record_reply(self, address: str, sequence: int, stable: bool) -> None:
        """Records a node's reply to a heartbeat; a reply to one that is forgotten proves nothing."""
        sent_at = next((sent.sent_at for sent in self._heartbeats if sent.sequence == sequence), NEVER)
        known = self._replies.get(address)
        if known is None or sent_at >= known.sent_at:
            self._replies[address] = _Reply(sent_at, stable)

    def report_targets(self, order: Sequence[str], now: float) -> list[str]:
        """The nodes that heartbeats go to now."""
        return self._up_to_stable(order, now) or list(order[:MAX_CHOSEN])

    def stream_sources(self, order: Sequence[str], now: float) -> list[str]:
        """The nodes whose complete streams are wanted now."""
        chosen = self._up_to_stable(order, now)
        if chosen is not None:
            self._stable_at = now
            self._stabilization_timeout_s = STABILIZATION_TIMEOUT_S
            return chosen
        any_replied = any(self._has_replied(address, now) for address in order[:MAX_CHOSEN])
        timeout = self._stabilization_timeout_s if any_replied else REPLY_VALIDITY_S
        expired_timeouts = int((now - self._stable_at) / timeout)
        return list(order[: min(MAX_CHOSEN, 1 + expired_timeouts)])

    def _up_to_stable(self, order: Sequence[str], now: float) -> list[str] | None:
        """The nodes up to the first stable one; None where none is stable."""
        for index, address in enumerate(order[:MAX_CHOSEN]):
            if self._has_replied(address, now) and self._replies[address].stable:
                return list(order[: index + 1])
        return None

    def _has_replied(self, address: str, now: float) -> bool:
        """Whether the node has replied to a heartbeat that was sent lately enough."""
        known = self._replies.get(address)
        return known is not None and now - known.sent_at <= REPLY_VALIDITY_S

    def _ring_order(self, addresses: Iterable[str]) -> list[str]:
        listed = list(addresses)
        return nearest_control_nodes(self._address, listed, len(listed))
