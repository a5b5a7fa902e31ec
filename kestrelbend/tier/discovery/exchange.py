"""How a control node's registry reaches the other control nodes and the gateways.

Invariant: what was handed to a connection arrives on it in order, or the connection ends and the next one
begins with all that is known; so whoever is in touch again has every earlier piece of news.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from .messages import Backend, BackendAck, BackendState, BackendUpdate

ACK_WAIT_S = 0.6


class Subscriber:
    """A gateway's stream of backends, on one connection: all news, or that of backends that leave alone."""

    def __init__(self, link, sender: str):
        self.link = link
        self.complete = False
        self._sender = sender
        self._number = 0
        self.acknowledged = 0
        self._waiting: list[tuple[int, asyncio.Future]] = []

    def send(self, backends: Iterable[Backend], complete: bool) -> int:
        """Streams one update, if there is anything in it for this gateway; the number of the last one."""
        wanted = tuple(
            backend for backend in backends if self.complete or backend.state != BackendState.READY
        )
        if wanted or complete:
            self._number += 1
            self.link.send(BackendUpdate(self._sender, self._number, complete, wanted))
        return self._number

    def take_ack(self, ack: BackendAck) -> None:
        """The gateway has everything up to a number."""
        self.acknowledged = max(self.acknowledged, ack.number)
        for number, future in self._waiting:
            if number <= self.acknowledged and not future.done():
                future.set_result(None)
        self._waiting = [row for row in self._waiting if not row[1].done()]

    def until(self, number: int) -> asyncio.Future:
        """Done once the update is acknowledged or the connection has ended."""
        future = asyncio.get_running_loop().create_future()
        if number <= self.acknowledged or self.link.closed:
            future.set_result(None)
        else:
            self._waiting.append((number, future))
        return future

    def end(self) -> None:
        """The connection ended: nobody waits for it any longer."""
        for _, future in self._waiting:
            if not future.done():
                future.set_result(None)
        self._waiting.clear()


class BackendExchange:
    """Spreads what the registry learns."""

    def __init__(self, sender: str, everything: Callable[[], Iterable[Backend]], peers: Callable[[], list]):
        self._sender = sender
        self._everything = everything
        self._peers = peers
        self._subscribers: dict[object, Subscriber] = {}

    def subscribe(self, link, complete: bool = True) -> None:
        """Begins a gateway's stream with all that is known, or with the backends that have left.

        The numbers on a connection go on where its gateway changes from one to the other.
        """
        subscriber = self._subscribers.setdefault(link, Subscriber(link, self._sender))
        subscriber.complete = complete
        subscriber.send(self._everything(), complete)

    def lost(self, link) -> None:
        """A connection ended."""
        subscriber = self._subscribers.pop(link, None)
        if subscriber is not None:
            subscriber.end()

    def take_ack(self, link, ack: BackendAck) -> None:
        """A gateway acknowledges."""
        subscriber = self._subscribers.get(link)
        if subscriber is not None:
            subscriber.take_ack(ack)

    def stream(self, backends: list[Backend]) -> list[tuple[Subscriber, int]]:
        """Tells the gateways that are subscribed here."""
        if not backends:
            return []
        return [
            (subscriber, subscriber.send(backends, complete=False))
            for subscriber in self._subscribers.values()
        ]

    def tell_peers(self, backends: list[Backend]) -> None:
        """Tells the other control nodes without waiting for them."""
        if not backends:
            return
        news = BackendUpdate(self._sender, 0, False, tuple(backends))
        for link in self._peers():
            link.send(news)

    async def tell_all(self, backends: list[Backend]) -> set[str]:
        """Tells everybody and waits until they have it, or `ACK_WAIT_S` long.

        The internal addresses of the control nodes that have it, without this one's.
        """
        waits = [subscriber.until(number) for subscriber, number in self.stream(backends)]
        return await self._ask_peers(backends, set(), ACK_WAIT_S, waits)

    async def tell_peers_again(self, backends: list[Backend], holders: set[str], within: float) -> set[str]:
        """Tells the control nodes that don't have it yet; all that have it then."""
        return holders | await self._ask_peers(backends, holders, min(within, ACK_WAIT_S), [])

    async def _ask_peers(
        self, backends: list[Backend], but: set[str], within: float, waits: list[asyncio.Future]
    ) -> set[str]:
        news = BackendUpdate(self._sender, 0, False, tuple(backends))
        asked = {
            link: asyncio.ensure_future(link.request(news, within))
            for link in self._peers()
            if link.address not in but
        }
        if not waits and not asked:
            return set()
        done, late = await asyncio.wait([*waits, *asked.values()], timeout=within)
        for future in late:
            future.cancel()
        answered = [link for link, reply in asked.items() if reply in done and reply.result() is not None]
        for link in asked:
            if link not in answered:
                link.send(news)  # a request may be withdrawn unsent; what is sent stays on its connection
        return {link.address for link in answered}

    def tell_peer_everything(self, link) -> None:
        """A control node has come: it gets the whole registry."""
        link.send(BackendUpdate(self._sender, 0, True, tuple(self._everything())))

    @staticmethod
    def acknowledge_news(link, sequence: int, news: BackendUpdate) -> None:
        """Answers another control node's news."""
        link.reply(sequence, BackendAck(news.sender, news.number))
