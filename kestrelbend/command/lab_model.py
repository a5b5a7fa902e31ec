"""The laboratory's verb `lab model`: all runs of the replication core with some faults in each."""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Iterable
from typing import TYPE_CHECKING, ClassVar

import attrs
from cleo.helpers import option
from cleo.io.inputs.option import Option

from .outcome import DONE, FAILED, wrong
from .verb import Verb

if TYPE_CHECKING:
    from kestrelbend.tier.model.search import SearchResult


@attrs.frozen
class _Part:
    """One process's part of the search from a script."""

    script: str
    faults: int
    max_states: int | None
    index: int
    count: int


def _search(part: _Part) -> SearchResult:
    from kestrelbend.tier.model.orders import search_orders
    from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS
    from kestrelbend.tier.model.search import Partition, search

    share = Partition(part.index, part.count)
    if part.script in ORDER_SCRIPTS:
        return search_orders(part.script, part.faults, share)
    return search(SCRIPTS[part.script], part.faults, part.max_states, share)


def _parts(name: str, faults: int, max_states: int | None, processes: int) -> list[_Part]:
    """The parts of a script's search; one without a fault is whole."""
    count = processes if faults else 1
    return [_Part(name, faults, max_states, index, count) for index in range(count)]


class ModelVerb(Verb):
    """Searches from each script, in several processes."""

    name = "lab model"
    description = "Search all runs of the replication core with some faults at any step for a broken rule."
    options: ClassVar[list[Option]] = [
        option("depth", None, "Faults in a run.", flag=False, default="1"),
        option("scripts", None, "Begin from these scripts alone, with commas between.", flag=False),
        option(
            "states",
            None,
            "Look at this many states of a script at most.",
            flag=False,
        ),
        option("jobs", None, "Processes to search in.", flag=False, default=str(os.cpu_count() or 1)),
        option("without", None, "Take this guard out, see `lab fleet --without`.", flag=False),
    ]

    def handle(self) -> int:
        """Search from each script; exit code 1 where a rule was broken."""
        from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS
        from kestrelbend.tier.model.search import merge_results

        known = [*SCRIPTS, *ORDER_SCRIPTS]
        depth = self.whole_option("depth", least=0)
        max_states = self.whole_option("states", least=1)
        jobs = self.whole_option("jobs", least=1)
        names = self.option("scripts").split(",") if self.option("scripts") else known
        unknown = [name for name in names if name not in known]
        if unknown:
            raise wrong(f"--scripts: '{unknown[0]}' is none of {', '.join(known)}")
        parts = {name: _parts(name, depth, max_states, -(-jobs // len(names))) for name in names}
        with self.guard_taken_out(), multiprocessing.get_context("fork").Pool(jobs) as pool:
            running = {name: [pool.apply_async(_search, (part,)) for part in parts[name]] for name in names}
            return self._tell(merge_results([one.get() for one in running[name]]) for name in names)

    def _tell(self, searches: Iterable[SearchResult]) -> int:
        states = broken = 0
        for found in searches:
            states += found.states
            broken += bool(found.violation)
            self.say(found.summary())
        self.say(f"{states} states; {broken} scripts broke a rule")
        return FAILED if broken else DONE
