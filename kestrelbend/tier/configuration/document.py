"""Parsing, validation and patching of the operator's documents.

Invariant: every `Document` returned by this module is valid, and its `body` is either exactly the bytes that
the operator sent or, after a patch, the encoded merged document with the patch's version.  All functions are
deterministic because every replica parses the same documents for itself.
"""

from __future__ import annotations

import json
from typing import Any

import attrs

from kestrelbend.tier.configuration import schemas
from kestrelbend.tier.configuration.checks import (
    check_document,
    check_unique_names,
    decode_document,
    item_name,
    validate_schema,
)
from kestrelbend.tier.configuration.document_errors import (
    DocumentRejection,
    InvalidDocument,
    RejectionCode,
    invalid_document,
)
from kestrelbend.tier.configuration.field_checks import abbreviated
from kestrelbend.tier.configuration.json_codec import encode_json


@attrs.frozen(eq=False)
class Document:
    """A valid configuration; `values` is the decoded `body` and must not be modified."""

    version: int
    body: bytes
    values: dict[str, Any]

    @property
    def routes(self) -> list[dict[str, Any]]:
        """The items of the `Routes` section."""
        routes: list[dict[str, Any]] = self.values["Routes"]
        return routes

    @property
    def services(self) -> list[dict[str, Any]]:
        """The items of the `Services` section."""
        services: list[dict[str, Any]] = self.values["Services"]
        return services

    @property
    def limits(self) -> dict[str, Any]:
        """The fields of the `Limits` section; empty if the document has none."""
        return self.values.get("Limits") or {}


@attrs.frozen(eq=False)
class Patch:
    """A patch that matches its schema; `apply_patch` checks whether the merged document is valid."""

    version: int
    values: dict[str, Any]


def parse_put(body: bytes) -> Document | DocumentRejection:
    """Parses and validates a complete configuration."""
    try:
        values = decode_document(body)
        check_document(values)
    except InvalidDocument as error:
        return error.rejection
    return Document(version=values["Ver"], body=bytes(body), values=values)


def parse_patch(body: bytes) -> Patch | DocumentRejection:
    """Parses a patch and validates its schema, independently of the document it applies to."""
    try:
        values = decode_document(body)
        validate_schema(schemas.PATCH, values, "patch")
        for section, items in (values.get("Upsert") or {}).items():
            if isinstance(items, list):
                check_unique_names(section, items)
    except InvalidDocument as error:
        return error.rejection
    return Patch(version=values["Ver"], values=values)


def apply_patch(current: Document, body: bytes | Patch) -> Document | DocumentRejection:
    """Merges a patch into `current` and validates the merged document."""
    patch = body if isinstance(body, Patch) else parse_patch(body)
    if isinstance(patch, DocumentRejection):
        return patch
    try:
        merged = _merge(current.values, patch.values)
        check_document(merged)
    except InvalidDocument as error:
        return error.rejection
    encoded = encode_json(merged)
    return Document(version=patch.version, body=encoded, values=merged)


def read_accepted(body: bytes) -> Document:
    """Parses a document that the shard has accepted, without validating it again."""
    values = json.loads(body)
    return Document(version=values["Ver"], body=bytes(body), values=values)


def merge_accepted(current: Document, body: bytes) -> Document:
    """Merges a patch that the shard has accepted on `current`, without validating the result again."""
    patch = json.loads(body)
    merged = _merge(current.values, patch)
    return Document(version=patch["Ver"], body=encode_json(merged), values=merged)


def _merge(current: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Returns `current` with the patch applied; items keep their order and new ones are appended."""
    merged = dict(current)
    merged["Ver"] = patch["Ver"]
    for section, names in (patch.get("Remove") or {}).items():
        merged[section] = _remove_items(_item_list(merged, section), set(names))
    for section, changes in (patch.get("Upsert") or {}).items():
        if isinstance(changes, dict):
            merged[section] = _merge_fields(merged, section, changes)
        else:
            merged[section] = _upsert_items(_item_list(merged, section), changes)
    if patch.get("Limits") is not None:
        merged["Limits"] = _merge_fields(merged, "Limits", patch["Limits"])
    return merged


def _item_list(values: dict[str, Any], section: str) -> list[Any]:
    """Returns the list of a section, empty if absent; raises `InvalidDocument` if it is not a list."""
    items = values.get(section)
    if items is None:
        return []
    if not isinstance(items, list):
        raise invalid_document(
            RejectionCode.WRONG_SCHEMA, f"patch: {abbreviated(section)} is no list of items"
        )
    return items


def _merge_fields(values: dict[str, Any], section: str, changes: dict[str, Any]) -> dict[str, Any]:
    """Returns a section's object with fields replaced; raises `InvalidDocument` if it is not an object."""
    present = values.get(section) or {}
    if not isinstance(present, dict):
        raise invalid_document(RejectionCode.WRONG_SCHEMA, f"patch: {abbreviated(section)} is no object")
    return {**present, **changes}


def _remove_items(items: list[Any], names: set[str]) -> list[Any]:
    return [item for item in items if item_name(item) not in names]


def _upsert_items(items: list[Any], changes: list[dict[str, Any]]) -> list[Any]:
    """Replaces items by changes with the same name; changes with new names are appended."""
    remaining = {item["Name"]: item for item in changes}
    merged = [remaining.pop(item_name(item), item) for item in items]
    return merged + list(remaining.values())
