"""Trust in a backend's silence after its answers, and how long a moment of silence is."""

from __future__ import annotations

from collections import deque

REST_S = 0.03  # after an answer, in which a second one may come
FIRST_RESTS = 3  # in which a backend has to be silent before its connections need none
RESTS_AFTER_NOISE = 100  # the same, once it spoke out of its turn
TIMES_KEPT = 32  # of a backend's answers, by which it counts as slow


class Trust:
    """How often a backend has yet to be silent after an answer before its connections are used again at once.
    Time alone tells a second answer that comes late from the next request's, and resting every connection
    after every answer costs handshakes: so a backend earns that its connections need no rest, and loses it by
    bytes out of its turn.  It keeps how long the backend's latest answers took, too."""

    __slots__ = ("rests", "times")

    def __init__(self):
        self.rests, self.times = FIRST_RESTS, deque(maxlen=TIMES_KEPT)

    def silent(self):
        """It said nothing while a connection rested."""
        self.rests = max(0, self.rests - 1)

    def spoke(self):
        """It sent bytes behind an answer, or on a connection with no request."""
        self.rests = RESTS_AFTER_NOISE

    def took(self, seconds):
        """An answer began so long after its request was written, on a connection that had settled."""
        self.times.append(seconds)

    @property
    def slow(self):
        """Whether its answers may take longer than an early one is in doubt."""
        return max(self.times, default=0.0) > REST_S
