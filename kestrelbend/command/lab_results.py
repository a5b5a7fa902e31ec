"""The laboratory's verbs that look at results of earlier runs."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from .outcome import DONE, wrong
from .verb import Verb, file_argument

COMPARED = ["net", "served", "worst_plan"]


class CompareVerb(Verb):
    """Variants beside one another."""

    name = "lab compare"
    description = "Paired differences between variants, with an interval."
    arguments: ClassVar[list[Argument]] = [file_argument("A result file.", "results")]
    options: ClassVar[list[Option]] = [
        option("base", None, "The variant that others are compared with.", flag=False),
        option("figure", None, "A figure to compare; may be told several times.", flag=False, multiple=True),
    ]

    def handle(self) -> int:
        """Print the paired differences of a result file."""
        from kestrelbend.lab import experiment

        path = self.existing_path("results", folders=True)
        figures = self.option("figure") or COMPARED
        self.say(experiment.comparison(path, self.option("base"), list(figures)))
        return DONE


class ReportVerb(Verb):
    """Plots of all runs."""

    name = "lab report"
    description = "One self-contained HTML file with plots of all runs in a result file."
    arguments: ClassVar[list[Argument]] = [file_argument("A result file.", "results")]
    options: ClassVar[list[Option]] = [
        option("out", "o", "The HTML file to write.", flag=False, default="report.html")
    ]

    def handle(self) -> int:
        """Write the page of a result file."""
        from kestrelbend.lab import results
        from kestrelbend.lab.report import write

        path = self.existing_path("results", folders=True)
        to = Path(self.option("out"))
        try:
            write(to, results.read(path), path.stem)
        except ValueError as trouble:
            raise wrong(f"{path}: {trouble}") from None
        self.say(f"report: {to}")
        return DONE
