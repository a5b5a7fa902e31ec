"""Entry point of the simulator adapter, which speaks the line protocol on standard input and output."""

from __future__ import annotations

import sys

from .errors import MalformedLine
from .host import serve

USAGE = (
    "usage: python -m kestrelbend.gateway.simulator_adapter   (line protocol on standard input and output)"
)


def main() -> None:
    """Serve until standard input ends; exit with a message on a malformed line or a closed output."""
    if len(sys.argv) > 1:
        sys.exit(USAGE)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLine as error:
        sys.exit(f"benchlink: {error}")
    except BrokenPipeError:
        sys.exit("benchlink: the simulator closed the adapter's output")


if __name__ == "__main__":
    main()
