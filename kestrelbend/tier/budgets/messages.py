"""Commands on programs' budgets, their outcomes, and how they are carried.

A field travels by its position, so fields are only ever added at the end (see `protocol.wire_names`).
"""

from __future__ import annotations

import enum

import attrs


class Verdict(enum.IntEnum):
    """What the budget says of a turn."""

    ADMITTED = 0
    BUDGET_EXCEEDED = 1  # answered 402
    RETRY_LATER = 2  # the retry budget is used up: a refusal with a retry-after
    OWNER_UNAVAILABLE = 3  # no owner answered: the turn is not sent (given by the client side alone)


class TurnEnd(enum.IntEnum):
    """How a turn ended, as its gateway saw it."""

    COMPLETE = 0
    INTERRUPTED = 1  # a repeat of it is a retry
    NOT_EXECUTED = 2  # refused with a promise; its tokens are all taken back, a repeat is a retry


@attrs.frozen
class Reserve:
    """Adds a turn's upper bound of tokens to its program's total, or refuses.

    `reservation` is unique to one attempt of a client (a repeat of the same command changes nothing and gets
    the same outcome, or a refusal once it is forgotten; see `names.py`).  `fingerprint` tells a turn's
    repeat from the session's next turn.  `budget` is the program's, in tokens, 0 where it has none.
    `spare_capacity` says that the quota alone decides: a backend has capacity, so the retry budget does not
    act.  `retain_s` is how long the program may stay away and come back, in seconds, 0 where it is unset.
    """

    program: str
    session: str
    reservation: str
    fingerprint: int
    max_tokens: int
    budget: int
    spare_capacity: bool
    retain_s: int = 0


@attrs.frozen
class Settlement:
    """Replaces a reservation's tokens by those handed to the client; `end` is a `TurnEnd`."""

    program: str
    reservation: str
    used_tokens: int
    end: int


@attrs.frozen
class ReserveOutcome:
    """The `Verdict` on a reservation, and the program's tokens after it.

    `total` counts settled and reserved tokens, `settled` only those handed out: it never falls.
    """

    reservation: str
    verdict: int
    total: int
    settled: int
    retry_after_ms: int


@attrs.frozen
class BudgetRequest:
    """Commands of a gateway for one shard, sent to the shard's owner."""

    shard: str
    reserves: tuple[Reserve, ...]
    settlements: tuple[Settlement, ...]


@attrs.frozen
class BudgetReply:
    """Outcomes in the order of `reserves`, of a committed entry.

    Not `owner`: whether anything was recorded is not known, and `owner_hint` may own the shard, as far as the
    replica knew in its `epoch`.
    """

    shard: str
    owner: bool
    owner_hint: str
    outcomes: tuple[ReserveOutcome, ...]
    epoch: int = 0
