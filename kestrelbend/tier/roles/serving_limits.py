"""How much memory a process gives to its clients, from its settings."""

from __future__ import annotations

from .settings import Settings

MEBIBYTE = 1 << 20
ORDER_SHARE = 1 / 4  # of `RamMb`
ORDER_ITEM_BYTES = 128  # once it is decoded


def order_items(settings: Settings) -> int:
    """How many values the JSON text of a configuration may hold."""
    return int(settings.ram_mb * MEBIBYTE * ORDER_SHARE / ORDER_ITEM_BYTES)
