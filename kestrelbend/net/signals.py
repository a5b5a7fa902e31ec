"""Signals that come while the program is still being loaded: by default they would end it, and what the
accept queue holds would be lost."""

from __future__ import annotations

import signal
import time


class Early:
    """Notes SIGTERM, SIGINT and SIGHUP until the gateway handles them itself."""

    def __init__(self):
        self.began = time.monotonic_ns()
        self.stopped = self.replaced = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.stop)
        signal.signal(signal.SIGHUP, self.replace)

    def stop(self, *_):
        self.stopped = True

    def replace(self, *_):
        self.replaced = True
