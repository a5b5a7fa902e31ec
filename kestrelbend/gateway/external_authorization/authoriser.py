"""One external authoriser: when to ask it, how long to wait, and what it means that it doesn't answer.

No I/O: `grpc.authorisers` makes the calls and records their starts and ends here.  Three limits protect both
sides, each by the decisions' own constants:

* outlier ejection by Wald's sequential probability ratio test, as on backends (`decisions.ejection`): an
  unhealthy authoriser is not asked for a time that doubles, and then by one call at a time until one is
  answered;
* retries are held to a share of the recent calls (`decisions.retry_budget`): a storm of them would bury an
  authoriser that comes back;
* a call takes no more than a stated part of the time that its client has left.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from typing import Annotated, Final, Literal, TypeAlias

from msgspec import Meta, Struct, field

from ..decisions.context import SECOND
from ..decisions.ejection import (
    EJECTION_TIME,
    EVIDENCE_LIMIT,
    HEALTHY_FAILURE_RATE,
    MAX_EJECTION_TIME,
    UNHEALTHY_FAILURE_RATE,
)
from ..decisions.retry_budget import RETRY_FLOOR, RETRY_SHARE
from ..settings.units import Address

MAX_RECENT_CALLS: Final = 256  # beyond, the counts of calls and retries are halved
MAX_CACHED_VERDICTS: Final = 10_000
MAX_EJECTION_DOUBLINGS: Final = 8
MAX_DENIAL_HEADERS: Final = 64
MAX_HEADER_CHARACTERS: Final = 4096  # of a name or a value
UNAVAILABLE_STATUS: Final = 503
DEFAULT_DENIAL_STATUS: Final = 403
FIRST_ERROR_STATUS: Final = 400  # HTTP's statuses of errors: 400 to 599
END_OF_ERROR_STATUSES: Final = 600
NO_ANSWER: Final = "no answer"
"""Why there is no verdict: the authoriser was asked and did not answer in its time."""

FAILED_CALL_EVIDENCE: Final = math.log(UNHEALTHY_FAILURE_RATE / HEALTHY_FAILURE_RATE)
ANSWERED_CALL_EVIDENCE: Final = math.log((1 - UNHEALTHY_FAILURE_RATE) / (1 - HEALTHY_FAILURE_RATE))
"""Log-likelihood ratios, unhealthy over healthy, of one call; the second is negative."""

VerdictKey: TypeAlias = bytes
"""What a cached verdict holds for: a digest of all that the authoriser was shown and may judge by."""


class AuthoriserSettings(Struct):
    """An authoriser that is asked before the first delivery; one table of the installation's file."""

    name: str
    target: Address
    operations: list[str] = field(default_factory=list)  # for these; empty: all
    plans: list[str] = field(default_factory=list)
    budget: Annotated[float, Meta(gt=0)] = 0.2  # seconds of the client's time, at most
    part: Annotated[float, Meta(gt=0, le=1)] = 0.5  # and of what is left of it
    when_silent: Literal["allow", "deny"] = "deny"
    most_open: Annotated[int, Meta(ge=1)] = 100
    repeats: Annotated[int, Meta(ge=0)] = 1  # of a call that could not be answered
    remember: Annotated[float, Meta(ge=0)] = 0.0  # seconds; for marked retries alone
    pass_on: list[str] = field(default_factory=list)  # headers of a denial that clients may see
    longest: Annotated[int, Meta(ge=1024)] = 16_384  # bytes of an answer

    def concerns(self, operation: str, plan: str) -> bool:
        """Whether it is asked for this operation of this plan."""
        return (not self.operations or operation in self.operations) and (
            not self.plans or plan in self.plans
        )


class Verdict(Struct):
    """Whether a request may go on; if not, the status, headers and body that its client gets.

    `why`: of a verdict that no authoriser gave, the reason: an `Unavailable`'s text or `NO_ANSWER`.
    """

    allowed: bool
    status: int = DEFAULT_DENIAL_STATUS
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    why: str = ""


class CachedVerdict(Struct):
    """A verdict for marked retries; `expires_at` in microseconds."""

    verdict: Verdict
    expires_at: int


class Unavailable(Enum):
    """Why an authoriser is not asked now; the texts end counters' names."""

    EJECTED = "benched"
    SATURATED = "full"


class AuthoriserState:
    """What is known of one authoriser: its health, its calls in flight and its cached verdicts.

    `in_flight`: calls that were started and have not ended.  `failure_evidence`: log-likelihood ratio,
    unhealthy over healthy.  `ejected_until`: microseconds.  `ejections`: in a row.  `trial_in_flight`: after
    an ejection, whether the one call that tries it is in flight.  `recent_calls`, `recent_retries`: counts
    that decay, for the share of retries.  Times are microseconds on the gateway's clock.
    """

    def __init__(self, settings: AuthoriserSettings) -> None:
        self.settings = settings
        self.in_flight = 0
        self.failure_evidence = 0.0
        self.ejected_until = 0
        self.ejections = 0
        self.trial_in_flight = False
        self.recent_calls = 0.0
        self.recent_retries = 0.0
        self._verdicts: dict[VerdictKey, CachedVerdict] = {}  # the oldest first

    # Cached verdicts.

    @property
    def caches_verdicts(self) -> bool:
        """Whether the settings state for how long verdicts are kept, for marked retries."""
        return self.settings.remember > 0

    def cached_verdict(self, now: int, key: VerdictKey) -> Verdict | None:
        """The verdict that is kept under the key, where it still holds."""
        cached = self._verdicts.get(key)
        return cached.verdict if cached is not None and now < cached.expires_at else None

    def cache_verdict(self, now: int, key: VerdictKey, verdict: Verdict) -> None:
        """Keep an authoriser's verdict for as long as the settings state."""
        self._verdicts.pop(key, None)
        self._verdicts[key] = CachedVerdict(verdict, now + int(self.settings.remember * SECOND))
        while len(self._verdicts) > MAX_CACHED_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]

    # Whether to ask.

    def unavailable(self, now: int) -> Unavailable | None:
        """Why it is not asked now; None where it may be."""
        if now < self.ejected_until or self.trial_in_flight and self.ejections:
            return Unavailable.EJECTED
        if self.in_flight >= self.settings.most_open:
            return Unavailable.SATURATED
        return None

    def time_budget(self, remaining: int) -> int:
        """Microseconds for asking it, of the `remaining` ones that the client has."""
        return int(min(self.settings.budget * SECOND, self.settings.part * remaining))

    def call_started(self) -> None:
        """A call goes out; `call_ended` or `call_abandoned` must follow, whatever becomes of it."""
        self.in_flight += 1
        self.trial_in_flight = bool(self.ejections)
        self.recent_calls += 1
        if self.recent_calls > MAX_RECENT_CALLS:
            self.recent_calls /= 2
            self.recent_retries /= 2

    def call_ended(self, now: int, answered: bool) -> None:
        """A call was answered, whatever the answer says, or was not."""
        self.in_flight -= 1
        self.trial_in_flight = False
        if answered:
            self.failure_evidence = max(0.0, self.failure_evidence + ANSWERED_CALL_EVIDENCE)
            if not self.failure_evidence:
                self.ejections = 0
            return
        self.failure_evidence += FAILED_CALL_EVIDENCE
        if self.failure_evidence >= EVIDENCE_LIMIT and now >= self.ejected_until:
            self._eject(now)

    def call_abandoned(self) -> None:
        """A call ended because its client left: that tells nothing of the authoriser."""
        self.in_flight -= 1
        self.trial_in_flight = False

    def _eject(self, now: int) -> None:
        doublings = min(self.ejections, MAX_EJECTION_DOUBLINGS)
        self.ejected_until = now + min(MAX_EJECTION_TIME, EJECTION_TIME << doublings)
        self.ejections += 1
        self.failure_evidence = EVIDENCE_LIMIT - 1

    def may_retry(self, attempts: int) -> bool:
        """Whether a call may be retried after so many attempts; counts the retry where it may."""
        budget = max(RETRY_FLOOR, RETRY_SHARE * self.recent_calls)
        if attempts > self.settings.repeats or self.recent_retries + 1 > budget:
            return False
        self.recent_retries += 1
        return True

    # What its answers mean.

    def verdict_without_answer(self, why: str) -> Verdict:
        """What the settings state for a request that it gives no verdict on."""
        return Verdict(self.settings.when_silent == "allow", UNAVAILABLE_STATUS, why=why)

    def denial(self, status: int, headers: Iterable[tuple[str, str]], body: bytes) -> Verdict:
        """Its denial as clients may see it.

        Only headers that the settings list are passed on.  A status that is not an error's becomes 403: a
        denial must not look like an answer of the backend.
        """
        listed = {name.lower() for name in self.settings.pass_on}
        passed_on = [
            (name, value)
            for name, value in headers
            if name.lower() in listed and is_safe_in_header(name) and is_safe_in_header(value)
        ]
        if not FIRST_ERROR_STATUS <= status < END_OF_ERROR_STATUSES:
            status = DEFAULT_DENIAL_STATUS
        return Verdict(False, status, passed_on[:MAX_DENIAL_HEADERS], body[: self.settings.longest])


def is_safe_in_header(text: str) -> bool:
    """Whether a header may carry the text: nothing in it ends a line (header injection)."""
    return len(text) <= MAX_HEADER_CHARACTERS and text.isprintable()
