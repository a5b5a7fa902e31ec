"""Compares the scores of two checkouts: plays the same days with the same seeds on both, in turn.

python benchmarks/paired_days.py --bench FLEETBENCH --site SITE --before DIR --after DIR \\
    --day trouble-1:7301 --day scale-2:7312 --out pairs.jsonl

A pair is one day with one seed, played once on each checkout, one play right after the other.  The checkout
that goes first alternates between pairs.  By default plays use at most a quarter of the cores (`--jobs`).
The report lists each pair with the processor time and the load of the machine during each play, and the mean
difference (after minus before) with its confidence interval.  A change counts as a gain or a loss only if
the interval excludes zero.

`--out` appends each play to a file as a line of JSON.  Plays that the file already holds are not repeated, so
an interrupted run can be resumed.  `--read FILE` prints the report of such a file and plays nothing.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import subprocess
import sys
import threading
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from kestrelbend.json_lines import append_lines  # noqa: E402
from kestrelbend.lab.experiment import interval  # noqa: E402

CHECKOUTS = ("before", "after")
SCORE_LINE = re.compile(
    r"^(?P<day>\S+) +\d+/\d+ +(?P<score>[\d.]+) +(?P<worth>[\d.]+)"
    r" +(?P<served>[\d.]+) +\S+ +(?P<failed>[\d.]+)",
    re.MULTILINE,
)
TIME_LINE = re.compile(r"to play it took (?P<wall>[\d.]+) s: .*?(?P<own>[\d.]+) s in the processes' own code")


class UnreadableOutputError(Exception):
    """The output of the bench contains no score; the message holds the end of that output."""


@dataclass(frozen=True)
class PlayedDay:
    """The result of a play.  Times are in seconds; `load` is the mean load average around the play."""

    site: str
    day: str
    seed: int
    text: str  # the checkout, one of CHECKOUTS; named so in the file of `--out`
    score: float
    worth: float
    served: float
    failed: float
    own_code_s: float
    wall_s: float
    load: float

    @property
    def key(self) -> tuple[str, str, int, str]:
        """Identifies a play."""
        return self.site, self.day, self.seed, self.text


@dataclass(frozen=True)
class Comparison:
    """The bench, the site, the directories of both checkouts, and the file for the results."""

    bench: Path
    site: Path
    checkouts: dict[str, Path]
    out: Path | None


def play(comparison: Comparison, day: str, seed: int, checkout: str) -> PlayedDay:
    """Plays a day on one checkout; raises `UnreadableOutputError` if the bench prints no score."""
    load_before = os.getloadavg()[0]
    command = [str(comparison.bench), "run", str(comparison.site), day, "--seed", str(seed), "--jobs", "1"]
    command += ["--why", f"paired days: {day} with seed {seed}, the text {checkout}"]
    completed = subprocess.run(
        command, cwd=comparison.checkouts[checkout], capture_output=True, text=True, check=False
    )
    output = completed.stdout + completed.stderr
    score = SCORE_LINE.search(output)
    duration = TIME_LINE.search(output)
    if score is None or duration is None:
        raise UnreadableOutputError(f"{day} {seed} {checkout}: {output[-1500:]}")
    return PlayedDay(
        site=comparison.site.stem,
        day=day,
        seed=seed,
        text=checkout,
        score=float(score["score"]),
        worth=float(score["worth"]),
        served=float(score["served"]),
        failed=float(score["failed"]),
        own_code_s=float(duration["own"]),
        wall_s=float(duration["wall"]),
        load=round((load_before + os.getloadavg()[0]) / 2, 1),
    )


class Journal:
    """Holds all plays so far, in memory and in the file of `--out`."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._lock = threading.Lock()
        self.plays: dict[tuple[str, str, int, str], PlayedDay] = {}
        if path is not None and path.exists():
            for line in path.read_text().splitlines():
                try:
                    played = PlayedDay(**json.loads(line))
                except (ValueError, TypeError):
                    continue  # truncated when a run was killed; the play is repeated
                self.plays[played.key] = played

    def add(self, played: PlayedDay) -> None:
        """Stores a play and prints it; safe to call from several threads."""
        with self._lock:
            self.plays[played.key] = played
            if self._path is not None:
                append_lines(self._path, [json.dumps(asdict(played)).encode()])
            print(f"{played.site} {played.day} {played.seed} {played.text}: {played.score:.2f}", flush=True)


def play_pair(comparison: Comparison, journal: Journal, number: int, day: str, seed: int) -> None:
    """Runs both plays of a pair one after the other; pairs with an odd number start with checkout "after"."""
    for checkout in CHECKOUTS if number % 2 == 0 else reversed(CHECKOUTS):
        if (comparison.site.stem, day, seed, checkout) in journal.plays:
            continue
        try:
            journal.add(play(comparison, day, seed, checkout))
        except UnreadableOutputError as error:
            print(f"not played: {error}", file=sys.stderr, flush=True)


def pairs_of(plays: Iterable[PlayedDay]) -> list[tuple[PlayedDay, PlayedDay]]:
    """Returns (before, after) for each day and seed that was played on both checkouts."""
    by_key = {played.key: played for played in plays}
    pairs = []
    for key, before in sorted(by_key.items()):
        after = by_key.get((*key[:3], "after"))
        if key[3] == "before" and after is not None:
            pairs.append((before, after))
    return pairs


def report(plays: Iterable[PlayedDay]) -> str:
    """Returns the table of pairs and, for each measure, the mean difference with its 95% interval."""
    pairs = pairs_of(plays)
    lines = [
        "| site | day | seed | score | worth | own code, s | load |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for before, after in pairs:
        lines.append(
            f"| {before.site} | {before.day} | {before.seed} | {before.score:.2f} / {after.score:.2f} "
            f"| {before.worth:.3f} / {after.worth:.3f} | {before.own_code_s:.1f} / {after.own_code_s:.1f} "
            f"| {before.load} / {after.load} |"
        )
    for name in ("score", "worth", "own_code_s"):
        differences = [getattr(after, name) - getattr(before, name) for before, after in pairs]
        if len(differences) > 1:
            mean, low, high = interval(differences)
            verdict = "not shown to differ" if low <= 0 <= high else "differs"
            lines.append(
                f"{name}: mean difference {mean:+.3f} (95%: {low:+.3f} to {high:+.3f}) "
                f"over {len(differences)} pairs: {verdict}"
            )
    return "\n".join(lines)


def parse_day_and_seed(text: str) -> tuple[str, int]:
    """Parses `DAY:SEED`; argparse reports an invalid value."""
    day, _, seed = text.partition(":")
    if not day or not seed.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r} is not DAY:SEED, such as trouble-1:7301")
    return day, int(seed)


def parse_arguments(argv: Sequence[str]) -> argparse.Namespace:
    """Parses the command line; exits with a message if an option is missing."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--bench", type=Path, help="the fleetbench program of the users")
    parser.add_argument("--site", type=Path)
    parser.add_argument("--before", type=Path, help="the directory of one checkout")
    parser.add_argument("--after", type=Path, help="the directory of the other checkout")
    parser.add_argument("--day", type=parse_day_and_seed, action="append", default=[], metavar="DAY:SEED")
    parser.add_argument("--out", type=Path, help="append each play to this file as a line of JSON")
    parser.add_argument("--read", type=Path, help="print the report of such a file")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 1) // 4))
    options = parser.parse_args(argv)
    required = [options.bench, options.site, options.before, options.after, options.day]
    if options.read is None and not all(required):
        parser.error("either --read FILE or all of --bench, --site, --before, --after and --day are required")
    return options


def main(argv: Sequence[str]) -> None:
    """Plays the days that the file does not hold yet and prints the report."""
    options = parse_arguments(argv)
    if options.read is not None:
        print(report(Journal(options.read).plays.values()))
        return
    checkouts = {"before": options.before.resolve(), "after": options.after.resolve()}
    comparison = Comparison(options.bench.resolve(), options.site.resolve(), checkouts, options.out)
    journal = Journal(options.out)
    with ThreadPoolExecutor(options.jobs) as pool:
        running = [
            pool.submit(play_pair, comparison, journal, number, day, seed)
            for number, (day, seed) in enumerate(options.day)
        ]
        for pair in running:
            pair.result()
    print(report(played for played in journal.plays.values() if played.site == options.site.stem))


if __name__ == "__main__":
    main(sys.argv[1:])
