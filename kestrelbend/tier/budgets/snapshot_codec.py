"""Encoding and decoding of a table's snapshot.

A snapshot consists of lines of JSON.  The first is the header, an object with the table's time and its
forgotten names.  Then follows one array for each active program, in the order of last use.  The remaining
lines are objects with up to `IDLE_PROGRAMS_PER_LINE` idle programs each, in the order in which they became
idle; their names and numbers form one flat list, which is parsed faster than one list for each program.

Invariant: equal tables are encoded to equal bytes, in however many steps.  A counter that was decoded and not
changed is encoded to the bytes it was decoded from.  The format must not change: snapshots on disk and
replicas of earlier releases use it.
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
IDLE_COLUMNS = 5  # the name and the fields of `IdleProgram`

_encoder = json.JSONEncoder(separators=(",", ":"))
_decoder = json.JSONDecoder()


class IdleProgram(NamedTuple):
    """What is kept of an idle program; the fields are encoded in this order."""

    total: int
    retries: int
    used_at_ms: int
    retain_s: int


@attrs.frozen
class TableHeader:
    """The contents of a table other than its programs."""

    now_ms: int = 0
    forgotten: dict[str, int] = attrs.field(factory=dict)  # see `names.ForgottenNames`

    def encode(self) -> bytes:
        """Returns the first line of a snapshot."""
        return _encoder.encode({"now": self.now_ms, "forgotten": self.forgotten}).encode()


class ActiveProgram:
    """An active program: its counter, its encoded line, or both if the line matches the counter.

    The counter is decoded, and the line encoded, on first use.
    """

    __slots__ = ("_counter", "_line", "name")

    def __init__(self, name: str, state: ProgramBudget | bytes) -> None:
        self.name = name
        self._counter = None if isinstance(state, bytes) else state
        self._line = state if isinstance(state, bytes) else None

    def counter(self) -> ProgramBudget:
        """Returns the counter; call `invalidate` before changing it."""
        if self._counter is None:
            assert self._line is not None, "a program without a counter has a line"
            self._counter = _decode_counter(self._line)
        return self._counter

    def encode(self) -> bytes:
        """Returns the encoded line of the current counter."""
        if self._line is None:
            self._line = _encode_counter(self.name, self.counter())
        return self._line

    def invalidate(self) -> None:
        """Discards the encoded line, before the counter is changed."""
        self.counter()
        self._line = None

    @property
    def field_count(self) -> int:
        """The approximate number of fields still to be encoded; 1 if the line is encoded already."""
        if self._line is not None:
            return 1
        counter = self.counter()
        return 1 + len(counter.open_turns) + len(counter.sessions) + len(counter.closed)


@attrs.frozen
class DecodedTable:
    """The content of a snapshot; the counters of its programs are not decoded yet."""

    header: TableHeader = attrs.field(factory=TableHeader)
    active: dict[str, ActiveProgram] = attrs.field(factory=dict)
    idle_lines: list[bytes] = attrs.field(factory=list)  # in order, for `decode_idle`


def decode_table(state: bytes) -> DecodedTable:
    """Splits a snapshot into its content; an empty one stands for an empty table."""
    if not state:
        return DecodedTable()
    first, *lines = state.split(b"\n")
    header = json.loads(first)
    table = DecodedTable(TableHeader(header["now"], header["forgotten"]))
    for line in lines:
        if line.startswith(b"["):
            program = decode_active(line)
            table.active[program.name] = program
        else:
            table.idle_lines.append(line)
    return table


def decode_active(line: bytes) -> ActiveProgram:
    """Returns an active program from its line; its counter is decoded on first use."""
    name, _ = _decoder.raw_decode(line.decode(), 1)
    return ActiveProgram(name, line)


def encode_idle(idle: Iterable[tuple[str, IdleProgram]]) -> Iterator[bytes]:
    """Yields the lines of the idle programs."""
    rows = iter(idle)
    while chunk := tuple(islice(rows, IDLE_PROGRAMS_PER_LINE)):
        flat = [value for name, program in chunk for value in (name, *program)]
        yield _encoder.encode({"idle": flat}).encode()


def decode_idle(line: bytes) -> Iterable[tuple[str, IdleProgram]]:
    """Returns the idle programs of a line, in order."""
    flat = json.loads(line)["idle"]
    columns = [flat[column::IDLE_COLUMNS] for column in range(IDLE_COLUMNS)]
    programs = map(IdleProgram._make, zip(*columns[1:], strict=True))
    return zip(columns[0], programs, strict=True)


def _encode_counter(name: str, counter: ProgramBudget) -> bytes:
    fields = [
        name,
        counter.settled,
        counter.retries,
        [[name, turn.max_tokens, turn.session, turn.retry] for name, turn in counter.open_turns.items()],
        [[name, turn.fingerprint, turn.reservation, turn.end] for name, turn in counter.sessions.items()],
        list(counter.closed.items()),
        counter.used_at_ms,
        counter.retain_s,
    ]
    return _encoder.encode(fields).encode()


def _decode_counter(line: bytes) -> ProgramBudget:
    """Decodes a counter; the reserved tokens are not encoded, they are the sum over the open turns."""
    _, settled, retries, open_turns, sessions, closed, used_at_ms, retain_s = json.loads(line)
    counter = ProgramBudget(settled=settled, retries=retries, used_at_ms=used_at_ms, retain_s=retain_s)
    for name, max_tokens, session, retry in open_turns:
        counter.open_turns[name] = OpenTurn(max_tokens, session, retry)
        counter.reserved += max_tokens
    for name, fingerprint, reservation, end in sessions:
        counter.sessions[name] = SessionTurn(fingerprint, reservation, None if end is None else TurnEnd(end))
    counter.closed = {name: Verdict(verdict) for name, verdict in closed}
    return counter
