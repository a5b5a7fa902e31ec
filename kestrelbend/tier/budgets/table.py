"""The counters of a shard's programs, as the state machine that its replicas apply commands to.

Invariant: the same commands in the same order give the same table and the same outcomes on every replica,
and a table that was saved and restored goes on as the one that was saved.  Nothing here asks for the time.

The table is bounded.  Programs in use are kept whole.  Beyond `recent_most` of them, the one that was used
least recently is kept as two figures, its tokens and its retries; turns of it that are still open have lost
their gateways long ago and count at their most.  Beyond `idle_most`, the program that has been idle for
longest is forgotten.
"""

from __future__ import annotations

from collections import deque

from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settle
from kestrelbend.tier.budgets.program import ProgramBudget
from kestrelbend.tier.budgets.saved_programs import IdleFigures, KeptProgram, read_idle, read_table
from kestrelbend.tier.budgets.table_image import TableImage

RECENT_PROGRAMS = 2_000
IDLE_PROGRAMS = 60_000
LOOKED_THROUGH = 16


class BudgetTable:
    """Programs' counters, in the order of their last use."""

    def __init__(self, recent_most: int = RECENT_PROGRAMS, idle_most: int = IDLE_PROGRAMS) -> None:
        self._recent_most = recent_most
        self._idle_most = idle_most
        self._recent: dict[str, KeptProgram] = {}
        self._idle: dict[str, IdleFigures] = {}
        self._idle_unread: deque[bytes] = deque()  # lines of a restored table, before all of `_idle`
        self._images: list[TableImage] = []  # under way

    def apply(self, command: Reserve | Settle) -> ReserveOutcome | None:
        """The outcome of a reservation; a settlement has none."""
        program = self._use(command.program)
        if isinstance(command, Settle):
            program.settle(command)
            return None
        return program.reserve(command)

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
        self._recent, idle = read_table(state)
        self._idle, self._idle_unread = {}, deque(idle)
        self._images = []

    def _image(self) -> TableImage:
        self._read_idle(len(self._idle_unread))
        return TableImage(list(self._recent.values()), list(self._idle.items()))

    def _read_idle(self, lines: int) -> None:
        """Reads so many lines more of the programs laid aside."""
        for _ in range(lines):
            self._idle.update(read_idle(self._idle_unread.popleft()))

    def _use(self, name: str) -> ProgramBudget:
        """The counter of a program, which is about to change."""
        program = self._recent.pop(name, None)
        unread = len(self._idle_unread)
        self._read_idle(unread if program is None else min(unread, 1))
        if program is None:
            settled, retries = self._idle.pop(name, (0, 0))
            program = KeptProgram(name, ProgramBudget(settled=settled, retries=retries))
            if len(self._recent) >= self._recent_most:
                self._lay_aside(self._least_needed())
        counter = program.read()
        self._recent[name] = self._changing(program)
        return counter

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
        names = []
        for name, program in self._recent.items():
            names.append(name)
            if not program.read().open_turns:
                return name
            if len(names) == LOOKED_THROUGH:
                break
        return names[0]

    def _lay_aside(self, name: str) -> None:
        counter = self._recent.pop(name).read()
        self._idle[name] = (counter.total, counter.retries)
        if len(self._idle) > self._idle_most:
            del self._idle[next(iter(self._idle))]
