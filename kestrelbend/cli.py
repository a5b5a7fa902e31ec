"""The command: serve, check, the laboratory's verbs.  Exit codes: 0 done, 1 failed (a rule broken, a run
void), 2 the words or a file are wrong."""

from __future__ import annotations

from enum import Enum
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Annotated

import typer

from .config.reading import Wrong

app = typer.Typer(
    no_args_is_help=True,
    help="A quota gateway that keeps each customer of a shared back end to its plan.",
    pretty_exceptions_enable=False,
)
lab = typer.Typer(
    no_args_is_help=True, help="The laboratory: emulate fleets and their failures, and compare."
)
app.add_typer(lab, name="lab")

File = Annotated[Path, typer.Argument(help="A TOML file.", exists=True, dir_okay=False)]
Seed = Annotated[int | None, typer.Option(help="In place of the file's.")]
Out = Annotated[Path | None, typer.Option("--out", "-o", help="Where the result goes, as JSON lines.")]


class Kind(str, Enum):
    """What a file to check states."""

    installation = "installation"
    platform = "platform"
    scenario = "scenario"
    load = "load"
    experiment = "experiment"


def wrong(trouble):
    typer.echo(str(trouble), err=True)
    raise typer.Exit(2)


def read(path, model):
    from .config.reading import toml

    try:
        return toml(str(path), model)
    except Wrong as faults:
        wrong(faults)


@app.command()
def serve(
    path: Annotated[
        Path | None, typer.Argument(metavar="[FILE]", help="An installation's TOML file.")
    ] = None,
):
    """Serve as one gateway until SIGTERM; without a file, told by the platform's environment
    (ROUTER_CONFIG)."""
    from .__main__ import serve as serving

    serving(str(path) if path else None)


@app.command()
def check(path: File, kind: Annotated[Kind | None, typer.Option(help="What the file states.")] = None):
    """Say everything that is wrong with a file, each fault with its place."""
    from .config.installation import Installation

    kind = kind or guess(path)
    if kind is Kind.platform:
        from .config.platform import Malformed
        from .net.configuration import read as read_platform

        try:
            read_platform({"ROUTER_CONFIG": str(path)})
        except Malformed as trouble:
            wrong(f"{path}: {trouble}")
    elif kind is Kind.installation:
        read(path, Installation)
    elif kind is Kind.load:
        from .lab.load import Load

        read(path, Load)
    elif kind is Kind.scenario:
        from .lab.scenario import Scenario

        read(path, Scenario)
    else:
        from .lab.experiment import load

        try:
            load(path)
        except Wrong as faults:
            wrong(faults)
    typer.echo(f"{path}: a usable {kind.value} file")


def guess(path):
    """By what only one kind of file has."""
    if path.suffix == ".json":
        return Kind.platform
    text = path.read_text(encoding="utf-8", errors="replace")
    if "[[variants]]" in text or "\nscenarios" in f"\n{text}":
        return Kind.experiment
    if "[[phases]]" in text:
        return Kind.load
    return Kind.installation if "\nlisten" in f"\n{text}" else Kind.scenario


@app.command()
def members(
    where: Annotated[str, typer.Argument(help="host:port where a gateway on this machine serves clients, "
                                              "or its TOML file.")],
):
    """Which gateways one gateway sees: state, incarnation, since when, how many duties."""
    from json import loads
    from urllib.error import URLError
    from urllib.request import ProxyHandler, build_opener

    if where.endswith(".toml"):
        from .config.installation import Installation

        where = str(read(Path(where), Installation).listen)
    try:
        with build_opener(ProxyHandler({})).open(f"http://{where}/_members", timeout=3) as answer:
            rows = loads(answer.read())
    except (URLError, OSError, ValueError) as trouble:
        typer.echo(f"{where}: {trouble}; is it a gateway on this machine, with [members] set?", err=True)
        raise typer.Exit(1) from None
    typer.echo(f"{'name':28} {'state':8} {'incarnation':>11} {'since':>8} {'duties':>6}  address")
    for row in rows:
        since = "" if row["since_s"] is None else f"{row['since_s']:.1f}s"
        mark = " (asked)" if row.get("self") else ""
        typer.echo(f"{row['name']:28} {row['state']:8} {row['incarnation']:11} {since:>8} "
                   f"{len(row['duties']):6}  {row['address']}{mark}")


@lab.command()
def emulate(
    path: File,
    seed: Seed = None,
    out: Out = None,
    sockets: Annotated[
        bool, typer.Option(help="Real gateways on loopback sockets in real time, in place of simulated ones.")
    ] = False,
    trace: Annotated[bool, typer.Option(help="Say the trace of each broken rule.")] = True,
    report: Annotated[Path | None, typer.Option(help="Write an HTML report here.")] = None,
):
    """Run one scenario and say what it came to."""
    from .lab import results
    from .lab.clock import NotOnSockets, Stuck
    from .lab.scenario import Scenario

    scenario = read(path, Scenario)
    with progress(scenario.name) as advance:
        if sockets:
            from .lab.loopback import run
        else:
            from .lab.emulate import run
        try:
            world, figures = run(scenario, seed, progress=advance)
        except NotOnSockets as trouble:
            wrong(f"{path}: {trouble}")
        except Stuck as trouble:
            typer.echo(f"{path}: {trouble}", err=True)
            raise typer.Exit(1) from None
    row = results.row(scenario, world, figures, "sockets" if sockets else "simulated")
    if out is not None:
        results.write(out, [row])
    typer.echo(results.summary(row))
    if report is not None:
        from .lab.report import write

        write(report, [row], f"{scenario.name}, seed {row['seed']}")
        typer.echo(f"report: {report}")
    if figures.get("void"):
        typer.echo(f"the figures are void: {figures['void']}", err=True)
        raise typer.Exit(1)
    if figures["rules_broken"]:
        typer.echo(
            "\n".join(figures["broken"] if trace else [b.splitlines()[0] for b in figures["broken"]]),
            err=True,
        )
        raise typer.Exit(1)


@lab.command()
def gossip(
    gateways: Annotated[int, typer.Argument(min=2, max=500)],
    loss: Annotated[float, typer.Option(min=0.0, max=0.9, help="Part of the datagrams lost.")] = 0.0,
    seed: Annotated[int, typer.Option()] = 1,
):
    """Measure membership alone, in simulated time: detection, false deaths, datagrams."""
    from json import dumps

    from .lab.gossip import measured

    typer.echo(dumps(measured(gateways, seed, loss)))


@lab.command()
def load(
    target: Annotated[str, typer.Argument(help="http://host:port, of a gateway or any HTTP server.")],
    path: Annotated[Path, typer.Argument(metavar="FILE", help="A load file.", exists=True)],
    seed: Seed = None,
    out: Out = None,
):
    """Send requests at their intended times, whatever comes back (open loop)."""
    from .lab import load as loading

    plan = read(path, loading.Load)
    try:
        with progress(plan.name) as advance:
            figures = loading.run(target, plan, seed, advance, path.parent)
    except (OSError, ValueError) as trouble:
        wrong(f"{path}: {trouble}")
    if out is not None:
        from .lab import results

        results.write(out, [figures])
    typer.echo(loading.summary(figures))
    if figures["figures"].get("void"):
        raise typer.Exit(1)


@lab.command()
def experiment(
    path: File,
    out: Annotated[
        Path,
        typer.Option(
            "--out", "-o", help="Results, as JSON lines; a run that is there already is not made again."
        ),
    ],
    cores: Annotated[int, typer.Option(help="Runs at once; 0: as many as there are cores.")] = 0,
):
    """Run scenarios, seeds and variants over all cores; pairs share seeds."""
    from .lab import experiment as experiments

    try:
        plan = experiments.load(path)
    except Wrong as faults:
        wrong(faults)
    with progress(plan.name) as advance:
        broken = experiments.run(plan, out, cores, advance)
    typer.echo(experiments.table(out))
    if broken:
        raise typer.Exit(1)


@lab.command()
def compare(
    path: Annotated[Path, typer.Argument(metavar="RESULTS", exists=True)],
    base: Annotated[str | None, typer.Option(help="The variant that others are compared with.")] = None,
    figure: Annotated[list[str], typer.Option(help="Figures to compare.")] = ("net", "served", "worst_plan"),
):
    """Paired differences between variants, with an interval."""
    from .lab import experiment as experiments

    typer.echo(experiments.comparison(path, base, list(figure)))


@lab.command()
def report(
    path: Annotated[Path, typer.Argument(metavar="RESULTS", exists=True)],
    to: Annotated[Path, typer.Option("--out", "-o", help="The HTML file to write.")] = Path("report.html"),
):
    """One self-contained HTML file with plots of all runs in a result file."""
    from .lab import results
    from .lab.report import write

    try:
        write(to, results.read(path), path.stem)
    except ValueError as trouble:
        wrong(f"{path}: {trouble}")
    typer.echo(f"report: {to}")


@app.command("version")
def say_version():
    """The version of this program."""
    try:
        typer.echo(f"kestrelbend {version('kestrelbend')}")
    except PackageNotFoundError:
        typer.echo("kestrelbend, not installed")


def progress(name):
    """A bar on a terminal; nothing where the output goes to a file."""
    from contextlib import contextmanager
    from sys import stderr

    @contextmanager
    def shown():
        if not stderr.isatty():
            yield lambda part: None
            return
        with typer.progressbar(length=1000, label=name, file=stderr) as bar:
            last = [0]

            def advance(part):
                bar.update(int(1000 * part) - last[0])
                last[0] = int(1000 * part)

            yield advance

    return shown()
