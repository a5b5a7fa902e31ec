"""Long connections between processes of the tier.

Each process listens on one port and keeps one outgoing connection to each peer it needs.  `framing` says how
messages share it: small ones don't wait behind large ones.  A message that cannot be sent now is dropped:
what must arrive is repeated by the part that needs it.  Nothing here waits for a peer.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import attrs

from ..membership.messages import Hello
from ..replication import messages as replication
from .codec import DecodeError, decode_with_sequence, encode
from .framing import FrameReader, FrameWriter, FramingError, LargeMessage
from .wire_names import WIRE_NAMES

ANY_ORDER = frozenset(  # replicas bear any order of these
    WIRE_NAMES[message]
    for message in (
        replication.RequestVote,
        replication.VoteReply,
        replication.AppendEntries,
        replication.AppendReply,
        replication.SnapshotReply,
        replication.TransferOwnership,
    )
)
MOST_WAITING_BYTES = 24 << 20  # a peer that reads nothing loses its connection beyond
UNACKNOWLEDGED_MS = 600  # a connection to a silent machine ends after this
MOST_SEQUENCE = 2**31 - 1  # a message's header has no room for more
CONNECT_TIMEOUT_S = 0.3
FIRST_PAUSE_S = 0.03
LONGEST_PAUSE_S = 0.12


def prepare(sock: socket.socket) -> None:
    """No delay of small frames, and an end for connections to machines that fell silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class Link(asyncio.Protocol):
    """One connection: frames in, frames out, and the replies that are waited for."""

    def __init__(self, owner: Links, outgoing: bool):
        self._owner = owner
        self.outgoing = outgoing
        self.address = ""  # dialled, where outgoing
        self.peer: Hello | None = None
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._writer = FrameWriter(ANY_ORDER)
        self._write_due = False  # once the loop comes round
        self._waiting: dict[int, asyncio.Future] = {}
        self._sequence = 0
        self.closed = False
        self.heard_at = 0.0  # by the loop's clock

    def connection_made(self, transport):
        """Greets the peer."""
        self._transport = transport
        prepare(transport.get_extra_info("socket"))
        transport.set_write_buffer_limits(high=MOST_WAITING_BYTES)
        self.send(self._owner.hello)
        self._owner.opened.add(self)

    def data_received(self, data):
        """Takes whole frames off what has come."""
        self.heard_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                if not self._take(frame):
                    return self.close()
            self._follow_chunks()
        except FramingError as fault:
            self._owner.log.warning("connection given up: {}", fault)
            self.close()

    def _follow_chunks(self) -> None:
        """Acknowledges the chunks that have come, and goes on with those that the peer has room for."""
        reader = self._reader
        if reader.chunk_bytes:
            self._writer.acknowledge(reader.chunk_bytes)
            reader.chunk_bytes = 0
            self._write_soon()
        if reader.acknowledged_bytes:
            self._writer.acknowledged(reader.acknowledged_bytes, self.heard_at)
            reader.acknowledged_bytes = 0
            self._write_soon()

    def _take(self, frame: bytes) -> bool:
        try:
            message, sequence = decode_with_sequence(frame)
        except DecodeError as fault:
            self._owner.log.warning("frame refused: {}", fault)
            return False
        if isinstance(message, Hello):
            self.peer = message
            self._owner.greeted(self)
            return True
        if sequence < 0:
            waiting = self._waiting.pop(-sequence, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)
            return True
        self._owner.received(self, message, sequence)
        return True

    def send(self, message, sequence: int = 0) -> bool:
        """Hands a message to the connection; False when it is closed or its peer reads nothing."""
        return self.send_encoded(encode(message, sequence))

    def send_encoded(self, data: bytes) -> bool:
        """As `send`, for one encoding that goes to many."""
        if not self._may_send():
            return False
        self._add(data)
        return True

    def _may_send(self) -> bool:
        transport = self._transport
        if transport is None or self.closed or transport.is_closing():
            return False
        if transport.get_write_buffer_size() + self._writer.waiting_bytes > MOST_WAITING_BYTES:
            self.close()
            return False
        return True

    def _add(self, data: bytes) -> LargeMessage | None:
        waiting = self._writer.add(data)
        self._owner.sent_bytes += len(data)
        self._write_soon()
        return waiting

    def _write_soon(self) -> None:
        if not self._write_due:
            self._write_due = True
            asyncio.get_running_loop().call_soon(self._write_frames)

    def _write_frames(self) -> None:
        """One call of the system for all frames of one turn of the loop."""
        self._write_due = False
        if self.closed or self._transport.is_closing():
            return
        frames = self._writer.take(asyncio.get_running_loop().time())
        if frames:
            self._transport.write(frames)

    def reply(self, sequence: int, message) -> None:
        """Answers a request that came with this sequence number."""
        if sequence > 0:
            self.send(message, -sequence)

    async def request(self, message, timeout: float):
        """The reply, or None where none came in time or the connection ended.

        A request that has not begun to leave by then never does.
        """
        if self._sequence >= MOST_SEQUENCE:
            self.close()  # on one connection no number comes twice
            return None
        self._sequence += 1
        sequence = self._sequence
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        future = loop.create_future()
        self._waiting[sequence] = future
        sent = None
        try:
            if not self._may_send():
                return None
            sent = self._add(encode(message, sequence))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            if self.heard_at < asked_at:
                self.close()  # nothing at all came: a new connection finds a machine that has come back
            return None
        finally:
            self._waiting.pop(sequence, None)
            if sent is not None:
                self._writer.withdraw(sent)

    def connection_lost(self, exc):
        """Ends what waits for replies."""
        self.closed = True
        for future in self._waiting.values():
            if not future.done():
                future.set_result(None)
        self._waiting.clear()
        self._owner.opened.discard(self)
        self._owner.lost(self)

    def close(self) -> None:
        """Ends the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


@attrs.define(eq=False)
class _Peer:
    """The outgoing connection to one address, kept up while it is wanted."""

    address: str
    link: Link | None = None
    task: asyncio.Task | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


class Links:
    """All connections of a process.

    `on_message(link, message, sequence)` gets what comes in; `on_peer(link)` tells of a peer that greeted
    on an outgoing connection, `on_lost(link)` of any connection's end.
    """

    def __init__(self, hello: Hello, log, on_message: Callable, on_peer: Callable, on_lost: Callable):
        self.hello = hello
        self.log = log
        self.received = on_message
        self._on_peer = on_peer
        self._on_lost = on_lost
        self.opened: set[Link] = set()
        self.sent_bytes = 0
        self._peers: dict[str, _Peer] = {}
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Takes connections at the address of the hello."""
        host, port = self.hello.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self, outgoing=False), host, int(port), backlog=512, reuse_address=True
        )

    def keep(self, addresses) -> None:
        """Keeps outgoing connections to exactly these addresses (and never to itself)."""
        wanted = set(addresses) - {self.hello.address, ""}
        for address in wanted - self._peers.keys():
            self._connect(address)
        for address in self._peers.keys() - wanted:
            self._drop(address)

    def add(self, address: str) -> None:
        """Keeps an outgoing connection to one more address."""
        if address and address != self.hello.address and address not in self._peers:
            self._connect(address)

    def _connect(self, address: str) -> None:
        peer = _Peer(address)
        self._peers[address] = peer
        peer.task = asyncio.get_running_loop().create_task(self._keep_up(peer))

    def _drop(self, address: str) -> None:
        peer = self._peers.pop(address)
        peer.task.cancel()
        if peer.link is not None:
            peer.link.close()

    def to(self, address: str) -> Link | None:
        """The greeted outgoing connection, if there is one now."""
        peer = self._peers.get(address)
        return None if peer is None else peer.link

    def addresses(self) -> list[str]:
        """All addresses that connections are kept to."""
        return list(self._peers)

    def greeted(self, link: Link) -> None:
        """A connection knows its peer now."""
        if not link.outgoing:
            return
        peer = self._peers.get(link.address)
        if peer is None:
            return link.close()
        peer.link = link
        peer.changed.set()
        self._on_peer(link)

    def lost(self, link: Link) -> None:
        """A connection ended."""
        peer = self._peers.get(link.address)
        if peer is not None and (peer.link is link or peer.link is None):
            peer.link = None
            peer.changed.set()
        self._on_lost(link)

    async def _keep_up(self, peer: _Peer) -> None:
        host, port = peer.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE_S
        while True:
            peer.changed.clear()
            link = Link(self, outgoing=True)
            link.address = peer.address
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda made=link: made, host, int(port))
                    await peer.changed.wait()
            except (OSError, TimeoutError):
                link.close()
            if peer.link is link:
                pause = FIRST_PAUSE_S
                peer.changed.clear()
                await peer.changed.wait()
            await asyncio.sleep(pause)
            pause = min(pause * 2, LONGEST_PAUSE_S)

    async def close(self) -> None:
        """Ends every connection."""
        if self._server is not None:
            self._server.close()
        for peer in self._peers.values():
            peer.task.cancel()
        for link in list(self.opened):
            link.close()
