"""Logging setup: structlog formats the records of the logging module as key=value lines or JSON lines."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from datetime import UTC, datetime
from types import ModuleType
from typing import Any, Final

from aiohttp.http_exceptions import HttpProcessingError

from .metrics import counters

LEADING_KEYS: Final = ("at", "level", "event")
KEY_VALUE: Final = "key-value"
JSON: Final = "json"

Event = MutableMapping[str, Any]
"""A log record's keys and values, as structlog's processors pass them on."""


class LogFormatter(logging.Formatter):
    """Formats records as `key-value` or `json`.

    structlog's formatter is created with the first record, so that loading structlog does not delay startup.
    """

    def __init__(self, output_format: str = KEY_VALUE) -> None:
        super().__init__()
        self.output_format = output_format
        self.delegate: logging.Formatter | None = None

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line."""
        self.delegate = self.delegate or structlog_formatter(self.output_format)
        return self.delegate.format(record)


def structlog_formatter(output_format: str) -> logging.Formatter:
    """Create structlog's formatter for this format."""
    structlog = import_structlog_without_rich()
    if output_format == JSON:
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.processors.LogfmtRenderer(key_order=LEADING_KEYS, bool_as_flag=False)
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
    """Import structlog without rich, which structlog would import if it is installed.

    rich is installed for the lab command; a gateway does not need it, and it costs 3.5 MB and 0.05 s.
    """
    modules: dict[str, Any] = sys.modules
    loaded = modules.get("rich")
    modules["rich"] = None  # makes the import fail
    try:
        import structlog
    finally:
        if loaded is None:
            del modules["rich"]
        else:
            modules["rich"] = loaded
    return structlog


def add_time(_logger: Any, _method: str, event: Event) -> Event:
    """Add the record's creation time as `at`, in UTC with milliseconds."""
    at = datetime.fromtimestamp(event["_record"].created, UTC)
    event["at"] = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return event


def rename_exception(_logger: Any, _method: str, event: Event) -> Event:
    """Rename structlog's `exception` key to `trace`, the documented key for a traceback."""
    if "exception" in event:
        event["trace"] = event.pop("exception")
    return event


def order_and_convert(_logger: Any, _method: str, event: Event) -> Event:
    """Put the keys in a fixed order and convert all values to text or numbers."""
    ordered = {key: event.pop(key) for key in LEADING_KEYS if key in event}
    ordered.update(event)
    return {
        key: value if isinstance(value, (int, float, str)) else str(value) for key, value in ordered.items()
    }


def drop_malformed_requests(record: logging.LogRecord) -> bool:
    """Filter for aiohttp's log: count malformed HTTP requests instead of logging each with a traceback.

    The sender is told with status 400.
    """
    if not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError)):
        return True
    counters["malformed"] += 1
    return False


def configure(output_format: str = KEY_VALUE, level: str = "info") -> None:
    """Log to standard error in this format, from this level on; replaces any earlier configuration."""
    handler = logging.StreamHandler()
    handler.setFormatter(LogFormatter(output_format))
    logging.getLogger("aiohttp.server").addFilter(drop_malformed_requests)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
