"""Datagrams between gateways: each becomes a `DatagramReceived` on the owner's queue."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from .events import DatagramReceived
from .metrics import counters


class DatagramReceiver(asyncio.DatagramProtocol):
    """The protocol of one UDP socket; `transport` is None until it is open."""

    def __init__(self, queue: asyncio.Queue[Any]) -> None:
        self.queue = queue
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send by."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        """Hand a datagram to the owner, who reads it."""
        self.queue.put_nowait(DatagramReceived(source, data))

    def error_received(self, _: Exception) -> None:
        """Count a datagram that could not be sent: the peer's machine says so later, if at all."""
        counters["peer_send_failed"] += 1
