"""A table at one moment, saved in short steps while the table itself goes on.

Invariant: the bytes are those of the table at the moment at which the image was begun.  The table must write
a program's line (`KeptProgram.written`) before it changes the counter, and go on with a new `KeptProgram`.
"""

from __future__ import annotations

from kestrelbend.tier.budgets.saved_programs import IdleFigures, KeptProgram, TableHead, idle_lines

FIGURES_A_STEP = 2_000


class TableImage:
    """The head, the programs in use and those laid aside, and the lines made of them so far."""

    def __init__(
        self, head: TableHead, recent: list[KeptProgram], idle: list[tuple[str, IdleFigures]]
    ) -> None:
        self._recent = iter(recent)
        self._idle = idle_lines(idle)
        self._lines: list[bytes] = [head.written()]
        self._recent_made = False
        self._lines_made = False
        self.is_made = False

    def advance(self) -> bytes | None:
        """A step of a few milliseconds; the saved table with the last one."""
        if self._lines_made:
            self.is_made = True
            return b"\n".join(self._lines)
        if not self._recent_made:
            self._write_programs()
        else:
            line = next(self._idle, None)
            self._lines_made = line is None
            if line is not None:
                self._lines.append(line)
        return None

    @property
    def lines_made(self) -> int:
        return len(self._lines)

    def finish(self) -> bytes:
        """All steps at once."""
        while (state := self.advance()) is None:
            pass
        return state

    def _write_programs(self) -> None:
        left = FIGURES_A_STEP
        for program in self._recent:
            left -= program.size
            self._lines.append(program.written())
            if left <= 0:
                return
        self._recent_made = True
