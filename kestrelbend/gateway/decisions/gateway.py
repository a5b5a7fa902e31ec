"""Entry point for hosts: composes the decision modules of one gateway.

A host creates one `Gateway` per gateway instance, represents backends as `BackendState` and customers as
`CustomerState`, and sets `now` before each event.  It starts the generators of `background.tasks()` once, and
`invocation(inv)` for each request.  When a delivery ends it runs `outcomes.ended(...)` to completion, then
resumes the invocation.  It calls `endpoints_changed` for each report of discovery.  The effects and their
results are defined in `kestrelbend/gateway/interface.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from ..interface import Effects, EndpointState, GatewaySettings, Invocation, Wake
from ..routing.pool import Pool
from .admission import Admission
from .attempts import AttemptRules
from .background import BackgroundTasks
from .backlog import Backlog
from .concurrency import ConcurrencyCaps
from .context import Context
from .counter import CounterCalls
from .credits import Credits
from .delivery import DeliveryLoop
from .ejection import OutlierEjection
from .outcomes import Outcomes
from .quota import MAX_LIFETIME, Quota, window_length
from .rate_limits import RateLimits
from .retry_budget import RetryBudget
from .sampling import CounterSampling
from .selection import BackendSelection
from .slow_start import SlowStart
from .state import BackendState, CustomerState


class Gateway:
    """The decision modules of one gateway; each owns its state."""

    admission_type = Admission  # the baselines of the emulator substitute others
    selection_type = BackendSelection

    def __init__(self, settings: Mapping[str, Any], seed: int | str, now: int) -> None:
        context = self.context = Context(GatewaySettings.from_mapping(settings), Random(seed), now, now)
        pool = self.pool = Pool(context.settings.gateways, context.settings.gateway, now)
        warming = self.slow_start = SlowStart(context, pool)
        credits = self.credits = Credits(context, pool, warming, Backlog())
        limits = self.limits = RateLimits(context)
        counter = self.counter = CounterCalls(context)
        quota = self.quota = Quota(context, counter)
        caps = self.caps = ConcurrencyCaps(context, counter, credits)
        budget = self.budget = RetryBudget(context, counter, quota, credits)
        sampling = self.sampling = CounterSampling(context, counter, quota, credits)
        self.admission = self.admission_type(context, limits, counter, quota, caps, budget, sampling, credits)
        rules = self.rules = AttemptRules(context, limits, warming)
        ejection = self.ejection = OutlierEjection(context, pool, credits)
        selection = self.selection = self.selection_type(context, pool, credits, rules, warming, ejection)
        self.background = BackgroundTasks(context, pool, warming)
        outcomes = self.outcomes = Outcomes(
            context, pool, credits, warming, ejection, quota, sampling, self.background
        )
        self.delivery = DeliveryLoop(context, pool, credits, rules, selection, warming, outcomes, budget)

    @property
    def now(self) -> int:
        """Current time in microseconds on the host's clock."""
        return self.context.now

    @now.setter
    def now(self, now: int) -> None:
        self.context.now = now

    def endpoints_changed(self, backends: list[BackendState], failed: bool) -> None:
        """Take all backends that discovery lists, in any state; `failed`: the subscription or call failed."""
        self.background.subscribed = self.background.subscribed and not failed
        ready = [backend for backend in backends if backend.state is EndpointState.READY]
        for backend in ready:
            if backend.started != backend.observed_start:
                backend.reset()
        self.pool.set_endpoints(ready)
        self.credits.refill_pool()

    def invocation(self, inv: Invocation) -> Effects[None]:
        """Process one invocation, from its arrival to its final answer."""
        customer = inv.customer
        retry_after = yield from self.admission.admit(inv)
        if retry_after is not None or inv.done:
            yield from self.quota.refund(inv)
            yield from self.delivery.reject(inv, retry_after or 0)
        else:
            customer.in_flight += 1
            yield from self.delivery.serve(inv)
            customer.in_flight -= 1
            if not inv.deliveries:
                yield from self.quota.refund(inv)
            elif inv.counted is not None:
                customer.at_cap_until = 0
                yield from self.quota.release(inv)
        if customer.queue:
            yield Wake(customer.queue[0])

    def may_forget(self, customer: CustomerState) -> bool:
        """Whether dropping this customer's state loses nothing: a new one would be equivalent."""
        end = ((customer.window or 0) + 1) * window_length(customer.plan) + MAX_LIFETIME
        if customer.in_flight or self.context.now <= end:
            return False
        if not customer.plan.limit_rate:
            return True
        new = CustomerState(customer.name, customer.plan, customer.spread)
        return self.limits.available(customer) >= self.limits.available(new)
