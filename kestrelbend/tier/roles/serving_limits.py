"""How much memory a process gives to its clients, from its settings.

The shares leave room for what the process itself holds, and for all of them being used up at once.
"""

from __future__ import annotations

from ..http_server.body_budget import MEBIBYTE
from .settings import Settings

BODIES_SHARE = 1 / 4  # of `RamMb`
ORDER_SHARE = 1 / 4
ORDER_ITEM_BYTES = 128  # once it is decoded
MIN_BODIES = 2  # of the largest size that hold at once, however little memory there is


def order_items(settings: Settings) -> int:
    """How many values the JSON text of a configuration may hold."""
    return int(settings.ram_mb * MEBIBYTE * ORDER_SHARE / ORDER_ITEM_BYTES)


def body_bytes(settings: Settings, largest_body: int, copies: int) -> int:
    """What the bodies of all requests of a process may hold together."""
    return max(int(settings.ram_mb * MEBIBYTE * BODIES_SHARE), MIN_BODIES * copies * largest_body)
