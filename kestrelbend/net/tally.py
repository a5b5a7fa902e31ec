"""Counters of what the gateway took in, sent and answered; printed on request and at exit."""
from __future__ import annotations

import logging
import os
from collections import Counter

log = logging.getLogger(__name__)
counters = Counter()


class Sockets:
    """Who may hold how many of the process's descriptors.  Half are for clients at most, three eighths are
    always there for the rest, and the rest takes besides what is free, but for the last eighth."""

    def __init__(self, most):
        self.most, self.clients = most, 0

    @staticmethod
    def held():
        return len(os.listdir("/proc/self/fd"))

    def room_for_client(self, coming=0):
        return self.clients + coming < self.most // 2 and self.held() + coming < self.most * 15 // 16

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
