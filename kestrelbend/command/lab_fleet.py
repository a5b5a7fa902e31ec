"""The laboratory's verb `lab fleet`: a search for days of the whole tier, in memory, that break a rule."""

from __future__ import annotations

import gc
import multiprocessing
import os
import time
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from .outcome import DONE, FAILED, wrong
from .verb import Verb

if TYPE_CHECKING:
    from kestrelbend.tier.fleet.day import Result
    from kestrelbend.tier.fleet.played_days import PlayedDays

MAX_VIOLATIONS_SHOWN = 5  # of one day
PROGRESS_INTERVAL_S = 30.0  # between two lines that say how far a search is


def _play_timed(line: str) -> tuple[str, Result, float]:
    """A day's line, its result, and the seconds of processor time that it took."""
    begun = time.process_time()
    result = _play_line(line)
    return line, result, time.process_time() - begun


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
    options: ClassVar[list[Option]] = [
        option("seeds", None, "How many days to play.", flag=False, default="200"),
        option("first", None, "The first seed.", flag=False, default="1"),
        option("day", None, "Play this day alone (SEED:PLACES, as a failing one is told).", flag=False),
        option("kinds", None, "Draw from these kinds of trouble alone, with commas between.", flag=False),
        option("shape", None, "Play on a deployment of this shape.", flag=False),
        option("jobs", None, "Processes to play in.", flag=False, default=str(os.cpu_count() or 1)),
        option("without", None, "Take this guard out, to see what finds its removal.", flag=False),
        option("shrink", None, "Leave out what a failing day doesn't need."),
        option("out", "o", "Keep each played day in this file, and go on where it ends.", flag=False),
    ]

    def handle(self) -> int:
        """Play one day, or a search over seeds; exit code 1 where a rule was broken."""
        first = self.whole_option("first")
        seeds = self.whole_option("seeds", least=1)
        jobs = self.whole_option("jobs", least=1)
        with self.guard_taken_out():
            if self.option("day"):
                return self._play_one(self.option("day"))
            return self._search(first, seeds, jobs)

    def _play_one(self, line: str) -> int:
        from kestrelbend.tier.fleet.day import UnknownKind, UnknownShape

        try:
            result = _play_line(line)
        except (UnknownKind, UnknownShape) as unknown:
            raise wrong(f"--day: {unknown}") from None
        except ValueError:
            raise wrong(f"--day: '{line}' names no day") from None
        self.say(result.day.describe())
        for line in result.log_lines:
            self.say(line)
        return FAILED if result.violations else DONE

    def _search(self, first: int, count: int, jobs: int) -> int:
        from kestrelbend.tier.fleet.played_days import PlayedDay, PlayedDays

        lines = self._lines(first, count)
        played = PlayedDays(self.path_option("out"))
        missing = [line for line in lines if line not in played]
        begun = told = time.monotonic()
        with multiprocessing.get_context("fork").Pool(jobs) as pool:
            days = pool.imap_unordered(_play_timed, missing)
            for number, (line, result, seconds) in enumerate(days, 1):
                played.add(PlayedDay.of(line, result, seconds))
                if result.violations:
                    self._show_violations(result)
                if time.monotonic() - told >= PROGRESS_INTERVAL_S:
                    told = time.monotonic()
                    self.say_error(f"{number} of {len(missing)} days, {told - begun:.0f} s")
        return self._tell_search(first, lines, played, time.monotonic() - begun)

    def _lines(self, first: int, count: int) -> list[str]:
        """The days to be played; ends the verb where `--kinds` or `--shape` names an unknown one."""
        from kestrelbend.tier.fleet.day import Day, UnknownKind, UnknownShape

        kinds = f"/{self.option('kinds')}" if self.option("kinds") else ""
        shape = f"@{self.option('shape')}" if self.option("shape") else ""
        try:
            Day.read(f"{first}{kinds}{shape}")
        except UnknownKind as unknown:
            raise wrong(f"--kinds: {unknown}") from None
        except UnknownShape as unknown:
            raise wrong(f"--shape: {unknown}") from None
        return [f"{seed}{kinds}{shape}" for seed in range(first, first + count)]

    def _tell_search(self, first: int, lines: list[str], played: PlayedDays, seconds: float) -> int:
        wanted = set(lines)
        days = [day for day in played.all() if day.line in wanted]
        failed = [day for day in days if day.violations]
        self.say(
            f"{len(days)} days from seed {first}: {len(failed)} broke a rule;"
            f" {sum(day.turns for day in days)} tries of turns, {sum(day.orders for day in days)} orders,"
            f" {seconds:.0f} s"
        )
        for day in failed:
            self.say(f"    --day {day.line}: {day.violations[0]}")
        return FAILED if failed else DONE

    def _show_violations(self, result: Result) -> None:
        from kestrelbend.tier.fleet.day import shrink

        day = shrink(result.day) if self.option("shrink") else result.day
        self.say(f"--day {day}  ({day.describe()})")
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            self.say(f"    {violation}")
