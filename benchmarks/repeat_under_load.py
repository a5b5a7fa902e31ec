"""Runs tests repeatedly beside busy processes, to find tests that depend on the clock of the machine.

python benchmarks/repeat_under_load.py --busy 8 --times 20 \
    tests/test_gateway_races.py tests/test_lab_sockets.py

Each run writes its failures to `target/repeat/RUN/failures.txt`.  At the end every failed test is printed
with the number of its failures.  The busy processes end with this process.
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
OUTPUT_DIRECTORY = Path("target/repeat")


def use_cpu() -> None:
    """Uses a core until the process is killed."""
    while True:
        pass


def failed_tests(log: Path) -> list[str]:
    """Returns the tests named in the failure log of a run."""
    return FAILED_TEST.findall(log.read_text()) if log.exists() else []


def run_once(number: int, options: list[str]) -> list[str]:
    """Runs the tests once and returns those that failed."""
    directory = OUTPUT_DIRECTORY / str(number)
    environment = {**os.environ, "KESTRELBEND_TEST_LOG": str(directory.absolute())}
    command = [sys.executable, "-m", "pytest", "-q", *options]
    completed = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
    failed = failed_tests(directory / "failures.txt")
    last_line = completed.stdout.strip().splitlines()[-1:] or [f"exit {completed.returncode}"]
    print(f"{number}: {last_line[0]} (load {os.getloadavg()[0]:.0f})", flush=True)
    return failed if failed or completed.returncode == 0 else [f"exit {completed.returncode}"]


def main() -> None:
    """Runs the command; exits with 1 if a test failed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--busy", type=int, default=8)
    parser.add_argument("--times", type=int, default=20)
    arguments, options = parser.parse_known_args()
    busy = [multiprocessing.Process(target=use_cpu, daemon=True) for _ in range(arguments.busy)]
    for process in busy:
        process.start()
    counts: collections.Counter[str] = collections.Counter()
    for number in range(arguments.times):
        counts.update(run_once(number, options))
    for test, count in counts.most_common():
        print(f"failed {count} of {arguments.times}: {test}")
    sys.exit(1 if counts else 0)


if __name__ == "__main__":
    main()
