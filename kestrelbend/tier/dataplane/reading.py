"""Reads a client's request from ASGI and validates its route, headers, body size and remaining time.

An invalid request is rejected with a local response before anything is sent to a backend.
"""

from __future__ import annotations

import math
from typing import Any

import attrs

from ..http_server.body_budget import BodyBuffer
from ..http_server.request_body import BodyRejection, Receive, read_request_body
from . import ports
from .client import LocalResponse
from .exchange import DEADLINE_MS, REQUEST_ID, Exchange, Headers
from .split import TrafficSplit

NO_SERVICE_RETRY_S = 0.5
DEADLINE_RETRY_S = 0.1
HEADER_LINE_OVERHEAD_BYTES = 4  # colon, space and line end
NO_MEMORY_RETRY_S = 0.5
TOO_LARGE = LocalResponse(413, "the body is too large", closes=True)
NO_MEMORY = LocalResponse(503, "too many large bodies at once", NO_MEMORY_RETRY_S, closes=True)


def check_head(headers: Headers, limits: ports.Limits) -> LocalResponse | None:
    """Returns the rejection if the headers violate a limit or the framing rules, else None."""
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
    receive: Receive, buffer: BodyBuffer, limits: ports.Limits, timeout_s: float = math.inf
) -> bytes | LocalResponse:
    """Returns the complete body, or the rejection if it is too large, too slow or one too many.

    Raises ClientDisconnected.
    """
    timeout_s = min(limits.header_timeout_ms / 1000, timeout_s)
    body = await read_request_body(receive, buffer, limits.max_body_bytes, timeout_s)
    match body:
        case BodyRejection.TOO_LARGE:
            return TOO_LARGE
        case BodyRejection.TOO_SLOW:
            return LocalResponse(408, "the body did not come in time", closes=True)
        case BodyRejection.NO_MEMORY:
            return NO_MEMORY
        case _:
            return body


@attrs.define
class RequestHead:
    """The request line and headers of a request."""

    headers: Headers  # names in lower case
    fields: dict[bytes, bytes]  # by name; the first value of a repeated header
    path: str
    method: str
    target: bytes  # path and query, as received
    received_at: float  # when the application was called, on the loop's monotonic clock

    @classmethod
    def of(cls, scope: dict[str, Any], received_at: float) -> RequestHead:
        """Builds the head from an ASGI scope."""
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
        """The request's route in `table`, if any."""
        return table.find_route(self.fields.get(b"host", b"").decode("latin1"), self.path)

    def allowed_s(self, route: ports.Route) -> float:
        """Seconds that the request may take: the client's deadline, capped by the route's timeout."""
        return _time_allowed_ms(self.fields.get(DEADLINE_MS), route) / 1000


def build_exchange(
    head: RequestHead,
    body: bytes,
    table: ports.RoutingTable,
    route: ports.Route | None,
    split: TrafficSplit,
) -> Exchange | LocalResponse:
    """Builds the exchange of a completely read request, or its rejection.  Nothing has been sent yet.

    `route` is the request's route in `table`.
    """
    fields = head.fields
    if not head.path.startswith("/"):
        return LocalResponse(400, "the target is not a path")
    if head.method == "CONNECT":
        # A 2xx response to CONNECT has no body, so that a backend's response could not be forwarded.
        return LocalResponse(501, "no tunnels here")
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
