"""Interfaces that the data plane depends on: routing, backends, budgets, and connections to backends.

The data plane owns none of these.  It reads routing and backends anew for each decision and never keeps them
across an await, so that a new configuration or a draining backend takes effect at the next send.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import attrs
import httpcore

from ..budgets.messages import Reserve, ReserveOutcome, Settlement
from ..discovery.messages import Backend
from ..http_server.body_budget import BodyBudget


class Target(Protocol):
    """A service that receives a share of a route's requests."""

    @property
    def service(self) -> str:
        """The service's name."""

    @property
    def weight(self) -> int:
        """Above 0; the service's share is its weight divided by the sum of the route's weights."""


class Route(Protocol):
    """One route of the operator's configuration."""

    @property
    def name(self) -> str:
        """Unique among the routes of a table; also the key of per-route measurements."""

    @property
    def kind(self) -> str:
        """The kind of its requests.

        `idempotent`: a request may run more than once; `streaming`: the response is an event stream; any
        other kind: a request may run only once.
        """

    @property
    def timeout_ms(self) -> float:
        """The maximum time from a request's arrival to the end of its response, over all attempts."""

    @property
    def slo_ms(self) -> float:
        """Latency target: milliseconds from a request's arrival to the first part of its response."""

    @property
    def priority(self) -> int:
        """Order of the requests that wait: lower values first; 0 is the most urgent."""

    @property
    def retries(self) -> int:
        """Number of backends that may run a request, at least 1; backends that crashed do not count."""

    @property
    def sticky(self) -> bool:
        """Requests with one session or key prefer one backend unless it is clearly busier than others."""

    @property
    def resumable(self) -> bool:
        """A broken stream may be resumed by another run, after the last event the client was sent."""

    @property
    def retain_s(self) -> int:
        """Seconds for which the state of an inactive program of the route is retained; 0 if unset."""

    @property
    def inter_token_target_ms(self) -> float:
        """Latency target: the maximum time between two tokens of a stream."""

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
        """Connections that one of its backends accepts, from all gateways together."""

    @property
    def slots(self) -> int:
        """Concurrent requests per backend, for backends that report no number; 0 if unknown."""

    @property
    def stride(self) -> int:
        """Tokens per event of a stream; 0 if the service does not run a model."""

    @property
    def is_model(self) -> bool:
        """Whether its backends run a model and hold the state of the sessions that they have served."""


class Limits(Protocol):
    """The operator's limits on the size and duration of clients' requests."""

    @property
    def max_header_bytes(self) -> int:
        """Total size of a request's header lines."""

    @property
    def max_body_bytes(self) -> int:
        """Size of a request's body; a larger one is rejected with 413."""

    @property
    def header_timeout_ms(self) -> float:
        """Time for a request's body to arrive after its headers."""

    @property
    def idle_timeout_ms(self) -> float:
        """How long clients may reuse an idle connection; the gateway keeps it open for longer."""


class RoutingTable(Protocol):
    """One immutable version of the routes; each new version is a new table."""

    @property
    def version(self) -> int:
        """The version of the configuration document that the table was made from."""

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name.  Hazard: a route may name a service that does not exist."""

    @property
    def limits(self) -> Limits:
        """The limits on clients' requests."""

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of a request for `path` (not percent-decoded, without the query) at `host`, if any."""


class Routing(Protocol):
    """Holds the newest routing table, or None before the first configuration."""

    def current(self) -> RoutingTable | None:
        """The table in force; None before the first configuration, and never None afterwards."""


class Backends(Protocol):
    """Live view of the backends that may receive requests."""

    def of(self, service: str) -> tuple[Backend, ...]:
        """The backends of `service` that may receive a request now; empty for an unknown service.

        Hazard: the result is a snapshot; call this again after each await.
        """

    def mark_departed(self, identity: str) -> None:
        """Another incarnation responded at the address of the backend `identity`, which no longer exists."""


class Budget(Protocol):
    """Client for the token budgets of programs.

    The budget itself releases a reservation that was not admitted or whose `reserve` call was cancelled; an
    admitted one is released by `settle`, which returns at once.
    """

    def reservation_name(self, request_id: str) -> str:
        """A unique name for one attempt's reservation, even if clients repeat a request id."""

    async def reserve(self, service: str, command: Reserve) -> ReserveOutcome:
        """The owner's outcome; the verdict `OWNER_UNAVAILABLE`, in bounded time, if no owner replied."""

    def settle(self, service: str, command: Settlement) -> None:
        """Has the budget's owner replace an admitted reservation with the tokens used.

        Returns at once; the implementation delivers it to the owner.  Called once for each reservation.
        """

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        """Whether local data shows that less than `max_tokens` of `budget` (0: unlimited) remain.

        True only if the owner would refuse permanently; False means that the owner must be asked.
        """


@attrs.define
class WireState:
    """What was sent and received for one request on a connection; each request there gets a new one.

    Invariant: `sent` is set before the first byte is handed to the network.  While it is not set, the backend
    cannot have received the request.
    """

    sent: bool = False  # a byte of the request was handed to the network
    response_started: bool = False  # a byte was received since `begin_request`


class BackendStream(httpcore.AsyncNetworkStream):
    """A network stream to a backend that tracks the bytes sent and received."""

    @property
    def usable(self) -> bool:
        """Whether the stream is open and holds neither unread nor unsent bytes.

        Hazard: unread bytes would be taken for the response to the next request.
        """
        raise NotImplementedError

    def begin_request(self) -> WireState:
        """Starts a new request and returns its state, which the stream updates from now on."""
        raise NotImplementedError

    def push_back(self, received: bytes) -> None:
        """Pushes `received` back to be read first, and drops all writes until the next `begin_request`.

        The request has already been sent; its bytes must not be sent twice.
        """
        raise NotImplementedError

    def abort(self) -> None:
        """Closes at once and drops unsent bytes; a pending read fails instead of seeing an end of stream."""
        raise NotImplementedError


class Network(Protocol):
    """Opens streams to backends."""

    async def connect(self, address: str, timeout_s: float) -> BackendStream:
        """Opens a stream to `ip:port`.

        Raises ConnectionRefusedError if nothing listens there and another OSError (including TimeoutError
        after `timeout_s`) if no connection was established.  In either case no byte was sent.
        """


@attrs.frozen
class Dependencies:
    """The dependencies of a data plane.

    `gateways` estimates how many gateways share the backends; `may_refuse` returns whether the configuration
    in force is known to be the newest, so that a rejection based on it may be final.
    """

    routing: Routing
    backends: Backends
    budget: Budget
    network: Network
    zone: str  # the zone of this gateway
    gateways: Callable[[], int] = lambda: 10
    may_refuse: Callable[[], bool] = lambda: True
    bodies: BodyBudget = attrs.field(factory=BodyBudget)  # of the requests in progress
