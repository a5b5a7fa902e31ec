"""Counters of what the gateway took in, sent and answered; printed on request and at exit."""
from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)
counters = Counter()


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
