"""Two clocks with one face: `now` in whole microseconds, `at` and `after` to have something called, and
`cancel`.

The models of the world know nothing else of time, so that the same models run in simulated time and on
sockets.
"""

from __future__ import annotations

import asyncio
import heapq
import time

LATE = 25_000  # microseconds: a call in real time that comes later speaks of too little CPU
STUCK = 200_000  # calls at one simulated instant before it is taken for a loop without end


class Stuck(Exception):
    """Something keeps calling without letting time go on."""


class NotOnSockets(Exception):
    """What a scenario asks for that only simulated time can do."""


class SimClock:
    """Simulated time.  What is due at one instant is called in the order in which it was asked for."""

    def __init__(self, start=1_700_000_000_000_000):
        self.now, self.heap, self.order, self.same = start, [], 0, 0
        self.calls = 0

    def at(self, when, call, *args):
        self.order += 1
        entry = [max(when, self.now), self.order, call, args]
        heapq.heappush(self.heap, entry)
        return entry

    def after(self, span, call, *args):
        return self.at(self.now + span, call, *args)

    @staticmethod
    def cancel(entry):
        entry[2] = None

    def run(self, until):
        """Call what is due up to `until`; the clock stands there afterwards."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, call, args = heapq.heappop(heap)
            if call is None:
                continue
            self.same = self.same + 1 if when == self.now else 0
            if self.same > STUCK:
                raise Stuck(f"{self.same} calls at one instant, the last of {named(call)}")
            self.now = when
            self.calls += 1
            call(*args)
        self.now = max(self.now, until)


class LoopClock:
    """Real time, on the running asyncio loop."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        # Microseconds by which calls came late, at most; calls, and those that came late by more than LATE.
        self.late, self.calls, self.behind = 0, 0, 0

    @property
    def now(self):
        return self.base + time.monotonic_ns() // 1000

    def at(self, when, call, *args):
        return self.loop.call_later(max(0, when - self.now) / 1e6, self.call, when, call, args)

    def after(self, span, call, *args):
        return self.at(self.now + span, call, *args)

    def call(self, when, call, args):
        late = self.now - when
        self.late, self.calls, self.behind = max(self.late, late), self.calls + 1, self.behind + (late > LATE)
        call(*args)

    @staticmethod
    def cancel(entry):
        entry.cancel()


def named(call):
    return getattr(call, "__qualname__", repr(call))
