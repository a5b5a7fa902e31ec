"""Calls to the counter service, adapted to its overload and outages."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import AddToCounter, CounterReply, Effects, Invocation, Log, Result
from .context import SECOND, Context

SILENT_AFTER_FAILURES = 3  # consecutive calls without an answer
SILENT_RETRY_INTERVAL = SECOND // 4  # between calls to a service that does not answer
BACKOFF_FACTOR = 0.6  # on a failed or late call, of the fraction of calls made
RECOVERY_FACTOR = 1.025  # on a successful call, of the same fraction
MIN_CALL_FRACTION = 0.02
TIMEOUT_FRACTION = 0.15  # of the shortest latency target, allowed for a call
DEADLINE_MARGIN_TICKS = 4  # of the client's deadline; a later reply is of no use


@dataclass(slots=True, eq=False)
class CounterCalls:
    """Health of the counter service as seen by this gateway, and the calls to it."""

    context: Context
    timeout: int = 0  # microseconds allowed for one call
    failures: int = 0  # consecutive
    no_call_before: int = 0  # microseconds; while the service is silent
    # Calls are made for customers with less than this part of their burst remaining or, for a customer that
    # reaches many gateways, for this part of its invocations.
    call_fraction: float = 1.0

    def __post_init__(self) -> None:
        settings = self.context.settings
        target = min((op.objective for op in settings.operations), default=0)
        self.timeout = max(settings.counter_timeout, int(TIMEOUT_FRACTION * target))

    def is_silent(self) -> bool:
        """Whether the service has stopped answering."""
        return self.failures >= SILENT_AFTER_FAILURES

    def may_call(self, inv: Invocation) -> bool:
        """Whether a call may be made; never when the reply may come after the client's deadline (rule 1)."""
        settings, now = self.context.settings, self.context.now
        return (
            settings.counter_allowed
            and inv.deadline - now > self.timeout + DEADLINE_MARGIN_TICKS * settings.tick
            and (self.failures < SILENT_AFTER_FAILURES or now >= self.no_call_before)
        )

    def add(self, name: int, amount: float, lifetime: int) -> Effects[CounterReply]:
        """Add to a named counter that expires after `lifetime` microseconds; the reply's total is 0 if the
        call failed."""
        called_at = self.context.now
        reply: CounterReply = yield AddToCounter(name, amount, lifetime)
        if reply.result is Result.SUCCEEDED:
            if self.failures >= SILENT_AFTER_FAILURES:
                yield Log("counter service answers again", None)
            # A late total is still valid, but it means that the service is overloaded.
            late = self.context.now - called_at > self.context.settings.counter_timeout
            self.failures = 0
            factor = BACKOFF_FACTOR if late else RECOVERY_FACTOR
            self.call_fraction = max(MIN_CALL_FRACTION, min(1.0, self.call_fraction * factor))
            return reply
        reply.total = 0.0
        self.call_fraction = max(MIN_CALL_FRACTION, self.call_fraction * BACKOFF_FACTOR)
        if reply.result is not Result.REJECTED:  # a rejection means overload, not silence
            self.failures += 1
            if self.failures == SILENT_AFTER_FAILURES:
                yield Log("counter service silent: quotas go by what was last seen", None)
            if self.failures >= SILENT_AFTER_FAILURES:
                self.no_call_before = self.context.now + SILENT_RETRY_INTERVAL
        return reply
