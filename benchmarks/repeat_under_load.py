"""Runs tests again and again beside busy processes, to find those that ask the clock of the machine.

python benchmarks/repeat_under_load.py --busy 8 --times 20 tests/test_crossings.py tests/test_lab_sockets.py

Each run keeps its own failures in `target/repeat/RUN/failures.txt`; at the end every failed test is printed
with how often it failed.  The busy processes end with this one.
"""

from __future__ import annotations

import argparse
import collections
import multiprocessing
import os
import re
import subprocess
import sys
from pathlib import Path

FAILED_TEST = re.compile(r"^(tests/\S.*) \((?:call|setup|teardown|\?\?\?)\)$", re.MULTILINE)
FOLDER = Path("target/repeat")


def keep_busy() -> None:
    """Takes a core until it is ended."""
    while True:
        pass


def failed_tests(log: Path) -> list[str]:
    """The tests that a run's failure log names."""
    return FAILED_TEST.findall(log.read_text()) if log.exists() else []


def run_once(number: int, options: list[str]) -> list[str]:
    """One run of the tests; those that failed."""
    folder = FOLDER / str(number)
    environment = {**os.environ, "KESTRELBEND_TEST_LOG": str(folder.absolute())}
    command = [sys.executable, "-m", "pytest", "-q", *options]
    ran = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
    failed = failed_tests(folder / "failures.txt")
    last = ran.stdout.strip().splitlines()[-1:] or [f"exit {ran.returncode}"]
    print(f"{number}: {last[0]} (load {os.getloadavg()[0]:.0f})", flush=True)
    return failed if failed or ran.returncode == 0 else [f"exit {ran.returncode}"]


def main() -> None:
    """Reads the command line; exits with 1 where a test failed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--busy", type=int, default=8)
    parser.add_argument("--times", type=int, default=20)
    given, options = parser.parse_known_args()
    busy = [multiprocessing.Process(target=keep_busy, daemon=True) for _ in range(given.busy)]
    for process in busy:
        process.start()
    counts: collections.Counter[str] = collections.Counter()
    for number in range(given.times):
        counts.update(run_once(number, options))
    for test, count in counts.most_common():
        print(f"failed {count} of {given.times}: {test}")
    sys.exit(1 if counts else 0)


if __name__ == "__main__":
    main()
