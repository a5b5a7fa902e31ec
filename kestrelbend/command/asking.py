"""Asking a process over HTTP for JSON."""

from __future__ import annotations

from json import loads
from typing import Any
from urllib.error import URLError
from urllib.request import ProxyHandler, build_opener

from .outcome import CommandFailed

ANSWER_WITHIN_S = 3


def ask(where: str, path: str, question: str) -> Any:
    """The JSON at a path of a process at "host:port"; ends the command with `question` where none comes."""
    try:
        with build_opener(ProxyHandler({})).open(f"http://{where}{path}", timeout=ANSWER_WITHIN_S) as answer:
            return loads(answer.read())
    except (URLError, OSError, ValueError) as trouble:
        raise CommandFailed(f"{where}: {trouble}; {question}") from None
