"""`python -m kestrelbend.tier fleet`: a search for days that break a rule."""

from __future__ import annotations

import gc
import multiprocessing
import os
import time

import logbook
from cleo.commands.command import Command
from cleo.helpers import option

from ..roles.command import COLLECT_AFTER
from .day import Day, Result, play_day, shrink


def _play_line(line: str) -> Result:
    logbook.NullHandler().push_application()
    gc.set_threshold(COLLECT_AFTER)
    return play_day(Day.read(line))


class FleetCommand(Command):
    name = "fleet"
    description = "Play days of mixed troubles on the whole tier in memory, and find those that break a rule."
    options = [
        option("seeds", None, "How many days to play.", flag=False, default="200"),
        option("first", None, "The first seed.", flag=False, default="1"),
        option("day", None, "Play this day alone (SEED:PLACES, as a failing one is told).", flag=False),
        option("kinds", None, "Draw from these kinds of trouble alone, with commas between.", flag=False),
        option("jobs", None, "Processes to play in.", flag=False, default=str(os.cpu_count() or 1)),
        option("shrink", None, "Leave out what a failing day doesn't need."),
    ]

    def handle(self) -> int:
        logbook.NullHandler().push_application()
        if self.option("day"):
            return self._tell(_play_line(self.option("day")), self.io.is_verbose() or True)
        return self._search(int(self.option("first")), int(self.option("seeds")), int(self.option("jobs")))

    def _search(self, first: int, count: int, jobs: int) -> int:
        begun = time.monotonic()
        kinds = f"/{self.option('kinds')}" if self.option("kinds") else ""
        lines = [f"{seed}{kinds}" for seed in range(first, first + count)]
        failed = turns = orders = 0
        with multiprocessing.get_context("fork").Pool(jobs) as pool:
            for result in pool.imap(_play_line, lines):
                turns += result.turns
                orders += result.orders
                if result.failures:
                    failed += 1
                    self._tell_failure(result)
        self.line(
            f"{count} days from seed {first}: {failed} broke a rule; {turns} tries of turns, {orders} orders,"
            f" {time.monotonic() - begun:.0f} s"
        )
        return 1 if failed else 0

    def _tell_failure(self, result: Result) -> None:
        day = shrink(result.day) if self.option("shrink") else result.day
        self.line(f"--day {day}  ({day.tell()})")
        for failure in result.failures[:5]:
            self.line(f"    {failure}")

    def _tell(self, result: Result, whole: bool) -> int:
        self.line(result.day.tell())
        for note in result.notes if whole else result.failures:
            self.line(note)
        return 1 if result.failures else 0
