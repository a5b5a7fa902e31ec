"""Compact JSON for stored records and responses: without whitespace, keys in insertion order."""

from __future__ import annotations

import json
from typing import Any


def encode_json(values: dict[str, Any]) -> bytes:
    """Encodes an object; equal objects with keys in the same order give equal bytes."""
    return json.dumps(values, separators=(",", ":")).encode()


def decode_object(body: bytes) -> dict[str, Any] | None:
    """Decodes a body to an object; returns None for any bytes that are not a JSON object."""
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return values if isinstance(values, dict) else None


def count_items(body: bytes) -> int:
    """An upper bound for the number of values in a JSON text, without decoding it.

    A decoded value takes up to a hundred times the bytes of its text.
    """
    return body.count(b",") + body.count(b"[") + body.count(b"{")
