"""The UDP side of the usage exchange between gateways: carries `usage_sharing.exchange`."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Final

from ..usage_sharing.errors import UnreadableUsageDatagram
from ..usage_sharing.exchange import MeteredUsageExchange
from .configuration import format_address
from .datagrams import DatagramReceiver
from .events import UsagePeriodDue
from .metrics import counters

if TYPE_CHECKING:
    from .configuration import UsageExchangeAddresses
    from .owner import Owner

MICROSECONDS_PER_SECOND: Final = 1e6
log = logging.getLogger(__name__)


class UsageExchangePeer:
    """Belongs to the owner's task; its core is the decisions' `Context.usage`.

    `addresses`: where gateways announce use to each other. `numbers`: gateways' numbers by their addresses.
    """

    datagrams: DatagramReceiver

    def __init__(self, addresses: UsageExchangeAddresses, queue: asyncio.Queue[Any], owner: Owner) -> None:
        self.addresses = addresses
        self.queue = queue
        self.owner = owner
        settings = owner.settings
        gateway = owner.gateway
        self.gateway_numbers: dict[Any, int] = {pair: number for number, pair in enumerate(addresses.peers)}
        self.core = gateway.context.usage = MeteredUsageExchange(
            settings["gateways"], settings["gateway"], settings["plans"], addresses.most_in, gateway.now
        )

    async def start(self, fraction: float) -> None:
        """Open the socket; raises `OSError` where its address cannot be had.

        `fraction`: of the first period, drawn, so that not all gateways speak at once.
        """
        loop = asyncio.get_running_loop()
        _, self.datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.queue), local_addr=self.addresses.listen
        )
        self._schedule(fraction)

    def _schedule(self, fraction: float = 1.0) -> None:
        """Put the next event after so much of a period."""
        asyncio.get_running_loop().call_later(
            fraction * self.core.period_us / MICROSECONDS_PER_SECOND, self.queue.put_nowait, UsagePeriodDue()
        )

    def close_period(self) -> None:
        """Close the period: announce what this gateway saw, or as the meter what all of them did."""
        meter = self.core.meter
        for to, data in self.core.close_period(self.owner.gateway.now):
            counters["news_sent"] += 1
            address = self.addresses.all if to is None else self.addresses.peers[to]
            assert self.datagrams.transport is not None  # open since the start
            self.datagrams.transport.sendto(data, address)
        if meter is None and self.core.meter is not None:
            log.info("meter: this gateway sums the use of all")
        self._schedule()

    def receive_datagram(self, source: tuple[str | Any, int], data: bytes) -> None:
        """Take a datagram in; one that is no peer's or cannot be read is counted, the first one logged."""
        number = self.gateway_numbers.get(source)
        try:
            if number is None:
                raise UnreadableUsageDatagram("no peer's")
            self.core.receive(number, data, self.owner.gateway.now)
            counters["news_received"] += 1
        except UnreadableUsageDatagram as error:
            counters["news_unreadable"] += 1
            if counters["news_unreadable"] == 1:
                log.warning(
                    "a datagram that cannot be read",
                    extra={"why": error.reason, "source": format_address(source)},
                )
