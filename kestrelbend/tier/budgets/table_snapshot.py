"""A snapshot of a table, encoded in short steps while the table keeps changing.

    ACTIVE ──all active programs encoded──> IDLE ──all idle lines encoded──> JOINING ──> COMPLETE

Invariant: the result is the state of the table when the snapshot was started.  Therefore the table must
encode a program's line (`ActiveProgram.encode`) before it changes the counter, and continue with a new
`ActiveProgram`.
"""

from __future__ import annotations

import enum

from kestrelbend.tier.budgets.snapshot_codec import ActiveProgram, IdleProgram, TableHeader, encode_idle

FIELDS_PER_STEP = 2_000


class _Phase(enum.Enum):
    """What the next step encodes; JOINING concatenates the lines."""

    ACTIVE = enum.auto()
    IDLE = enum.auto()
    JOINING = enum.auto()
    COMPLETE = enum.auto()


class TableSnapshot:
    """The header, the active and the idle programs, and the lines encoded so far."""

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
        """The number of lines encoded so far."""
        return len(self._lines)

    def advance(self) -> bytes | None:
        """Performs one step of a few milliseconds; returns the snapshot after the last one, else None."""
        if self._phase is _Phase.ACTIVE:
            self._encode_active()
            return None
        if self._phase is _Phase.IDLE:
            self._encode_idle()
            return None
        self._phase = _Phase.COMPLETE
        return b"\n".join(self._lines)

    def finish(self) -> bytes:
        """Performs all remaining steps and returns the snapshot."""
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
