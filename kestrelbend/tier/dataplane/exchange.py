"""One client's request as the data plane reads it, and what its sends may come to."""

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
    """The headers that a Connection header says concern this connection alone."""
    names = b",".join(value for name, value in headers if name.lower() == b"connection")
    if not names:
        return frozenset()
    return frozenset(part.strip().lower() for part in names.split(b","))


def end_to_end(headers: Headers) -> Headers:
    """`headers` without those that concern one connection."""
    listed = connection_header_names(headers)
    return [pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP and pair[0].lower() not in listed]


@attrs.define
class Exchange:
    """A request that was read completely.  `deadline` is on the loop's steady clock."""

    method: bytes
    target: bytes
    headers: Headers  # names in lower case
    body: bytes
    route: ports.Route
    service: ports.Service
    received_at: float  # when the request came, on the loop's steady clock
    deadline: float
    fields: dict[bytes, bytes]  # the headers by name; of repeated ones the first
    chunked: bool  # the body came without a length, and leaves so

    @property
    def request_id(self) -> bytes:
        """The id of this attempt of the client."""
        return self.fields[REQUEST_ID]

    @property
    def expected_instance(self) -> bytes | None:
        """The only backend that the client wants to run this."""
        return self.fields.get(EXPECT_INSTANCE)

    @property
    def streaming(self) -> bool:
        """Its answer is a series of events."""
        return self.route.kind == "streaming"

    @property
    def retryable(self) -> bool:
        """May run more than once."""
        return self.route.kind == "idempotent" or (self.streaming and self.route.resumable)

    def headers_for(self, backend: Backend, now: float, last_event_id: bytes | None) -> Headers:
        """The headers of one send: all of the client's headers, and what concerns this send."""
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
    """Has the backend stop when the deadline is over, whenever it was sent to."""
    return [(DEADLINE_MS, b"%d" % max(1, math.floor(remaining_s * 1000)))]


def _expected_instance_header(backend: Backend) -> Headers:
    """Has any other backend that uses this one's address by now reject the request."""
    return [(EXPECT_INSTANCE, backend.identity.encode())]


class Failure(enum.Enum):
    """How a send ended without an answer of its own.

    Hazard: a request that may run once only is sent again after what is `certainly_not_run` alone, so a new
    member belongs to that only where no byte left or the backend promised it.
    """

    NOT_EXECUTED = enum.auto()  # the backend says that it did not run the request
    WRONG_INSTANCE = enum.auto()  # another incarnation lives at this address: not run
    WRONG_VERSION = enum.auto()  # its weights are not those that the client expects: not run
    REFUSED = enum.auto()  # nothing listens there: not sent
    UNREACHABLE = enum.auto()  # no connection came up: not sent
    NO_CONNECTION = enum.auto()  # the limit of connections is reached: not sent
    BACKEND_REMOVED = enum.auto()  # the backend left the live view before the send: not sent
    BROKEN_BEFORE_SEND = enum.auto()  # the connection broke before any byte left: not sent
    BROKEN = enum.auto()  # the connection broke after the request left: may have run
    INVALID_RESPONSE = enum.auto()  # the bytes are no answer to this request: may have run

    @property
    def certainly_not_run(self) -> bool:
        """The request has not run and will not run by this send."""
        return self not in (Failure.BROKEN, Failure.INVALID_RESPONSE)
