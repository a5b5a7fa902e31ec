"""Which control nodes monitor a process: the next few on a ring of hashes.

Every process works out the same ring from the same addresses, so no message says who monitors whom; when a
control node comes or goes only its neighbours on the ring change.

Invariant: the order depends on the addresses alone; a release that changed it would move every process to
other control nodes while both releases run.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

DEFAULT_COUNT = 3
RING_SIZE = 1 << 32
SPREAD = 2654435761  # Knuth's multiplicative hash: close addresses come to stand apart


def position(address: str) -> int:
    """Where an address stands on the ring."""
    return zlib.crc32(address.encode()) * SPREAD % RING_SIZE


def nearest_control_nodes(
    address: str, control_addresses: Iterable[str], count: int = DEFAULT_COUNT
) -> list[str]:
    """The monitors of the process at `address`, nearest first."""
    own = position(address)
    others = [other for other in set(control_addresses) if other and other != address]
    others.sort(key=lambda other: ((position(other) - own) % RING_SIZE, other))
    return others[:count]
