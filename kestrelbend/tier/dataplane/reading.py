"""Reads a client's request from ASGI and checks it: the route, the headers, the body's size, the remaining
time.

What is wrong with a request is an answer of the gateway's own, before anything is sent.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from . import ports
from .client import LocalResponse
from .exchange import DEADLINE_MS, REQUEST_ID, Exchange, Headers
from .split import TrafficSplit

Receive = Callable[[], Awaitable[dict[str, Any]]]
NO_SERVICE_RETRY_S = 0.5
DEADLINE_RETRY_S = 0.1
HEADER_LINE_OVERHEAD_BYTES = 4  # the colon, the space and the end of a line
TOO_LARGE = LocalResponse(413, "the body is too large", closes=True)


class ClientDisconnected(Exception):
    """The client closed its connection before its request was complete."""


def check_head(headers: Headers, limits: ports.Limits) -> LocalResponse | None:
    """What is wrong with a request before its body."""
    size = 0
    length_headers = 0
    for name, value in headers:
        size += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if name in (b"content-length", b"transfer-encoding"):
            length_headers += 1
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            return TOO_LARGE
    if length_headers > 1:
        return LocalResponse(400, "the body's end is told twice", closes=True)
    if size > limits.max_header_bytes:
        return LocalResponse(431, "the headers are too large", closes=True)
    return None


async def read_body(
    receive: Receive, limits: ports.Limits, timeout_s: float = math.inf
) -> bytes | LocalResponse:
    """The complete body, or the rejection of one too large or too slow.  Raises ClientGone."""
    message = await receive()
    if message["type"] == "http.request" and not message.get("more_body", False):
        body = message.get("body", b"")
        return body if len(body) <= limits.max_body_bytes else TOO_LARGE
    try:
        async with asyncio.timeout(min(limits.header_timeout_ms / 1000, timeout_s)):
            return await _read_chunks(message, receive, limits.max_body_bytes)
    except TimeoutError:
        return LocalResponse(408, "the body did not come in time", closes=True)


async def _read_chunks(message: dict[str, Any], receive: Receive, max_bytes: int) -> bytes | LocalResponse:
    chunks: list[bytes] = []
    size = 0
    while True:
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > max_bytes:
            return TOO_LARGE
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)
        message = await receive()


@attrs.define
class RequestHead:
    """A request's head."""

    headers: Headers  # names in lower case
    fields: dict[bytes, bytes]  # of repeated headers the first
    path: str
    method: str
    target: bytes  # the path and the query, as they came
    received_at: float  # when the application got the request, on the loop's steady clock

    @classmethod
    def of(cls, scope: dict[str, Any], received_at: float) -> RequestHead:
        """The head of an ASGI request."""
        headers = [(name.lower(), value) for name, value in scope["headers"]]
        raw_path: bytes = scope["raw_path"]
        query = scope.get("query_string", b"")
        return cls(
            headers=headers,
            fields=dict(reversed(headers)),
            path=raw_path.decode("latin1"),
            method=scope["method"],
            target=raw_path + b"?" + query if query else raw_path,
            received_at=received_at,
        )

    def route(self, table: ports.RoutingTable) -> ports.Route | None:
        """The route that the request takes by `table`."""
        return table.route(self.fields.get(b"host", b"").decode("latin1"), self.path)

    def allowed_s(self, route: ports.Route) -> float:
        """Seconds that the request may take: the client's deadline, and at most the route's timeout."""
        return _time_allowed_ms(self.fields.get(DEADLINE_MS), route) / 1000


def build_exchange(
    head: RequestHead,
    body: bytes,
    table: ports.RoutingTable,
    route: ports.Route | None,
    split: TrafficSplit,
) -> Exchange | LocalResponse:
    """The exchange of a request that was read completely, or its rejection: nothing was sent.

    `route` is the one that the request takes by `table`.
    """
    fields = head.fields
    if not head.path.startswith("/"):
        return LocalResponse(400, "the target is not a path")
    if head.method == "CONNECT":
        return LocalResponse(501, "no tunnels here")  # an answer to it would seem to have no body
    if route is None:
        return LocalResponse(404, "no route")
    if not fields.get(REQUEST_ID):
        return LocalResponse(400, "no request id")
    allowed_s = head.allowed_s(route)
    if allowed_s <= 0:
        return LocalResponse(503, "the time was over before the request came", DEADLINE_RETRY_S)
    service = table.services.get(split.service_of(route, fields))
    if service is None:
        return LocalResponse(503, "the route's service is unknown", NO_SERVICE_RETRY_S)
    return Exchange(
        method=head.method.encode("latin1"),
        target=head.target,
        headers=head.headers,
        body=body,
        route=route,
        service=service,
        received_at=head.received_at,
        deadline=head.received_at + allowed_s,
        fields=fields,
        chunked=b"transfer-encoding" in fields,
    )


def _time_allowed_ms(deadline: bytes | None, route: ports.Route) -> float:
    try:
        requested_ms = float(deadline) if deadline is not None else math.inf
    except ValueError:
        requested_ms = math.inf
    if math.isnan(requested_ms):
        requested_ms = math.inf
    return min(requested_ms, float(route.timeout_ms))
