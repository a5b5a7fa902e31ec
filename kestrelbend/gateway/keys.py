"""Stable hashes: the same for the same text in every process, on every machine and after every restart."""

from __future__ import annotations

from hashlib import blake2b


def stable_hash(text: str) -> int:
    """63 bits of a text, as a whole number."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1
