"""Budget commands, their outcomes, and the messages that carry them.

Fields are encoded by position, so new fields may only be appended (see `protocol.wire_names`).
"""

from __future__ import annotations

import enum

import attrs


class Verdict(enum.IntEnum):
    """The decision on a reservation."""

    ADMITTED = 0
    BUDGET_EXCEEDED = 1  # HTTP status 402
    RETRY_LATER = 2  # the retry budget is used up, or the table is full; carries a retry-after
    OWNER_UNAVAILABLE = 3  # no owner replied, so the turn is not sent; set on the gateway side only


class TurnEnd(enum.IntEnum):
    """How a turn ended, as seen by its gateway."""

    COMPLETE = 0
    INTERRUPTED = 1  # sending the turn again counts as a retry
    NOT_EXECUTED = 2  # known not to have run: all its tokens are released; sending it again is a retry


@attrs.frozen
class Reserve:
    """Reserves the maximum tokens of a turn in its program's total, or is rejected.

    `reservation` is unique to one attempt of a client.  A duplicate of the command changes nothing and gets
    the same outcome, or a rejection once the name was dropped (see `names.py`).  `fingerprint` distinguishes
    a retry of a turn from the session's next turn.  `budget` is the program's limit in tokens, 0 if it has
    none.  `spare_capacity`: a backend has free capacity, so the retry budget does not apply, only the token
    budget.  `retain_s` is how long an inactive program is kept, in seconds, 0 for the default.
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
    """Replaces a reservation's tokens by those delivered to the client; `end` is a `TurnEnd`."""

    program: str
    reservation: str
    used_tokens: int
    end: int


@attrs.frozen
class ReserveOutcome:
    """The `Verdict` on a reservation, and the program's token counts after it.

    `total` is the sum of settled and reserved tokens; `settled` counts only delivered tokens and never
    decreases.
    """

    reservation: str
    verdict: int
    total: int
    settled: int
    retry_after_ms: int


@attrs.frozen
class BudgetRequest:
    """A gateway's commands for one shard, sent to the shard's owner."""

    shard: str
    reserves: tuple[Reserve, ...]
    settlements: tuple[Settlement, ...]


@attrs.frozen
class BudgetReply:
    """The outcomes of a committed request, in the order of `reserves`.

    If `owner` is false, it is unknown whether the commands were recorded; `owner_hint` is the address of the
    owner that the replica knows of in its `epoch`, or empty.
    """

    shard: str
    owner: bool
    owner_hint: str
    outcomes: tuple[ReserveOutcome, ...]
    epoch: int = 0
