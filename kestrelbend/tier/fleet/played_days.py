"""The list of days that a search has played: kept in a file, so that a search that was ended goes on.

One line of JSON for each day, in the order in which they ended.  A line that is cut off, as by a kill, is
left out and its day played again.
"""

from __future__ import annotations

import json
from pathlib import Path

import attrs

from kestrelbend.json_lines import append_lines

from .day import Result


@attrs.frozen
class PlayedDay:
    """What is kept of one day; `line` names it, as for `lab fleet --day`."""

    line: str
    faults: str
    violations: tuple[str, ...]
    turns: int
    orders: int
    seconds: float  # of processor time

    @classmethod
    def of(cls, line: str, result: Result, seconds: float) -> PlayedDay:
        """What is kept of a day's result."""
        faults = result.day.describe()
        return cls(line, faults, result.violations, result.turns, result.orders, round(seconds, 2))


class PlayedDays:
    """The days played so far, in memory and, where `path` is given, in a file."""

    def __init__(self, path: Path | None = None) -> None:
        self._path = path
        self._days: dict[str, PlayedDay] = {}
        if path is not None and path.exists():
            for line in path.read_text().splitlines():
                self._read(line)

    def __contains__(self, line: str) -> bool:
        return line in self._days

    def all(self) -> list[PlayedDay]:
        """In the order in which they were played."""
        return list(self._days.values())

    def add(self, day: PlayedDay) -> None:
        """Keeps one more day."""
        self._days[day.line] = day
        if self._path is not None:
            append_lines(self._path, [json.dumps(attrs.asdict(day)).encode()])

    def _read(self, line: str) -> None:
        try:
            fields = json.loads(line)
            day = PlayedDay(**{**fields, "violations": tuple(fields["violations"])})
        except (ValueError, KeyError, TypeError):
            return
        self._days[day.line] = day
