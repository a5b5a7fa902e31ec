"""A table at one moment, encoded in short steps while the table itself goes on.

    ACTIVE ──all active programs encoded──> IDLE ──all idle lines encoded──> JOINING ──> COMPLETE

Invariant: the bytes are those of the table at the moment at which the snapshot was begun.  The table must
encode a program's line (`ActiveProgram.encode`) before it changes the counter, and go on with a new
`ActiveProgram`.
"""

from __future__ import annotations

import enum

from kestrelbend.tier.budgets.snapshot_codec import ActiveProgram, IdleProgram, TableHeader, encode_idle

FIELDS_PER_STEP = 2_000


class _Phase(enum.Enum):
    """What the next step does."""

    ACTIVE = enum.auto()
    IDLE = enum.auto()
    JOINING = enum.auto()
    COMPLETE = enum.auto()


class TableSnapshot:
    """The header, the active and the idle programs, and the lines made of them so far."""

    def __init__(
        self, header: TableHeader, active: list[ActiveProgram], idle: list[tuple[str, IdleProgram]]
    ) -> None:
        self._active = iter(active)
        self._idle = encode_idle(idle)
        self._lines: list[bytes] = [header.encode()]
        self._phase = _Phase.ACTIVE

    @property
    def is_complete(self) -> bool:
        """Whether all steps are done."""
        return self._phase is _Phase.COMPLETE

    @property
    def line_count(self) -> int:
        """The lines that are encoded."""
        return len(self._lines)

    def advance(self) -> bytes | None:
        """A step of a few milliseconds; the complete snapshot with the last one."""
        if self._phase is _Phase.ACTIVE:
            self._encode_active()
            return None
        if self._phase is _Phase.IDLE:
            self._encode_idle()
            return None
        self._phase = _Phase.COMPLETE
        return b"\n".join(self._lines)

    def finish(self) -> bytes:
        """All steps at once."""
        while (state := self.advance()) is None:
            pass
        return state

    def _encode_active(self) -> None:
        remaining = FIELDS_PER_STEP
        for program in self._active:
            remaining -= program.field_count
            self._lines.append(program.encode())
            if remaining <= 0:
                return
        self._phase = _Phase.IDLE

    def _encode_idle(self) -> None:
        line = next(self._idle, None)
        if line is None:
            self._phase = _Phase.JOINING
        else:
            self._lines.append(line)
