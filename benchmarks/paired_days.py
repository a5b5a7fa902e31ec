"""A score that can be compared: the same days with the same seeds, played on two checkouts in turn.

python benchmarks/paired_days.py --bench FLEETBENCH --site SITE --before DIR --after DIR \\
    --day trouble-1:7301 --day scale-2:7312 --out pairs.jsonl

Each pair is one day with one seed, played once on either checkout, one right after the other; which one goes
first alternates.  No more than a quarter of the cores are busy with plays (`--jobs`).  Printed are each pair,
the mean of the differences (after minus before) with its interval, processor time and the machine's load
beside each play.  A change counts as a gain or a fall only where the interval leaves zero out.

`--out` keeps each play in a line of JSON; plays that it holds already are not repeated, so a run that was
ended goes on where it was.  `--read FILE` prints what such a file holds and plays nothing.
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

TEXTS = ("before", "after")
SCORE_LINE = re.compile(
    r"^(?P<day>\S+) +\d+/\d+ +(?P<score>[\d.]+) +(?P<worth>[\d.]+)"
    r" +(?P<served>[\d.]+) +\S+ +(?P<failed>[\d.]+)",
    re.MULTILINE,
)
TIME_LINE = re.compile(r"to play it took (?P<wall>[\d.]+) s: .*?(?P<own>[\d.]+) s in the processes' own code")


class UnreadablePlay(Exception):
    """The bench's output names no score; holds the end of that output."""


@dataclass(frozen=True)
class PlayedDay:
    """One play.  Times in seconds; `load` is the mean number of processes that were ready to run."""

    site: str
    day: str
    seed: int
    text: str  # one of TEXTS
    score: float
    worth: float
    served: float
    failed: float
    own_code_s: float
    wall_s: float
    load: float

    @property
    def key(self) -> tuple[str, str, int, str]:
        """What tells a play from all others."""
        return self.site, self.day, self.seed, self.text


@dataclass(frozen=True)
class Comparison:
    """Where both texts are, and the bench that plays them."""

    bench: Path
    site: Path
    checkouts: dict[str, Path]
    out: Path | None


def play(comparison: Comparison, day: str, seed: int, text: str) -> PlayedDay:
    """Plays a day on one text; raises `UnreadablePlay` where the bench gives no score."""
    load_before = os.getloadavg()[0]
    command = [str(comparison.bench), "run", str(comparison.site), day, "--seed", str(seed), "--jobs", "1"]
    command += ["--why", f"paired days: {day} with seed {seed}, the text {text}"]
    done = subprocess.run(
        command, cwd=comparison.checkouts[text], capture_output=True, text=True, check=False
    )
    said = done.stdout + done.stderr
    score = SCORE_LINE.search(said)
    took = TIME_LINE.search(said)
    if score is None or took is None:
        raise UnreadablePlay(f"{day} {seed} {text}: {said[-1500:]}")
    return PlayedDay(
        site=comparison.site.stem,
        day=day,
        seed=seed,
        text=text,
        score=float(score["score"]),
        worth=float(score["worth"]),
        served=float(score["served"]),
        failed=float(score["failed"]),
        own_code_s=float(took["own"]),
        wall_s=float(took["wall"]),
        load=round((load_before + os.getloadavg()[0]) / 2, 1),
    )


class Journal:
    """The plays so far, in memory and in the file `--out`."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._lock = threading.Lock()
        self.plays: dict[tuple[str, str, int, str], PlayedDay] = {}
        if path is not None and path.exists():
            for line in path.read_text().splitlines():
                try:
                    played = PlayedDay(**json.loads(line))
                except (ValueError, TypeError):
                    continue  # cut off by a kill: it is played again
                self.plays[played.key] = played

    def add(self, played: PlayedDay) -> None:
        """Keeps a play; called by several threads."""
        with self._lock:
            self.plays[played.key] = played
            if self._path is not None:
                append_lines(self._path, [json.dumps(asdict(played)).encode()])
            print(f"{played.site} {played.day} {played.seed} {played.text}: {played.score:.2f}", flush=True)


def play_pair(comparison: Comparison, journal: Journal, number: int, day: str, seed: int) -> None:
    """Both plays of a pair, one after the other; odd pairs begin with the text after."""
    for text in TEXTS if number % 2 == 0 else reversed(TEXTS):
        if (comparison.site.stem, day, seed, text) in journal.plays:
            continue
        try:
            journal.add(play(comparison, day, seed, text))
        except UnreadablePlay as unreadable:
            print(f"not played: {unreadable}", file=sys.stderr, flush=True)


def pairs_of(plays: Iterable[PlayedDay]) -> list[tuple[PlayedDay, PlayedDay]]:
    """(before, after) of each day and seed that both texts have played."""
    by_key = {played.key: played for played in plays}
    pairs = []
    for key, before in sorted(by_key.items()):
        after = by_key.get((*key[:3], "after"))
        if key[3] == "before" and after is not None:
            pairs.append((before, after))
    return pairs


def report(plays: Iterable[PlayedDay]) -> str:
    """The table of pairs and, for each figure, the mean difference with its 95% interval."""
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


def day_and_seed(text: str) -> tuple[str, int]:
    """Reads `DAY:SEED`; argparse reports what cannot be read."""
    day, _, seed = text.partition(":")
    if not day or not seed.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r} is not DAY:SEED, such as trouble-1:7301")
    return day, int(seed)


def arguments(argv: Sequence[str]) -> argparse.Namespace:
    """The command line; ends with a message where it is incomplete."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--bench", type=Path, help="the users' fleetbench")
    parser.add_argument("--site", type=Path)
    parser.add_argument("--before", type=Path, help="a checkout")
    parser.add_argument("--after", type=Path, help="another checkout")
    parser.add_argument("--day", type=day_and_seed, action="append", default=[], metavar="DAY:SEED")
    parser.add_argument("--out", type=Path, help="keeps each play, a line of JSON")
    parser.add_argument("--read", type=Path, help="print what such a file holds")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 1) // 4))
    given = parser.parse_args(argv)
    needed = [given.bench, given.site, given.before, given.after, given.day]
    if given.read is None and not all(needed):
        parser.error("--bench, --site, --before, --after and a --day are needed, or --read FILE")
    return given


def main(argv: Sequence[str]) -> None:
    """Plays what is missing and prints the report."""
    given = arguments(argv)
    if given.read is not None:
        print(report(Journal(given.read).plays.values()))
        return
    checkouts = {"before": given.before.resolve(), "after": given.after.resolve()}
    comparison = Comparison(given.bench.resolve(), given.site.resolve(), checkouts, given.out)
    journal = Journal(given.out)
    with ThreadPoolExecutor(given.jobs) as pool:
        running = [
            pool.submit(play_pair, comparison, journal, number, day, seed)
            for number, (day, seed) in enumerate(given.day)
        ]
        for pair in running:
            pair.result()
    print(report(played for played in journal.plays.values() if played.site == given.site.stem))


if __name__ == "__main__":
    main(sys.argv[1:])
