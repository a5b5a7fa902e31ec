"""What the data plane asks of its surroundings: routing, backends, budgets, and the connections to backends.

The data plane owns none of these.  Routing and backends are read at each decision, never kept across an
await, so that a new configuration or a draining backend acts on the next send.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs
import httpcore

from ..budgets.messages import Reserve, ReserveOutcome, Settlement
from ..discovery.messages import Backend


class Route(Protocol):
    """One route of the operator's configuration."""

    @property
    def name(self) -> str: ...

    @property
    def kind(self) -> str: ...

    @property
    def timeout_ms(self) -> float: ...

    @property
    def slo_ms(self) -> float: ...

    @property
    def priority(self) -> int: ...

    @property
    def retries(self) -> int: ...

    @property
    def sticky(self) -> bool: ...

    @property
    def resumable(self) -> bool: ...

    @property
    def retain_s(self) -> int: ...

    @property
    def inter_token_target_ms(self) -> float: ...

    @property
    def targets(self) -> tuple[tuple[str, int], ...]: ...


class Service(Protocol):
    """One service of the operator's configuration."""

    @property
    def name(self) -> str: ...

    @property
    def max_conns(self) -> int: ...

    @property
    def slots(self) -> int: ...

    @property
    def stride(self) -> int: ...

    @property
    def is_model(self) -> bool: ...


class Limits(Protocol):
    """What the operator allows a client to send, and how long it may take."""

    @property
    def max_header_bytes(self) -> int: ...

    @property
    def max_body_bytes(self) -> int: ...

    @property
    def header_timeout_ms(self) -> float: ...

    @property
    def idle_timeout_ms(self) -> float: ...


class RoutingTable(Protocol):
    """One version of the routes; it never changes, a new version is a new table."""

    @property
    def version(self) -> int: ...

    @property
    def services(self) -> Mapping[str, Service]: ...

    @property
    def limits(self) -> Limits: ...

    def route(self, host: str, path: str) -> Route | None: ...


class Routing(Protocol):
    """Holds the newest routing table, or None before the first configuration."""

    def current(self) -> RoutingTable | None: ...


class Backends(Protocol):
    """Live view of the backends that may be given requests."""

    def of(self, service: str) -> tuple[Backend, ...]: ...

    def mark_departed(self, identity: str) -> None: ...


class Budget(Protocol):
    """Client side of the budgets of programs.

    A reservation that was not admitted, or whose `reserve` was cancelled, is taken back by the budget itself;
    an admitted one by `settle`, which returns at once.
    """

    def reservation_name(self, request_id: str) -> str:
        """A name for one attempt's reservation that no other attempt has, whatever ids clients send."""

    async def reserve(self, service: str, command: Reserve) -> ReserveOutcome: ...

    def settle(self, service: str, command: Settlement) -> None: ...

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool: ...


@attrs.define
class WireAccount:
    """What became of one request on its connection; the next request there has an account of its own."""

    sent: bool = False  # a byte of the request was handed to the network
    answered: bool = False  # a byte came back since the request was begun


class BackendStream(httpcore.AsyncNetworkStream):
    """A network stream to a backend that tells what became of it."""

    usable: bool  # neither closed nor holding bytes that nobody asked for or that have not left

    def begin(self) -> WireAccount:
        """The account of a new request, kept from now on: nothing left, nothing answered."""

    def replay(self, received: bytes) -> None:
        """`received` is read first, and what is written before that is dropped: it has left already."""

    def abort(self) -> None:
        """Closes at once; what was not yet sent is dropped."""


class Network(Protocol):
    """Opens streams to backends; raises OSError."""

    async def connect(self, address: str, timeout_s: float) -> BackendStream: ...
