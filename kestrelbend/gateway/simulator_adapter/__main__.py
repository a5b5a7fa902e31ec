"""The adapter as a program: the simulator's wire on standard input and output."""

from __future__ import annotations

import sys

from .errors import MalformedLine
from .host import serve

USAGE = (
    "usage: python -m kestrelbend.gateway.simulator_adapter   (speaks the wire on standard input and output)"
)


def main() -> None:
    """Serve until standard input ends; a malformed line or a lost reader ends it with a plain message."""
    if len(sys.argv) > 1:
        sys.exit(USAGE)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLine as error:
        sys.exit(f"benchlink: {error}")
    except BrokenPipeError:
        sys.exit("benchlink: the reader of the replies went away")


if __name__ == "__main__":
    main()
