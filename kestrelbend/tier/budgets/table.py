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

from collections import deque
from itertools import islice

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settle
from kestrelbend.tier.budgets.names import ForgottenNames
from kestrelbend.tier.budgets.program import ProgramBudget
from kestrelbend.tier.budgets.saved_programs import (
    IdleFigures,
    KeptProgram,
    TableHead,
    read_idle,
    read_table,
)
from kestrelbend.tier.budgets.table_image import TableImage

RECENT_PROGRAMS = 2_000
IDLE_PROGRAMS = 60_000
LOOKED_THROUGH = 16
RETAIN_S = 60  # of programs whose reservations name no time


class BudgetTable:
    """Programs' counters, in the order of their last use."""

    def __init__(self, recent_most: int = RECENT_PROGRAMS, idle_most: int = IDLE_PROGRAMS) -> None:
        self._recent_most = recent_most
        self._idle_most = idle_most
        self._recent: dict[str, KeptProgram] = {}
        self._idle: dict[str, IdleFigures] = {}
        self._idle_unread: deque[bytes] = deque()  # lines of a restored table, before all of `_idle`
        self._images: list[TableImage] = []  # under way
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

    def begin_snapshot(self) -> TableImage:
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
        head, self._recent, idle = read_table(state)
        self._idle, self._idle_unread = {}, deque(idle)
        self._forgotten = ForgottenNames(head.forgotten)
        self._now_ms = head.now_ms
        self._images = []

    def _image(self) -> TableImage:
        self._read_idle(len(self._idle_unread))
        head = TableHead(self._now_ms, dict(self._forgotten.highest))
        return TableImage(head, list(self._recent.values()), list(self._idle.items()))

    def _read_idle(self, lines: int) -> None:
        """Reads so many lines more of the programs laid aside."""
        for _ in range(lines):
            self._idle.update(read_idle(self._idle_unread.popleft()))

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
        """Whether the program may be counted; one that is not in use needs all that was laid aside."""
        if name in self._recent:
            self._read_idle(min(len(self._idle_unread), 1))
            return True
        self._read_idle(len(self._idle_unread))
        if name in self._idle or len(self._recent) < self._recent_most:
            return True
        return len(self._idle) < self._idle_most or self._over() is not None

    def _refuse_unknown(self, command: Reserve | Settle) -> ReserveOutcome | None:
        """A program that there is no room for leaves nothing but the name of what was settled."""
        if isinstance(command, Settle):
            self._forgotten.add(command.reservation)
            return None
        return ProgramBudget().refuse(command)

    def _use(self, name: str) -> ProgramBudget:
        """The counter of a program, which is about to change."""
        program = self._recent.pop(name, None)
        if program is None:
            program = KeptProgram(name, self._taken_up(name))
            if len(self._recent) >= self._recent_most:
                self._lay_aside(self._least_needed())
        counter = program.read()
        self._recent[name] = self._changing(program)
        counter.used_at_ms = self._now_ms
        return counter

    def _taken_up(self, name: str) -> ProgramBudget:
        """The counter of a program that is not in use, out of those laid aside."""
        self._read_idle(len(self._idle_unread))
        idle = self._idle.pop(name, None)
        if idle is None:
            return ProgramBudget()
        return ProgramBudget(settled=idle.total, retries=idle.retries, retain_s=idle.retain_s)

    def _changing(self, program: KeptProgram) -> KeptProgram:
        """The program without its line; an image under way keeps the line as of now."""
        if self._images:
            self._images = [image for image in self._images if not image.is_made]
        if not self._images:
            program.changed()
            return program
        program.written()
        return KeptProgram(program.name, program.counter)

    def _least_needed(self) -> str:
        """The least recently used program without an open turn, if one of the first few is such."""
        names = list(islice(self._recent, LOOKED_THROUGH))
        return next((name for name in names if not self._recent[name].read().open_turns), names[0])

    def _lay_aside(self, name: str) -> None:
        program = self._recent.pop(name).read()
        for reservation in (*program.closed, *program.open_turns):
            self._forgotten.add(reservation)
        if len(self._idle) >= self._idle_most:
            del self._idle[self._over()]
        figures = program.total, program.retries, program.used_at_ms, program.retain_s
        self._idle[name] = IdleFigures._make(figures)

    def _over(self) -> str | None:
        """A program that may be forgotten, among the next few; the others of these are looked at last."""
        for name in list(islice(self._idle, LOOKED_THROUGH)):
            if self._is_over(self._idle[name]):
                return name
            self._idle[name] = self._idle.pop(name)
        return None

    def _is_over(self, idle: IdleFigures) -> bool:
        """Whether a program has been away for longer than it may be."""
        return self._now_ms - idle.used_at_ms > (idle.retain_s or RETAIN_S) * 1000
