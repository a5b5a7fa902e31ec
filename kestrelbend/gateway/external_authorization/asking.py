"""Asking authorisers: what to ask whom, when not to ask, and what its silence means.  No I/O.

In the design's spirit: repeats are held to a share of the recent calls, a sequential test tells a sick
authoriser from a sound one, and who is given up is given up at once.
"""

from __future__ import annotations

import math
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

# The test on backends and the budget of retries are those of the decisions.
from ..decisions.context import SECOND
from ..decisions.ejection import EJECTION_TIME as BENCH
from ..decisions.ejection import EVIDENCE_LIMIT as SICK_AT
from ..decisions.ejection import HEALTHY_FAILURE_RATE as EXPECTED
from ..decisions.ejection import MAX_EJECTION_TIME as LONGEST_BENCH
from ..decisions.ejection import UNHEALTHY_FAILURE_RATE as SICK
from ..decisions.retry_budget import RETRY_FLOOR as FLOOR
from ..decisions.retry_budget import RETRY_SHARE as SHARE
from ..settings.units import Address

HALVE_AT = 256  # calls of late
REMEMBERED = 10_000  # verdicts kept


class Authoriser(Struct):
    """One that is asked before the first delivery."""

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

    def concerns(self, operation, plan):
        return (not self.operations or operation in self.operations) and (
            not self.plans or plan in self.plans
        )


class Verdict(Struct):
    """`allowed`; or the denial's status, headers and body; `why`: of one that nobody gave."""

    allowed: bool
    status: int = 403
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    why: str = ""


class Asking:
    """What is known of one authoriser."""

    def __init__(self, stated):
        self.stated, self.open = stated, 0
        self.sick, self.bench, self.benched, self.trial = 0.0, 0, 0, False
        self.calls = self.repeated = 0.0
        self.verdicts = {}

    # Remembered verdicts.

    def known(self, now, key, retry):
        """The verdict on a marked retry, where it may be remembered and is."""
        if not retry or not self.stated.remember or key not in self.verdicts:
            return None
        verdict, until = self.verdicts[key]
        return verdict if now < until else None

    def remember(self, now, key, verdict):
        if self.stated.remember:
            self.verdicts.pop(key, None)
            self.verdicts[key] = verdict, now + int(self.stated.remember * SECOND)
            while len(self.verdicts) > REMEMBERED:
                del self.verdicts[next(iter(self.verdicts))]

    # Whether to ask.

    def may_ask(self, now):
        """'' or why not: its breaker is open, or it has enough calls open."""
        if now < self.bench or self.trial and self.benched:
            return "benched"
        if self.open >= self.stated.most_open:
            return "full"
        return ""

    def time(self, left):
        """Microseconds for a call, of those that its client has left."""
        return int(min(self.stated.budget * SECOND, self.stated.part * left))

    def begins(self):
        self.open += 1
        self.trial = bool(self.benched)  # after a bench one call at a time, until one is answered
        self.calls += 1
        if self.calls > HALVE_AT:
            self.calls, self.repeated = self.calls / 2, self.repeated / 2

    def ends(self, now, answered):
        """A call was answered, by whatever word, or was not."""
        self.open -= 1
        self.trial = False
        if answered:
            self.sick = max(0.0, self.sick + math.log((1 - SICK) / (1 - EXPECTED)))
            self.benched = self.benched if self.sick else 0
            return
        self.sick += math.log(SICK / EXPECTED)
        if self.sick >= SICK_AT and now >= self.bench:
            self.bench = now + min(LONGEST_BENCH, BENCH << min(self.benched, 8))
            self.benched += 1
            self.sick = SICK_AT - 1

    def may_repeat(self, tries):
        """Repeats keep to a share of the calls: a storm of them would bury one that comes back."""
        if tries > self.stated.repeats or self.repeated + 1 > max(FLOOR, SHARE * self.calls):
            return False
        self.repeated += 1
        return True

    def silent(self, why):
        """What its silence means."""
        return Verdict(self.stated.when_silent == "allow", 503, why=why)

    def denied(self, status, headers, body):
        """A denial as stated, its headers within the list; a status that is none of a denial's is 403."""
        allowed = {name.lower() for name in self.stated.pass_on}
        kept = [(k, v) for k, v in headers if k.lower() in allowed and safe(k) and safe(v)][:64]
        return Verdict(False, status if 400 <= status < 600 else 403, kept, body[: self.stated.longest])


def safe(text):
    """No header of ours may carry what ends a line."""
    return len(text) <= 4096 and text.isprintable()
