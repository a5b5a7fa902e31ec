"""The laboratory's verb `lab model`: all runs of the replication core with some faults in each."""

from __future__ import annotations

import multiprocessing
import os
from typing import TYPE_CHECKING

from cleo.helpers import option

from .outcome import DONE, FAILED, wrong
from .verb import Verb

if TYPE_CHECKING:
    from kestrelbend.tier.model.search import Found


def _search(asked: tuple[str, int, int | None]) -> Found:
    from kestrelbend.tier.model.orders import search_orders
    from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS
    from kestrelbend.tier.model.search import search

    name, faults, max_states = asked
    if name in ORDER_SCRIPTS:
        return search_orders(name, faults)
    return search(SCRIPTS[name], faults, max_states)


class ModelVerb(Verb):
    """Searches from each script, in several processes."""

    name = "lab model"
    description = "Search all runs of the replication core with some faults at any step for a broken rule."
    options = [
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
        from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS

        known = [*SCRIPTS, *ORDER_SCRIPTS]
        depth = self.whole_option("depth", least=0)
        max_states = self.whole_option("states", least=1)
        jobs = self.whole_option("jobs", least=1)
        names = self.option("scripts").split(",") if self.option("scripts") else known
        unknown = [name for name in names if name not in known]
        if unknown:
            raise wrong(f"--scripts: '{unknown[0]}' is none of {', '.join(known)}")
        asked = [(name, depth, max_states) for name in names]
        with self.guard_taken_out(), multiprocessing.get_context("fork").Pool(jobs) as pool:
            return self._tell(pool.imap(_search, asked))

    def _tell(self, searches) -> int:
        states = broken = 0
        for found in searches:
            states += found.states
            broken += bool(found.broken)
            self.say(found.summary())
        self.say(f"{states} states; {broken} scripts broke a rule")
        return FAILED if broken else DONE
