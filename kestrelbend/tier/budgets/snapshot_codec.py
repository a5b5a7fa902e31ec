"""A program's counter as a line of a saved table, and back.

A table is saved as lines of JSON: an object with the table's time and its forgotten names, an array for each
program in use, in the order of last use, then objects with up to
`IDLE_PROGRAMS_PER_LINE` idle programs each, in the order in which they became idle: one flat list of
names and figures, which is read faster than a list for each.

Invariant: equal tables give equal bytes, however many steps they were made in; a counter that was read and
not changed is written as the bytes that it was read from.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import NamedTuple

import attrs

from kestrelbend.tier.budgets.messages import TurnEnd, Verdict
from kestrelbend.tier.budgets.program import OpenTurn, ProgramBudget, SessionTurn

IDLE_PROGRAMS_PER_LINE = 1_000
IDLE_COLUMNS = 5  # the name and `IdleProgram`


class IdleProgram(NamedTuple):
    """What is kept of a program that was laid aside."""

    total: int
    retries: int
    used_at_ms: int
    retain_s: int


@attrs.frozen
class TableHeader:
    """What a table holds besides its programs."""

    now_ms: int = 0
    forgotten: dict[str, int] = attrs.field(factory=dict)  # see `names.ForgottenNames`

    def written(self) -> bytes:
        """The first line of a saved table."""
        return _encoder.encode({"now": self.now_ms, "forgotten": self.forgotten}).encode()


_encoder = json.JSONEncoder(separators=(",", ":"))
_decoder = json.JSONDecoder()


@attrs.define(eq=False)
class ActiveProgram:
    """A program in use: its counter, its line, or both where the line is that of the counter as it is."""

    name: str
    counter: ProgramBudget | None = None
    line: bytes | None = None

    def read(self) -> ProgramBudget:
        """The counter; it is taken from the line when it is first asked for."""
        if self.counter is None:
            _, *figures = json.loads(self.line)
            self.counter = _counter(*figures)
        return self.counter

    def written(self) -> bytes:
        """The line; it is made from the counter when it is first asked for."""
        if self.line is None:
            self.line = _encoder.encode([self.name, *_figures(self.counter)]).encode()
        return self.line

    def changed(self) -> None:
        """The counter changes: its line no longer holds."""
        self.line = None

    @property
    def size(self) -> int:
        """About how many figures are to be written, 1 where the line is there."""
        if self.line is not None:
            return 1
        counter = self.counter
        return 1 + len(counter.open_turns) + len(counter.sessions) + len(counter.closed)


def decode_active(line: bytes) -> ActiveProgram:
    """A program of a saved table, whose counter is not looked at yet."""
    name, _ = _decoder.raw_decode(line.decode(), 1)
    return ActiveProgram(name, line=line)


def encode_idle(idle: list[tuple[str, IdleProgram]]) -> Iterator[bytes]:
    """The lines of the laid-aside programs, one at a time."""
    rows = iter(idle)
    while part := tuple(islice(rows, IDLE_PROGRAMS_PER_LINE)):
        flat = [figure for name, figures in part for figure in (name, *figures)]
        yield _encoder.encode({"idle": flat}).encode()


def decode_idle(line: bytes) -> Iterable[tuple[str, IdleProgram]]:
    """The laid-aside programs of a line, in their order."""
    flat = json.loads(line)["idle"]
    columns = [flat[column::IDLE_COLUMNS] for column in range(IDLE_COLUMNS)]
    figures = map(IdleProgram._make, zip(*columns[1:], strict=True))
    return zip(columns[0], figures, strict=True)


def decode_table(state: bytes) -> tuple[TableHeader, dict[str, ActiveProgram], list[bytes]]:
    """The head, the programs in use and the lines of those laid aside; no bytes are an empty table."""
    if not state:
        return TableHeader(), {}, []
    recent: dict[str, ActiveProgram] = {}
    idle: list[bytes] = []
    first, *lines = state.split(b"\n")
    for line in lines:
        if line.startswith(b"["):
            program = decode_active(line)
            recent[program.name] = program
        else:
            idle.append(line)
    head = json.loads(first)
    return TableHeader(head["now"], head["forgotten"]), recent, idle


def _figures(counter: ProgramBudget) -> list:
    return [
        counter.settled,
        counter.retries,
        [[name, turn.max_tokens, turn.session, turn.retry] for name, turn in counter.open_turns.items()],
        [[name, turn.fingerprint, turn.reservation, turn.end] for name, turn in counter.sessions.items()],
        list(counter.closed.items()),
        counter.used_at_ms,
        counter.retain_s,
    ]


def _counter(
    settled: int,
    retries: int,
    open_turns: list,
    sessions: list,
    closed: list,
    used_at_ms: int,
    retain_s: int,
) -> ProgramBudget:
    counter = ProgramBudget(settled=settled, retries=retries, used_at_ms=used_at_ms, retain_s=retain_s)
    for name, max_tokens, session, retry in open_turns:
        counter.open_turns[name] = OpenTurn(max_tokens, session, retry)
        counter.reserved += max_tokens
    for name, fingerprint, reservation, end in sessions:
        counter.sessions[name] = SessionTurn(fingerprint, reservation, None if end is None else TurnEnd(end))
    counter.closed = {name: Verdict(verdict) for name, verdict in closed}
    return counter
