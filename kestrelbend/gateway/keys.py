"""Stable hashing: a text has the same hash in every process, on every machine and after every restart."""

from __future__ import annotations

from hashlib import blake2b


def stable_hash(text: str) -> int:
    """A 63-bit hash of a text, as a non-negative integer."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1
