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
