"""Publishes a control node's backend registry to the other control nodes and to the gateways.

Invariant: messages sent on a connection arrive in order, or the connection ends and its successor begins with
a complete update.  A receiver that reconnects therefore has every earlier update.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

import attrs

from ..protocol.peer_connection import PeerConnection
from .messages import Backend, BackendAck, BackendUpdate
from .subscriber import Subscriber

ACK_TIMEOUT_S = 0.6
UNNUMBERED = 0  # number of an update between control nodes, whose acknowledgements are matched by request


@attrs.frozen
class SentUpdate:
    """The number of the last update sent to a subscriber."""

    subscriber: Subscriber
    number: int


class BackendExchange:
    """Sends registry changes to the subscribed gateways and to the other control nodes.

    `all_backends` returns the registry's content, `peers` the connections to the other control nodes.
    """

    def __init__(
        self,
        sender: str,
        all_backends: Callable[[], Iterable[Backend]],
        peers: Callable[[], Sequence[PeerConnection]],
    ) -> None:
        self._sender = sender
        self._all_backends = all_backends
        self._peers = peers
        self._subscribers: dict[PeerConnection, Subscriber] = {}

    # Gateways

    def subscribe(self, connection: PeerConnection, complete: bool = True) -> None:
        """Starts a gateway's stream with all backends, or only with those that are draining or departed.

        A gateway that switches between the two on one connection keeps its sequence of update numbers.
        """
        subscriber = self._subscribers.setdefault(connection, Subscriber(connection, self._sender))
        subscriber.receives_all = complete
        subscriber.send(self._all_backends(), complete)

    def connection_lost(self, connection: PeerConnection) -> None:
        """Removes the subscription of a connection that ended, if it had one."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            subscriber.close()

    def record_ack(self, connection: PeerConnection, ack: BackendAck) -> None:
        """Records a gateway's acknowledgement."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            subscriber.record_ack(ack)

    def notify_gateways(self, backends: list[Backend]) -> list[SentUpdate]:
        """Sends changes to the gateways that are subscribed here."""
        if not backends:
            return []
        return [
            SentUpdate(subscriber, subscriber.send(backends, complete=False))
            for subscriber in self._subscribers.values()
        ]

    # The other control nodes

    def notify_peers(self, backends: list[Backend]) -> None:
        """Sends changes to the other control nodes without waiting for acknowledgements."""
        if not backends:
            return
        update = self._peer_update(backends)
        for connection in self._peers():
            connection.send(update)

    async def notify_all(self, backends: list[Backend]) -> set[str]:
        """Sends changes to gateways and control nodes; waits up to `ACK_TIMEOUT_S` for acknowledgements.

        Returns the internal addresses of the other control nodes that acknowledged.
        """
        acks = [sent.subscriber.ack_future(sent.number) for sent in self.notify_gateways(backends)]
        return await self._request_peers(backends, set(), ACK_TIMEOUT_S, acks)

    async def notify_remaining_peers(
        self, backends: list[Backend], holders: set[str], within: float
    ) -> set[str]:
        """Sends changes to the control nodes that are not yet in `holders`, those that acknowledged them.

        Waits at most `within` seconds and returns `holders` with the nodes that acknowledged now.
        """
        timeout = min(within, ACK_TIMEOUT_S)
        return holders | await self._request_peers(backends, holders, timeout, [])

    async def _request_peers(
        self,
        backends: list[Backend],
        excluded: set[str],
        timeout: float,
        acks: list[asyncio.Future[None]],
    ) -> set[str]:
        """Waits for the gateways' `acks` and the peers; returns the addresses of peers that acknowledged."""
        update = self._peer_update(backends)
        requests = {
            connection: asyncio.ensure_future(connection.request(update, timeout))
            for connection in self._peers()
            if connection.address not in excluded
        }
        if not acks and not requests:
            return set()
        done, unfinished = await asyncio.wait([*acks, *requests.values()], timeout=timeout)
        for future in unfinished:
            future.cancel()
        acknowledged = [
            connection
            for connection, reply in requests.items()
            if reply in done and reply.result() is not None
        ]
        for connection in requests:
            if connection not in acknowledged:
                connection.send(update)  # a cancelled request may never have been sent; this message will be
        return {connection.address for connection in acknowledged}

    def send_complete(self, connection: PeerConnection) -> None:
        """Sends the whole registry to a control node that has connected."""
        connection.send(self._peer_update(self._all_backends(), complete=True))

    def _peer_update(self, backends: Iterable[Backend], complete: bool = False) -> BackendUpdate:
        return BackendUpdate(self._sender, UNNUMBERED, complete, tuple(backends))

    @staticmethod
    def reply_ack(connection: PeerConnection, sequence: int, update: BackendUpdate) -> None:
        """Acknowledges another control node's update."""
        connection.reply(sequence, BackendAck(update.sender, update.number))
