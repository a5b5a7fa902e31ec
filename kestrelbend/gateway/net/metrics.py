"""The gateway's counters, which are logged on request and at exit, and its descriptor limits.

Operators rely on the counters' names: they do not change.
"""

from __future__ import annotations

import logging
import os
import sys
from collections import Counter

log = logging.getLogger(__name__)

counters: Counter[str] = Counter()
"""The counters of the process, by the names under which they are logged."""


class DescriptorLimits:
    """Divides the process's file descriptors between client connections and all other uses.

    Client connections may use at most one half, plus one sixteenth for half-closed ones. Three eighths are
    reserved for all other uses, which may also take any free descriptor except the last eighth.

    `max_descriptors`: how many the process may open; SIGHUP changes it. `client_connections`: how many are
    open. `half_closed_clients`: how many of those are half-closed.
    """

    def __init__(self, max_descriptors: int) -> None:
        self.max_descriptors = max_descriptors
        self.client_connections = 0
        self.half_closed_clients = 0

    @staticmethod
    def open_descriptors() -> int:
        """How many descriptors are open; `sys.maxsize` if none is left to list them with."""
        try:
            return len(os.listdir("/proc/self/fd"))
        except OSError:
            return sys.maxsize

    def has_room_for_client(self, pending: int = 0) -> bool:
        """Whether one more client may be accepted, besides `pending` others."""
        return (
            self.excess_clients(pending) < 0
            and self.client_connections + pending < self.max_descriptors * 9 // 16
            and self.open_descriptors() + pending < self.max_descriptors * 15 // 16
        )

    def excess_clients(self, pending: int = 0) -> int:
        """How many clients exceed their half; if negative, how many more fit."""
        return self.client_connections - self.half_closed_clients + pending - self.max_descriptors // 2

    def has_room_for_other(self, pending: int) -> bool:
        """Whether one more connection to another process may be opened, besides `pending` others."""
        expected = self.open_descriptors() + pending
        return (
            expected < self.max_descriptors * 7 // 8
            or expected - self.client_connections < self.max_descriptors * 3 // 8
        )


def check_invariant(holds: bool, name: str) -> bool:
    """Check an invariant, and return `holds`; a violation raises in debug mode and is counted under -O."""
    if not holds:
        counters["broken_" + name] += 1
        if __debug__:
            raise AssertionError(name)
        if counters["broken_" + name] == 1:
            log.error("must hold, did not", extra={"what": name})
    return holds


def log_counters() -> None:
    """Log all counters, sorted by name."""
    log.info("counters", extra=dict(sorted(counters.items())))
