"""Whether an operator's document may be accepted: its bytes, its schema, and what only shows when its parts
are looked at together.

Invariant: `find_document_errors` returns nothing for exactly the documents that `check_document` accepts, and
its first item is the rejection that `check_document` raises.  `check_document` stops at the first error
because a response waits for it.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from typing import Any

import schema

from kestrelbend.tier.configuration import schemas
from kestrelbend.tier.configuration.document_errors import (
    DocumentRejection,
    InvalidDocument,
    RejectionCode,
    invalid,
)
from kestrelbend.tier.configuration.field_checks import abbreviated

MAX_DEPTH = 32  # of objects and lists in one another


def host_key(host: str) -> str:
    """A host as it is compared: without its port and in lower case."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def decode(body: bytes) -> dict[str, Any]:
    """The body as an object; fails if it is cut short, names a key twice or holds what is no JSON number."""
    try:
        values = json.loads(
            bytes(body).decode("utf-8"),
            object_pairs_hook=_unique,
            parse_constant=_finite,
            parse_float=_finite,
        )
    except (ValueError, RecursionError) as error:
        raise invalid(RejectionCode.UNREADABLE, f"cannot be read whole: {ascii(str(error))[:120]}") from None
    if not isinstance(values, dict):
        raise invalid(RejectionCode.UNREADABLE, "is not an object")
    _check_depth(values)
    return values


def validate(expected: schema.Schema, values: Any, what: str) -> None:
    """Raises `InvalidDocument` with the first fault of `values` by the schema; `what` names them."""
    try:
        expected.validate(values)
    except schema.SchemaError as error:
        raise _wrong_schema(what, error.code) from None


def check_document(values: dict[str, Any]) -> None:
    """Raises `InvalidDocument` for a configuration that is not valid as a whole."""
    validate(schemas.DOCUMENT, values, "configuration")
    for fault in _faults_between(values):
        raise InvalidDocument(fault)


def check_names(kind: str, items: list[Any]) -> None:
    """Raises `InvalidDocument` where two items of a list share a name."""
    for fault in _name_faults(kind, items):
        raise InvalidDocument(fault)


def find_document_errors(body: bytes) -> tuple[DocumentRejection, ...]:
    """All that is wrong with a configuration; a route that doesn't fit its schema isn't looked at further."""
    try:
        values = decode(body)
    except InvalidDocument as fault:
        return (fault.rejection,)
    faults = [_wrong_schema("configuration", text).rejection for text in schemas.CONFIGURATION.faults(values)]
    return (*faults, *_faults_between(_well_formed_parts(values) if faults else values))


def _well_formed_parts(values: dict[str, Any]) -> dict[str, Any]:
    """The parts of a document that fit their schema, so that they can be checked against each other."""
    parts = {kind: items for kind, items in values.items() if isinstance(items, list)}
    routes = parts.get("Routes", [])
    parts["Routes"] = [route for route in routes if not any(schemas.ROUTE.faults(route))]
    if "Services" not in parts:
        parts.update(Routes=[], Services=[])
    return parts


def _faults_between(values: dict[str, Any]) -> Iterator[DocumentRejection]:
    """The faults between parts that are right by themselves."""
    for kind, items in values.items():
        if isinstance(items, list):
            yield from _name_faults(kind, items)
    services = {name_of(service) for service in values["Services"]}
    yield from _route_faults(values["Routes"], services)


def _name_faults(kind: str, items: list[Any]) -> Iterator[DocumentRejection]:
    """Two items of a list never share a name."""
    seen: set[str] = set()
    for item in items:
        name = name_of(item)
        if name is None:
            continue
        if name in seen:
            yield DocumentRejection(
                RejectionCode.SAME_NAME, f"{abbreviated(kind)}: two items share the name {abbreviated(name)}"
            )
        seen.add(name)


def _route_faults(routes: list[dict[str, Any]], services: set[str | None]) -> Iterator[DocumentRejection]:
    """No two routes share host and prefix, and each one's services exist."""
    claimed: set[tuple[str, str]] = set()
    for route in routes:
        host_and_prefix = (host_key(route["Hostname"]), route["PathPrefix"])
        if host_and_prefix in claimed:
            name = abbreviated(route["Name"])
            yield DocumentRejection(
                RejectionCode.SAME_HOST_AND_PREFIX, f"route {name}: another route has its host and prefix"
            )
        claimed.add(host_and_prefix)
        yield from _target_faults(route, services)


def _target_faults(route: dict[str, Any], services: set[str | None]) -> Iterator[DocumentRejection]:
    """A route names services that exist, one at least, and its weights add up to more than 0."""
    name = abbreviated(route["Name"])
    split = route.get("Split")
    upstream = route.get("Upstream")
    named = [target["Upstream"] for target in split or ()]
    if upstream is not None:
        named.append(upstream)
    for service in named:
        if service not in services:
            yield DocumentRejection(
                RejectionCode.UNKNOWN_SERVICE, f"route {name}: service {abbreviated(service)} is unknown"
            )
    if split is not None and math.fsum(target["Weight"] for target in split) <= 0:
        yield DocumentRejection(RejectionCode.NO_WEIGHT, f"route {name}: its weights add up to 0")
    if not named:
        yield DocumentRejection(RejectionCode.NO_SERVICE, f"route {name}: names no service")


def name_of(item: Any) -> str | None:
    """The name of an item, None where it has none."""
    name = item.get("Name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _wrong_schema(what: str, text: str) -> InvalidDocument:
    return invalid(RejectionCode.WRONG_SCHEMA, f"{what}: {text}")


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) != len(pairs):
        raise ValueError("an object names a key twice")
    return values


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is not a finite number")
    return value


def _check_depth(values: dict[str, Any]) -> None:
    """A bound of its own, as the interpreter's depends on the depth of the caller."""
    level: list[Any] = [values]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _containers(outer)]
        if not level:
            return
    raise invalid(RejectionCode.TOO_DEEP, f"objects lie more than {MAX_DEPTH} deep in one another")


def _containers(outer: dict[str, Any] | list[Any]) -> list[Any]:
    parts = outer.values() if isinstance(outer, dict) else outer
    return [part for part in parts if isinstance(part, (dict, list))]
