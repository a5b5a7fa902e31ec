"""Hedged requests: a second, concurrent attempt if a response is overdue (Dean and Barroso 2013).

    first attempt  ───────overdue──────────────────> the first response opened is the outcome;
    second attempt           └──new connection─────> the other is cancelled, and closed if it still opens

A response can be lost without any error.  Only exchanges that may run more than once are hedged, only at the
same backend, and only for a small share of all requests, so that a slow backend does not get twice the load.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from .attempt import OpenedResponse
from .exchange import Exchange, Failure
from .latency import LatencyRatios

BUDGET_SHARE = 0.05  # share of all requests that may be hedged
MAX_BUDGET = 3.0  # unused hedged requests that may accumulate

Attempt = Callable[[bool], Awaitable[OpenedResponse | Failure]]


class Hedger:
    """Decides on second attempts and runs them concurrently with the first."""

    def __init__(self, latency: LatencyRatios) -> None:
        self._latency = latency
        self._budget = MAX_BUDGET

    async def run(self, exchange: Exchange, attempt: Attempt) -> OpenedResponse | Failure:
        """Returns the first opened response; `attempt` is called with True for the second attempt.

        If both fail, a failure after which the request may have run takes precedence over one that excludes
        it.  Hazard: the cancelled attempt may still run at the backend, so both count as sends.
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
        """Takes a second attempt from the budget; returns False if none is left."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


async def _first_opened(tasks: list[asyncio.Task[OpenedResponse | Failure]]) -> OpenedResponse | Failure:
    """The first opened response, its task removed from `tasks`; else the failure that guarantees least."""
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
    """Cancels the remaining attempts; a response that was opened meanwhile is closed."""
    for task in tasks:
        task.cancel()
        task.add_done_callback(_close_if_opened)


def _close_if_opened(task: asyncio.Task[OpenedResponse | Failure]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, OpenedResponse):
        outcome.close()
