"""Counters of what the gateway took in, sent and answered; printed on request and at exit."""

from __future__ import annotations

import logging
import os
import sys
from collections import Counter

log = logging.getLogger(__name__)
counters = Counter()


class Sockets:
    """Who may hold how many of the process's descriptors.  Half are for clients at most, and a sixteenth for
    those of them that are half closed; three eighths are always there for the rest, which takes besides what
    is free, but for the last eighth."""

    def __init__(self, most):
        self.most, self.clients, self.ending = most, 0, 0  # ending: of the clients, those half closed

    @staticmethod
    def held():
        """As many as can be, where none is left to look with."""
        try:
            return len(os.listdir("/proc/self/fd"))
        except OSError:
            return sys.maxsize

    def room_for_client(self, coming=0):
        return (
            self.too_many(coming) < 0
            and self.clients + coming < self.most * 9 // 16
            and self.held() + coming < self.most * 15 // 16
        )

    def too_many(self, coming=0):
        """Clients beyond their half."""
        return self.clients - self.ending + coming - self.most // 2

    def room_beside_clients(self, coming):
        held = self.held() + coming
        return held < self.most * 7 // 8 or held - self.clients < self.most * 3 // 8


def must(held, what):
    """What must hold: asserted in debug, counted under -O."""
    if not held:
        counters["broken_" + what] += 1
        if __debug__:
            raise AssertionError(what)
        if counters["broken_" + what] == 1:
            log.error("must hold, did not", extra={"what": what})
    return held


def report():
    log.info("counters", extra=dict(sorted(counters.items())))
