"""Logging as key=value lines."""
from __future__ import annotations

import json
import logging
import time

from aiohttp.http_exceptions import HttpProcessingError

from .tally import counters

PLAIN = set(logging.makeLogRecord({}).__dict__) | {"message", "asctime", "taskName"}


class KeyValue(logging.Formatter):
    def format(self, record):
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = {"at": f"{at}.{int(record.msecs):03}Z", "level": record.levelname.lower(),
                 "event": record.getMessage()}
        pairs.update((k, v) for k, v in record.__dict__.items() if k not in PLAIN)
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self.quoted(value)}" for key, value in pairs.items())

    @staticmethod
    def quoted(value):
        text = str(value)
        plain = text and not any(c in '"=\\' or c.isspace() or not c.isprintable() for c in text)
        return text if plain else json.dumps(text)


def no_bad_requests(record):
    """aiohttp logs each request that is no HTTP with a trace; its sender gets a 400, which says it all."""
    if not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError)):
        return True
    counters["malformed"] += 1
    return False


def start(level="INFO"):
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValue())
    logging.getLogger("aiohttp.server").addFilter(no_bad_requests)
    logging.basicConfig(level=level, handlers=[handler], force=True)
