"""A client's request as the data plane reads it, and the ways in which a send to a backend can fail."""

from __future__ import annotations

import enum
import math

import attrs

from ..discovery.messages import Backend
from . import ports

REQUEST_ID = b"x-kestrelbend-request-id"
DEADLINE_MS = b"x-kestrelbend-deadline-ms"
EXPECT_INSTANCE = b"x-kestrelbend-expect-instance"
SERVER_STAMP = b"x-kestrelbend-server-stamp"
SERVER_LOAD = b"x-kestrelbend-server-load"
EXPECT_VERSION = b"expect-version"
NOT_EXECUTED = b"x-kestrelbend-not-executed"
LAST_EVENT_ID = b"last-event-id"
AFFINITY_KEY = b"x-kestrelbend-affinity-key"
TOKEN_COUNT = b"x-kestrelbend-token-count"
PREFIX_HASH = b"x-kestrelbend-prefix-hash"
PROGRAM = b"program"
SESSION = b"session"
FINISH_MS = b"finish-ms"
BUDGET = b"budget"

_HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect",
    )
)  # fmt: skip
_REPLACED_HEADERS = frozenset((b"content-length", DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID))

Headers = list[tuple[bytes, bytes]]


def connection_header_names(headers: Headers) -> frozenset[bytes]:
    """The names of hop-by-hop headers that the Connection header lists."""
    names = b",".join(value for name, value in headers if name.lower() == b"connection")
    if not names:
        return frozenset()
    return frozenset(part.strip().lower() for part in names.split(b","))


def end_to_end(headers: Headers) -> Headers:
    """`headers` without the hop-by-hop headers."""
    listed = connection_header_names(headers)
    return [pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP and pair[0].lower() not in listed]


@attrs.define
class Exchange:
    """A completely read request."""

    method: bytes
    target: bytes
    headers: Headers  # names in lower case
    body: bytes
    route: ports.Route
    service: ports.Service
    received_at: float  # on the loop's monotonic clock
    deadline: float  # on the loop's monotonic clock
    fields: dict[bytes, bytes]  # headers by name; the first value of a repeated header
    chunked: bool  # the client used chunked encoding, so the request to the backend does too

    @property
    def request_id(self) -> bytes:
        """The id that the client gave this request; each retry by the client has its own."""
        return self.fields[REQUEST_ID]

    @property
    def expected_instance(self) -> bytes | None:
        """The only backend that may run this, if the client named one."""
        return self.fields.get(EXPECT_INSTANCE)

    @property
    def streaming(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind == "streaming"

    @property
    def retryable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind == "idempotent" or (self.streaming and self.route.resumable)

    def headers_for(self, backend: Backend, now: float, last_event_id: bytes | None) -> Headers:
        """The headers of one send: the client's end-to-end headers and those specific to this send."""
        headers = [pair for pair in end_to_end(self.headers) if pair[0] not in _REPLACED_HEADERS]
        headers += _deadline_header(self.deadline - now) + _expected_instance_header(backend)
        if last_event_id is not None:
            headers.append((LAST_EVENT_ID, last_event_id))
        if self.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif self.body or b"content-length" in self.fields:
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers


def _deadline_header(remaining_s: float) -> Headers:
    """The time left, so that the backend stops at the deadline however late the request was sent."""
    return [(DEADLINE_MS, b"%d" % max(1, math.floor(remaining_s * 1000)))]


def _expected_instance_header(backend: Backend) -> Headers:
    """The expected instance, so that another backend that has taken over the address rejects the request."""
    return [(EXPECT_INSTANCE, backend.identity.encode())]


class Failure(enum.Enum):
    """How a send ended without a usable response.

    Hazard: a request that may run only once is sent again only after a failure that is `certainly_not_run`.
    A new member may count as that only if no byte was sent or the backend guarantees it.
    """

    NOT_EXECUTED = enum.auto()  # the backend states that it did not run the request
    WRONG_INSTANCE = enum.auto()  # another incarnation uses this address: not run
    WRONG_VERSION = enum.auto()  # the model weights are not those that the client expects: not run
    REFUSED = enum.auto()  # nothing listens at the address: not sent
    UNREACHABLE = enum.auto()  # no connection was established: not sent
    NO_CONNECTION = enum.auto()  # the connection limit is reached: not sent
    BACKEND_REMOVED = enum.auto()  # the backend left the live view before the send: not sent
    BROKEN_BEFORE_SEND = enum.auto()  # the connection broke before any byte was sent: not sent
    BROKEN = enum.auto()  # the connection broke after the request was sent: may have run
    INVALID_RESPONSE = enum.auto()  # the bytes received are not a response to this request: may have run

    @property
    def certainly_not_run(self) -> bool:
        """Whether the request has not run and will not run because of this send."""
        return self not in (Failure.BROKEN, Failure.INVALID_RESPONSE)
