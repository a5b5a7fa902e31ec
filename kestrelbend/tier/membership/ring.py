"""Orders control nodes for a process by consistent hashing: the next nodes on a hash ring come first.

Every process computes the same ring from the same addresses, so the assignment needs no messages.  When a
control node joins or leaves, only the assignment of its neighbours on the ring changes.

Invariant: the order depends on the addresses alone.  A release that changed it would move every process to
other control nodes while both releases run.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

DEFAULT_COUNT = 3
RING_SIZE = 1 << 32
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash: spreads similar addresses over the ring


def position(address: str) -> int:
    """Returns the position of an address on the ring."""
    return zlib.crc32(address.encode()) * HASH_MULTIPLIER % RING_SIZE


def nearest_control_nodes(
    address: str, control_addresses: Iterable[str], count: int = DEFAULT_COUNT
) -> list[str]:
    """Returns up to `count` control nodes for the process at `address`, nearest on the ring first."""
    own = position(address)
    others = [other for other in set(control_addresses) if other and other != address]
    others.sort(key=lambda other: ((position(other) - own) % RING_SIZE, other))
    return others[:count]
