"""Runs a scenario in simulated time and says what it came to."""

from __future__ import annotations

import gc
import signal
import sys
import time
from contextlib import contextmanager
from resource import RUSAGE_SELF, getrusage

from . import failures
from .clock import SimClock, Stuck
from .plant import SimPlant
from .world import World

FROZEN_S = 20  # real seconds without one call of the clock: something neither pauses nor ends


@contextmanager
def watched(clock):
    """A call that does not come back ends the run with the name of what it is in."""
    last = [-1]

    def look(_, frame):
        if clock.calls == last[0]:
            while frame is not None and "kestrelbend" not in frame.f_code.co_filename:
                frame = frame.f_back
            where = f"{frame.f_code.co_qualname}, line {frame.f_lineno}" if frame is not None else "?"
            raise Stuck(f"no pause for {FROZEN_S} s: {where}")
        last[0] = clock.calls

    usable = hasattr(signal, "setitimer")
    try:
        before = signal.signal(signal.SIGALRM, look)
        signal.setitimer(signal.ITIMER_REAL, FROZEN_S, FROZEN_S)
    except ValueError:  # not the main thread: there the caller watches
        usable = False
    try:
        yield
    finally:
        if usable:
            signal.setitimer(signal.ITIMER_REAL, 0)
            signal.signal(signal.SIGALRM, before)


def run(scenario, seed=None, plant=SimPlant, progress=None):
    """The world after the scenario, and the figures of the run."""
    began, spent = time.monotonic(), time.process_time()
    clock = SimClock()
    world = World(scenario, clock, plant, seed)
    collects = gc.isenabled()
    gc.disable()  # hundreds of thousands of objects that live for the run
    try:
        with watched(clock):
            world.plant.begin()
            failures.schedule(world)
            world.clients.start(world.began + scenario.lasts)
            end = world.ends()
            step = max(1_000_000, scenario.lasts // 20)
            while clock.now < end:
                clock.run(min(end, clock.now + step))
                gc.collect(0)
                if progress is not None:
                    progress(min(1.0, (clock.now - world.began) / (end - world.began)))
            world.oracle.overdue()
    finally:
        if collects:
            gc.enable()
    figures = world.figures()
    took = time.process_time() - spent
    figures["run"] = {
        "wall_s": round(time.monotonic() - began, 2),
        "cpu_s": round(took, 2),
        "calls": clock.calls,
        "tries_per_core_s": round(world.tally.counts["tries"] / took, 1),
        "memory_mb": getrusage(RUSAGE_SELF).ru_maxrss // (1 << 20 if sys.platform == "darwin" else 1 << 10),
    }
    return world, figures
