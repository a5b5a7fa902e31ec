"""The routing table, built once for each version of the configuration.

Invariant: `find_route` returns the route of the request's host with the longest `PathPrefix` that matches the
request's path.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

from kestrelbend.tier.configuration.checks import host_key

DEFAULT_MAX_HEADER_BYTES = 16384
DEFAULT_MAX_BODY_BYTES = 4194304
DEFAULT_HEADER_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15000
DEFAULT_HEALTH_PATH = "/healthz"
DEFAULT_MAX_CONNECTIONS = 100
WEIGHT_SCALE = 1000  # parts of 1 that weights with fractions are counted in


class Target(NamedTuple):
    """A service that gets a part of a route's requests, by its weight among the route's targets."""

    service: str
    weight: int  # above 0


@attrs.frozen
class Route:
    """One route as requests need it; what an operator may leave out has its default here."""

    name: str
    hostname: str
    path_prefix: str
    kind: str  # `RouteType`
    timeout_ms: float  # for a request, all its attempts together
    slo_ms: float  # latency target of a request
    priority: int  # among requests that wait, the lower goes first
    retries: int  # backends that a request may be sent to, 1 at least
    stored: bool
    retain_s: int  # for which a program of the route may stay away and come back
    sticky: bool  # sessions keep to a backend
    resumable: bool  # a broken stream may be resumed within its answer
    inter_token_target_ms: float  # latency target between two tokens (key `gap_aim_ms`)
    targets: tuple[Target, ...]


@attrs.frozen
class Service:
    """One service; `slots`, `kv_tokens` and `stride` are 0 where it isn't a model's."""

    name: str
    health_path: str
    max_conns: int  # to one of its backends, by all gateways together
    slots: int  # concurrent turns of a backend that names no number
    kv_tokens: int  # capacity of a backend's KV cache
    stride: int  # tokens in one event of a stream
    is_model: bool


@attrs.frozen
class Limits:
    """What a client may send and how long it may take or stay idle."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


class _HostRoutes:
    """The routes of one host by prefix, with the numbers of slashes that its prefixes have, rising."""

    __slots__ = ("by_prefix", "depths")

    def __init__(self) -> None:
        self.by_prefix: dict[str, Route] = {}
        self.depths: tuple[int, ...] = ()

    def index_depths(self) -> None:
        """Sorts the depths; called once all routes are in."""
        self.depths = tuple(sorted({prefix.count("/") for prefix in self.by_prefix}))

    def find(self, path: str) -> Route | None:
        """Every prefix ends in a slash, so the n-th slash of a path bounds its only candidate of depth n."""
        found = None
        end = -1
        depth = 0
        for wanted in self.depths:
            while depth < wanted:
                end = path.find("/", end + 1)
                if end < 0:
                    return found
                depth += 1
            found = self.by_prefix.get(path[: end + 1], found)
        return found


class RoutingTable:
    """The routes, services and limits of one version; never changes."""

    def __init__(
        self, version: int, routes: tuple[Route, ...], services: dict[str, Service], limits: Limits
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self._hosts: dict[str, _HostRoutes] = {}
        for route in routes:
            host = self._hosts.setdefault(host_key(route.hostname), _HostRoutes())
            host.by_prefix[route.path_prefix] = route
        for host in self._hosts.values():
            host.index_depths()

    @classmethod
    def empty(cls) -> RoutingTable:
        """What is in force before the first configuration."""
        return cls(0, (), {}, Limits())

    @classmethod
    def from_document(cls, version: int, document: Mapping[str, Any]) -> RoutingTable:
        """The table of a valid document, given as its decoded JSON (`Document.values`)."""
        return cls(
            version=version,
            routes=tuple(_route(item) for item in document["Routes"]),
            services={item["Name"]: _service(item) for item in document["Services"]},
            limits=_limits(document.get("Limits") or {}),
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """The route for a request's `Host` header and its path (without the query), if there is one."""
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host_key(host.strip()))
            if routes is None:
                return None
        return routes.find(path)


def _route(item: dict[str, Any]) -> Route:
    return Route(
        name=item["Name"],
        hostname=item["Hostname"],
        path_prefix=item["PathPrefix"],
        kind=item["RouteType"],
        timeout_ms=item["TimeoutMs"],
        slo_ms=_value(item, "SloMs", item["TimeoutMs"]),
        priority=_value(item, "Prio", 0),
        retries=max(1, _value(item, "Retries", 1)),
        stored=_value(item, "Stored", False),
        retain_s=math.ceil(_value(item, "RetainS", 0)),
        sticky=_value(item, "Sticky", False),
        resumable=_value(item, "Resumable", False),
        inter_token_target_ms=_value(item, "gap_aim_ms", 0),
        targets=_targets(item),
    )


def _targets(item: dict[str, Any]) -> tuple[Target, ...]:
    """Services by weight; a service that is named twice has the sum, and one of weight 0 is left out."""
    split = item.get("Split")
    if split is None:
        return (Target(item["Upstream"], 1),)
    weights: dict[str, float] = {}
    for target in split:
        weights[target["Upstream"]] = weights.get(target["Upstream"], 0) + target["Weight"]
    if any(weight != int(weight) for weight in weights.values()):
        weights = {name: max(1, weight * WEIGHT_SCALE) if weight else 0 for name, weight in weights.items()}
    return tuple(Target(name, int(weight)) for name, weight in weights.items() if weight > 0)


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("Engine") or {}
    return Service(
        name=item["Name"],
        health_path=_value(item, "HealthPath", DEFAULT_HEALTH_PATH),
        max_conns=_value(item, "MaxConns", DEFAULT_MAX_CONNECTIONS),
        slots=_value(engine, "Slots", 0),
        kv_tokens=_value(engine, "KvTokens", 0),
        stride=_value(engine, "Stride", 0),
        is_model=item.get("Engine") is not None,
    )


def _limits(item: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=_value(item, "MaxHeaderBytes", DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes=_value(item, "MaxBodyBytes", DEFAULT_MAX_BODY_BYTES),
        header_timeout_ms=_value(item, "HeaderTimeoutMs", DEFAULT_HEADER_TIMEOUT_MS),
        idle_timeout_ms=_value(item, "IdleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MS),
    )


def _value(item: dict[str, Any], name: str, default: Any) -> Any:
    """A field's value; null counts as left out."""
    value = item.get(name)
    return default if value is None else value
