"""Datagrams between gateways: each becomes an event of the owner's queue."""

from __future__ import annotations

import asyncio

from .tally import counters


class Carrier(asyncio.DatagramProtocol):
    def __init__(self, queue):
        self.queue, self.transport = queue, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.queue.put_nowait(("datagram", source, data))

    def error_received(self, _):
        counters["peer_send_failed"] += 1
