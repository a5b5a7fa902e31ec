"""When connections to a backend may be reused after a response: at once, or after a delay."""

from __future__ import annotations

from collections import deque
from typing import Final

REUSE_DELAY_S: Final = 0.03  # after a response; an unsolicited second one may arrive within it
INITIAL_REUSE_DELAYS: Final = 3  # quiet delays required before connections are reused at once
REUSE_DELAYS_AFTER_UNSOLICITED_DATA: Final = 100  # the same, after it sent unsolicited data
MAX_LATENCIES: Final = 32  # of a backend's latest responses, from which `is_slow` is derived


class ReuseHistory:
    """What was observed of one backend's responses, to decide when its connections may be reused.

    A late second response to one request can only be told from the response to the next request by its
    time, so a connection is not reused for `REUSE_DELAY_S` after a response. Since delaying every reuse
    costs handshakes, a backend that stayed quiet in enough delays needs none, until it sends unsolicited
    data.

    `remaining_delays`: how many more quiet delays are required before connections are reused at once.
    `latencies`: of the latest responses, in seconds.
    """

    __slots__ = ("remaining_delays", "latencies")

    def __init__(self) -> None:
        self.remaining_delays = INITIAL_REUSE_DELAYS
        self.latencies: deque[float] = deque(maxlen=MAX_LATENCIES)

    def record_quiet_delay(self) -> None:
        """The backend sent nothing during a reuse delay."""
        self.remaining_delays = max(0, self.remaining_delays - 1)

    def record_unsolicited_data(self) -> None:
        """The backend sent bytes after a response, or on a connection without a request in flight."""
        self.remaining_delays = REUSE_DELAYS_AFTER_UNSOLICITED_DATA

    def record_latency(self, seconds: float) -> None:
        """Record the seconds from a request's write to its first response byte, on a settled connection."""
        self.latencies.append(seconds)

    @property
    def is_slow(self) -> bool:
        """Whether responses may take longer than the delay within which an early response is ambiguous."""
        return max(self.latencies, default=0.0) > REUSE_DELAY_S
