"""Addresses on loopback that stay reserved while their listeners come and go.

A port that is chosen, let go and bound later may be taken in between: by another listener that asks for any
free port, or as the local end of an outgoing connection.
"""

from __future__ import annotations

import os
import socket
from typing import TypeAlias

Address: TypeAlias = tuple[str, int]
"""Host (IPv4) and port."""

HOST_RANGE = 250  # values of an octet that are used: 1 to 250


def own_host(number: int = 0) -> str:
    """A loopback host for this process: other processes that do the same get others."""
    process = os.getpid()
    octets = (process // HOST_RANGE, process, number)
    return ".".join(["127", *(str(1 + octet % HOST_RANGE) for octet in octets)])


class AddressReservations:
    """TCP addresses of this process that nobody else is given until `close`.

    Each is held by a socket that is bound and doesn't listen.  Linux lets a listener bind the same address
    beside it, where both have SO_REUSEADDR, and chooses that port for nobody who asks for any free one
    (bind(2) with port 0, connect(2)).  A UDP socket may have an address, too: its host is this process's own.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def reserve(self, number: int = 0, host: str | None = None) -> Address:
        """An address that is free, on this process's own host of that number or on `host`."""
        held = socket.socket()
        self._held.append(held)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((host or own_host(number), 0))
        address: Address = held.getsockname()
        return address

    def close(self) -> None:
        """Let go of all of them."""
        for held in self._held:
            held.close()
        self._held.clear()
