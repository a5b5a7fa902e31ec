"""Tests reading the bench's output, pairing plays, and resuming after a kill."""

import stat
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks import paired_days
from benchmarks.paired_days import PlayedDay

BENCH = """#!{python}
import sys
open("why", "w").write(sys.argv[sys.argv.index("--why") + 1])
score = {{"before": 0.5, "after": 0.75}}[open("text").read()]
print("trouble-1            13/21   %.2f  0.820  0.976   0.000  0.010  worst windows 0.73" % score)
print("to play it took 130.0 s: 7.8 s for the world, 112.8 s in the processes' own code, 9.3 s in the kernel")
"""
PLAYED = PlayedDay("site", "trouble-1", 7, "before", 0.5, 0.8, 0.97, 0.01, 100.0, 120.0, 2.0)


@pytest.fixture
def comparison(tmp_path):
    """A comparison with a bench that scores each checkout by a file in its directory."""
    bench = tmp_path / "bench"
    bench.write_text(BENCH.format(python=sys.executable))
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    for checkout in paired_days.CHECKOUTS:
        (tmp_path / checkout).mkdir()
        (tmp_path / checkout / "text").write_text(checkout)
    checkouts = {checkout: tmp_path / checkout for checkout in paired_days.CHECKOUTS}
    return paired_days.Comparison(bench, Path("site.toml"), checkouts, tmp_path / "pairs.jsonl")


def test_a_pair_is_played_on_both_checkouts_and_read_from_the_benchs_output(comparison):
    journal = paired_days.Journal(comparison.out)
    paired_days.play_pair(comparison, journal, 1, "trouble-1", 7)
    first, second = journal.plays.values()
    # Pairs with an odd number start with the checkout "after".
    assert (first.text, first.score, second.text, second.score) == ("after", 0.75, "before", 0.5)
    why = (comparison.checkouts["after"] / "why").read_text()
    assert why == "paired days: trouble-1 with seed 7, the text after"
    assert (first.worth, first.served, first.failed, first.own_code_s) == (0.82, 0.976, 0.01, 112.8)


def test_plays_in_the_file_are_not_repeated(comparison):
    paired_days.play_pair(comparison, paired_days.Journal(comparison.out), 0, "trouble-1", 7)
    stored = comparison.out.read_text()
    paired_days.play_pair(comparison, paired_days.Journal(comparison.out), 0, "trouble-1", 7)
    assert comparison.out.read_text() == stored and len(stored.splitlines()) == 2
    comparison.out.write_text(stored[:-40])  # a run was killed while it wrote the last line
    paired_days.play_pair(comparison, paired_days.Journal(comparison.out), 0, "trouble-1", 7)
    assert len(paired_days.Journal(comparison.out).plays) == 2


def test_a_play_without_a_score_is_reported_and_not_stored(comparison, capsys):
    comparison.bench.write_text(f"#!{sys.executable}\nprint('given up')\n")
    journal = paired_days.Journal(comparison.out)
    paired_days.play_pair(comparison, journal, 0, "trouble-1", 7)
    assert "not played: trouble-1 7 before: given up" in capsys.readouterr().err and not journal.plays


def test_a_difference_counts_only_if_its_interval_excludes_zero():
    def plays(*differences):
        for seed, difference in enumerate(differences):
            yield replace(PLAYED, seed=seed)
            yield replace(PLAYED, seed=seed, text="after", score=0.5 + difference)

    assert "score: mean difference +0.100" in paired_days.report(plays(0.1, 0.12, 0.08, 0.1))
    assert "pairs: differs" in paired_days.report(plays(0.1, 0.12, 0.08, 0.1)).split("worth:")[0]
    assert "not shown to differ" in paired_days.report(plays(0.1, -0.12, 0.08, -0.1)).split("worth:")[0]
    unpaired = [replace(PLAYED, seed=9)]
    assert "| 9 |" not in paired_days.report(unpaired)
