"""Validation of the operator's documents: JSON syntax, schema, and consistency between sections.

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
    invalid_document,
)
from kestrelbend.tier.configuration.field_checks import abbreviated

MAX_DEPTH = 32  # levels of nested objects and lists


def normalize_host(host: str) -> str:
    """Returns a host in the form used for comparison: without port, in lower case."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def decode_document(body: bytes) -> dict[str, Any]:
    """Decodes the body to an object; rejects truncated JSON, duplicate keys and non-JSON numbers."""
    try:
        values = json.loads(
            bytes(body).decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_parse_finite_number,
            parse_float=_parse_finite_number,
        )
    except (ValueError, RecursionError) as error:
        raise invalid_document(
            RejectionCode.UNREADABLE, f"cannot be read whole: {ascii(str(error))[:120]}"
        ) from None
    if not isinstance(values, dict):
        raise invalid_document(RejectionCode.UNREADABLE, "is not an object")
    _check_depth(values)
    return values


def validate_schema(expected: schema.Schema, values: Any, label: str) -> None:
    """Raises `InvalidDocument` for the first schema error in `values`; its reason starts with `label`."""
    try:
        expected.validate(values)
    except schema.SchemaError as error:
        raise _wrong_schema(label, error.code) from None


def check_document(values: dict[str, Any]) -> None:
    """Raises `InvalidDocument` if a configuration violates its schema or its sections are inconsistent."""
    validate_schema(schemas.DOCUMENT, values, "configuration")
    for rejection in _cross_reference_errors(values):
        raise InvalidDocument(rejection)


def check_unique_names(section: str, items: list[Any]) -> None:
    """Raises `InvalidDocument` if two items of a list have the same name."""
    for rejection in _duplicate_name_errors(section, items):
        raise InvalidDocument(rejection)


def find_document_errors(body: bytes) -> tuple[DocumentRejection, ...]:
    """Returns all errors of a configuration; the consistency checks skip routes with schema errors."""
    try:
        values = decode_document(body)
    except InvalidDocument as rejection_error:
        return (rejection_error.rejection,)
    rejections = [
        _wrong_schema("configuration", text).rejection
        for text in schemas.CONFIGURATION.validation_errors(values)
    ]
    return (*rejections, *_cross_reference_errors(_valid_sections(values) if rejections else values))


def _valid_sections(values: dict[str, Any]) -> dict[str, Any]:
    """Returns the sections to check against each other, without routes that have schema errors."""
    sections = {section: items for section, items in values.items() if isinstance(items, list)}
    routes = sections.get("Routes", [])
    sections["Routes"] = [route for route in routes if not any(schemas.ROUTE.validation_errors(route))]
    if "Services" not in sections:
        sections.update(Routes=[], Services=[])
    return sections


def _cross_reference_errors(values: dict[str, Any]) -> Iterator[DocumentRejection]:
    """Yields inconsistencies between sections that each match their schema."""
    for section, items in values.items():
        if isinstance(items, list):
            yield from _duplicate_name_errors(section, items)
    services = {item_name(service) for service in values["Services"]}
    yield from _route_errors(values["Routes"], services)


def _duplicate_name_errors(section: str, items: list[Any]) -> Iterator[DocumentRejection]:
    """Yields a rejection for each item that has the name of an earlier item of the list."""
    seen: set[str] = set()
    for item in items:
        name = item_name(item)
        if name is None:
            continue
        if name in seen:
            yield DocumentRejection(
                RejectionCode.SAME_NAME,
                f"{abbreviated(section)}: two items share the name {abbreviated(name)}",
            )
        seen.add(name)


def _route_errors(routes: list[dict[str, Any]], services: set[str | None]) -> Iterator[DocumentRejection]:
    """Yields rejections for routes with the same host and prefix, and for routes with invalid targets."""
    used: set[tuple[str, str]] = set()
    for route in routes:
        host_and_prefix = (normalize_host(route["Hostname"]), route["PathPrefix"])
        if host_and_prefix in used:
            name = abbreviated(route["Name"])
            yield DocumentRejection(
                RejectionCode.SAME_HOST_AND_PREFIX,
                f"route {name}: another route has its host and prefix",
            )
        used.add(host_and_prefix)
        yield from _target_errors(route, services)


def _target_errors(route: dict[str, Any], services: set[str | None]) -> Iterator[DocumentRejection]:
    """Yields rejections for a route with unknown services, without services, or whose weights sum to 0."""
    name = abbreviated(route["Name"])
    split = route.get("Split")
    upstream = route.get("Upstream")
    service_names = [target["Upstream"] for target in split or ()]
    if upstream is not None:
        service_names.append(upstream)
    for service in service_names:
        if service not in services:
            yield DocumentRejection(
                RejectionCode.UNKNOWN_SERVICE, f"route {name}: service {abbreviated(service)} is unknown"
            )
    if split is not None and math.fsum(target["Weight"] for target in split) <= 0:
        yield DocumentRejection(RejectionCode.NO_WEIGHT, f"route {name}: its weights add up to 0")
    if not service_names:
        yield DocumentRejection(RejectionCode.NO_SERVICE, f"route {name}: names no service")


def item_name(item: Any) -> str | None:
    """Returns the name of an item, or None if it has none."""
    name = item.get("Name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _wrong_schema(label: str, text: str) -> InvalidDocument:
    return invalid_document(RejectionCode.WRONG_SCHEMA, f"{label}: {text}")


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) != len(pairs):
        raise ValueError("an object names a key twice")
    return values


def _parse_finite_number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is not a finite number")
    return value


def _check_depth(values: dict[str, Any]) -> None:
    """Limits the nesting depth; the interpreter's own limit depends on the call depth of the caller."""
    level: list[Any] = [values]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _containers(outer)]
        if not level:
            return
    raise invalid_document(RejectionCode.TOO_DEEP, f"objects lie more than {MAX_DEPTH} deep in one another")


def _containers(outer: dict[str, Any] | list[Any]) -> list[Any]:
    parts = outer.values() if isinstance(outer, dict) else outer
    return [part for part in parts if isinstance(part, (dict, list))]
