"""Trust in a backend's silence after its answers, and how long a moment of silence is."""

from __future__ import annotations

from collections import deque
from typing import Final

REST_S: Final = 0.03  # after an answer, in which a second one may come
FIRST_RESTS: Final = 3  # in which a backend has to be silent before its connections need none
RESTS_AFTER_NOISE: Final = 100  # the same, once it sent bytes out of its turn
TIMES_KEPT: Final = 32  # of a backend's answers, by which it counts as slow


class Trust:
    """How often a backend has yet to be silent after an answer before its connections are used again at once.

    Time alone tells a second answer that comes late from the next request's, and resting every connection
    after every answer costs handshakes: so a backend earns that its connections need no rest, and loses it by
    bytes out of its turn. It keeps how long the backend's latest answers took, too, in seconds.
    """

    __slots__ = ("rests", "times")

    def __init__(self) -> None:
        self.rests = FIRST_RESTS
        self.times: deque[float] = deque(maxlen=TIMES_KEPT)

    def record_silence(self) -> None:
        """It sent nothing while a connection rested."""
        self.rests = max(0, self.rests - 1)

    def record_noise(self) -> None:
        """It sent bytes behind an answer, or on a connection with no request."""
        self.rests = RESTS_AFTER_NOISE

    def record_latency(self, seconds: float) -> None:
        """An answer began so long after its request was written, on a connection that had settled."""
        self.times.append(seconds)

    @property
    def is_slow(self) -> bool:
        """Whether its answers may take longer than an early one is in doubt."""
        return max(self.times, default=0.0) > REST_S
