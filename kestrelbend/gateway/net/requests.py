"""Parses a client's request by the clients' protocol: `METHOD /operation/customer`, with headers.

Malformed requests are rejected rather than guessed at, as they would distort the usage state of the customer
that they name.
"""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final, Protocol, TypeVar

from ..errors import GatewayError
from .closing import readable

if TYPE_CHECKING:
    from ..interface import Invocation

MAX_CUSTOMERS: Final = 1 << 33  # the protocol's upper bound, exclusive, of customer numbers
CUSTOMER_FORM: Final = re.compile("[0-9A-Fa-f]{16}")
REQUEST_ID_FORM: Final = re.compile("[!-~]{1,128}")
MIN_PATH_PARTS: Final = 3  # "/operation/customer" split at "/"
MIN_TIMEOUT_S: Final = 1e-6
MAX_TIMEOUT_S: Final = 1e6
MIN_UNITS: Final = 1e-6
MAX_UNITS: Final = 1e9  # if the settings have no limit
Number = TypeVar("Number", int, float)


class MalformedRequest(GatewayError, ValueError):
    """A request or a number in a header violates the protocol; the client gets status 400."""

    code = "net.malformed_request"


class Headers(Protocol):
    """The interface to a request's headers, which multidict implements."""

    def getall(self, name: str, default: Any) -> Any:
        """Return all values of a header, or `default` if there is none."""


class ClientConnection(Protocol):
    """The connection on which a request was received."""

    @property
    def transport(self) -> Any:
        """The connection's transport; None once the connection is lost."""

    def is_disconnected(self) -> bool:
        """Whether the client has closed the connection, as far as the loop has read."""


class IncomingRequest:
    """The fields of a request that the owner needs, for HTTP requests and external authorisation checks.

    `timeout_s`: the client's timeout, None if it states none. `units`: the request's size. `spread`: number
    of gateways that receive the customer's requests. `retry`: whether the client marked it as a retry.
    `received_at`: microseconds of the gateway's clock. `response_future`: completed exactly once. `inv`:
    the invocation that the decisions make of it. `front`: the `owner.RequestFront` that responds to it, None
    if the clients' listener does.
    """

    __slots__ = (
        "id",
        "operation",
        "plan",
        "customer",
        "timeout_s",
        "units",
        "spread",
        "retry",
        "received_at",
        "response_future",
        "inv",
    )

    id: str
    operation: str
    plan: str
    customer: str
    timeout_s: float | None
    units: float
    spread: int
    retry: bool
    front: Any

    def __init__(self, received_at: int) -> None:
        self.received_at = received_at
        self.inv: Invocation | None = None
        self.response_future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class Request(IncomingRequest):
    """An HTTP request as received, with the fields that decisions need; raises `MalformedRequest`.

    `settings`: the gateway's settings, of which `gateways` and `most_units` are used.
    """

    __slots__ = ("method", "target", "headers", "body", "connection")
    front: Any = None  # the clients' listener responds

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: Any,
        received_at: int,
        settings: Mapping[str, Any],
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self._read_path()
        self.id = single_value(headers, "X-Request-ID", "")
        self.plan = single_value(headers, "Api-Plan", "")
        if not REQUEST_ID_FORM.fullmatch(self.id):
            raise MalformedRequest("no request id")
        timeout_s = single_value(headers, "X-Timeout")
        self.timeout_s = (
            None if timeout_s is None else parse_bounded(float, timeout_s, MIN_TIMEOUT_S, MAX_TIMEOUT_S)
        )
        terms = dict(
            part.strip().partition("=")[::2] for part in single_value(headers, "Api-Terms", "").split(",")
        )
        gateways = settings["gateways"]
        max_units = settings["most_units"] or MAX_UNITS
        self.units = parse_bounded(float, terms.get("units", 1), MIN_UNITS, max_units)
        self.spread = parse_bounded(int, terms.get("spread", gateways), 1, gateways)
        parse_bounded(int, terms.get("first", 0), 0, gateways - 1)
        self.retry = single_value(headers, "X-Retried") == "1"
        super().__init__(received_at)
        self.connection: ClientConnection | None = None

    def _read_path(self) -> None:
        path = self.target.partition("?")[0].split("/")
        if len(path) < MIN_PATH_PARTS or path[0] or not CUSTOMER_FORM.fullmatch(path[-1]):
            raise MalformedRequest("the path is not /operation/customer")
        self.operation = path[1]
        self.customer = path[-1]
        if (
            int(self.customer, 16) >= MAX_CUSTOMERS
            or single_value(self.headers, "X-Priority-Class", self.operation) != self.operation
        ):
            raise MalformedRequest("no such customer or operation")

    def client_left(self) -> bool:
        """Whether the client has disconnected, as far as the loop has read."""
        return (
            self.response_future.cancelled()
            or self.connection is not None
            and self.connection.is_disconnected()
        )

    def has_unread_data(self) -> bool:
        """Whether data or an end of file from the client waits to be read."""
        return self.connection is not None and readable(self.connection.transport)


def single_value(headers: Headers, name: str, default: str | None = None) -> Any:
    """Return the value of a header, or `default` without one; raises `MalformedRequest` if it is repeated."""
    values = headers.getall(name, (default,))
    if len(values) > 1:
        raise MalformedRequest(f"more than one {name}")
    return values[0]


def parse_bounded(parse: Callable[[Any], Number], text: Any, minimum: float, maximum: float) -> Number:
    """Parse a finite number from `minimum` to `maximum`.

    Raises `MalformedRequest` if it is out of these bounds, and the error of `parse` if it is not a number.
    """
    value = parse(text)
    if not (math.isfinite(value) and minimum <= value <= maximum):
        raise MalformedRequest(f"out of range: {text!r}")
    return value
