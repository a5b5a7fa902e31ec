"""The counters of a shard's programs, as the state machine that its replicas apply commands to.

Invariants: the same commands in the same order give the same table and the same outcomes on every replica,
and a table that was saved and restored goes on as the one that was saved.  Nothing here asks for the time:
`advance` brings it in with the entries, from the owner's steady clock.

The table is bounded.  Programs in use are kept whole.  Beyond `recent_most` of them, the one that was used
least recently is laid aside as its tokens and its retries; turns of it that are still open have lost their
gateways long ago and count at their most.  One laid aside is forgotten only once there are `idle_most` of
them and it has been away for its `retain_s`.  Where none has been away for so long, programs that are not
known are refused: a budget is not handed out twice to make room.
"""

from __future__ import annotations

import json
from itertools import islice
from typing import NamedTuple

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settle, TurnEnd, Verdict
from kestrelbend.tier.budgets.names import ForgottenNames
from kestrelbend.tier.budgets.program import OpenTurn, ProgramBudget, SessionTurn

RECENT_PROGRAMS = 2_000
IDLE_PROGRAMS = 60_000
LOOKED_THROUGH = 16
RETAIN_S = 60  # of programs whose reservations name no time


class _Idle(NamedTuple):
    """A program that was laid aside; a tuple, as a snapshot writes tens of thousands of them."""

    total: int
    retries: int
    used_at_ms: int = 0
    retain_s: int = 0

    def is_over(self, now_ms: int) -> bool:
        """Whether the program has been away for longer than it may be."""
        return now_ms - self.used_at_ms > (self.retain_s or RETAIN_S) * 1000


class BudgetTable:
    """Programs' counters, in the order of their last use."""

    def __init__(self, recent_most: int = RECENT_PROGRAMS, idle_most: int = IDLE_PROGRAMS) -> None:
        self._recent_most = recent_most
        self._idle_most = idle_most
        self._recent: dict[str, ProgramBudget] = {}
        self._idle: dict[str, _Idle] = {}
        self._forgotten = ForgottenNames()
        self._now_ms = 0

    def advance(self, elapsed_ms: int) -> None:
        """So much time has gone at least since the entry before."""
        self._now_ms += elapsed_ms

    def apply(self, command: Reserve | Settle) -> ReserveOutcome | None:
        """The outcome of a reservation; a settlement has none."""
        if not self._has_room_for(command.program):
            return self._refuse_unknown(command)
        program = self._use(command.program)
        if isinstance(command, Settle):
            program.settle(command)
            self._forget_names(program)
            return None
        if self._is_forgotten(program, command.reservation):
            return program.refuse(command)
        program.retain_s = max(program.retain_s, command.retain_s)
        outcome = program.reserve(command)
        self._forget_names(program)
        return outcome

    def snapshot(self) -> bytes:
        """The whole table."""
        recent = [[name, *_program_figures(program)] for name, program in self._recent.items()]
        state = [recent, self._idle, self._forgotten.highest, self._now_ms]
        return json.dumps(state, separators=(",", ":")).encode()

    def restore(self, state: bytes) -> None:
        """Puts a saved table in this one's place; no bytes stand for an empty table."""
        recent, idle, highest, now_ms = json.loads(state) if state else ([], {}, {}, 0)
        self._recent = {name: _program(*figures) for name, *figures in recent}
        self._idle = {name: _Idle._make(figures) for name, figures in idle.items()}
        self._forgotten = ForgottenNames(highest)
        self._now_ms = now_ms

    # Names

    def _is_forgotten(self, program: ProgramBudget, reservation: str) -> bool:
        """Whether a reservation of this name may have been admitted before, and nothing is known of it."""
        return reservation in self._forgotten and not program.holds(reservation)

    def _forget_names(self, program: ProgramBudget) -> None:
        for name in program.forgotten:
            self._forgotten.add(name)
        program.forgotten.clear()

    # Room

    def _has_room_for(self, name: str) -> bool:
        if name in self._recent or name in self._idle or len(self._recent) < self._recent_most:
            return True
        return len(self._idle) < self._idle_most or self._over() is not None

    def _refuse_unknown(self, command: Reserve | Settle) -> ReserveOutcome | None:
        """A program that there is no room for leaves nothing but the name of what was settled."""
        if isinstance(command, Settle):
            self._forgotten.add(command.reservation)
            return None
        return ProgramBudget().refuse(command)

    def _use(self, name: str) -> ProgramBudget:
        program = self._recent.pop(name, None)
        if program is None:
            program = self._taken_up(name)
            if len(self._recent) >= self._recent_most:
                self._lay_aside(self._least_needed())
        self._recent[name] = program
        program.used_at_ms = self._now_ms
        return program

    def _taken_up(self, name: str) -> ProgramBudget:
        idle = self._idle.pop(name, None)
        if idle is None:
            return ProgramBudget()
        return ProgramBudget(settled=idle.total, retries=idle.retries, retain_s=idle.retain_s)

    def _least_needed(self) -> str:
        """The least recently used program without an open turn, if one of the first few is such."""
        names = list(islice(self._recent, LOOKED_THROUGH))
        return next((name for name in names if not self._recent[name].open_turns), names[0])

    def _lay_aside(self, name: str) -> None:
        program = self._recent.pop(name)
        for reservation in (*program.closed, *program.open_turns):
            self._forgotten.add(reservation)
        if len(self._idle) >= self._idle_most:
            del self._idle[self._over()]
        self._idle[name] = _Idle(program.total, program.retries, program.used_at_ms, program.retain_s)

    def _over(self) -> str | None:
        """A program that may be forgotten, among the next few; the others of these are looked at last."""
        for name in list(islice(self._idle, LOOKED_THROUGH)):
            if self._idle[name].is_over(self._now_ms):
                return name
            self._idle[name] = self._idle.pop(name)
        return None


def _program_figures(program: ProgramBudget) -> list:
    return [
        program.settled,
        program.retries,
        [[name, turn.most_tokens, turn.session, turn.retry] for name, turn in program.open_turns.items()],
        [[name, turn.fingerprint, turn.reservation, turn.end] for name, turn in program.sessions.items()],
        list(program.closed.items()),
        program.used_at_ms,
        program.retain_s,
    ]


def _program(
    settled: int,
    retries: int,
    open_turns: list,
    sessions: list,
    closed: list,
    used_at_ms: int,
    retain_s: int,
) -> ProgramBudget:
    program = ProgramBudget(settled=settled, retries=retries, used_at_ms=used_at_ms, retain_s=retain_s)
    for name, most_tokens, session, retry in open_turns:
        program.open_turns[name] = OpenTurn(most_tokens, session, retry)
        program.reserved += most_tokens
    for name, fingerprint, reservation, end in sessions:
        program.sessions[name] = SessionTurn(fingerprint, reservation, None if end is None else TurnEnd(end))
    program.closed = {name: Verdict(verdict) for name, verdict in closed}
    return program
