"""All connections of one process with others of the tier.

Each process listens on one port and keeps one outgoing connection to each peer that it needs.  Requests and
heartbeats go over outgoing connections; what came over an incoming one is answered there.

    keep(addresses) --> connect --> greeted: `to(address)` gives the connection
                           ^            |
                           |   lost or not greeted in time
                           +--- backoff <-+

Invariant: there is at most one outgoing connection to an address, and `to` gives it only between the peer's
greeting and its end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ..membership.messages import Hello
from .peer_connection import Log, PeerConnection

LISTEN_BACKLOG = 512
MAX_UNGREETED = 256  # incoming connections that have not said who they are
CONNECT_TIMEOUT_S = 0.3  # until the peer has greeted
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.12


@attrs.define(eq=False)
class _Peer:
    """The outgoing connection to one address, kept up while it is wanted."""

    address: str
    connection: PeerConnection | None = None
    task: asyncio.Task[None] | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)  # greeted, or lost

    def cancel(self) -> None:
        """No more attempts."""
        if self.task is not None:
            self.task.cancel()


class PeerConnections:
    """The endpoint of a process; it owns one task for each address that it keeps a connection to.

    `on_message(connection, message, sequence)` gets what comes in; `on_peer(connection)` hears of a peer that
    greeted on an outgoing connection, `on_lost(connection)` of any connection's end.
    """

    def __init__(
        self,
        hello: Hello,
        log: Log,
        on_message: Callable[[PeerConnection, Any, int], None],
        on_peer: Callable[[PeerConnection], None],
        on_lost: Callable[[PeerConnection], None],
    ) -> None:
        self.hello = hello
        self.log = log
        self.received = on_message  # no method of its own: it is called for each message
        self._on_peer = on_peer
        self._on_lost = on_lost
        self.opened: dict[PeerConnection, None] = {}  # in the order in which they were opened
        self.sent_bytes = 0
        self._ungreeted: dict[PeerConnection, None] = {}  # incoming ones, oldest first
        self._peers: dict[str, _Peer] = {}
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Takes connections at the address of the hello; raises OSError where it is taken."""
        host, port = self.hello.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def _accept(self) -> PeerConnection:
        """A new incoming connection; too many that say nothing cost the oldest of them."""
        if len(self._ungreeted) >= MAX_UNGREETED:
            oldest = next(iter(self._ungreeted))
            del self._ungreeted[oldest]
            oldest.close()
        connection = PeerConnection(self, outgoing=False)
        self._ungreeted[connection] = None
        return connection

    def keep(self, addresses: Iterable[str]) -> None:
        """Keeps outgoing connections to exactly these addresses (and never to itself)."""
        wanted = set(addresses) - {self.hello.address, ""}
        for address in sorted(wanted - self._peers.keys()):  # in an order that a whole run repeats
            self._connect(address)
        for address in sorted(self._peers.keys() - wanted):
            self._drop(address)

    def add(self, address: str) -> None:
        """Keeps an outgoing connection to one more address."""
        if address and address != self.hello.address and address not in self._peers:
            self._connect(address)

    def to(self, address: str) -> PeerConnection | None:
        """The greeted outgoing connection, if there is one now."""
        peer = self._peers.get(address)
        return None if peer is None else peer.connection

    def addresses(self) -> list[str]:
        """All addresses that connections are kept to."""
        return list(self._peers)

    async def close(self) -> None:
        """Ends every connection."""
        if self._server is not None:
            self._server.close()
        for peer in self._peers.values():
            peer.cancel()
        for connection in list(self.opened):
            connection.close()

    # What connections tell, see `peer_connection.Endpoint`

    def greeted(self, connection: PeerConnection) -> None:
        """A connection knows its peer now."""
        self._ungreeted.pop(connection, None)
        if not connection.outgoing:
            return
        peer = self._peers.get(connection.address)
        if peer is None:
            connection.close()
            return
        peer.connection = connection
        peer.changed.set()
        self._on_peer(connection)

    def lost(self, connection: PeerConnection) -> None:
        """A connection ended."""
        self._ungreeted.pop(connection, None)
        peer = self._peers.get(connection.address)
        if peer is not None and (peer.connection is connection or peer.connection is None):
            peer.connection = None
            peer.changed.set()
        self._on_lost(connection)

    # Outgoing connections

    def _connect(self, address: str) -> None:
        peer = _Peer(address)
        self._peers[address] = peer
        peer.task = asyncio.get_running_loop().create_task(self._keep_connected(peer))

    def _drop(self, address: str) -> None:
        peer = self._peers.pop(address)
        peer.cancel()
        if peer.connection is not None:
            peer.connection.close()

    async def _keep_connected(self, peer: _Peer) -> None:
        backoff = FIRST_BACKOFF_S
        while True:
            connection = await self._attempt(peer)
            if peer.connection is connection:
                backoff = FIRST_BACKOFF_S
                peer.changed.clear()
                await peer.changed.wait()
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_S)

    async def _attempt(self, peer: _Peer) -> PeerConnection:
        """Connects once, and waits until the peer has greeted or the connection is lost again."""
        host, port = peer.address.rsplit(":", 1)
        peer.changed.clear()
        connection = PeerConnection(self, outgoing=True, address=peer.address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, int(port))
                await peer.changed.wait()
        except (OSError, TimeoutError):
            connection.close()
        return connection
