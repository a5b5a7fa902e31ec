"""The HTTP API for the operator and for backends' heartbeats, as an ASGI application.

Invariant: a response is 2xx only if the port reported success, and 4xx only if `rejections` allows it; if the
result is not known now, it is a 503, which says nothing about the call's effect.  Every request body is read
to its end, or up to a limit, before the response is sent.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from kestrelbend.tier.configuration.backend_calls import BackendCalls
from kestrelbend.tier.configuration.config_calls import ConfigCalls
from kestrelbend.tier.configuration.http_answers import (
    ApiResponse,
    error_response,
    json_response,
    unavailable_response,
)
from kestrelbend.tier.configuration.operator_call import Call, Handler
from kestrelbend.tier.configuration.ports import ControlPort
from kestrelbend.tier.configuration.rejections import is_rejection, may_reject
from kestrelbend.tier.configuration.retirement_calls import RetirementCalls
from kestrelbend.tier.configuration.statuses import (
    BODY_TIMEOUT,
    BODY_TOO_LARGE,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
)
from kestrelbend.tier.http_server.body_budget import BodyBudget, BodyBuffer
from kestrelbend.tier.http_server.request_body import BodyRejection, ClientDisconnected, Receive
from kestrelbend.tier.http_server.response_budget import ResponseBudget

MAX_ORDER_BYTES = 8 * 1024 * 1024
MAX_REPORT_BYTES = 64 * 1024
MAX_DISCARDED_BYTES = 64 * 1024 * 1024  # of a body that is too large; beyond this limit, reading stops
SEND_BYTES = 64 * 1024  # of a response that are handed to the server at once
UNLIMITED_ITEMS = 1 << 62  # of an order's JSON text
MAX_NAME = 256  # characters
BODY_TIMEOUT_S = 20.0
RETRY_AFTER_S = "0.2"
BASE_VERSION_HEADER = b"x-kestrelbend-base-version"
CALL_PATH = re.compile(r"/api/(?P<call>[A-Za-z]+(?:\.[A-Za-z]+)?)(?:/(?P<name>[^/]+))?")
OVERLOADED = attrs.evolve(unavailable_response(), closes=True)  # too little memory for all calls

Send = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class _Match:
    """The handler for a path and method, and the name in the path (empty if the call has none)."""

    handler: Handler
    name: str


class OperatorApi:
    """Translates HTTP calls into calls of a `ControlPort`."""

    def __init__(
        self,
        port: ControlPort,
        bodies: BodyBudget | None = None,
        responses: ResponseBudget | None = None,
        max_items: Callable[[], int] = lambda: UNLIMITED_ITEMS,
    ) -> None:
        self._port = port
        self._bodies = bodies or BodyBudget()
        self._responses = responses or ResponseBudget()
        config = ConfigCalls(port, max_items)
        backends = BackendCalls(port)
        retirement = RetirementCalls(port)
        handlers = (
            Handler("Config.Put", "POST", False, MAX_ORDER_BYTES, config.put),
            Handler("Config.Patch", "POST", False, MAX_ORDER_BYTES, config.patch),
            Handler("Config.Get", "GET", False, 0, config.get),
            Handler("Instances.Heartbeat", "POST", True, MAX_REPORT_BYTES, backends.heartbeat),
            Handler("Instances.Leave", "POST", True, MAX_REPORT_BYTES, backends.leave),
            Handler("Retire.Start", "POST", True, MAX_REPORT_BYTES, retirement.start),
            Handler("Retire.Get", "GET", True, 0, retirement.get),
            Handler("Status", "GET", False, 0, self._status),
        )
        self._handlers = {handler.call_name: handler for handler in handlers}

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """The ASGI entry point."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        found = self._find_handler(scope)
        with self._bodies.open() as buffer:
            try:
                response = await self._read_and_respond(found, scope, receive, buffer)
            except ClientDisconnected:
                return
        if not await self._responses.send(len(response.body), lambda: _send(send, response)):
            await _send(send, OVERLOADED)

    async def _read_and_respond(
        self, found: _Match | ApiResponse, scope: dict[str, Any], receive: Receive, buffer: BodyBuffer
    ) -> ApiResponse:
        max_bytes = 0 if isinstance(found, ApiResponse) else found.handler.max_bytes
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await _read_body(receive, buffer, max_bytes)
        except TimeoutError:
            return error_response(BODY_TIMEOUT, "the body did not come in time")
        if isinstance(found, ApiResponse):
            return found
        if body is BodyRejection.NO_MEMORY:
            return OVERLOADED
        if isinstance(body, BodyRejection):
            return error_response(BODY_TOO_LARGE, "the body is too large")
        return await self._respond(found, scope, body)

    def _find_handler(self, scope: dict[str, Any]) -> _Match | ApiResponse:
        """Returns the handler of a call, or the response to an unknown call or method."""
        match = CALL_PATH.fullmatch(scope["path"])
        handler = self._handlers.get(match["call"]) if match else None
        name = (match["name"] or "") if match else ""
        if handler is None or handler.takes_name != bool(name) or len(name) > MAX_NAME:
            return error_response(NOT_FOUND, "no such call")
        if scope["method"] != handler.method:
            return attrs.evolve(
                error_response(METHOD_NOT_ALLOWED, f"the call takes {handler.method}"),
                allow=handler.method,
            )
        return _Match(handler, name)

    async def _respond(self, found: _Match, scope: dict[str, Any], body: bytes) -> ApiResponse:
        base_versions = [value for key, value in scope["headers"] if key.lower() == BASE_VERSION_HEADER]
        call = Call(found.name, base_versions[0] if len(base_versions) == 1 else None, body)
        return _allowed(found.handler.call_name, await found.handler.run(call))

    async def _status(self, call: Call) -> ApiResponse:
        return json_response(OK, self._port.status())


def _allowed(call: str, response: ApiResponse) -> ApiResponse:
    """Returns the response, or a 503 in place of a rejection that `rejections` does not allow for it."""
    if is_rejection(response.status) and not may_reject(call, response.status):
        return unavailable_response()
    return response


async def _read_body(receive: Receive, buffer: BodyBuffer, max_bytes: int) -> bytes | BodyRejection:
    """Returns the complete body, or why it is rejected.  A call that takes no body (0) ignores it.

    The rest of a body that is rejected is read and discarded, so that a caller that is still sending gets the
    response.
    """
    size = 0
    rejection: BodyRejection | None = None
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise ClientDisconnected
        chunk = event.get("body", b"")
        size += len(chunk)
        if size > max_bytes:
            rejection = rejection or BodyRejection.TOO_LARGE
            buffer.close()
        elif rejection is None and not buffer.append(chunk):
            rejection = BodyRejection.NO_MEMORY
        if size > MAX_DISCARDED_BYTES:
            return BodyRejection.TOO_LARGE
        if not event.get("more_body", False):
            break
    if rejection is not None:
        return rejection if max_bytes else b""
    body = buffer.complete()
    return BodyRejection.NO_MEMORY if body is None else body


async def _send(send: Send, response: ApiResponse) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(response.body)).encode()),
    ]
    if response.status == UNAVAILABLE:
        headers.append((b"retry-after", RETRY_AFTER_S.encode()))
    if response.closes:
        headers.append((b"connection", b"close"))
    if response.allow:
        headers.append((b"allow", response.allow.encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    last = max(0, len(response.body) - 1) // SEND_BYTES * SEND_BYTES
    for start in range(0, last, SEND_BYTES):
        piece = response.body[start : start + SEND_BYTES]
        await send({"type": "http.response.body", "body": piece, "more_body": True})
    await send({"type": "http.response.body", "body": response.body[last:], "more_body": False})


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
