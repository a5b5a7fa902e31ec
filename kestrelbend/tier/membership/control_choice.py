"""Chooses the control nodes that a process sends heartbeats to and takes streams from.

The choice is the nearest stable node.  Nodes of the process's own zone come first, then the others, each
group in ring order from the process's address, so that processes that lose a control node spread over the
remaining ones.  A node is stable if its reply to a heartbeat of the last `REPLY_VALIDITY_S` says so.  Nodes
nearer than the first stable one stay chosen, so that their recovery is noticed.

If no node is stable, the process sends heartbeats to several nodes at once: heartbeats are small, and without
them the process's replicas would be moved.  Streams are large, so one more node is asked for them with each
timeout.

Invariant: at least one node is chosen if any is known, and never more than `MAX_CHOSEN`.
All times are seconds of the process's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from .messages import Member
from .ring import nearest_control_nodes

REPLY_VALIDITY_S = 0.45  # how long a reply is valid, counted from the sending of its heartbeat
STABILIZATION_TIMEOUT_S = 3.0  # how long a replying node may take to become stable before another is asked
FIRST_STABILIZATION_TIMEOUT_S = 8.0  # the same until the first stable node: the whole tier may be starting
MAX_CHOSEN = 3
MAX_REMEMBERED_HEARTBEATS = 16  # replies to older heartbeats are not valid
NEVER = float("-inf")


@attrs.frozen
class _SentHeartbeat:
    sequence: int
    sent_at: float


@attrs.define
class _Reply:
    """The time of the newest heartbeat that a node replied to, and whether the reply said it was stable."""

    sent_at: float = NEVER
    stable: bool = False


class ControlChoice:
    """The choice of one process, based on the heartbeats and replies recorded."""

    def __init__(self, address: str, zone: str, now: float) -> None:
        self._address = address
        self._zone = zone
        self._stable_at = now  # when a stable node was last known; initially the start time
        self._stabilization_timeout_s = FIRST_STABILIZATION_TIMEOUT_S
        self._heartbeats: deque[_SentHeartbeat] = deque(maxlen=MAX_REMEMBERED_HEARTBEATS)
        self._replies: dict[str, _Reply] = {}

    def nearest_first(self, members: Iterable[Member], seeds: Iterable[str]) -> list[str]:
        """Returns all known control nodes' addresses, nearest first; seeds that are not members come last."""
        controls = [member for member in members if member.serves_control]
        near = [member.address for member in controls if member.zone == self._zone]
        far = [member.address for member in controls if member.zone != self._zone]
        others = set(seeds).difference(near, far)
        return [*self._ring_order(near), *self._ring_order(far), *self._ring_order(others)]

    def record_sent(self, sequence: int, now: float) -> None:
        """Records that the heartbeat with this sequence number was sent."""
        self._heartbeats.append(_SentHeartbeat(sequence, now))

    def record_reply(self, address: str, sequence: int, stable: bool) -> None:
        """Records a node's reply to a heartbeat; a reply to one no longer remembered is not valid."""
        sent_at = next((sent.sent_at for sent in self._heartbeats if sent.sequence == sequence), NEVER)
        known = self._replies.get(address)
        if known is None or sent_at >= known.sent_at:
            self._replies[address] = _Reply(sent_at, stable)

    def report_targets(self, order: Sequence[str], now: float) -> list[str]:
        """Returns the nodes to send heartbeats to now."""
        return self._up_to_stable(order, now) or list(order[:MAX_CHOSEN])

    def stream_sources(self, order: Sequence[str], now: float) -> list[str]:
        """Returns the nodes to take complete streams from now."""
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
        """Returns the nodes up to the first stable one, or None if none is stable."""
        for index, address in enumerate(order[:MAX_CHOSEN]):
            if self._has_replied(address, now) and self._replies[address].stable:
                return list(order[: index + 1])
        return None

    def _has_replied(self, address: str, now: float) -> bool:
        """Whether the node has replied to a heartbeat of the last `REPLY_VALIDITY_S`."""
        known = self._replies.get(address)
        return known is not None and now - known.sent_at <= REPLY_VALIDITY_S

    def _ring_order(self, addresses: Iterable[str]) -> list[str]:
        listed = list(addresses)
        return nearest_control_nodes(self._address, listed, len(listed))
