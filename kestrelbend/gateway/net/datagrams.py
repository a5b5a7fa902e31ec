"""Receives UDP datagrams from other gateways as `DatagramReceived` events on the owner's queue."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from .events import DatagramReceived
from .metrics import counters


class DatagramReceiver(asyncio.DatagramProtocol):
    """The asyncio protocol of one UDP socket; `transport` is None until the socket is open."""

    def __init__(self, queue: asyncio.Queue[Any]) -> None:
        self.queue = queue
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        """Queue a datagram for the owner, which decodes it."""
        self.queue.put_nowait(DatagramReceived(source, data))

    def error_received(self, _: Exception) -> None:
        """Count a failed send; the ICMP error of the peer's host arrives later, if at all."""
        counters["peer_send_failed"] += 1
