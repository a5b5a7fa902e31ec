"""Signals that come while the program is still being loaded.

By default they would end it, and what the accept queue holds would be lost. This module is imported before
anything that takes time: it imports nothing else.
"""

from __future__ import annotations

import signal
import time
from types import FrameType


class EarlySignals:
    """Notes SIGTERM, SIGINT (`stopped`) and SIGHUP (`replaced`) until the gateway handles them itself.

    `began`: when the program began, in monotonic nanoseconds.
    """

    def __init__(self) -> None:
        self.began = time.monotonic_ns()
        self.stopped = False
        self.replaced = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, self._replace)

    def _stop(self, _number: int, _frame: FrameType | None) -> None:
        self.stopped = True

    def _replace(self, _number: int, _frame: FrameType | None) -> None:
        self.replaced = True
