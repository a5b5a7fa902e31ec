"""The loop that calls a process on as time passes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import logbook

HEARTBEAT_INTERVAL_S = 0.25  # of processes; backends have an interval of their own, `Settings.heartbeat_ms`
SETTINGS_CHECK_INTERVAL_S = 1.0


@attrs.frozen
class TickActions:
    """What is called at each turn, and about every interval; `abort` where one of them raises."""

    tick: Callable[[float], None]
    heartbeat: Callable[[float], None]
    check_settings: Callable[[], None]
    abort: Callable[[], None]


class Ticker:
    """Owns the task of the loop.

    Invariant: a process never goes on without its loop: one that ends by an error ends the process.
    """

    def __init__(self, interval_s: float, now: Callable[[], float], actions: TickActions) -> None:
        self._interval_s = interval_s
        self._now = now
        self._actions = actions
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to call; the first turn is due at once."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(self._must_not_end)

    def stop(self) -> None:
        """Calls no more."""
        if self._task is not None:
            self._task.remove_done_callback(self._must_not_end)
            self._task.cancel()

    async def _run(self) -> None:
        heartbeat_at = settings_at = 0.0
        while True:
            now = self._now()
            self._actions.tick(now)
            if now >= heartbeat_at:
                heartbeat_at = now + HEARTBEAT_INTERVAL_S
                self._actions.heartbeat(now)
            if now >= settings_at:
                settings_at = now + SETTINGS_CHECK_INTERVAL_S
                self._actions.check_settings()
            await asyncio.sleep(self._interval_s)

    def _must_not_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            logbook.Logger("kestrelbend").critical("a loop ended: {!r}", task.exception())
            self._actions.abort()
