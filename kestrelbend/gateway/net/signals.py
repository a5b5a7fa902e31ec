"""Records signals that arrive while the program is still being imported.

Their default action would end the process and drop the connections that the accept queue holds. This module
is imported before any slow import, so it must import only what loads quickly.
"""

from __future__ import annotations

import signal
import time
from types import FrameType


class EarlySignals:
    """Records SIGTERM and SIGINT (`stop_requested`) and SIGHUP (`reload_requested`) until the gateway runs.

    `started_at`: when the process started, in monotonic nanoseconds.
    """

    def __init__(self) -> None:
        self.started_at = time.monotonic_ns()
        self.stop_requested = False
        self.reload_requested = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, _number: int, _frame: FrameType | None) -> None:
        self.stop_requested = True

    def _reload(self, _number: int, _frame: FrameType | None) -> None:
        self.reload_requested = True
