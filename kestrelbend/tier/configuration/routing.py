"""The routing table, built once for each version of the configuration.

Invariant: `find_route` returns the route of the request's host with the longest `PathPrefix` that matches the
request's path.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

from kestrelbend.tier.configuration.checks import normalize_host

DEFAULT_MAX_HEADER_BYTES = 16384
DEFAULT_MAX_BODY_BYTES = 4194304
DEFAULT_HEADER_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15000
DEFAULT_HEALTH_PATH = "/healthz"
DEFAULT_MAX_CONNECTIONS = 100
WEIGHT_SCALE = 1000  # integer units per weight of 1 if weights have fractions


class Target(NamedTuple):
    """A service that receives requests of a route in proportion to its weight among the route's targets."""

    service: str
    weight: int  # above 0


@attrs.frozen
class Route:
    """A route with defaults in place of optional fields that the operator omitted."""

    name: str
    hostname: str
    path_prefix: str
    kind: str  # `RouteType`
    timeout_ms: float  # per request, over all attempts
    slo_ms: float  # latency target per request
    priority: int  # of queued requests; lower values are served first
    retries: int  # number of backends that a request may be sent to, at least 1
    stored: bool
    retain_s: int  # how long a program of the route may be absent and still return
    sticky: bool  # a session stays on one backend
    resumable: bool  # a broken stream may be resumed within the same response
    inter_token_target_ms: float  # latency target between two tokens (document key `gap_aim_ms`)
    targets: tuple[Target, ...]


@attrs.frozen
class Service:
    """A service; `slots`, `kv_tokens` and `stride` are 0 if it does not serve models."""

    name: str
    health_path: str
    max_conns: int  # per backend, for all gateways together
    slots: int  # concurrent turns of a backend that does not report its own number
    kv_tokens: int  # capacity of a backend's KV cache
    stride: int  # tokens per stream event
    is_model: bool


@attrs.frozen
class Limits:
    """Limits on the size of requests, the time to receive a header, and the time a client may be idle."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


class _HostRoutes:
    """The routes of one host by prefix, and the distinct numbers of slashes in the prefixes, ascending."""

    __slots__ = ("by_prefix", "depths")

    def __init__(self) -> None:
        self.by_prefix: dict[str, Route] = {}
        self.depths: tuple[int, ...] = ()

    def index_depths(self) -> None:
        """Computes `depths`; called after all routes were added."""
        self.depths = tuple(sorted({prefix.count("/") for prefix in self.by_prefix}))

    def find(self, path: str) -> Route | None:
        """Returns the route with the longest matching prefix.

        Every prefix ends with a slash, so the only candidate with n slashes ends at the path's n-th slash.
        """
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
    """The routes, services and limits of one version; immutable."""

    def __init__(
        self, version: int, routes: tuple[Route, ...], services: dict[str, Service], limits: Limits
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self._hosts: dict[str, _HostRoutes] = {}
        for route in routes:
            host = self._hosts.setdefault(normalize_host(route.hostname), _HostRoutes())
            host.by_prefix[route.path_prefix] = route
        for host in self._hosts.values():
            host.index_depths()

    @classmethod
    def empty(cls) -> RoutingTable:
        """Returns the table used before the first configuration."""
        return cls(0, (), {}, Limits())

    @classmethod
    def from_document(cls, version: int, document: Mapping[str, Any]) -> RoutingTable:
        """Builds the table of a valid document from its decoded JSON (`Document.values`)."""
        return cls(
            version=version,
            routes=tuple(_route(item) for item in document["Routes"]),
            services={item["Name"]: _service(item) for item in document["Services"]},
            limits=_limits(document.get("Limits") or {}),
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route for a `Host` header and a path without query, or None."""
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(normalize_host(host.strip()))
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
        slo_ms=_value_or_default(item, "SloMs", item["TimeoutMs"]),
        priority=_value_or_default(item, "Prio", 0),
        retries=max(1, _value_or_default(item, "Retries", 1)),
        stored=_value_or_default(item, "Stored", False),
        retain_s=math.ceil(_value_or_default(item, "RetainS", 0)),
        sticky=_value_or_default(item, "Sticky", False),
        resumable=_value_or_default(item, "Resumable", False),
        inter_token_target_ms=_value_or_default(item, "gap_aim_ms", 0),
        targets=_targets(item),
    )


def _targets(item: dict[str, Any]) -> tuple[Target, ...]:
    """Returns services with weights; weights of a repeated service are added, weight 0 is omitted."""
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
        health_path=_value_or_default(item, "HealthPath", DEFAULT_HEALTH_PATH),
        max_conns=_value_or_default(item, "MaxConns", DEFAULT_MAX_CONNECTIONS),
        slots=_value_or_default(engine, "Slots", 0),
        kv_tokens=_value_or_default(engine, "KvTokens", 0),
        stride=_value_or_default(engine, "Stride", 0),
        is_model=item.get("Engine") is not None,
    )


def _limits(item: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=_value_or_default(item, "MaxHeaderBytes", DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes=_value_or_default(item, "MaxBodyBytes", DEFAULT_MAX_BODY_BYTES),
        header_timeout_ms=_value_or_default(item, "HeaderTimeoutMs", DEFAULT_HEADER_TIMEOUT_MS),
        idle_timeout_ms=_value_or_default(item, "IdleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MS),
    )


def _value_or_default(item: dict[str, Any], name: str, default: Any) -> Any:
    """Returns a field's value; null is treated as absent."""
    value = item.get(name)
    return default if value is None else value
