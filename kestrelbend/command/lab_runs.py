"""The laboratory's verbs that run something: worlds, membership alone, loads, experiments."""

from __future__ import annotations

from json import dumps
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from .outcome import DONE, FAILED, CommandFailed, wrong
from .progress import progress
from .reading import read
from .verb import Verb, file_argument, results_option, seed_option, switch_options

if TYPE_CHECKING:
    from kestrelbend.lab.scenario import Scenario

MOST_GOSSIPING = 500


class EmulateVerb(Verb):
    """One run of one scenario."""

    name = "lab emulate"
    description = "Run one scenario and say what it came to."
    arguments: ClassVar[list[Argument]] = [file_argument()]
    options: ClassVar[list[Option]] = [
        seed_option(),
        results_option(),
        *switch_options(
            "sockets", "Real gateways on loopback sockets in real time, in place of simulated ones."
        ),
        *switch_options("trace", "Say the trace of each broken rule (unless told otherwise)."),
        option("report", None, "Write an HTML report here.", flag=False),
    ]

    def handle(self) -> int:
        """Run the scenario; exit code 1 where a rule was broken or the figures are void."""
        from kestrelbend.lab import results
        from kestrelbend.lab.scenario import Scenario

        path = self.existing_path()
        sockets = self.switched("sockets", otherwise=False)
        scenario = read(path, Scenario)
        world, figures = self._run(path, scenario, sockets)
        row = results.row(scenario, world, figures, "sockets" if sockets else "simulated")
        out = self.path_option("out")
        if out is not None:
            results.write(out, [row])
        self.say(results.summary(row))
        self._report(row, f"{scenario.name}, seed {row['seed']}")
        return self._verdict(figures)

    def _run(self, path: Path, scenario: Scenario, sockets: bool) -> tuple[Any, dict[str, Any]]:
        from kestrelbend.lab.clock import NotOnSockets, Stuck

        if sockets:
            from kestrelbend.lab.loopback import run
        else:
            from kestrelbend.lab.emulate import run
        seed = self.whole_option("seed")
        try:
            with progress(self.io, scenario.name) as advance:
                return run(scenario, seed, progress=advance)
        except NotOnSockets as trouble:
            raise wrong(f"{path}: {trouble}") from None
        except Stuck as trouble:
            raise CommandFailed(f"{path}: {trouble}") from None

    def _report(self, row: dict[str, Any], title: str) -> None:
        path = self.path_option("report")
        if path is not None:
            from kestrelbend.lab.report import write

            write(path, [row], title)
            self.say(f"report: {path}")

    def _verdict(self, figures: dict[str, Any]) -> int:
        if figures.get("void"):
            self.say_error(f"the figures are void: {figures['void']}")
            return FAILED
        if not figures["rules_broken"]:
            return DONE
        broken = figures["broken"]
        if not self.switched("trace", otherwise=True):
            broken = [text.splitlines()[0] for text in broken]
        self.say_error("\n".join(broken))
        return FAILED


class GossipVerb(Verb):
    """Membership without anything else."""

    name = "lab gossip"
    description = "Measure membership alone, in simulated time: detection, false deaths, datagrams."
    arguments: ClassVar[list[Argument]] = [argument("gateways", f"How many, 2 to {MOST_GOSSIPING}.")]
    options: ClassVar[list[Option]] = [
        option("loss", None, "Part of the datagrams lost, 0 to 0.9.", flag=False, default="0"),
        option("seed", None, "Chance is drawn from it.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the membership of so many gateways and print what was measured."""
        gateways = self.whole_argument("gateways", least=2, most=MOST_GOSSIPING)
        loss = self.number_option("loss", least=0.0, most=0.9)
        seed = self.whole_option("seed")
        from kestrelbend.lab.gossip import measured

        self.say(dumps(measured(gateways, seed, loss)))
        return DONE


class LoadVerb(Verb):
    """Requests to a real server."""

    name = "lab load"
    description = "Send requests at their intended times, whatever comes back (open loop)."
    arguments: ClassVar[list[Argument]] = [
        argument("target", "http://host:port, of a gateway or any HTTP server."),
        file_argument("A load file.", "file"),
    ]
    options: ClassVar[list[Option]] = [seed_option(), results_option()]

    def handle(self) -> int:
        """Send the load and print what came back."""
        from kestrelbend.lab import load, results

        path = self.existing_path("file", folders=True)
        plan = read(path, load.Load)
        seed = self.whole_option("seed")
        try:
            with progress(self.io, plan.name) as advance:
                figures = load.run(self.argument("target"), plan, seed, advance, path.parent)
        except (OSError, ValueError) as trouble:
            raise wrong(f"{path}: {trouble}") from None
        out = self.path_option("out")
        if out is not None:
            results.write(out, [figures])
        self.say(load.summary(figures))
        return FAILED if figures["figures"].get("void") else DONE


class ExperimentVerb(Verb):
    """Many runs of many scenarios."""

    name = "lab experiment"
    description = "Run scenarios, seeds and variants over all cores; pairs share seeds."
    arguments: ClassVar[list[Argument]] = [file_argument()]
    options: ClassVar[list[Option]] = [
        option(
            "out",
            "o",
            "Results, as JSON lines; a run that is there already is not made again. Must be told.",
            flag=False,
        ),
        option("cores", None, "Runs at once; 0: as many as there are cores.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Run what the result file has not yet, and print the table."""
        from kestrelbend.gateway.settings.toml_files import InvalidFile
        from kestrelbend.lab import experiment

        path = self.existing_path()
        out = self.path_option("out")
        if out is None:
            raise wrong("--out: must be told")
        cores = self.whole_option("cores")
        try:
            plan = experiment.load(path)
        except InvalidFile as faults:
            raise wrong(faults) from None
        with progress(self.io, plan.name) as advance:
            broken = experiment.run(plan, out, cores, advance)
        self.say(experiment.table(out))
        return FAILED if broken else DONE
