"""Experiments: scenarios, seeds and variants, run over all cores; pairs share seeds.

A run is known by its scenario's text, its clock, its seed and its variant; one that the result file holds
already is not made again, so that a killed experiment goes on where it was.
"""

from __future__ import annotations

import importlib.util
import multiprocessing
import os
import subprocess
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import numpy
from msgspec import Meta, Struct

from ..gateway.settings import toml_files
from . import results
from .scenario import Scenario

# Taken from another checkout in simulated time.
PACKAGE = "kestrelbend.gateway."
MODULE = ("decisions", "hosting", "interface", "keys", "routing")
NEEDED = {
    "simulated": ("gateway/decisions",),
    "sockets": ("gateway/hosting.py", "hosting.py"),  # also from before the packages of today
}
RESAMPLES, LEVEL = 4000, 0.95
PLAIN = "as it is"


class Unusable(toml_files.InvalidFile):
    """An experiment whose files cannot be used; its text is all that is wrong, a line each."""

    def __init__(self, lines):
        Exception.__init__(self, "\n".join(lines))


class Variant(Struct, forbid_unknown_fields=True):
    """One thing to compare: the text as it is, a baseline, another checkout, changed settings, or several."""

    name: str
    baseline: Literal["", "let-all-in", "fixed-shares", "least-outstanding", "two-choices"] = ""
    checkout: str = ""  # folder of another checkout of this repository
    set: dict[str, Any] = msgspec.field(default_factory=dict)  # "backends.cold_from" = 0.5


class Experiment(Struct, forbid_unknown_fields=True):
    name: str
    scenarios: Annotated[list[str], Meta(min_length=1)]  # files, from the folder of this one
    variants: list[Variant]
    seeds: Annotated[list[int], Meta(min_length=1)] = msgspec.field(default_factory=lambda: [1, 2, 3])
    clock: Literal["simulated", "sockets"] = "simulated"
    sizes: list[list[int]] = []  # [gateways, backends] in place of the scenarios' own

    def faults(self):
        names = [each.name for each in self.variants]
        if not names:
            yield "variants", "at least one is needed"
        for at, variant in enumerate(self.variants):
            if variant.name in names[:at]:
                yield ("variants", at, "name"), f"{variant.name!r} is named twice"
            if variant.baseline and self.clock == "sockets":
                yield ("variants", at, "baseline"), "baselines run in simulated time alone"
        for at, size in enumerate(self.sizes):
            if len(size) != 2 or not all(1 <= n <= 500 for n in size):
                yield ("sizes", at), "expected [gateways, backends], each 1 to 500"


class Job(Struct):
    """One run, as it is handed to a process."""

    scenario: str  # file
    seed: int
    variant: Variant
    clock: str
    size: list[int]
    digest: str = ""

    def key(self):
        return self.digest, self.clock, self.seed, self.variant.name


class Plan(Struct):
    name: str
    jobs: list[Job]


def load(path):
    """All runs that an experiment file asks for; raises `toml_files.InvalidFile` with everything that is
    wrong with it and with the files it names."""
    given, folder = toml_files.read_toml(str(path), Experiment), Path(path).resolve().parent
    said, jobs = [], []
    for at, variant in enumerate(given.variants):
        if variant.checkout:
            variant.checkout = str((folder / variant.checkout).resolve())
            # On sockets a checkout runs its own host; here its decisions meet this text's emulator.
            package = Path(variant.checkout) / "kestrelbend"
            if not any((package / needed).exists() for needed in NEEDED[given.clock]):
                said.append(
                    f"{path}: variants[{at}].checkout: no checkout of this repository: {variant.checkout}"
                )
    for name in given.scenarios:
        file = str(folder / name)
        for variant in given.variants:
            for size in given.sizes or [[]]:
                try:
                    digest = results.digest(stated(file, variant, size))
                except toml_files.InvalidFile as wrong:
                    text = str(wrong)
                    said += [text] if text not in said else []
                    continue
                jobs += [Job(file, seed, variant, given.clock, size, digest) for seed in given.seeds]
    if said:
        raise Unusable(said)
    return Plan(given.name, jobs)


def stated(path, variant, size):
    """The scenario with what a variant and a size change in it, checked again as a whole."""
    if not variant.set and not size:
        return toml_files.read_toml(path, Scenario)
    import tomllib

    with open(path, "rb") as file:
        given = tomllib.load(file)
    changes = dict(variant.set)
    if size:
        changes |= {"fleet.gateways": size[0], "backends.count": size[1]}
        # As many customers and floods for each backend, whatever the size; sets no wider than the fleet.
        ratio = size[1] / given.get("backends", {}).get("count", 8)
        for plan in given.get("plans", []):
            plan["customers"] = max(1, round(plan.get("customers", 20) * ratio))
            plan["spread"] = min(plan.get("spread", 0), size[0])
        for failure in given.get("failures", []):
            if failure.get("kind") == "flood" and failure.get("customers", 1):
                failure["customers"] = max(1, round(failure.get("customers", 1) * ratio))
    for where, value in changes.items():
        *way, last = where.split(".")
        table = given
        for part in way:
            table = table[int(part)] if isinstance(table, list) else table.setdefault(part, {})
        table[last] = value
    made, faults = toml_files.convert(Scenario, given)
    if faults:
        raise Unusable(f"{path}, variant {variant.name!r}: {fault}" for fault in faults)
    return made


# One run, in a process of its own.


class Elsewhere:
    """Finds the deciding modules in another checkout, and everything else here."""

    def __init__(self, folder):
        self.folder = Path(folder) / "kestrelbend" / "gateway"

    def find_spec(self, name, path=None, target=None):
        if not name.startswith(PACKAGE):
            return None
        parts = name[len(PACKAGE) :].split(".")
        if parts[0] not in MODULE:
            return None
        place = self.folder.joinpath(*parts)
        if place.is_dir():
            return importlib.util.spec_from_file_location(
                name, place / "__init__.py", submodule_search_locations=[str(place)]
            )
        file = place.with_suffix(".py")
        return importlib.util.spec_from_file_location(name, file) if file.is_file() else None


def one(job):
    """The row of one run."""
    if job.variant.checkout and job.clock == "simulated":
        sys.meta_path.insert(0, Elsewhere(job.variant.checkout))
        for name in [n for n in sys.modules if n.startswith(PACKAGE) and n.split(".")[2] in MODULE]:
            del sys.modules[name]
    scenario = stated(job.scenario, job.variant, job.size)
    if job.clock == "sockets":
        from .loopback import run

        world, figures = run(scenario, job.seed, text=job.variant.checkout or None)
    else:
        from .emulate import run
        from .plant import SimPlant

        if job.variant.baseline:
            from .baselines import BASELINES

            SimPlant.module = BASELINES[job.variant.baseline]
        world, figures = run(scenario, job.seed)
    return results.row(scenario, world, figures, job.clock, job.seed, job.variant.name, revision(job))


def revision(job):
    """The commit that was run, where the folder is a checkout."""
    said = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=job.variant.checkout or Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    return said.stdout.strip() or None


def run(plan, out, cores=0, progress=lambda part: None):
    """Make all runs that the file lacks; how many failed, or broke a rule and were no baseline."""
    before = results.read(out) if Path(out).exists() else []
    done = {(r["digest"], r["clock"], r["seed"], r["variant"]) for r in before if "load" not in r}
    jobs = [job for job in plan.jobs if job.key() not in done]
    # Real time needs the cores for one run's gateways and clients.
    most = 1 if any(job.clock == "sockets" for job in jobs) else cores or os.cpu_count() or 1
    broken = 0
    with ProcessPoolExecutor(most, multiprocessing.get_context("spawn"), max_tasks_per_child=1) as pool:
        waiting = {pool.submit(one, job): job for job in jobs}
        for number, future in enumerate(as_completed(waiting), 1):
            job = waiting[future]
            try:
                row = future.result()
            except Exception as trouble:  # one run that fails must not take the others with it
                broken += 1
                what = f"{type(trouble).__name__}: {trouble}"
                print(f"{job.scenario}, seed {job.seed}, {job.variant.name}: {what}", file=sys.stderr)
                continue
            broken += bool(row["figures"]["rules_broken"]) and not job.variant.baseline
            if row["figures"].get("void"):
                print(
                    f"{row['scenario']}, seed {job.seed}, {job.variant.name}: void and left out: "
                    f"{row['figures']['void']}",
                    file=sys.stderr,
                )
            else:
                results.write(out, [row])
            progress(number / len(jobs))
    return broken


# What they came to.


def grouped(rows):
    """By scenario: by variant: by seed, the figures."""
    made = defaultdict(lambda: defaultdict(dict))
    for row in rows:
        if "load" in row:
            continue
        made[f"{row['scenario']}, {row['size'][0]}x{row['size'][1]}, {row['clock']}"][row["variant"]][
            row["seed"]
        ] = row["figures"]
    return made


def table(path):
    lines = [
        f"{'':44} {'runs':>4} {'served':>7} {'net':>7} {'worst':>6} {'beyond':>7} {'refused':>7} {'rules'}"
    ]
    for scene, variants in grouped(results.read(path)).items():
        lines.append(scene)
        for variant, seeds in variants.items():
            figures = list(seeds.values())

            def mean(name, figures=figures):
                return sum(f[name] for f in figures) / len(figures)

            broken = sum(bool(f["rules_broken"]) for f in figures)
            lines.append(
                f"  {variant:42} {len(figures):4} {mean('served'):7.3f} {mean('net'):7.3f} "
                f"{mean('worst_plan'):6.3f} {mean('beyond_share'):7.1%} {mean('refused_share'):7.1%} "
                f"{'kept' if not broken else f'broken in {broken}'}"
            )
    return "\n".join(lines)


def interval(differences):
    """(mean, lowest, highest) of paired differences; no interval from fewer than two."""
    mean = sum(differences) / len(differences)
    if len(set(differences)) < 2:
        return mean, mean, mean
    from scipy.stats import bootstrap  # takes a second to load, which each run would pay

    got = bootstrap(
        (numpy.array(differences),),
        numpy.mean,
        confidence_level=LEVEL,
        n_resamples=RESAMPLES,
        method="percentile" if len(differences) < 10 else "BCa",
        random_state=numpy.random.default_rng(1),
    ).confidence_interval
    return mean, float(got.low), float(got.high)


def comparison(path, base=None, names=("net", "served", "worst_plan")):
    """Paired differences from one variant, as text; without one from the text as it is, or the first."""
    lines = []
    for scene, variants in grouped(results.read(path)).items():
        against = base or (PLAIN if PLAIN in variants else next(iter(variants)))
        if against not in variants:
            lines.append(f"{scene}: no variant {against!r}; there are {', '.join(variants)}")
            continue
        lines.append(f"{scene}, against {against!r}")
        for variant, seeds in variants.items():
            shared = sorted(seeds.keys() & variants[against].keys())
            if variant == against or not shared:
                continue
            for name in names:
                try:
                    pairs = [seeds[s][name] - variants[against][s][name] for s in shared]
                except (KeyError, TypeError):
                    lines.append(f"  {variant}: no figure {name!r}")
                    continue
                mean, low, high = interval(pairs)
                sure = "" if len(pairs) > 2 else "  (too few pairs to say)"
                lines.append(
                    f"  {variant:30} {name:12} {mean:+.4f}  [{low:+.4f}, {high:+.4f}]  "
                    f"{len(pairs)} pairs{sure}"
                )
    return "\n".join(lines)
