"""The laboratory's verb `lab fleet`: a search for days of the whole tier, in memory, that break a rule."""

from __future__ import annotations

import gc
import multiprocessing
import os
import time
from typing import TYPE_CHECKING

from cleo.helpers import option

from .outcome import DONE, FAILED, wrong
from .verb import Verb

if TYPE_CHECKING:
    from kestrelbend.tier.fleet.day import Result

MAX_VIOLATIONS_SHOWN = 5  # of one day


def _play_line(line: str) -> Result:
    import logbook

    from kestrelbend.tier.fleet.day import Day, play_day
    from kestrelbend.tier.roles.start import COLLECT_AFTER

    logbook.NullHandler().push_application()
    gc.set_threshold(COLLECT_AFTER)
    return play_day(Day.read(line))


class FleetVerb(Verb):
    """Plays days drawn by seeds, in several processes."""

    name = "lab fleet"
    description = "Play days of mixed troubles on the whole tier in memory, and find those that break a rule."
    options = [
        option("seeds", None, "How many days to play.", flag=False, default="200"),
        option("first", None, "The first seed.", flag=False, default="1"),
        option("day", None, "Play this day alone (SEED:PLACES, as a failing one is told).", flag=False),
        option("kinds", None, "Draw from these kinds of trouble alone, with commas between.", flag=False),
        option("jobs", None, "Processes to play in.", flag=False, default=str(os.cpu_count() or 1)),
        option("without", None, "Take this guard out, to see what finds its removal.", flag=False),
        option("shrink", None, "Leave out what a failing day doesn't need."),
    ]

    def handle(self) -> int:
        first = self.whole_option("first")
        seeds = self.whole_option("seeds", least=1)
        jobs = self.whole_option("jobs", least=1)
        with self.guard_taken_out():
            if self.option("day"):
                return self._play_one(self.option("day"))
            return self._search(first, seeds, jobs)

    def _play_one(self, line: str) -> int:
        try:
            result = _play_line(line)
        except ValueError:
            raise wrong(f"--day: '{line}' names no day") from None
        self.say(result.day.describe())
        for line in result.log_lines:
            self.say(line)
        return FAILED if result.violations else DONE

    def _search(self, first: int, count: int, jobs: int) -> int:
        begun = time.monotonic()
        kinds = f"/{self.option('kinds')}" if self.option("kinds") else ""
        lines = [f"{seed}{kinds}" for seed in range(first, first + count)]
        failed = turns = orders = 0
        with multiprocessing.get_context("fork").Pool(jobs) as pool:
            for result in pool.imap(_play_line, lines):
                turns += result.turns
                orders += result.orders
                if result.violations:
                    failed += 1
                    self._show_violations(result)
        self.say(
            f"{count} days from seed {first}: {failed} broke a rule; {turns} tries of turns, {orders} orders,"
            f" {time.monotonic() - begun:.0f} s"
        )
        return FAILED if failed else DONE

    def _show_violations(self, result: Result) -> None:
        from kestrelbend.tier.fleet.day import shrink

        day = shrink(result.day) if self.option("shrink") else result.day
        self.say(f"--day {day}  ({day.describe()})")
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            self.say(f"    {violation}")
