"""ReuseHistory in a backend's silence after its answers, and how long a moment of silence is."""

from __future__ import annotations

from collections import deque
from typing import Final

REUSE_DELAY_S: Final = 0.03  # after an answer, in which a second one may come
INITIAL_REUSE_DELAYS: Final = 3  # in which a backend has to be silent before its connections need none
REUSE_DELAYS_AFTER_UNSOLICITED_DATA: Final = 100  # the same, once it sent bytes out of its turn
MAX_LATENCIES: Final = 32  # of a backend's answers, by which it counts as slow


class ReuseHistory:
    """How often a backend has yet to be silent after an answer before its connections are used again at once.

    Time alone tells a second answer that comes late from the next request's, and resting every connection
    after every answer costs handshakes: so a backend earns that its connections need no rest, and loses it by
    bytes out of its turn. It keeps how long the backend's latest answers took, too, in seconds.
    """

    __slots__ = ("remaining_delays", "latencies")

    def __init__(self) -> None:
        self.remaining_delays = INITIAL_REUSE_DELAYS
        self.latencies: deque[float] = deque(maxlen=MAX_LATENCIES)

    def record_quiet_delay(self) -> None:
        """It sent nothing while a connection rested."""
        self.remaining_delays = max(0, self.remaining_delays - 1)

    def record_unsolicited_data(self) -> None:
        """It sent bytes behind an answer, or on a connection with no request."""
        self.remaining_delays = REUSE_DELAYS_AFTER_UNSOLICITED_DATA

    def record_latency(self, seconds: float) -> None:
        """An answer began so long after its request was written, on a connection that had settled."""
        self.latencies.append(seconds)

    @property
    def is_slow(self) -> bool:
        """Whether its answers may take longer than an early one is in doubt."""
        return max(self.latencies, default=0.0) > REUSE_DELAY_S
