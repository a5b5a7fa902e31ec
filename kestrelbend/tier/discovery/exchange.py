"""How a control node's registry reaches the other control nodes and the gateways.

Invariant: what was sent on a connection arrives on it in order, or the connection ends and the next one
begins with a complete update; so whoever is in contact again has every earlier update.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

import attrs

from ..protocol.peer_connection import PeerConnection
from .messages import Backend, BackendAck, BackendUpdate
from .subscriber import Subscriber

ACK_WAIT_S = 0.6
UNNUMBERED = 0  # the number of updates between control nodes, which are acknowledged one by one


@attrs.frozen
class SentUpdate:
    """The last update that a subscriber was sent, by its number."""

    subscriber: Subscriber
    number: int


class BackendExchange:
    """Publishes what the registry learns.

    `everything` gives all that the registry holds, `peers` the connections to the other control nodes.
    """

    def __init__(
        self,
        sender: str,
        everything: Callable[[], Iterable[Backend]],
        peers: Callable[[], Sequence[PeerConnection]],
    ) -> None:
        self._sender = sender
        self._everything = everything
        self._peers = peers
        self._subscribers: dict[PeerConnection, Subscriber] = {}

    # Gateways

    def subscribe(self, connection: PeerConnection, complete: bool = True) -> None:
        """Begins a gateway's stream with all that is known, or with the backends that leave or departed.

        The numbers on a connection go on where its gateway changes from one to the other.
        """
        subscriber = self._subscribers.setdefault(connection, Subscriber(connection, self._sender))
        subscriber.complete = complete
        subscriber.send(self._everything(), complete)

    def connection_lost(self, connection: PeerConnection) -> None:
        """A connection ended."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            subscriber.close()

    def record_ack(self, connection: PeerConnection, ack: BackendAck) -> None:
        """A gateway acknowledges."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            subscriber.record_ack(ack)

    def notify_gateways(self, backends: list[Backend]) -> list[SentUpdate]:
        """Streams changes to the gateways that are subscribed here."""
        if not backends:
            return []
        return [
            SentUpdate(subscriber, subscriber.send(backends, complete=False))
            for subscriber in self._subscribers.values()
        ]

    # The other control nodes

    def notify_peers(self, backends: list[Backend]) -> None:
        """Sends changes to the other control nodes without waiting for them."""
        if not backends:
            return
        update = self._peer_update(backends)
        for connection in self._peers():
            connection.send(update)

    async def notify_all(self, backends: list[Backend]) -> set[str]:
        """Sends changes to everybody and waits until they are acknowledged, or `ACK_WAIT_S` long.

        The internal addresses of the control nodes that acknowledged, without this one's.
        """
        acks = [sent.subscriber.ack_future(sent.number) for sent in self.notify_gateways(backends)]
        return await self._request_peers(backends, set(), ACK_WAIT_S, acks)

    async def notify_remaining_peers(
        self, backends: list[Backend], holders: set[str], within: float
    ) -> set[str]:
        """Sends changes to the control nodes that have not acknowledged them; all that have then.

        It waits `within` seconds at the most.
        """
        timeout = min(within, ACK_WAIT_S)
        return holders | await self._request_peers(backends, holders, timeout, [])

    async def _request_peers(
        self,
        backends: list[Backend],
        excluded: set[str],
        timeout: float,
        acks: list[asyncio.Future[None]],
    ) -> set[str]:
        """The addresses of the peers that acknowledged in time; `acks` of gateways are waited for besides."""
        update = self._peer_update(backends)
        requests = {
            connection: asyncio.ensure_future(connection.request(update, timeout))
            for connection in self._peers()
            if connection.address not in excluded
        }
        if not acks and not requests:
            return set()
        done, late = await asyncio.wait([*acks, *requests.values()], timeout=timeout)
        for future in late:
            future.cancel()
        acknowledged = [
            connection
            for connection, reply in requests.items()
            if reply in done and reply.result() is not None
        ]
        for connection in requests:
            if connection not in acknowledged:
                connection.send(update)  # a request may be withdrawn unsent; this stays on its connection
        return {connection.address for connection in acknowledged}

    def send_complete(self, connection: PeerConnection) -> None:
        """A control node has connected: it gets all of the registry."""
        connection.send(self._peer_update(self._everything(), complete=True))

    def _peer_update(self, backends: Iterable[Backend], complete: bool = False) -> BackendUpdate:
        return BackendUpdate(self._sender, UNNUMBERED, complete, tuple(backends))

    @staticmethod
    def reply_ack(connection: PeerConnection, sequence: int, update: BackendUpdate) -> None:
        """Replies to another control node's update."""
        connection.reply(sequence, BackendAck(update.sender, update.number))
