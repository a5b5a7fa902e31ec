"""A second attempt beside one that stays silent far longer than usual.

An answer may be lost without a sign.  Only exchanges that may run more than once are hedged, only at the same
backend, and only for a small share of all requests, so that a slow backend is not loaded twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from .attempt import Opened
from .exchange import Exchange, Failure
from .pace import Pace

SHARE = 0.05  # of all requests
SAVED_AT_MOST = 3.0

Attempt = Callable[[bool], Awaitable[Opened | Failure]]


class Hedger:
    """Decides on second attempts and runs the two side by side."""

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self._saved = SAVED_AT_MOST

    async def run(self, exchange: Exchange, attempt: Attempt) -> Opened | Failure:
        """The first outcome that can be passed on; `attempt` is told whether it is the second."""
        self._saved = min(self._saved + SHARE, SAVED_AT_MOST)
        if not exchange.repeatable:
            return await attempt(False)
        first = asyncio.ensure_future(attempt(False))
        tasks = [first]
        try:
            await asyncio.wait(tasks, timeout=self._pace.patience(exchange.route))
            if not first.done() and self._spend():
                tasks.append(asyncio.ensure_future(attempt(True)))
            return await _first_opened(tasks)
        finally:
            _give_up(tasks)

    def _spend(self) -> bool:
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


async def _first_opened(tasks: list[asyncio.Task]) -> Opened | Failure:
    pending = set(tasks)
    failure: Failure | None = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            outcome = task.result()
            if isinstance(outcome, Opened):
                tasks.remove(task)
                return outcome
            if failure is None or failure.certainly_not_run:
                failure = outcome
    return failure


def _give_up(tasks: list[asyncio.Task]) -> None:
    """Ends the attempts that nobody waits for; an answer that came meanwhile is closed."""
    for task in tasks:
        task.cancel()
        task.add_done_callback(_close_opened)


def _close_opened(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is None and isinstance(task.result(), Opened):
        task.result().close()
