"""The limit of datagrams that one member sends."""

from __future__ import annotations

from .messages import MessageKind
from .parameters import SECOND_US

# Never delayed for comparisons of views: without their answers living members are taken for dead.
URGENT_KINDS = frozenset(
    {MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQUEST, MessageKind.NACK, MessageKind.LEASE}
)


class DatagramRateLimit:
    """A token bucket: in no second more datagrams than allowed, half at once, the other half a second.

    Messages that are not urgent leave half of the bucket to those that are: a fleet that starts at once would
    otherwise answer no pings for digests, and take itself for dead.
    """

    def __init__(self, max_per_s: float, now_us: int) -> None:
        self.tokens = max_per_s / 2
        self._capacity = max_per_s / 2
        self._refilled_at_us = now_us

    def try_take(self, kind: MessageKind, now_us: int) -> bool:
        """Whether a datagram of this kind may go now; it is counted then."""
        elapsed_us = max(0, now_us - self._refilled_at_us)
        self.tokens = min(self._capacity, self.tokens + self._capacity * elapsed_us / SECOND_US)
        self._refilled_at_us = now_us
        if self.tokens < (1 if kind in URGENT_KINDS else 1 + self._capacity / 2):
            return False
        self.tokens -= 1
        return True
