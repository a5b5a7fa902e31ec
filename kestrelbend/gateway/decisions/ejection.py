"""Outlier ejection by a sequential test of each backend's outcomes, and failure rates per operation and plan.

This is Wald's sequential probability ratio test.  Each outcome changes the log-likelihood ratio of
"unhealthy" over "healthy".  Above a limit the backend is ejected, for a time that doubles with each
consecutive ejection.  The failure rate that all backends have in common is expected of each and ejects none.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Effects, Idempotency, Invocation, Log, Result
from ..routing.pool import Pool
from .context import SECOND, Context
from .credits import MIN_CREDITS, Credits
from .state import BackendState

HEALTHY_FAILURE_RATE = 0.02  # expected of a healthy backend, at least
UNHEALTHY_FAILURE_RATE = 0.35  # of an unhealthy backend, above the expected rate
MAX_FAILURE_RATE = 0.99
EVIDENCE_LIMIT = 4.6  # log-likelihood ratio at which to eject: one hundred to one
OWN_RATE_SMOOTHING = 0.4  # weight of one outcome in the rate of an operation or plan at a backend
MAX_OWN_RATE = 0.9
COMMON_RATE_SMOOTHING = 0.01  # weight of one outcome in the rate over all backends
MAX_COMMON_RATE = 0.15
EJECTION_TIME = SECOND  # of the first ejection; doubles with each consecutive one
MAX_EJECTION_TIME = 8 * SECOND
MAX_EJECTED_FRACTION = 1 / 3  # of the pool; does not limit ejections for refused connections


@dataclass(slots=True, eq=False)
class OutlierEjection:
    """Ejects backends whose outcomes are worse than expected."""

    context: Context
    pool: Pool
    credits: Credits
    failure_rate: float = 0.0  # over all backends, exponentially smoothed

    def record(self, backend: BackendState, inv: Invocation, result: Result) -> float:
        """Update a backend's failure rates by operation and plan; returns the excess rate before it."""
        known_rate = self.excess_failure_rate(backend, inv)
        if result not in (Result.CANCELLED, Result.VOID, Result.UNREACHABLE):
            failed, rates = result is not Result.SUCCEEDED, backend.failure_rates
            for kind in (inv.op, inv.customer.plan):
                if failed or kind in rates:
                    rates[kind] = (
                        rates.get(kind, 0.0) * (1 - OWN_RATE_SMOOTHING) + OWN_RATE_SMOOTHING * failed
                    )
        return known_rate

    def excess_failure_rate(self, backend: BackendState, inv: Invocation) -> float:
        """Failure rate of this operation or plan above the rate that all of them have at the backend.

        Without it, backends that failed one operation or rejected one plan, but served the rest, lost their
        credits and were ejected.  For operations that may not be repeated the whole rate counts.
        """
        rates = backend.failure_rates
        common = min(rates.values(), default=0.0) if inv.op.effect is not Idempotency.NON_IDEMPOTENT else 0.0
        own = max(rates.get(inv.op, 0.0), rates.get(inv.customer.plan, 0.0))
        return max(0.0, min(MAX_OWN_RATE, own - common))

    def add_evidence(self, backend: BackendState, result: Result, known_rate: float) -> Effects[None]:
        """Add an outcome to the evidence, and eject the backend above the limit.

        `known_rate`: the excess failure rate of the operation or plan there.  Unreachable is never expected.
        """
        failed = result is not Result.SUCCEEDED
        self.failure_rate += COMMON_RATE_SMOOTHING * (failed - self.failure_rate)
        common = min(MAX_COMMON_RATE, self.failure_rate) if result is not Result.UNREACHABLE else 0.0
        healthy = max(HEALTHY_FAILURE_RATE, common, known_rate)
        unhealthy = min(MAX_FAILURE_RATE, UNHEALTHY_FAILURE_RATE + healthy)
        if failed:
            backend.failure_evidence += math.log(unhealthy / healthy)
        else:
            evidence = backend.failure_evidence + math.log((1 - unhealthy) / (1 - healthy))
            backend.failure_evidence = max(0.0, evidence)
            if not backend.failure_evidence:
                backend.ejections = 0
        if backend.failure_evidence >= EVIDENCE_LIMIT and backend.ejected_until <= self.context.now:
            ejected = self.pool.ejected_count() + 1
            allowed = max(1, MAX_EJECTED_FRACTION * self.pool.nominal_size)
            if result is Result.UNREACHABLE or ejected <= allowed:
                self._eject(backend)
                yield Log("backend benched by its outcomes", backend)

    def _eject(self, backend: BackendState) -> None:
        time = min(MAX_EJECTION_TIME, EJECTION_TIME << backend.ejections)
        backend.ejected_until = self.context.now + time
        backend.ejections += 1
        self.pool.set_capacity(backend, MIN_CREDITS / self.pool.sharing_gateways())
        backend.failure_evidence = EVIDENCE_LIMIT - 1
        self.credits.refill_pool()
