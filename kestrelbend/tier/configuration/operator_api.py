"""The HTTP interface for the operator and for backends' heartbeats, as an ASGI application.

Invariant: a call is answered 2xx only if the port said so, and 4xx only as `rejections` allows; what can't be
said now is a 503, which promises nothing.  Every body is read to its end, or to a bound, before the answer.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from kestrelbend.tier.configuration.field_checks import is_positive
from kestrelbend.tier.configuration.schemas import MAX_VERSION
from kestrelbend.tier.configuration.messages import ConfigOrder, OrderKind
from kestrelbend.tier.configuration.rejections import is_rejection, may_reject
from kestrelbend.tier.configuration.ports import ControlPort, ReportOutcome, RetireOutcome, RetireState

MAX_ORDER_BYTES = 8 * 1024 * 1024
MAX_REPORT_BYTES = 64 * 1024
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 20.0
RETRY_AFTER_S = "0.2"
MAX_NAME = 256
BASE_VERSION = b"x-kestrelbend-base-version"
CALL = re.compile(r"/api/(?P<call>[A-Za-z]+(?:\.[A-Za-z]+)?)(?:/(?P<name>[^/]+))?")

UNAVAILABLE = 503
REPORT_STATUS = {
    ReportOutcome.ACCEPTED: 200,
    ReportOutcome.MALFORMED: 400,
    ReportOutcome.UNAVAILABLE: UNAVAILABLE,
}
RETIRE_STATUS = {
    RetireOutcome.ACCEPTED: 200,
    RetireOutcome.UNKNOWN_NODE: 404,
    RetireOutcome.TOO_FEW_LEFT: 409,
    RetireOutcome.UNAVAILABLE: UNAVAILABLE,
}

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Answer:
    """A status, a JSON body and whether the caller is told when to ask again."""

    status: int
    body: bytes
    allow: str = ""


@attrs.frozen(eq=False)
class Call:
    """One call as its handler needs it."""

    name: str
    base: bytes | None
    body: bytes


@attrs.frozen
class _Handler:
    call: str
    method: str
    takes_name: bool
    max_bytes: int
    run: Callable[[Call], Awaitable[Answer]]


class _Disconnected(Exception):
    """The caller went away before its body had come."""


class OperatorApi:
    """Translates HTTP calls into calls of a `ControlPort`."""

    def __init__(self, port: ControlPort) -> None:
        self._port = port
        handlers = (
            _Handler("Config.Put", "POST", False, MAX_ORDER_BYTES, self._put),
            _Handler("Config.Patch", "POST", False, MAX_ORDER_BYTES, self._patch),
            _Handler("Config.Get", "GET", False, 0, self._get),
            _Handler("Instances.Heartbeat", "POST", True, MAX_REPORT_BYTES, self._heartbeat),
            _Handler("Instances.Leave", "POST", True, MAX_REPORT_BYTES, self._leave),
            _Handler("Retire.Start", "POST", True, MAX_REPORT_BYTES, self._retire_start),
            _Handler("Retire.Get", "GET", True, 0, self._retire_get),
            _Handler("Status", "GET", False, 0, self._status),
        )
        self._handlers = {handler.call: handler for handler in handlers}

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """The entry point of ASGI."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        found = self._find(scope)
        max_bytes = 0 if isinstance(found, Answer) else found[0].max_bytes
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await _read_body(receive, max_bytes)
        except TimeoutError:
            await _send(send, _rejection(408, "the body did not come in time"))
            return
        except _Disconnected:
            return
        if isinstance(found, Answer):
            await _send(send, found)
            return
        handler, name = found
        await _send(send, await self._answer(handler, name, scope, body))

    def _find(self, scope: dict[str, Any]) -> tuple[_Handler, str] | Answer:
        match = CALL.fullmatch(scope["path"])
        handler = self._handlers.get(match["call"]) if match else None
        name = (match["name"] or "") if match else ""
        if handler is None or handler.takes_name != bool(name) or len(name) > MAX_NAME:
            return _rejection(404, "no such call")
        if scope["method"] != handler.method:
            return attrs.evolve(_rejection(405, f"the call takes {handler.method}"), allow=handler.method)
        return handler, name

    async def _answer(
        self, handler: _Handler, name: str, scope: dict[str, Any], body: bytes | None
    ) -> Answer:
        if body is None:
            return _rejection(413, "the body is too large")
        base = [value for key, value in scope["headers"] if key.lower() == BASE_VERSION]
        answer = await handler.run(Call(name, base[0] if len(base) == 1 else None, body))
        return _allowed(handler.call, answer)

    async def _put(self, call: Call) -> Answer:
        return await self._order(OrderKind.PUT, call)

    async def _patch(self, call: Call) -> Answer:
        return await self._order(OrderKind.PATCH, call)

    async def _order(self, kind: OrderKind, call: Call) -> Answer:
        base = _base_version(call.base)
        if base is None:
            return _rejection(400, "X-Kestrelbend-Base-Version is missing or no whole number")
        outcome = await self._port.order(ConfigOrder(int(kind), base, call.body))
        if outcome.status == 200:
            return _json(200, {"Ver": outcome.version})
        if outcome.status == 0:
            return _unavailable()
        return _json(outcome.status, {"Error": outcome.reason, "Ver": outcome.version})

    async def _get(self, call: Call) -> Answer:
        reply = await self._port.read()
        if not reply.owner:
            return _unavailable()
        if not reply.body:
            return _rejection(404, "there is no configuration yet")
        return Answer(200, bytes(reply.body))

    async def _heartbeat(self, call: Call) -> Answer:
        report = _object(call.body)
        if report is None:
            return _rejection(400, "the report is no JSON object")
        outcome = await self._port.backend_heartbeat(call.name, report)
        url = self._port.heartbeat_url()
        if outcome is ReportOutcome.ACCEPTED and url:
            return _json(200, {"BeatUrl": url})
        return _plain(REPORT_STATUS[outcome])

    async def _leave(self, call: Call) -> Answer:
        return _plain(REPORT_STATUS[await self._port.leave(call.name)])

    async def _retire_start(self, call: Call) -> Answer:
        order = _object(call.body)
        deadline = order.get("DeadlineS") if order is not None else None
        if not is_positive(deadline):
            return _rejection(400, "DeadlineS is no positive number of seconds")
        return _plain(RETIRE_STATUS[await self._port.retire_start(call.name, float(deadline))])

    async def _retire_get(self, call: Call) -> Answer:
        state = await self._port.retire_state(call.name)
        if state is RetireState.UNAVAILABLE:
            return _unavailable()
        if state is RetireState.NOT_ORDERED:
            return _rejection(404, "nobody asked for the node to be emptied")
        return _json(200, {"State": state.value})

    async def _status(self, call: Call) -> Answer:
        return _json(200, self._port.status())


def _allowed(call: str, answer: Answer) -> Answer:
    """The answer, or a 503 in place of a rejection that the call may not get."""
    if is_rejection(answer.status) and not may_reject(call, answer.status):
        return _unavailable()
    return answer


def _base_version(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > len(str(MAX_VERSION)):
        return None
    version = int(value)
    return version if version < MAX_VERSION else None


def _object(body: bytes) -> dict[str, Any] | None:
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return values if isinstance(values, dict) else None


def _json(status: int, values: dict[str, Any]) -> Answer:
    return Answer(status, json.dumps(values, separators=(",", ":")).encode())


def _rejection(status: int, reason: str) -> Answer:
    return _json(status, {"Error": reason})


def _unavailable() -> Answer:
    return _rejection(UNAVAILABLE, "can't be answered here now")


def _plain(status: int) -> Answer:
    if status == UNAVAILABLE:
        return _unavailable()
    return _json(status, {} if status < 300 else {"Error": "refused"})


async def _read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """The whole body, or None if it was longer; what is too long is read and dropped, so that the caller,
    which may still be writing, gets its answer."""
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise _Disconnected
        chunk = event.get("body", b"")
        size += len(chunk)
        if size <= max_bytes:
            chunks.append(chunk)
        else:
            chunks.clear()
        if size > MAX_DISCARDED_BYTES:
            return None
        if not event.get("more_body", False):
            break
    if max_bytes and size > max_bytes:
        return None
    return b"".join(chunks)


async def _send(send: Send, answer: Answer) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(answer.body)).encode()),
    ]
    if answer.status == UNAVAILABLE:
        headers.append((b"retry-after", RETRY_AFTER_S.encode()))
    if answer.allow:
        headers.append((b"allow", answer.allow.encode()))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body, "more_body": False})


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
