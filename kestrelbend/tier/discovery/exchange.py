"""How a control node's registry reaches the other control nodes and the gateways.

Invariant: a backend's word that it leaves is acknowledged only after every control node and gateway in
touch with this one has it, or the wait for them is over.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from .messages import Backend, BackendAck, BackendUpdate

ACK_WAIT_S = 0.6


class Subscriber:
    """A gateway's stream of backends, on one connection."""

    def __init__(self, link, sender: str):
        self.link = link
        self._sender = sender
        self._number = 0
        self.acknowledged = 0
        self._waiting: list[tuple[int, asyncio.Future]] = []

    def send(self, backends: Iterable[Backend], whole: bool) -> int:
        """Streams one update; returns its number."""
        self._number += 1
        self.link.send(BackendUpdate(self._sender, self._number, whole, tuple(backends)))
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

    def subscribe(self, link) -> None:
        """Begins a gateway's stream with all that is known."""
        subscriber = Subscriber(link, self._sender)
        self._subscribers[link] = subscriber
        subscriber.send(self._everything(), whole=True)

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
            (subscriber, subscriber.send(backends, whole=False)) for subscriber in self._subscribers.values()
        ]

    def tell_peers(self, backends: list[Backend]) -> None:
        """Tells the other control nodes without waiting for them."""
        if not backends:
            return
        news = BackendUpdate(self._sender, 0, False, tuple(backends))
        for link in self._peers():
            link.send(news)

    async def tell_all(self, backends: list[Backend]) -> None:
        """Tells everybody and waits until they have it, or `ACK_WAIT_S` long."""
        sent = self.stream(backends)
        waits = [subscriber.until(number) for subscriber, number in sent]
        news = BackendUpdate(self._sender, 0, False, tuple(backends))
        for link in self._peers():
            waits.append(asyncio.ensure_future(link.request(news, ACK_WAIT_S)))
        if not waits:
            return
        _, late = await asyncio.wait(waits, timeout=ACK_WAIT_S)
        for future in late:
            future.cancel()

    def tell_peer_everything(self, link) -> None:
        """A control node has come: it gets the whole registry."""
        link.send(BackendUpdate(self._sender, 0, True, tuple(self._everything())))

    @staticmethod
    def acknowledge_news(link, sequence: int, news: BackendUpdate) -> None:
        """Answers another control node's news."""
        link.reply(sequence, BackendAck(news.sender, news.number))
