"""A client's request and its form by the clients' protocol: `METHOD /operation/customer`, with headers.

What is not in the protocol's form is not guessed at: under a customer's name it would spoil what is known of
it.
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

MAX_CUSTOMERS: Final = 1 << 33  # their numbers stay below, by the protocol
CUSTOMER_FORM: Final = re.compile("[0-9A-Fa-f]{16}")
REQUEST_ID_FORM: Final = re.compile("[!-~]{1,128}")
MIN_PATH_PARTS: Final = 3  # of "/operation/customer" split at "/"
MIN_WAIT_S: Final = 1e-6
MAX_WAIT_S: Final = 1e6
MIN_UNITS: Final = 1e-6
MAX_UNITS: Final = 1e9  # where the settings state no limit
Number = TypeVar("Number", int, float)


class MalformedRequest(GatewayError, ValueError):
    """A request, or a number in a header, is not in the protocol's form; its sender gets status 400."""

    code = "net.malformed_request"


class Headers(Protocol):
    """What is read of a request's headers: multidict's views of them."""

    def getall(self, name: str, otherwise: Any) -> Any:
        """All values of a header; `otherwise` where there is none."""


class ClientConnection(Protocol):
    """The connection that a request came on."""

    @property
    def transport(self) -> Any:
        """The connection's transport; None once it is lost."""

    def gone(self) -> bool:
        """Whether its client has closed it, as far as the loop has read."""


class IncomingRequest:
    """What the owner needs to know of one request, whichever way it came.

    `id`, `operation`, `plan`, `customer`: what it asks for, in whose name. `wait`: seconds that it may take,
    None where it does not say. `units`: its size. `spread`: gateways that the customer's requests go to.
    `retry`: whether it is one. `came`: when it came, in microseconds of the gateway's clock. `answer` is
    settled once; `inv` is the invocation that the decisions make of it. `front`: what answers it
    (`owner.RequestFront`), None where the clients' listener does.
    """

    __slots__ = (
        "id",
        "operation",
        "plan",
        "customer",
        "wait",
        "units",
        "spread",
        "retry",
        "came",
        "answer",
        "inv",
    )

    id: str
    operation: str
    plan: str
    customer: str
    wait: float | None
    units: float
    spread: int
    retry: bool
    front: Any

    def __init__(self, came: int) -> None:
        self.came = came
        self.inv: Invocation | None = None
        self.answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class Request(IncomingRequest):
    """One HTTP request as it came, and the fields that decisions need; raises `MalformedRequest`.

    `settings`: the gateway's; `gateways` and `most_units` are read.
    """

    __slots__ = ("method", "target", "headers", "body", "connection")
    front: Any = None  # by another way than this listener

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: Any,
        came: int,
        settings: Mapping[str, Any],
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self._read_path()
        self.id = single(headers, "X-Request-ID", "")
        self.plan = single(headers, "Api-Plan", "")
        if not REQUEST_ID_FORM.fullmatch(self.id):
            raise MalformedRequest("no request id")
        wait = single(headers, "X-Timeout")
        self.wait = None if wait is None else bounded(float, wait, MIN_WAIT_S, MAX_WAIT_S)
        terms = dict(part.strip().partition("=")[::2] for part in single(headers, "Api-Terms", "").split(","))
        gateways = settings["gateways"]
        max_units = settings["most_units"] or MAX_UNITS
        self.units = bounded(float, terms.get("units", 1), MIN_UNITS, max_units)
        self.spread = bounded(int, terms.get("spread", gateways), 1, gateways)
        bounded(int, terms.get("first", 0), 0, gateways - 1)
        self.retry = single(headers, "X-Retried") == "1"
        super().__init__(came)
        self.connection: ClientConnection | None = None

    def _read_path(self) -> None:
        path = self.target.partition("?")[0].split("/")
        if len(path) < MIN_PATH_PARTS or path[0] or not CUSTOMER_FORM.fullmatch(path[-1]):
            raise MalformedRequest("the path is not /operation/customer")
        self.operation = path[1]
        self.customer = path[-1]
        if (
            int(self.customer, 16) >= MAX_CUSTOMERS
            or single(self.headers, "X-Priority-Class", self.operation) != self.operation
        ):
            raise MalformedRequest("no such customer or operation")

    def left(self) -> bool:
        """Whether its client has gone, as far as the loop has read."""
        return self.answer.cancelled() or self.connection is not None and self.connection.gone()

    def unread(self) -> bool:
        """Whether something of its client, perhaps its end, waits to be read."""
        return self.connection is not None and readable(self.connection.transport)


def single(headers: Headers, name: str, otherwise: str | None = None) -> Any:
    """The one value of a header, `otherwise` where there is none; raises `MalformedRequest` for more."""
    values = headers.getall(name, (otherwise,))
    if len(values) > 1:
        raise MalformedRequest(f"more than one {name}")
    return values[0]


def bounded(kind: Callable[[Any], Number], text: Any, least: float, most: float) -> Number:
    """The finite number that `text` is, from `least` to `most`.

    Raises `MalformedRequest` out of these bounds, and what `kind` raises where it is no number.
    """
    value = kind(text)
    if not (math.isfinite(value) and least <= value <= most):
        raise MalformedRequest(f"out of range: {text!r}")
    return value
