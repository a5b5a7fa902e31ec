"""Counters of what the gateway took in, sent and answered; printed on request and at exit.

The counters' names are part of what operators see: they do not change.
"""

from __future__ import annotations

import logging
import os
import sys
from collections import Counter

log = logging.getLogger(__name__)

counters: Counter[str] = Counter()
"""The process's counters by their printed names."""


class DescriptorLimits:
    """Who may hold how many of the process's descriptors.

    Half are for clients at most, and a sixteenth for those of them that are half closed; three eighths are
    always there for the rest, which takes besides what is free, but for the last eighth.

    `most`: descriptors that the process may hold; SIGHUP changes it. `clients`: connections of clients.
    `ending`: those of them that are half closed.
    """

    def __init__(self, max_descriptors: int) -> None:
        self.max_descriptors = max_descriptors
        self.client_connections = 0
        self.half_closed_clients = 0

    @staticmethod
    def open_descriptors() -> int:
        """How many descriptors are open; as many as can be, where none is left to look with."""
        try:
            return len(os.listdir("/proc/self/fd"))
        except OSError:
            return sys.maxsize

    def has_room_for_client(self, pending: int = 0) -> bool:
        """Whether one more client may be accepted after `pending` others."""
        return (
            self.excess_clients(pending) < 0
            and self.client_connections + pending < self.max_descriptors * 9 // 16
            and self.open_descriptors() + pending < self.max_descriptors * 15 // 16
        )

    def excess_clients(self, pending: int = 0) -> int:
        """Clients beyond their half; negative: how many more there may be."""
        return self.client_connections - self.half_closed_clients + pending - self.max_descriptors // 2

    def has_room_for_other(self, pending: int) -> bool:
        """Whether one more connection that is no client's may be made after `pending` others."""
        open_now = self.open_descriptors() + pending
        return (
            open_now < self.max_descriptors * 7 // 8
            or open_now - self.client_connections < self.max_descriptors * 3 // 8
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
    """Log all counters, in the order of their names."""
    log.info("counters", extra=dict(sorted(counters.items())))
