"""The counters of a shard's programs, as the state machine that its replicas apply commands to.

Invariant: the same commands in the same order give the same table and the same outcomes on every replica,
and a table that was saved and restored goes on as the one that was saved.  Nothing here asks for the time.

The table is bounded.  Programs in use are kept whole.  Beyond `recent_most` of them, the one that was used
least recently is kept as two figures, its tokens and its retries; turns of it that are still open have lost
their gateways long ago and count at their most.  Beyond `idle_most`, the program that has been idle for
longest is forgotten.
"""

from __future__ import annotations

import json

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settle, TurnEnd, Verdict
from kestrelbend.tier.budgets.program import OpenTurn, ProgramBudget, SessionTurn

RECENT_PROGRAMS = 2_000
IDLE_PROGRAMS = 60_000
LOOKED_THROUGH = 16


class BudgetTable:
    """Programs' counters, in the order of their last use."""

    def __init__(self, recent_most: int = RECENT_PROGRAMS, idle_most: int = IDLE_PROGRAMS) -> None:
        self._recent_most = recent_most
        self._idle_most = idle_most
        self._recent: dict[str, ProgramBudget] = {}
        self._idle: dict[str, list[int]] = {}

    def apply(self, command: Reserve | Settle) -> ReserveOutcome | None:
        """The outcome of a reservation; a settlement has none."""
        program = self._use(command.program)
        if isinstance(command, Settle):
            program.settle(command)
            return None
        return program.reserve(command)

    def snapshot(self) -> bytes:
        """The whole table."""
        recent = [[name, *_program_figures(program)] for name, program in self._recent.items()]
        return json.dumps([recent, self._idle], separators=(",", ":")).encode()

    def restore(self, state: bytes) -> None:
        """Puts a saved table in this one's place; no bytes stand for an empty table."""
        recent, idle = json.loads(state) if state else ([], {})
        self._recent = {name: _program(*figures) for name, *figures in recent}
        self._idle = idle

    def _use(self, name: str) -> ProgramBudget:
        program = self._recent.pop(name, None)
        if program is None:
            settled, retries = self._idle.pop(name, (0, 0))
            program = ProgramBudget(settled=settled, retries=retries)
            if len(self._recent) >= self._recent_most:
                self._lay_aside(self._least_needed())
        self._recent[name] = program
        return program

    def _least_needed(self) -> str:
        """The least recently used program without an open turn, if one of the first few is such."""
        names = []
        for name, program in self._recent.items():
            names.append(name)
            if not program.open_turns:
                return name
            if len(names) == LOOKED_THROUGH:
                break
        return names[0]

    def _lay_aside(self, name: str) -> None:
        program = self._recent.pop(name)
        self._idle[name] = [program.total, program.retries]
        if len(self._idle) > self._idle_most:
            del self._idle[next(iter(self._idle))]


def _program_figures(program: ProgramBudget) -> list:
    return [
        program.settled,
        program.retries,
        [[name, turn.most_tokens, turn.session, turn.retry] for name, turn in program.open_turns.items()],
        [[name, turn.fingerprint, turn.reservation, turn.end] for name, turn in program.sessions.items()],
        list(program.closed.items()),
    ]


def _program(settled: int, retries: int, open_turns: list, sessions: list, closed: list) -> ProgramBudget:
    program = ProgramBudget(settled=settled, retries=retries)
    for name, most_tokens, session, retry in open_turns:
        program.open_turns[name] = OpenTurn(most_tokens, session, retry)
        program.reserved += most_tokens
    for name, fingerprint, reservation, end in sessions:
        program.sessions[name] = SessionTurn(fingerprint, reservation, None if end is None else TurnEnd(end))
    program.closed = {name: Verdict(verdict) for name, verdict in closed}
    return program
