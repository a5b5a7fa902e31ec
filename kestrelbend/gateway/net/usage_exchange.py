"""UDP transport of the usage exchange between gateways (`usage_sharing.exchange`)."""

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
    """Sends and receives the datagrams of this gateway's usage exchange; used only by the owner's task.

    `core`: the exchange without I/O, which is also the decisions' `Context.usage`. `addresses`: the UDP
    addresses of the gateways. `gateway_numbers`: the gateways' numbers by their addresses.
    """

    datagrams: DatagramReceiver

    def __init__(self, addresses: UsageExchangeAddresses, queue: asyncio.Queue[Any], owner: Owner) -> None:
        self.addresses = addresses
        self.queue = queue
        self.owner = owner
        settings = owner.settings
        gateway = owner.gateway
        self.gateway_numbers: dict[Any, int] = {
            peer_address: number for number, peer_address in enumerate(addresses.peers)
        }
        self.core = gateway.context.usage = MeteredUsageExchange(
            settings["gateways"],
            settings["gateway"],
            settings["plans"],
            addresses.max_datagrams_per_s,
            gateway.now,
        )

    async def start(self, fraction: float) -> None:
        """Open the socket; raises `OSError` if its address cannot be bound.

        `fraction`: the part of the first period to wait, random, so that the gateways do not send at once.
        """
        loop = asyncio.get_running_loop()
        _, self.datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.queue), local_addr=self.addresses.listen
        )
        self._schedule(fraction)

    def _schedule(self, fraction: float = 1.0) -> None:
        """Schedule the next `UsagePeriodDue` event after this fraction of a period."""
        asyncio.get_running_loop().call_later(
            fraction * self.core.period_us / MICROSECONDS_PER_SECOND, self.queue.put_nowait, UsagePeriodDue()
        )

    def close_period(self) -> None:
        """Close the period: announce this gateway's usage, or as the meter the usage of all gateways."""
        meter_before = self.core.meter
        for receiver, data in self.core.close_period(self.owner.gateway.now):
            counters["news_sent"] += 1
            address = self.addresses.broadcast if receiver is None else self.addresses.peers[receiver]
            assert self.datagrams.transport is not None  # opened by `start`
            self.datagrams.transport.sendto(data, address)
        if meter_before is None and self.core.meter is not None:
            log.info("this gateway is now the meter, which sums the usage of all gateways")
        self._schedule()

    def receive_datagram(self, source: tuple[str | Any, int], data: bytes) -> None:
        """Process a datagram; count those of unknown senders and invalid ones, and log the first."""
        number = self.gateway_numbers.get(source)
        try:
            if number is None:
                raise UnreadableUsageDatagram("unknown sender")
            self.core.receive(number, data, self.owner.gateway.now)
            counters["news_received"] += 1
        except UnreadableUsageDatagram as error:
            counters["news_unreadable"] += 1
            if counters["news_unreadable"] == 1:
                log.warning(
                    "ignoring an invalid usage datagram",
                    extra={"why": error.reason, "source": format_address(source)},
                )
