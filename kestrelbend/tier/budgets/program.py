"""One program's tokens, turns and retries.

    (unknown) ──reserve──> OPEN ──settle──> CLOSED ──64 later ones closed──> FORGOTTEN
        │                                     ^
        └──reserve, refused; or settle first──┘

A reservation is OPEN in `open_turns`, CLOSED in `closed`, with the verdict that a repeat of it gets, and
FORGOTTEN once only `names.ForgottenNames` knows it: from then on a repeat is refused.

Invariant: a turn is admitted only while the tokens handed out, those that open turns may yet hand out, and
its own upper bound are within the budget together.  So a program is handed its budget at most, however its
turns end and whoever repeats a command.
"""

from __future__ import annotations

import attrs

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement, TurnEnd, Verdict

MAX_RETRY_SHARE = 0.20  # of all tokens
RETRY_FLOOR_TURNS = 4  # retries are not limited while the total is within so many such turns
RETRY_AFTER_MS = 1000
MAX_CLOSED_RESERVATIONS = 64
MAX_SESSIONS = 64


@attrs.define
class SessionTurn:
    """A session's last turn; without an end it is open."""

    fingerprint: int
    reservation: str
    end: TurnEnd | None = None

    def is_retried_by(self, reserve: Reserve) -> bool:
        """Whether the attempt is a retry: a turn that ended complete is not repeated, it is taken again."""
        return self.fingerprint == reserve.fingerprint and self.end is not TurnEnd.COMPLETE


@attrs.define
class OpenTurn:
    """A reservation that is not settled."""

    max_tokens: int
    session: str
    retry: bool


@attrs.define
class ProgramBudget:
    """A program's counter.

    Retries are counted by their tokens, as the total is: a share needs one unit, and long turns that are
    repeated take more of a backend than short ones.  A retry that did not run is taken back from both; one
    that ended otherwise stays at its upper bound, as it kept a backend busy whatever it handed out.  A retry
    that is refused counts for nothing, so that refusals alone don't cause refusals.
    """

    settled: int = 0
    reserved: int = 0
    retries: int = 0
    open_turns: dict[str, OpenTurn] = attrs.field(factory=dict)
    sessions: dict[str, SessionTurn] = attrs.field(factory=dict)
    closed: dict[str, Verdict] = attrs.field(factory=dict)
    used_at_ms: int = 0  # by the table's time
    retain_s: int = 0  # as its reservations say
    forgotten: list[str] = attrs.field(factory=list)  # names dropped since the table last looked

    @property
    def total(self) -> int:
        """Tokens handed out and reserved."""
        return self.settled + self.reserved

    def remembers(self, reservation: str) -> bool:
        """Whether the reservation is open, or closed and not yet forgotten."""
        return reservation in self.open_turns or reservation in self.closed

    def refuse(self, reserve: Reserve) -> ReserveOutcome:
        """Refuses and records nothing of it."""
        return self._outcome(reserve, Verdict.RETRY_LATER)

    def reserve(self, reserve: Reserve) -> ReserveOutcome:
        """Adds a turn's upper bound of tokens, or refuses and adds nothing."""
        verdict = self._recorded_verdict(reserve.reservation)
        if verdict is not None:
            return self._outcome(reserve, verdict)
        last = self.sessions.get(reserve.session)
        retry = last is not None and last.is_retried_by(reserve)
        verdict = self._decide(reserve, retry)
        if verdict is Verdict.ADMITTED:
            self._admit(reserve, retry)
        else:
            self._close(reserve.reservation, verdict)
        return self._outcome(reserve, verdict)

    def settle(self, settlement: Settlement) -> None:
        """Replaces a reservation by what was handed out; one that is closed stays as it is.

        A settlement may come before its reservation, where that was sent twice.  The turn has ended, so a
        reservation of this name is not admitted any more: nobody would settle it.
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
        """The verdict on a reservation of this name, which stands however often it is asked for."""
        if reservation in self.open_turns:
            return Verdict.ADMITTED
        return self.closed.get(reservation)

    def _decide(self, reserve: Reserve, retry: bool) -> Verdict:
        """At the limit a retry is refused as spent, before it could count as a retry."""
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
        last = self.sessions.get(session)
        if last is not None and last.reservation == settlement.reservation:
            last.end = TurnEnd(settlement.end)

    def _close(self, reservation: str, verdict: Verdict) -> None:
        self.closed[reservation] = verdict
        if len(self.closed) > MAX_CLOSED_RESERVATIONS:
            oldest = next(iter(self.closed))
            del self.closed[oldest]
            self.forgotten.append(oldest)

    def _outcome(self, reserve: Reserve, verdict: Verdict) -> ReserveOutcome:
        retry_after_ms = RETRY_AFTER_MS if verdict is Verdict.RETRY_LATER else 0
        return ReserveOutcome(reserve.reservation, verdict, self.total, self.settled, retry_after_ms)
