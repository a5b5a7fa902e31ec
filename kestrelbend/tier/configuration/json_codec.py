"""JSON as it is stored and answered here: without spaces, keys in the order that they are given."""

from __future__ import annotations

import json
from typing import Any


def encode_json(values: dict[str, Any]) -> bytes:
    """The object's bytes; equal objects with keys in the same order give equal bytes."""
    return json.dumps(values, separators=(",", ":")).encode()


def decode_object(body: bytes) -> dict[str, Any] | None:
    """The object that a body holds, or None where it holds none, whatever its bytes."""
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return values if isinstance(values, dict) else None
