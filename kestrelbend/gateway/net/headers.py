"""Headers between clients and backends: those passed on, and what a backend reports in its own."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Final

from ..settings.platform import LOAD_FIELD_NAMES
from .metrics import counters
from .requests import bounded

# They belong to one connection (RFC 9110, section 7.6.1), or are written anew for the next.
NOT_PASSED: Final = {
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
PASSED_BACK: Final = ("Content-Type", "Content-Encoding")


def passed_on(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """All but what belongs to the client's connection, in order, each as often as it came."""
    named = headers.get("Connection")
    left_out = NOT_PASSED.union(part.strip().lower() for part in named.split(",")) if named else NOT_PASSED
    return [(name, value) for name, value in headers.items() if name.lower() not in left_out]


def load_report(text: str | bytes | None) -> dict[str, float] | None:
    """The numbers of a backend's report by the names that the decisions have for them.

    None: there is none, or it cannot be read, which is counted.
    """
    try:
        report = json.loads(text) if text else {}
        numbers = {
            LOAD_FIELD_NAMES.get(key, key): bounded(float, value, 0, math.inf)
            for key, value in report.items()
        }
        return numbers or None
    except (ValueError, TypeError, AttributeError, OverflowError):
        counters["unreadable_reports"] += 1
        return None


def reported_number(text: str | None, most: float) -> float | None:
    """A number from an answer's header, from 0 to `most`; None: there is none, or it cannot be one.

    It is the units that take the place of the estimate, or the customer's use by all gateways in percent of
    its rate.
    """
    try:
        return None if text is None else bounded(float, text, 0, most)
    except ValueError:
        counters["unreadable_charges"] += 1
        return None
