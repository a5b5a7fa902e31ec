"""Limits on the values in a command; names and numbers from client headers are brought within them.

Invariant: a bounded command can be encoded, so a client's header cannot break a request that also carries
commands of other programs.
"""

from __future__ import annotations

import hashlib

import attrs

from kestrelbend.tier.budgets.messages import Reserve, Settlement

MAX_NAME_BYTES = 256
MAX_TOKENS = 2**48
MAX_RETAIN_S = 2**31 - 1
_FINGERPRINT_RANGE = 2**63


def bounded_reserve(reserve: Reserve) -> Reserve:
    """Returns the command with its names and numbers within the limits; deterministic."""
    return attrs.evolve(
        reserve,
        program=bounded_name(reserve.program),
        session=bounded_name(reserve.session),
        reservation=bounded_name(reserve.reservation),
        fingerprint=reserve.fingerprint % _FINGERPRINT_RANGE,
        max_tokens=_bounded_tokens(reserve.max_tokens),
        budget=_bounded_tokens(reserve.budget),
        retain_s=min(max(reserve.retain_s, 0), MAX_RETAIN_S),
    )


def bounded_settlement(settlement: Settlement) -> Settlement:
    """Returns the command with its names and numbers within the limits."""
    return attrs.evolve(
        settlement,
        program=bounded_name(settlement.program),
        reservation=bounded_name(settlement.reservation),
        used_tokens=_bounded_tokens(settlement.used_tokens),
    )


def bounded_name(name: str) -> str:
    """Returns the name, or its SHA-256 digest if it is too long or cannot be encoded as UTF-8."""
    encoded = name.encode("utf-8", "surrogatepass")
    if len(encoded) <= MAX_NAME_BYTES and not _has_surrogate(name):
        return name
    return hashlib.sha256(encoded).hexdigest()


def _has_surrogate(name: str) -> bool:
    return not name.isascii() and any("\ud800" <= character <= "\udfff" for character in name)


def _bounded_tokens(tokens: int) -> int:
    return min(max(tokens, 0), MAX_TOKENS)
