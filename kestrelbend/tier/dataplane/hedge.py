"""Hedged requests: a second attempt beside one whose answer is overdue (Dean and Barroso 2013).

    first attempt  ───────overdue──────────────────> the first that is opened is the outcome;
    second attempt           └──new connection─────> the other is cancelled, and closed if it opens yet

An answer may be lost without a sign.  Only exchanges that may run more than once are hedged, only at the same
backend, and only for a small share of all requests, so that a slow backend is not loaded twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from .attempt import OpenedResponse
from .exchange import Exchange, Failure
from .latency import LatencyRatios

BUDGET_SHARE = 0.05  # of all requests may be hedged
MAX_BUDGET = 3.0  # hedged requests that may be saved up

Attempt = Callable[[bool], Awaitable[OpenedResponse | Failure]]


class Hedger:
    """Decides on second attempts and runs the two side by side."""

    def __init__(self, latency: LatencyRatios) -> None:
        self._latency = latency
        self._budget = MAX_BUDGET

    async def run(self, exchange: Exchange, attempt: Attempt) -> OpenedResponse | Failure:
        """The first outcome that can be passed on; `attempt` is told whether it is the second.

        Where both fail, a failure after which the request may have run goes before one that excludes it.
        Hazard: the attempt that is cancelled may run on at the backend, so both count as sends.
        """
        self._budget = min(self._budget + BUDGET_SHARE, MAX_BUDGET)
        if not exchange.retryable:
            return await attempt(False)
        first = asyncio.ensure_future(attempt(False))
        tasks = [first]
        try:
            await asyncio.wait(tasks, timeout=self._latency.overdue_after_s(exchange.route))
            if not first.done() and self._take_from_budget():
                tasks.append(asyncio.ensure_future(attempt(True)))
            return await _first_opened(tasks)
        finally:
            _cancel(tasks)

    def _take_from_budget(self) -> bool:
        """Whether the budget allows a second attempt now; it is taken from it."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


async def _first_opened(tasks: list[asyncio.Task[OpenedResponse | Failure]]) -> OpenedResponse | Failure:
    """The first opened answer, taken off `tasks`; otherwise the failure that promises least."""
    pending = set(tasks)
    failure: Failure | None = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            outcome = task.result()
            if isinstance(outcome, OpenedResponse):
                tasks.remove(task)
                return outcome
            if failure is None or failure.certainly_not_run:
                failure = outcome
    assert failure is not None, "each attempt has an outcome"
    return failure


def _cancel(tasks: list[asyncio.Task[OpenedResponse | Failure]]) -> None:
    """Ends the attempts that nobody waits for; an answer that came meanwhile is closed."""
    for task in tasks:
        task.cancel()
        task.add_done_callback(_close_if_opened)


def _close_if_opened(task: asyncio.Task[OpenedResponse | Failure]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, OpenedResponse):
        outcome.close()
