"""Logging: structlog renders what the logging module is given, as key=value lines or as JSON lines."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime

from aiohttp.http_exceptions import HttpProcessingError

from .tally import counters

FIRST = ("at", "level", "event")


class Lines(logging.Formatter):
    """Made when the first line is written: loading structlog must not hold up a start."""

    def __init__(self, form="key-value"):
        super().__init__()
        self.form, self.made = form, None

    def format(self, record):
        self.made = self.made or formatter(self.form)
        return self.made.format(record)


def formatter(form):
    structlog = plain_structlog()
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=FIRST, bool_as_flag=False)
    )
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.ExtraAdder(),
            dated,
            structlog.processors.format_exc_info,
            traced,
        ],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, stated, last],
    )


def plain_structlog():
    """It loads rich wherever that is installed (the laboratory's command brings it): 3.5 MB and 0.05 s that a
    gateway has no use for."""
    held = sys.modules.get("rich")
    sys.modules["rich"] = None
    try:
        import structlog
    finally:
        if held is None:
            del sys.modules["rich"]
        else:
            sys.modules["rich"] = held
    return structlog


def dated(_logger, _method, event):
    at = datetime.fromtimestamp(event["_record"].created, UTC)
    event["at"] = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return event


def traced(_logger, _method, event):
    """A trace goes under the name that staff know, on one line."""
    if "exception" in event:
        event["trace"] = event.pop("exception")
    return event


def stated(_logger, _method, event):
    """Keys in one order, values as text or numbers."""
    ordered = {key: event.pop(key) for key in FIRST if key in event}
    ordered.update(event)
    return {
        key: value if isinstance(value, (int, float, str)) else str(value) for key, value in ordered.items()
    }


def no_bad_requests(record):
    """aiohttp logs each request that is no HTTP with a trace; its sender gets a 400, which says it all."""
    if not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError)):
        return True
    counters["malformed"] += 1
    return False


def start(form="key-value", level="info"):
    handler = logging.StreamHandler()
    handler.setFormatter(Lines(form))
    logging.getLogger("aiohttp.server").addFilter(no_bad_requests)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
