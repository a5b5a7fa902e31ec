"""What the data plane asks of its surroundings: routing, backends, budgets, and the connections to backends.

The data plane owns none of these.  Routing and backends are read at each decision, never kept across an
await, so that a new configuration or a draining backend acts on the next send.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import attrs
import httpcore

from ..budgets.messages import Reserve, ReserveOutcome, Settlement
from ..discovery.messages import Backend


class Target(Protocol):
    """A service that gets a part of a route's requests."""

    @property
    def service(self) -> str:
        """The service's name."""

    @property
    def weight(self) -> int:
        """Above 0; its part is this over the sum of the route's weights."""


class Route(Protocol):
    """One route of the operator's configuration."""

    @property
    def name(self) -> str:
        """Unique among the routes of a table; what is measured by route is kept under it."""

    @property
    def kind(self) -> str:
        """What may be done with its requests.

        `idempotent`: they may run more than once; `streaming`: they are answered by events; any other: they
        may run once only.
        """

    @property
    def timeout_ms(self) -> float:
        """The longest from a request's arrival to its answer's end, all attempts together."""

    @property
    def slo_ms(self) -> float:
        """Latency target: milliseconds from a request's arrival to the first part of its answer."""

    @property
    def priority(self) -> int:
        """The lower goes first among requests that wait; 0 is the most urgent."""

    @property
    def retries(self) -> int:
        """Backends that a request may run at, 1 at least; those that crashed under it are not counted."""

    @property
    def sticky(self) -> bool:
        """Requests of one session or key keep to a backend while it is not clearly busier than others."""

    @property
    def resumable(self) -> bool:
        """A stream that breaks may be continued by another run, behind the last event passed on."""

    @property
    def retain_s(self) -> int:
        """Seconds for which a program of the route may stay away and come back; 0 where it is unset."""

    @property
    def inter_token_target_ms(self) -> float:
        """Latency target: the longest time between two tokens of a stream that is in time."""

    @property
    def targets(self) -> Sequence[Target]:
        """The services that share the route's requests, at least one."""


class Service(Protocol):
    """One service of the operator's configuration."""

    @property
    def name(self) -> str:
        """Unique among the services of a table."""

    @property
    def max_conns(self) -> int:
        """Connections that one of its backends takes, from all gateways together."""

    @property
    def slots(self) -> int:
        """Requests that a backend runs at once where it names no number itself; 0 where that is unknown."""

    @property
    def stride(self) -> int:
        """Tokens in one event of a stream; 0 where the service is no model's."""

    @property
    def is_model(self) -> bool:
        """Its backends run a model, and hold the state of sessions that they have served."""


class Limits(Protocol):
    """What the operator allows a client to send, and how long it may take."""

    @property
    def max_header_bytes(self) -> int:
        """All of a request's header lines together."""

    @property
    def max_body_bytes(self) -> int:
        """A request's body; a larger one is rejected with 413."""

    @property
    def header_timeout_ms(self) -> float:
        """Time for a request's body to arrive behind its head."""

    @property
    def idle_timeout_ms(self) -> float:
        """How long clients may keep a connection without a request; the gateway keeps it for longer."""


class RoutingTable(Protocol):
    """One version of the routes; it never changes, a new version is a new table."""

    @property
    def version(self) -> int:
        """The version of the configuration document that the table was made from."""

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name.  Hazard: a route may name one that is not there."""

    @property
    def limits(self) -> Limits:
        """What clients may send."""

    def route(self, host: str, path: str) -> Route | None:
        """The route of a request for `path` (undecoded, without its query) at `host`, if any."""


class Routing(Protocol):
    """Holds the newest routing table, or None before the first configuration."""

    def current(self) -> RoutingTable | None:
        """The table in force, None before the first; once there is one, it is never None again."""


class Backends(Protocol):
    """Live view of the backends that may be given requests."""

    def of(self, service: str) -> tuple[Backend, ...]:
        """The backends of `service` that may be given a request now; empty for an unknown service.

        Hazard: the view is of this moment; ask again behind each await.
        """

    def mark_departed(self, identity: str) -> None:
        """Another incarnation answered at the address of the backend `identity`: this one is no more."""


class Budget(Protocol):
    """Client side of the budgets of programs.

    A reservation that was not admitted, or whose `reserve` was cancelled, is taken back by the budget itself;
    an admitted one by `settle`, which returns at once.
    """

    def reservation_name(self, request_id: str) -> str:
        """A name for one attempt's reservation that no other attempt has, whatever ids clients send."""

    async def reserve(self, service: str, command: Reserve) -> ReserveOutcome:
        """The owner's outcome; the verdict `NO_ANSWER`, in bounded time, where no owner gave one."""

    def settle(self, service: str, command: Settlement) -> None:
        """Has the owner replace an admitted reservation by what was used.

        Returns at once; bringing it to the owner is the budget's task.  Called once for each reservation.
        """

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        """Whether it is known without asking that `budget` tokens (0: no bound) leave less than `max_tokens`.

        True only where the owner would refuse for good; False says nothing.
        """


@attrs.define
class WireState:
    """What became of one request on its connection; the next request there has an account of its own.

    Invariant: `sent` is set before the first byte is handed over, so that where it is not set the backend
    cannot have the request.
    """

    sent: bool = False  # a byte of the request was handed to the network
    response_started: bool = False  # a byte came back since the request was begun


class BackendStream(httpcore.AsyncNetworkStream):
    """A network stream to a backend that tells what became of it."""

    @property
    def usable(self) -> bool:
        """Neither closed nor holding bytes that nobody asked for or that have not left.

        Hazard: bytes that nobody asked for would be read as the next request's answer.
        """
        raise NotImplementedError

    def begin_request(self) -> WireState:
        """The account of a new request, kept from now on: nothing left, nothing answered."""
        raise NotImplementedError

    def push_back(self, received: bytes) -> None:
        """`received` is read first, and what is written before `begin` is dropped: it has left already."""
        raise NotImplementedError

    def abort(self) -> None:
        """Closes at once; what was not yet sent is dropped, and who reads sees an error, not a proper end."""
        raise NotImplementedError


class Network(Protocol):
    """Opens streams to backends; raises OSError."""

    async def connect(self, address: str, timeout_s: float) -> BackendStream:
        """A connected stream to `ip:port`.

        Raises ConnectionRefusedError where nothing listens there, and another OSError (TimeoutError after
        `timeout_s` among them) where no connection came up; in either case no byte was sent.
        """


@attrs.frozen
class Dependencies:
    """All that a data plane is given.

    `gateways` estimates how many gateways share the backends; `may_refuse` tells whether the configuration in
    force is known to be the newest, so that a refusal by it may be final.
    """

    routing: Routing
    backends: Backends
    budget: Budget
    network: Network
    zone: str  # this gateway's
    gateways: Callable[[], int] = lambda: 10
    may_refuse: Callable[[], bool] = lambda: True
