"""The UDP side of the news of use between gateways: carries `usage_sharing.exchange`, in the owner's
task."""

from __future__ import annotations

import asyncio
import logging

from ..usage_sharing.errors import UnreadableUsageDatagram
from ..usage_sharing.exchange import MeteredUsageExchange
from .datagrams import DatagramReceiver
from .events import UsagePeriodDue
from .metrics import counters

log = logging.getLogger(__name__)


class NewsPeer:
    """Belongs to the owner's task; its core is the decisions' `Context.usage`.

    `told`: `UsageExchangeAddresses`.  `numbers`: gateways' numbers by their addresses.
    """

    def __init__(self, told, queue, owner):
        self.told, self.queue, self.owner = told, queue, owner
        settings, gateway = owner.settings, owner.gateway
        self.numbers = {pair: number for number, pair in enumerate(told.peers)}
        self.core = gateway.context.usage = MeteredUsageExchange(
            settings["gateways"], settings["gateway"], settings["plans"], told.most_in, gateway.now
        )

    async def start(self, part):
        """`part`: of the first period, drawn, so that not all gateways speak at once."""
        loop = asyncio.get_running_loop()
        _, self.carrier = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.queue), local_addr=self.told.listen
        )
        self.later(part)

    def later(self, part=1.0):
        asyncio.get_running_loop().call_later(
            part * self.core.period_us / 1e6, self.queue.put_nowait, UsagePeriodDue()
        )

    def due(self):
        meter = self.core.meter
        for to, data in self.core.close_period(self.owner.gateway.now):
            counters["news_sent"] += 1
            self.carrier.transport.sendto(data, self.told.all if to is None else self.told.peers[to])
        if meter is None and self.core.meter is not None:
            log.info("meter: this gateway sums the use of all")
        self.later()

    def got(self, source, data):
        number = self.numbers.get(source)
        try:
            if number is None:
                raise UnreadableUsageDatagram("no peer's")
            self.core.receive(number, data, self.owner.gateway.now)
            counters["news_received"] += 1
        except UnreadableUsageDatagram as error:
            counters["news_unreadable"] += 1
            if counters["news_unreadable"] == 1:
                log.warning(
                    "a datagram that cannot be read", extra={"why": error.reason, "source": "%s:%d" % source}
                )
