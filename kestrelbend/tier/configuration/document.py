"""Reading and checking the operator's documents.

Invariant: a `Document` that leaves this module is valid as a whole, and its `body` is either the very bytes
that the operator sent or, after a patch, the merged document under the patch's version.  The result depends
on the arguments alone, as replicas read the same document in different places.
"""

from __future__ import annotations

import json
from typing import Any

import attrs

from kestrelbend.tier.configuration import schemas
from kestrelbend.tier.configuration.checks import check_document, check_names, decode, name_of, validate
from kestrelbend.tier.configuration.document_errors import (
    DocumentRejection,
    InvalidDocument,
    RejectionCode,
    invalid,
)
from kestrelbend.tier.configuration.field_checks import abbreviated
from kestrelbend.tier.configuration.json_codec import encode_json


@attrs.frozen(eq=False)
class Document:
    """One valid configuration; `values` is `body` decoded and must not be changed."""

    version: int
    body: bytes
    values: dict[str, Any]

    @property
    def routes(self) -> list[dict[str, Any]]:
        """The routes, as the operator wrote them."""
        routes: list[dict[str, Any]] = self.values["Routes"]
        return routes

    @property
    def services(self) -> list[dict[str, Any]]:
        """The services, as the operator wrote them."""
        services: list[dict[str, Any]] = self.values["Services"]
        return services

    @property
    def limits(self) -> dict[str, Any]:
        """The limits, as the operator wrote them; empty if there are none."""
        return self.values.get("Limits") or {}


@attrs.frozen(eq=False)
class Patch:
    """A patch that fits its schema; `apply_patch` tells whether the merged document is valid."""

    version: int
    values: dict[str, Any]


def parse_put(body: bytes) -> Document | DocumentRejection:
    """Reads a complete configuration and checks it."""
    try:
        values = decode(body)
        check_document(values)
    except InvalidDocument as fault:
        return fault.rejection
    return Document(version=values["Ver"], body=bytes(body), values=values)


def parse_patch(body: bytes) -> Patch | DocumentRejection:
    """Reads a patch and checks its own schema, whatever the document that it is meant for."""
    try:
        values = decode(body)
        validate(schemas.PATCH, values, "patch")
        for kind, items in (values.get("Upsert") or {}).items():
            if isinstance(items, list):
                check_names(kind, items)
    except InvalidDocument as fault:
        return fault.rejection
    return Patch(version=values["Ver"], values=values)


def apply_patch(current: Document, body: bytes | Patch) -> Document | DocumentRejection:
    """Merges a patch into `current` and checks the result as a whole."""
    patch = body if isinstance(body, Patch) else parse_patch(body)
    if isinstance(patch, DocumentRejection):
        return patch
    try:
        merged = _merge(current.values, patch.values)
        check_document(merged)
    except InvalidDocument as fault:
        return fault.rejection
    encoded = encode_json(merged)
    return Document(version=patch.version, body=encoded, values=merged)


def read_accepted(body: bytes) -> Document:
    """Reads a document that the shard has accepted, without checking it again."""
    values = json.loads(body)
    return Document(version=values["Ver"], body=bytes(body), values=values)


def merge_accepted(current: Document, body: bytes) -> Document:
    """The document that a patch leads to which the shard has accepted on `current`, without checking it."""
    patch = json.loads(body)
    merged = _merge(current.values, patch)
    return Document(version=patch["Ver"], body=encode_json(merged), values=merged)


def _merge(current: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """`current` with the patch's changes; items keep their places and new ones come last."""
    merged = dict(current)
    merged["Ver"] = patch["Ver"]
    for kind, names in (patch.get("Remove") or {}).items():
        merged[kind] = _without_names(_items(merged, kind), set(names))
    for kind, changes in (patch.get("Upsert") or {}).items():
        if isinstance(changes, dict):
            merged[kind] = _overlaid(merged, kind, changes)
        else:
            merged[kind] = _with_changes(_items(merged, kind), changes)
    if patch.get("Limits") is not None:
        merged["Limits"] = _overlaid(merged, "Limits", patch["Limits"])
    return merged


def _items(values: dict[str, Any], kind: str) -> list[Any]:
    """The list under a key; raises `InvalidDocument` where something else is there."""
    items = values.get(kind)
    if items is None:
        return []
    if not isinstance(items, list):
        raise invalid(RejectionCode.WRONG_SCHEMA, f"patch: {abbreviated(kind)} is no list of items")
    return items


def _overlaid(values: dict[str, Any], kind: str, changes: dict[str, Any]) -> dict[str, Any]:
    """The object under a key with fields laid over it; raises `InvalidDocument` where there is none."""
    present = values.get(kind) or {}
    if not isinstance(present, dict):
        raise invalid(RejectionCode.WRONG_SCHEMA, f"patch: {abbreviated(kind)} is no object")
    return {**present, **changes}


def _without_names(items: list[Any], names: set[str]) -> list[Any]:
    return [item for item in items if name_of(item) not in names]


def _with_changes(items: list[Any], changes: list[dict[str, Any]]) -> list[Any]:
    """The items with those of the same name replaced; new ones come last."""
    remaining = {item["Name"]: item for item in changes}
    merged = [remaining.pop(name_of(item), item) for item in items]
    return merged + list(remaining.values())
