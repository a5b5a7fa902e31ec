"""Which control nodes watch a process: the next few on a ring of hashes.

Every process works out the same ring from the same addresses, so nobody has to be told; when a control node
comes or goes only its neighbours on the ring change.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

MONITORS = 3


def place(address: str) -> int:
    """Where an address stands on the ring."""
    return zlib.crc32(address.encode()) * 2654435761 % (1 << 32)


def monitors(address: str, control_addresses: Iterable[str], count: int = MONITORS) -> list[str]:
    """The monitors of the process at `address`, nearest first."""
    own = place(address)
    others = [other for other in set(control_addresses) if other and other != address]
    others.sort(key=lambda other: ((place(other) - own) % (1 << 32), other))
    return others[:count]
