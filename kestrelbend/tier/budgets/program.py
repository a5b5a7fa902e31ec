"""The counter of one program: its tokens, turns and retries.

    (unknown) ──reserve──> OPEN ──settle──> CLOSED ──64 later ones closed──> FORGOTTEN
        │                                     ^
        └──reserve, rejected; or settle first─┘

An OPEN reservation is in `open_turns`.  A CLOSED one is in `closed`, with the verdict that a duplicate gets.
A FORGOTTEN one is known only to `names.ForgottenNames`, and a duplicate is rejected.

Invariant: a turn is admitted only if the delivered tokens, the reserved tokens of open turns and its own
maximum together do not exceed the budget.  So a program never receives more than its budget, however its
turns end and whichever commands arrive twice.
"""

from __future__ import annotations

import attrs

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement, TurnEnd, Verdict

MAX_RETRY_SHARE = 0.20  # of all tokens
RETRY_FLOOR_TURNS = 4  # retries are not limited while the total is at most this many turns of the same size
RETRY_AFTER_MS = 1000
MAX_CLOSED_RESERVATIONS = 64
MAX_SESSIONS = 64


@attrs.define
class SessionTurn:
    """A session's last turn; `end` is None while it is open."""

    fingerprint: int
    reservation: str
    end: TurnEnd | None = None

    def is_retried_by(self, reserve: Reserve) -> bool:
        """Whether the attempt is a retry; an equal turn after a complete one is a new turn."""
        return self.fingerprint == reserve.fingerprint and self.end is not TurnEnd.COMPLETE


@attrs.define
class OpenTurn:
    """A reservation that is not settled yet."""

    max_tokens: int
    session: str
    retry: bool


@attrs.define
class ProgramBudget:
    """A program's counter.

    Retries are measured in tokens, like the total, because a share needs a common unit and because a retry of
    a long turn costs a backend more than one of a short turn.  A retry that was not executed is subtracted
    from both.  Any other retry keeps counting at its maximum, because it occupied a backend whatever it
    delivered.  A rejected retry is not counted, so that rejections alone cannot cause further rejections.
    """

    settled: int = 0
    reserved: int = 0
    retries: int = 0
    open_turns: dict[str, OpenTurn] = attrs.field(factory=dict)
    sessions: dict[str, SessionTurn] = attrs.field(factory=dict)
    closed: dict[str, Verdict] = attrs.field(factory=dict)
    used_at_ms: int = 0  # by the table's time
    retain_s: int = 0  # the longest that its reservations asked for
    forgotten: list[str] = attrs.field(factory=list)  # names dropped since the table last collected them

    @property
    def total(self) -> int:
        """Settled and reserved tokens."""
        return self.settled + self.reserved

    def remembers(self, reservation: str) -> bool:
        """Whether the reservation is open, or closed and not forgotten yet."""
        return reservation in self.open_turns or reservation in self.closed

    def reject(self, reserve: Reserve) -> ReserveOutcome:
        """Rejects a reservation without recording it."""
        return self._outcome(reserve, Verdict.RETRY_LATER)

    def reserve(self, reserve: Reserve) -> ReserveOutcome:
        """Reserves a turn's maximum tokens, or rejects the turn and reserves nothing."""
        verdict = self._recorded_verdict(reserve.reservation)
        if verdict is not None:
            return self._outcome(reserve, verdict)
        last_turn = self.sessions.get(reserve.session)
        retry = last_turn is not None and last_turn.is_retried_by(reserve)
        verdict = self._decide(reserve, retry)
        if verdict is Verdict.ADMITTED:
            self._admit(reserve, retry)
        else:
            self._close(reserve.reservation, verdict)
        return self._outcome(reserve, verdict)

    def settle(self, settlement: Settlement) -> None:
        """Replaces the reserved tokens by those delivered; a closed reservation is not changed.

        A settlement can arrive before its reservation if the reservation was sent twice.  The turn has ended
        by then, so a later reservation of this name is rejected: it would never be settled.
        """
        turn = self.open_turns.pop(settlement.reservation, None)
        if turn is not None:
            self.reserved -= turn.max_tokens
            self.settled += max(0, settlement.used_tokens)
            if turn.retry and settlement.end == TurnEnd.NOT_EXECUTED:
                self.retries -= turn.max_tokens
            self._end_turn(turn.session, settlement)
        if settlement.reservation not in self.closed:
            self._close(settlement.reservation, Verdict.RETRY_LATER)

    def _recorded_verdict(self, reservation: str) -> Verdict | None:
        """Returns the verdict already given for this name, which duplicates get too; None for a new name."""
        if reservation in self.open_turns:
            return Verdict.ADMITTED
        return self.closed.get(reservation)

    def _decide(self, reserve: Reserve, retry: bool) -> Verdict:
        """Checks the budget before the retry share, so a retry beyond the budget gets BUDGET_EXCEEDED."""
        total = self.total + reserve.max_tokens
        if 0 < reserve.budget < total:
            return Verdict.BUDGET_EXCEEDED
        if not retry or reserve.spare_capacity or total <= RETRY_FLOOR_TURNS * reserve.max_tokens:
            return Verdict.ADMITTED
        retries = self.retries + reserve.max_tokens
        return Verdict.RETRY_LATER if retries > MAX_RETRY_SHARE * total else Verdict.ADMITTED

    def _admit(self, reserve: Reserve, retry: bool) -> None:
        self.open_turns[reserve.reservation] = OpenTurn(reserve.max_tokens, reserve.session, retry)
        self.reserved += reserve.max_tokens
        if retry:
            self.retries += reserve.max_tokens
        self.sessions.pop(reserve.session, None)
        self.sessions[reserve.session] = SessionTurn(reserve.fingerprint, reserve.reservation)
        if len(self.sessions) > MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]

    def _end_turn(self, session: str, settlement: Settlement) -> None:
        last_turn = self.sessions.get(session)
        if last_turn is not None and last_turn.reservation == settlement.reservation:
            last_turn.end = TurnEnd(settlement.end)

    def _close(self, reservation: str, verdict: Verdict) -> None:
        self.closed[reservation] = verdict
        if len(self.closed) > MAX_CLOSED_RESERVATIONS:
            oldest = next(iter(self.closed))
            del self.closed[oldest]
            self.forgotten.append(oldest)

    def _outcome(self, reserve: Reserve, verdict: Verdict) -> ReserveOutcome:
        retry_after_ms = RETRY_AFTER_MS if verdict is Verdict.RETRY_LATER else 0
        return ReserveOutcome(reserve.reservation, verdict, self.total, self.settled, retry_after_ms)
