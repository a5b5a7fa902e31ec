"""Headers between clients and backends: those passed on, and what a backend tells in its own."""

from __future__ import annotations

import json
import math

from ..gateway_settings.platform import LOADS
from .requests import bounded
from .tally import counters

NOT_PASSED = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "x-timeout",
}
PASSED_BACK = ("Content-Type", "Content-Encoding")


def passed_on(headers):
    """All but what belongs to the client's connection, in order, each as often as it came."""
    named = headers.get("Connection")
    left_out = NOT_PASSED.union(part.strip().lower() for part in named.split(",")) if named else NOT_PASSED
    return [(k, v) for k, v in headers.items() if k.lower() not in left_out]


def load_report(text):
    """The module's names for a report's fields; what cannot be read is none."""
    try:
        report = json.loads(text) if text else {}
        return {LOADS.get(k, k): bounded(float, v, 0, math.inf) for k, v in report.items()} or None
    except (ValueError, TypeError, AttributeError, OverflowError):
        counters["unreadable_reports"] += 1
        return None


def told(text, most):
    """A number from an answer's header: the units that take the place of the guess, or the customer's use by
    all gateways in percent of its rate; None: none told, or what cannot be."""
    try:
        return None if text is None else bounded(float, text, 0, most)
    except ValueError:
        counters["unreadable_charges"] += 1
        return None
