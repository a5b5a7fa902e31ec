"""Programs that were not used for a while: of each only its tokens and retries are kept.

Invariant: a program is forgotten only once it has been away for longer than its `retain_s`; so a budget is
not handed out twice to make space.  Times are the table's, in milliseconds.

The lines of a restored snapshot are decoded in steps, since all of them take longer than a command may.
Until then they stand before all programs that became idle since.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from kestrelbend.tier.budgets.snapshot_codec import IdleProgram, decode_idle

DEFAULT_RETAIN_S = 60  # of programs whose reservations name no time
MAX_CANDIDATES = 16  # looked at for each program that becomes idle


class IdlePrograms:
    """Up to `max_programs`, in the order in which they became idle."""

    def __init__(self, max_programs: int, encoded: Iterable[bytes] = ()) -> None:
        self.max_programs = max_programs
        self._programs: dict[str, IdleProgram] = {}
        self._encoded: deque[bytes] = deque(encoded)

    def decode_next(self) -> None:
        """Decodes one line more, where there is one."""
        if self._encoded:
            self._programs.update(decode_idle(self._encoded.popleft()))

    def decode_all(self) -> None:
        """Decodes all that remain; needed before anything below."""
        while self._encoded:
            self.decode_next()

    def __contains__(self, name: str) -> bool:
        return name in self._programs

    def items(self) -> list[tuple[str, IdleProgram]]:
        """All programs with their names, in their order."""
        return list(self._programs.items())

    def has_capacity(self, now_ms: int) -> bool:
        """Whether one more may become idle."""
        return len(self._programs) < self.max_programs or self._forgettable(now_ms) is not None

    def add(self, name: str, program: IdleProgram, now_ms: int) -> None:
        """The program becomes idle; there must be capacity, for which another may be forgotten."""
        if len(self._programs) >= self.max_programs:
            forgettable = self._forgettable(now_ms)
            assert forgettable is not None, "no capacity for an idle program"
            del self._programs[forgettable]
        self._programs[name] = program

    def take(self, name: str) -> IdleProgram | None:
        """The program, which is active from now on; None for one that is not known."""
        return self._programs.pop(name, None)

    def _forgettable(self, now_ms: int) -> str | None:
        """A program that may be forgotten, among the next few; the others of these are looked at last."""
        for name in list(islice(self._programs, MAX_CANDIDATES)):
            program = self._programs[name]
            if _is_expired(program, now_ms):
                return name
            del self._programs[name]
            self._programs[name] = program
        return None


def _is_expired(program: IdleProgram, now_ms: int) -> bool:
    """Whether a program has been away for longer than it is retained."""
    return now_ms - program.used_at_ms > (program.retain_s or DEFAULT_RETAIN_S) * 1000
