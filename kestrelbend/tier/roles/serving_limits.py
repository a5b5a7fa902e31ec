"""How much memory and how many descriptors a process gives to its clients, from its settings.

Hazard: the shares of a control process together are more than `RamMb`; each bounds one kind of crowd.
"""

from __future__ import annotations

from ..http_server.connection_table import ConnectionLimits
from .settings import Settings

MEBIBYTE = 1 << 20
CONNECTIONS_SHARE = 1 / 4  # of `RamMb`
HEADS_SHARE = 1 / 16
STALLED_SHARE = 1 / 8
BODIES_SHARE = 1 / 4
RESPONSES_SHARE = 1 / 8
ORDER_SHARE = 1 / 4
ORDER_ITEM_BYTES = 128  # once it is decoded
CONNECTION_BYTES = 64 * 1024
STALLED_BYTES = 256 * 1024  # of a response, on its way from the backend to a client that does not read
RESERVED_FDS = 200  # for files outside the disk folder
CLIENTS_FDS_DIVISOR = 2  # the other half is for backends and for processes of the tier
MIN_CONNECTIONS = 16
MAX_HEALTH_CHECKS = 64
MIN_BODIES = 2  # of the largest size that hold at once, however little memory there is


def client_limits(settings: Settings) -> ConnectionLimits:
    """The limits of a listener for clients, backends or the operator."""
    ram_bytes = settings.ram_mb * MEBIBYTE
    by_memory = int(ram_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    by_descriptors = (settings.max_fds - RESERVED_FDS) // CLIENTS_FDS_DIVISOR
    return ConnectionLimits(
        max_connections=max(MIN_CONNECTIONS, min(by_memory, by_descriptors)),
        max_head_bytes=int(ram_bytes * HEADS_SHARE),
        max_stalled=max(MIN_CONNECTIONS, int(ram_bytes * STALLED_SHARE / STALLED_BYTES)),
    )


def health_check_limits(settings: Settings) -> ConnectionLimits:
    """The limits of the listener for the platform's health checks."""
    clients = client_limits(settings)
    return ConnectionLimits(
        min(MAX_HEALTH_CHECKS, clients.max_connections), clients.max_head_bytes, MIN_CONNECTIONS
    )


def order_items(settings: Settings) -> int:
    """How many values the JSON text of a configuration may hold."""
    return int(settings.ram_mb * MEBIBYTE * ORDER_SHARE / ORDER_ITEM_BYTES)


def response_bytes(settings: Settings, largest_response: int) -> int:
    """What the responses of the operator's API may hold together."""
    share = int(settings.ram_mb * MEBIBYTE * RESPONSES_SHARE)
    return max(share, MIN_BODIES * largest_response)


def body_bytes(settings: Settings, largest_body: int, copies: int) -> int:
    """What the bodies of all requests of a process may hold together."""
    return max(int(settings.ram_mb * MEBIBYTE * BODIES_SHARE), MIN_BODIES * copies * largest_body)
