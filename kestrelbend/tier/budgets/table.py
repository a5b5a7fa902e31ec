"""The counters of a shard's programs, as the state machine that its replicas apply commands to.

Invariants: the same commands in the same order give the same table and the same outcomes on every replica,
and a table that was saved and restored goes on as the one that was saved.  Nothing here asks for the time:
`advance` brings it in with the entries, from the owner's steady clock.

The table is bounded.  Programs in use are kept whole.  Beyond `max_active` of them, the one that was used
least recently is laid aside as its tokens and its retries; turns of it that are still open have lost their
gateways long ago and count at their most.  One laid aside is forgotten only once there are `max_idle` of
them and it has been away for its `retain_s`.  Where none has been away for so long, programs that are not
known are refused: a budget is not handed out twice to make room.
"""

from __future__ import annotations

from collections import deque
from itertools import islice

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement
from kestrelbend.tier.budgets.names import ForgottenNames
from kestrelbend.tier.budgets.program import ProgramBudget
from kestrelbend.tier.budgets.snapshot_codec import (
    IdleProgram,
    ActiveProgram,
    TableHeader,
    decode_idle,
    decode_table,
)
from kestrelbend.tier.budgets.table_snapshot import TableSnapshot

MAX_ACTIVE_PROGRAMS = 2_000
MAX_IDLE_PROGRAMS = 60_000
MAX_EVICTION_CANDIDATES = 16
DEFAULT_RETAIN_S = 60  # of programs whose reservations name no time


class BudgetTable:
    """Programs' counters, in the order of their last use."""

    def __init__(self, max_active: int = MAX_ACTIVE_PROGRAMS, max_idle: int = MAX_IDLE_PROGRAMS) -> None:
        self._max_active = max_active
        self._max_idle = max_idle
        self._recent: dict[str, ActiveProgram] = {}
        self._idle: dict[str, IdleProgram] = {}
        self._idle_unread: deque[bytes] = deque()  # lines of a restored table, before all of `_idle`
        self._images: list[TableSnapshot] = []  # under way
        self._forgotten = ForgottenNames()
        self._now_ms = 0

    def advance(self, elapsed_ms: int) -> None:
        """So much time has gone at least since the entry before."""
        self._now_ms += elapsed_ms

    def apply(self, command: Reserve | Settlement) -> ReserveOutcome | None:
        """The outcome of a reservation; a settlement has none."""
        if not self._has_capacity_for(command.program):
            return self._refuse_unknown(command)
        program = self._use(command.program)
        if isinstance(command, Settlement):
            program.settle(command)
            self._forget_names(program)
            return None
        if self._is_forgotten(program, command.reservation):
            return program.refuse(command)
        program.retain_s = max(program.retain_s, command.retain_s)
        outcome = program.reserve(command)
        self._forget_names(program)
        return outcome

    def begin_snapshot(self) -> TableSnapshot:
        """The table as it is now, to be saved step by step while commands go on."""
        image = self._image()
        self._images.append(image)
        return image

    def snapshot(self) -> bytes:
        """The whole table at once."""
        return self._image().finish()

    def restore(self, state: bytes) -> None:
        """Puts a saved table in this one's place; no bytes stand for an empty table.

        To keep it short, counters are read when they are used, and programs laid aside with the next uses.
        """
        head, self._recent, idle = decode_table(state)
        self._idle, self._idle_unread = {}, deque(idle)
        self._forgotten = ForgottenNames(head.forgotten)
        self._now_ms = head.now_ms
        self._images = []

    def _image(self) -> TableSnapshot:
        self._read_idle(len(self._idle_unread))
        head = TableHeader(self._now_ms, dict(self._forgotten.highest))
        return TableSnapshot(head, list(self._recent.values()), list(self._idle.items()))

    def _read_idle(self, lines: int) -> None:
        """Reads so many lines more of the programs laid aside."""
        for _ in range(lines):
            self._idle.update(decode_idle(self._idle_unread.popleft()))

    # Names

    def _is_forgotten(self, program: ProgramBudget, reservation: str) -> bool:
        """Whether a reservation of this name may have been admitted before, and nothing is known of it."""
        return reservation in self._forgotten and not program.holds(reservation)

    def _forget_names(self, program: ProgramBudget) -> None:
        for name in program.forgotten:
            self._forgotten.add(name)
        program.forgotten.clear()

    # Room

    def _has_capacity_for(self, name: str) -> bool:
        """Whether the program may be counted; one that is not in use needs all that was laid aside."""
        if name in self._recent:
            self._read_idle(min(len(self._idle_unread), 1))
            return True
        self._read_idle(len(self._idle_unread))
        if name in self._idle or len(self._recent) < self._max_active:
            return True
        return len(self._idle) < self._max_idle or self._forgettable() is not None

    def _refuse_unknown(self, command: Reserve | Settlement) -> ReserveOutcome | None:
        """A program that there is no room for leaves nothing but the name of what was settled."""
        if isinstance(command, Settlement):
            self._forgotten.add(command.reservation)
            return None
        return ProgramBudget().refuse(command)

    def _use(self, name: str) -> ProgramBudget:
        """The counter of a program, which is about to change."""
        program = self._recent.pop(name, None)
        if program is None:
            program = ActiveProgram(name, self._reactivated(name))
            if len(self._recent) >= self._max_active:
                self._deactivate(self._eviction_candidate())
        counter = program.read()
        self._recent[name] = self._changing(program)
        counter.used_at_ms = self._now_ms
        return counter

    def _reactivated(self, name: str) -> ProgramBudget:
        """The counter of a program that is not in use, out of those laid aside."""
        self._read_idle(len(self._idle_unread))
        idle = self._idle.pop(name, None)
        if idle is None:
            return ProgramBudget()
        return ProgramBudget(settled=idle.total, retries=idle.retries, retain_s=idle.retain_s)

    def _changing(self, program: ActiveProgram) -> ActiveProgram:
        """The program without its line; an image under way keeps the line as of now."""
        if self._images:
            self._images = [image for image in self._images if not image.is_complete]
        if not self._images:
            program.changed()
            return program
        program.written()
        return ActiveProgram(program.name, program.counter)

    def _eviction_candidate(self) -> str:
        """The least recently used program without an open turn, if one of the first few is such."""
        names = list(islice(self._recent, MAX_EVICTION_CANDIDATES))
        return next((name for name in names if not self._recent[name].read().open_turns), names[0])

    def _deactivate(self, name: str) -> None:
        program = self._recent.pop(name).read()
        for reservation in (*program.closed, *program.open_turns):
            self._forgotten.add(reservation)
        if len(self._idle) >= self._max_idle:
            del self._idle[self._forgettable()]
        figures = program.total, program.retries, program.used_at_ms, program.retain_s
        self._idle[name] = IdleProgram._make(figures)

    def _forgettable(self) -> str | None:
        """A program that may be forgotten, among the next few; the others of these are looked at last."""
        for name in list(islice(self._idle, MAX_EVICTION_CANDIDATES)):
            if self._may_be_forgotten(self._idle[name]):
                return name
            self._idle[name] = self._idle.pop(name)
        return None

    def _may_be_forgotten(self, idle: IdleProgram) -> bool:
        """Whether a program has been away for longer than it may be."""
        return self._now_ms - idle.used_at_ms > (idle.retain_s or DEFAULT_RETAIN_S) * 1000
