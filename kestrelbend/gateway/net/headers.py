"""HTTP headers: selects those forwarded between clients and backends, and parses backends' reports."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Final

from ..settings.platform import LOAD_FIELD_NAMES
from .metrics import counters
from .requests import parse_bounded

# Headers of a single connection (RFC 9110, section 7.6.1), and headers that the gateway writes itself.
NOT_FORWARDED: Final = {
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
RETURNED_HEADERS: Final = ("Content-Type", "Content-Encoding")


def forwarded_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers to forward, in their order and with repetitions; connection headers are left out."""
    connection_options = headers.get("Connection")
    excluded = (
        NOT_FORWARDED.union(part.strip().lower() for part in connection_options.split(","))
        if connection_options
        else NOT_FORWARDED
    )
    return [(name, value) for name, value in headers.items() if name.lower() not in excluded]


def parse_load_report(text: str | bytes | None) -> dict[str, float] | None:
    """Parse a backend's load report; the result uses the metric names of the decisions.

    Returns None if there is no report, or if it cannot be parsed; the latter is counted.
    """
    try:
        report = json.loads(text) if text else {}
        numbers = {
            LOAD_FIELD_NAMES.get(key, key): parse_bounded(float, value, 0, math.inf)
            for key, value in report.items()
        }
        return numbers or None
    except (ValueError, TypeError, AttributeError, OverflowError):
        counters["unreadable_reports"] += 1
        return None


def parse_reported_number(text: str | None, maximum: float) -> float | None:
    """Parse a number from 0 to `maximum` in a response header; None if it is missing or invalid.

    The header holds the units that replace the estimate, or the customer's usage at all gateways in percent
    of its rate.
    """
    try:
        return None if text is None else parse_bounded(float, text, 0, maximum)
    except ValueError:
        counters["unreadable_charges"] += 1
        return None
