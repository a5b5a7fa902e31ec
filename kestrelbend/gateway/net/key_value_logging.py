"""Logging: structlog renders what the logging module is given, as key=value lines or as JSON lines."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from datetime import UTC, datetime
from types import ModuleType
from typing import Any, Final

from aiohttp.http_exceptions import HttpProcessingError

from .metrics import counters

FIRST_KEYS: Final = ("at", "level", "event")
KEY_VALUE: Final = "key-value"
JSON: Final = "json"

Event = MutableMapping[str, Any]
"""A log record's keys and values on their way through structlog's processors."""


class LogFormatter(logging.Formatter):
    """Formats as `form` says, `key-value` or `json`.

    The formatter in it is made when the first line is written: loading structlog must not hold up a start.
    """

    def __init__(self, form: str = KEY_VALUE) -> None:
        super().__init__()
        self.form = form
        self.formatter: logging.Formatter | None = None

    def format(self, record: logging.LogRecord) -> str:
        """One line."""
        self.formatter = self.formatter or structlog_formatter(self.form)
        return self.formatter.format(record)


def structlog_formatter(form: str) -> logging.Formatter:
    """The formatter that structlog makes for this form."""
    structlog = import_structlog_without_rich()
    if form == JSON:
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.processors.LogfmtRenderer(key_order=FIRST_KEYS, bool_as_flag=False)
    formatter: logging.Formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.ExtraAdder(),
            add_time,
            structlog.processors.format_exc_info,
            rename_exception,
        ],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            order_and_convert,
            renderer,
        ],
    )
    return formatter


def import_structlog_without_rich() -> ModuleType:
    """Structlog without rich, which it loads wherever that is installed.

    The laboratory's command brings it: 3.5 MB and 0.05 s that a gateway has no use for.
    """
    modules: dict[str, Any] = sys.modules
    loaded = modules.get("rich")
    modules["rich"] = None  # an import of it fails
    try:
        import structlog
    finally:
        if loaded is None:
            del modules["rich"]
        else:
            modules["rich"] = loaded
    return structlog


def add_time(_logger: Any, _method: str, event: Event) -> Event:
    """When the record was made: `at`, in UTC to the millisecond."""
    at = datetime.fromtimestamp(event["_record"].created, UTC)
    event["at"] = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return event


def rename_exception(_logger: Any, _method: str, event: Event) -> Event:
    """A trace goes under the name that staff know, `trace`, on one line."""
    if "exception" in event:
        event["trace"] = event.pop("exception")
    return event


def order_and_convert(_logger: Any, _method: str, event: Event) -> Event:
    """Keys in one order, values as text or numbers."""
    ordered = {key: event.pop(key) for key in FIRST_KEYS if key in event}
    ordered.update(event)
    return {
        key: value if isinstance(value, (int, float, str)) else str(value) for key, value in ordered.items()
    }


def drop_malformed_requests(record: logging.LogRecord) -> bool:
    """A filter of aiohttp's log, which has each request that is no HTTP with a trace.

    Its sender gets a 400, which says it all; here it is counted.
    """
    if not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError)):
        return True
    counters["malformed"] += 1
    return False


def configure(form: str = KEY_VALUE, level: str = "info") -> None:
    """Log to the standard error in this form, from this level on; a further call replaces the first one's."""
    handler = logging.StreamHandler()
    handler.setFormatter(LogFormatter(form))
    logging.getLogger("aiohttp.server").addFilter(drop_malformed_requests)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
