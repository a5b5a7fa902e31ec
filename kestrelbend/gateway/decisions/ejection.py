"""Outlier ejection: a sequential test on each backend's outcomes, and what fails of one operation or plan
alone.

Source: Wald's sequential probability ratio test.  Each outcome moves the log-likelihood ratio of "unhealthy"
over "healthy"; past a limit the backend is ejected for a time that doubles.  What is lost at all backends
alike is expected of each, so that it ejects nobody.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..interface import Effects, Invocation, Log, RepeatEffect, Result
from ..routing.pool import Pool
from .context import SECOND, Context
from .credits import MIN_CREDITS, Credits
from .state import BackendState

HEALTHY_FAILURE_RATE = 0.02  # of a healthy backend's outcomes, at least
UNHEALTHY_FAILURE_RATE = 0.35  # of an unhealthy one's, beyond what is expected
MAX_FAILURE_RATE = 0.99
EVIDENCE_LIMIT = 4.6  # log-likelihood ratio that ejects: one hundred to one
OWN_RATE_SMOOTHING = 0.4  # how one outcome moves the rate of an operation or plan at a backend
MAX_OWN_RATE = 0.9
COMMON_RATE_SMOOTHING = 0.01  # how one outcome moves the rate of all backends
MAX_COMMON_RATE = 0.15
EJECTION_TIME = SECOND  # doubles with each in a row
MAX_EJECTION_TIME = 8 * SECOND
MAX_EJECTED_FRACTION = 1 / 3  # of the pool, but for refused connections


@dataclass(slots=True, eq=False)
class OutlierEjection:
    """Judges backends by their outcomes."""

    context: Context
    pool: Pool
    credits: Credits
    failure_rate: float = 0.0  # of all backends' outcomes, recent

    def record(self, backend: BackendState, inv: Invocation, result: Result) -> float:
        """Keep what fails of each operation and plan at a backend; the excess that was known before."""
        known = self.excess_failure_rate(backend, inv)
        if result not in (Result.CANCELLED, Result.VOID, Result.UNREACHABLE):
            failed, rates = result is not Result.SUCCEEDED, backend.failure_rates
            for kind in (inv.op, inv.customer.plan):
                if failed or kind in rates:
                    rates[kind] = (
                        rates.get(kind, 0.0) * (1 - OWN_RATE_SMOOTHING) + OWN_RATE_SMOOTHING * failed
                    )
        return known

    def excess_failure_rate(self, backend: BackendState, inv: Invocation) -> float:
        """What fails of this operation or plan beyond what does of all there.

        (Seen: backends that fail one operation, or reject one plan, and serve the rest lost their credits and
        were ejected.) What may not be repeated is spared all that fails.
        """
        rates = backend.failure_rates
        common = min(rates.values(), default=0.0) if inv.op.effect is not RepeatEffect.NON_IDEMPOTENT else 0.0
        own = max(rates.get(inv.op, 0.0), rates.get(inv.customer.plan, 0.0))
        return max(0.0, min(MAX_OWN_RATE, own - common))

    def add_evidence(self, backend: BackendState, result: Result, known: float) -> Effects[None]:
        """Add an outcome to the evidence; `known`: the failure rate that is known of what was asked there.

        Refused connections are never expected.
        """
        failed = result is not Result.SUCCEEDED
        self.failure_rate += COMMON_RATE_SMOOTHING * (failed - self.failure_rate)
        common = min(MAX_COMMON_RATE, self.failure_rate) if result is not Result.UNREACHABLE else 0.0
        healthy = max(HEALTHY_FAILURE_RATE, common, known)
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
