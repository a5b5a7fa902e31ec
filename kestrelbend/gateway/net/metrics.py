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

    def __init__(self, most: int) -> None:
        self.most = most
        self.clients = 0
        self.ending = 0

    @staticmethod
    def held() -> int:
        """How many descriptors are open; as many as can be, where none is left to look with."""
        try:
            return len(os.listdir("/proc/self/fd"))
        except OSError:
            return sys.maxsize

    def room_for_client(self, coming: int = 0) -> bool:
        """Whether one more client may be accepted after `coming` others."""
        return (
            self.too_many(coming) < 0
            and self.clients + coming < self.most * 9 // 16
            and self.held() + coming < self.most * 15 // 16
        )

    def too_many(self, coming: int = 0) -> int:
        """Clients beyond their half; negative: how many more there may be."""
        return self.clients - self.ending + coming - self.most // 2

    def room_beside_clients(self, coming: int) -> bool:
        """Whether one more connection that is no client's may be made after `coming` others."""
        held = self.held() + coming
        return held < self.most * 7 // 8 or held - self.clients < self.most * 3 // 8


def must(held: bool, what: str) -> bool:
    """What must hold, by the name of its counter: asserted in debug, counted under -O; returns `held`."""
    if not held:
        counters["broken_" + what] += 1
        if __debug__:
            raise AssertionError(what)
        if counters["broken_" + what] == 1:
            log.error("must hold, did not", extra={"what": what})
    return held


def report() -> None:
    """Log all counters, in the order of their names."""
    log.info("counters", extra=dict(sorted(counters.items())))
