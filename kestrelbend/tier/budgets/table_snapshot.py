"""A table at one moment, saved in short steps while the table itself goes on.

Invariant: the bytes are those of the table at the moment at which the image was begun.  The table must write
a program's line (`ActiveProgram.written`) before it changes the counter, and go on
with a new `ActiveProgram`.
"""

from __future__ import annotations

from kestrelbend.tier.budgets.snapshot_codec import IdleProgram, ActiveProgram, TableHeader, encode_idle

FIELDS_PER_STEP = 2_000


class TableSnapshot:
    """The head, the programs in use and those laid aside, and the lines made of them so far."""

    def __init__(
        self, head: TableHeader, recent: list[ActiveProgram], idle: list[tuple[str, IdleProgram]]
    ) -> None:
        self._recent = iter(recent)
        self._idle = encode_idle(idle)
        self._lines: list[bytes] = [head.written()]
        self._recent_made = False
        self._lines_made = False
        self.is_complete = False

    def advance(self) -> bytes | None:
        """A step of a few milliseconds; the saved table with the last one."""
        if self._lines_made:
            self.is_complete = True
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
    def line_count(self) -> int:
        return len(self._lines)

    def finish(self) -> bytes:
        """All steps at once."""
        while (state := self.advance()) is None:
            pass
        return state

    def _write_programs(self) -> None:
        left = FIELDS_PER_STEP
        for program in self._recent:
            left -= program.size
            self._lines.append(program.written())
            if left <= 0:
                return
        self._recent_made = True
