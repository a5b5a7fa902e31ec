"""Reads the body of a request from ASGI, within limits of size, time and memory."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Awaitable, Callable
from typing import Any

from .body_budget import BodyBuffer

Receive = Callable[[], Awaitable[dict[str, Any]]]


class ClientDisconnected(Exception):
    """The client disconnected before its request was complete."""


class BodyRejection(enum.Enum):
    """Why a body was not read to its end."""

    TOO_LARGE = enum.auto()  # for the limit of a single body
    TOO_SLOW = enum.auto()
    NO_MEMORY = enum.auto()  # the bodies of all requests together hold too much


async def read_request_body(
    receive: Receive, buffer: BodyBuffer, max_bytes: int, timeout_s: float = math.inf
) -> bytes | BodyRejection:
    """Returns the complete body, or why it was rejected; `timeout_s` is for all of it.

    Raises ClientDisconnected.
    """
    message = await receive()
    if message["type"] == "http.request" and not message.get("more_body", False):
        return _take(message, buffer, max_bytes) or _complete(buffer)
    try:
        async with asyncio.timeout(timeout_s) as bound:
            buffer.on_rejected = lambda: bound.reschedule(asyncio.get_running_loop().time())
            return await _read_rest(message, receive, buffer, max_bytes)
    except TimeoutError:
        return BodyRejection.NO_MEMORY if buffer.rejected else BodyRejection.TOO_SLOW
    finally:
        buffer.on_rejected = lambda: None


async def _read_rest(
    message: dict[str, Any], receive: Receive, buffer: BodyBuffer, max_bytes: int
) -> bytes | BodyRejection:
    while True:
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        rejection = _take(message, buffer, max_bytes)
        if rejection is not None:
            return rejection
        if not message.get("more_body", False):
            return _complete(buffer)
        message = await receive()


def _take(message: dict[str, Any], buffer: BodyBuffer, max_bytes: int) -> BodyRejection | None:
    data = message.get("body", b"")
    if buffer.size + len(data) > max_bytes:
        return BodyRejection.TOO_LARGE
    if data and not buffer.append(data):
        return BodyRejection.NO_MEMORY
    return None


def _complete(buffer: BodyBuffer) -> bytes | BodyRejection:
    body = buffer.complete()
    return BodyRejection.NO_MEMORY if body is None else body
