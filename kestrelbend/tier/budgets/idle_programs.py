"""Idle programs: those not used recently, of which only the token and retry totals are kept.

Invariant: a program is forgotten only after it has been inactive for longer than its `retain_s`; forgetting
it earlier would grant its budget a second time.  Times are the table's, in milliseconds.

The lines of a restored snapshot are decoded in steps, because decoding all of them takes longer than a
command may.  In the order of the programs, lines not decoded yet come before the programs that became idle
since the restore.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from kestrelbend.tier.budgets.snapshot_codec import IdleProgram, decode_idle

DEFAULT_RETAIN_S = 60  # for programs whose reservations set no `retain_s`
MAX_EXPIRY_CANDIDATES = 16  # programs checked for expiry each time one becomes idle


class IdlePrograms:
    """Up to `max_programs` idle programs, in the order in which they became idle."""

    def __init__(self, max_programs: int, encoded_lines: Iterable[bytes] = ()) -> None:
        self.max_programs = max_programs
        self._programs: dict[str, IdleProgram] = {}
        self._encoded_lines: deque[bytes] = deque(encoded_lines)

    def decode_next(self) -> None:
        """Decodes the next line, if there is one."""
        if self._encoded_lines:
            self._programs.update(decode_idle(self._encoded_lines.popleft()))

    def decode_all(self) -> None:
        """Decodes all remaining lines; required before any of the methods below."""
        while self._encoded_lines:
            self.decode_next()

    def __contains__(self, name: str) -> bool:
        return name in self._programs

    def items(self) -> list[tuple[str, IdleProgram]]:
        """Returns the names and totals of all programs, in order."""
        return list(self._programs.items())

    def has_capacity(self, now_ms: int) -> bool:
        """Whether one more program can be added."""
        return len(self._programs) < self.max_programs or self._find_expired(now_ms) is not None

    def add(self, name: str, program: IdleProgram, now_ms: int) -> None:
        """Adds a program that became idle; requires capacity, and forgets an expired program if full."""
        if len(self._programs) >= self.max_programs:
            expired = self._find_expired(now_ms)
            assert expired is not None, "no capacity for an idle program"
            del self._programs[expired]
        self._programs[name] = program

    def remove(self, name: str) -> IdleProgram | None:
        """Removes a program that becomes active and returns its totals, None if it is unknown."""
        return self._programs.pop(name, None)

    def _find_expired(self, now_ms: int) -> str | None:
        """Returns an expired program among the next few candidates, None if there is none.

        Candidates that are not expired move to the end, so that the next call checks others.
        """
        for name in list(islice(self._programs, MAX_EXPIRY_CANDIDATES)):
            program = self._programs[name]
            if _is_expired(program, now_ms):
                return name
            del self._programs[name]
            self._programs[name] = program
        return None


def _is_expired(program: IdleProgram, now_ms: int) -> bool:
    """Whether a program has been inactive for longer than it is retained."""
    return now_ms - program.used_at_ms > (program.retain_s or DEFAULT_RETAIN_S) * 1000
