"""Calls to the counter service: when to make one, and how crowded or silent the service is."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Count, Counted, Effects, Invocation, Log, Result
from .context import SECOND, Context

SILENT_AFTER_FAILURES = 3  # calls in a row without an answer
SILENT_RETRY_INTERVAL = SECOND // 4  # between calls to a silent service
BACKOFF_FACTOR = 0.6  # a failed or late call cuts the fraction that is called for
RECOVERY_FACTOR = 1.025  # a good one restores it
MIN_CALL_FRACTION = 0.02
TIMEOUT_FRACTION = 0.15  # of the shortest latency target that a total may take
DEADLINE_MARGIN_TICKS = 4  # ticks before the client's time in which an answer would be of no use


@dataclass(slots=True, eq=False)
class CounterCalls:
    """The state of the service as this gateway sees it."""

    context: Context
    timeout: int = 0  # microseconds that one call may take
    failures: int = 0  # in a row
    no_call_before: int = 0  # microseconds; no call before then while it is silent
    # A call is made for customers with less than this part of their burst remaining or, where a customer's
    # gateways are many, for this part of its invocations.
    call_fraction: float = 1.0

    def __post_init__(self) -> None:
        settings = self.context.settings
        target = min((op.objective for op in settings.operations), default=0)
        self.timeout = max(settings.counter_timeout, int(TIMEOUT_FRACTION * target))

    def is_silent(self) -> bool:
        """Whether the last calls had no answer."""
        return self.failures >= SILENT_AFTER_FAILURES

    def may_call(self, inv: Invocation) -> bool:
        """Whether to ask it; never when its answer might come after the client gave up (rule 1)."""
        settings, now = self.context.settings, self.context.now
        return (
            settings.counter_allowed
            and inv.deadline - now > self.timeout + DEADLINE_MARGIN_TICKS * settings.tick
            and (self.failures < SILENT_AFTER_FAILURES or now >= self.no_call_before)
        )

    def add(self, name: int, amount: float, lifetime: int) -> Effects[Counted]:
        """Add to a named number that the service forgets after `lifetime` microseconds; its total, 0 if none
        came."""
        called_at = self.context.now
        reply: Counted = yield Count(name, amount, lifetime)
        if reply.result is Result.SUCCEEDED:
            if self.failures >= SILENT_AFTER_FAILURES:
                yield Log("counter service answers again", None)
            # A late total is still true, but the service is crowded.
            late = self.context.now - called_at > self.context.settings.counter_timeout
            self.failures = 0
            factor = BACKOFF_FACTOR if late else RECOVERY_FACTOR
            self.call_fraction = max(MIN_CALL_FRACTION, min(1.0, self.call_fraction * factor))
            return reply
        reply.total = 0.0
        self.call_fraction = max(MIN_CALL_FRACTION, self.call_fraction * BACKOFF_FACTOR)
        if reply.result is not Result.REJECTED:  # that would be a crowded one, not a silent one
            self.failures += 1
            if self.failures == SILENT_AFTER_FAILURES:
                yield Log("counter service silent: quotas go by what was last seen", None)
            if self.failures >= SILENT_AFTER_FAILURES:
                self.no_call_before = self.context.now + SILENT_RETRY_INTERVAL
        return reply
