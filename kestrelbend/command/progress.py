"""How far a run has come: a bar on a terminal, nothing where the output goes to a file."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cleo.io.io import IO
from cleo.ui.progress_bar import ProgressBar

STEPS = 1000


@contextmanager
def progress(io: IO, name: str) -> Iterator[Callable[[float], None]]:
    """A function that takes the part done, 0 to 1."""
    if not sys.stderr.isatty():
        yield lambda part: None
        return
    bar = ProgressBar(io, STEPS)
    bar.set_format(f"{name} [%bar%] %percent%%")
    bar.start()
    yield lambda part: bar.set_progress(int(STEPS * part))
    bar.finish()
    io.write_error_line("")
