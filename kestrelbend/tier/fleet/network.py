"""Connections in memory: bytes in order, with delay, loss, cuts, dark machines and resets.

What TCP does is kept where processes can notice it: bytes behind a cut wait and arrive late or never; a
connection whose bytes or probes stay unanswered ends after the times that the processes' sockets set; the
peer of a killed process is notified, the peer of a machine without power is not; a dead port refuses.
Invariant: a receiver gets a prefix of what its peer wrote, in order.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any, TypeVarTuple

import attrs

from .loop import Execution, ProtocolFactory, VirtualLoop

UNACKNOWLEDGED_TIMEOUT_S = 1.5  # until bytes that nobody acknowledges end a connection here
PROBE_INTERVAL_S = 1.0
MAX_LOST_PROBES = 3  # after so many intervals without an answer a connection at rest ends
CONNECT_RETRY_S = 1.0
PACKET_BYTES = 1460
RETRANSMISSION_S = (0.2, 0.4)
AFTER_PARTITION_S = (0.02, 0.4)  # until bytes that a cut held up are sent again

Address = tuple[str, int]  # IP and port, as asyncio gives them
Arguments = TypeVarTuple("Arguments")

_WORLD = contextvars.Context()  # of callbacks that belong to no process


class _Socket:
    """Takes the options that processes set on their sockets."""

    def setsockopt(self, *option: object) -> None:
        """Options are part of the model, see the module's constants."""


class Connection(asyncio.Transport):
    """One end of a connection, as its process sees it.

    `peer` is the other end; `Network.connect` joins both before any of them is used.
    """

    peer: Connection

    def __init__(self, network: Network, execution: Execution) -> None:
        super().__init__()
        self._network = network
        self._loop = network.loop
        self.execution = execution
        self.ip = execution.ip
        self.protocol: asyncio.Protocol | None = None
        self.closed = False
        self._backlog: list[bytes | None] = []  # None: the end of the stream
        self._arrives_at = 0.0
        self._unacknowledged: asyncio.TimerHandle | None = None
        self._probing = False
        self._lost_probes = 0

    # What the process calls

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The options of the socket are all that is asked for."""
        return _SOCKET if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nobody here waits for room."""

    def get_write_buffer_size(self) -> int:
        """What a cut holds up."""
        return sum(len(data) for data in self._backlog if data)

    def is_closing(self) -> bool:
        """Whether the process has closed this end, or the connection has ended."""
        return self.closed

    def pause_reading(self) -> None:
        """Bytes come as they come."""

    def resume_reading(self) -> None:
        """See `pause_reading`."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends, or keeps what a cut holds up."""
        if not self.closed:
            self._transmit(bytes(data))

    def close(self) -> None:
        """Ends the connection once its bytes are through."""
        if not self.closed:
            self._transmit(None)
            self._end(None)

    def abort(self) -> None:
        """Ends the connection; the peer learns of it if it can be reached."""
        if not self.closed:
            self._end(None)
            self._notify_peer_of_end()

    # What the network does

    @property
    def reachable(self) -> bool:
        """Whether packets go both ways."""
        return self._network.is_open(self.ip, self.peer.ip) and self._network.is_open(self.peer.ip, self.ip)

    def vanish(self, notify_peers: bool) -> None:
        """The process or its machine is gone; `notify_peers`: its system closes the connection."""
        if self.closed:
            return
        self.closed = True
        self._network.remove(self)
        if notify_peers:
            self._notify_peer_of_end()
        else:
            self.peer.probe()

    def reset(self, error: Exception | None) -> None:
        """The connection ends at this end."""
        if not self.closed:
            self._end(error)

    def probe(self) -> None:
        """Something is wrong with the path or the peer: the system's probes will find it."""
        if not self._probing and not self.closed:
            self._probing = True
            self._lost_probes = 0
            self._network.call_later(PROBE_INTERVAL_S, self._probe)

    def flush(self) -> None:
        """The path has changed: what waited goes on."""
        if self.closed:
            return
        if self._backlog and self._network.is_open(self.ip, self.peer.ip):
            backlog, self._backlog = self._backlog, []
            extra_delay = self._network.random.uniform(*AFTER_PARTITION_S)
            for data in backlog:
                self._send(data, extra_delay)
        if self.reachable and self._unacknowledged is not None:
            self._unacknowledged.cancel()
            self._unacknowledged = None

    def _probe(self) -> None:
        self._probing = False
        if self.closed:
            return
        if self.reachable:
            if self.peer.closed:
                self.reset(ConnectionResetError("the peer is gone"))
            return
        self._probing = True
        self._lost_probes += 1
        if self._lost_probes >= MAX_LOST_PROBES:
            self.reset(TimeoutError("the peer is silent"))
        else:
            self._network.call_later(PROBE_INTERVAL_S, self._probe)

    def _transmit(self, data: bytes | None) -> None:
        if self._network.is_open(self.ip, self.peer.ip):
            self._send(data, 0.0)
        else:
            self._backlog.append(data)
        if not self.reachable and self._unacknowledged is None:
            self._unacknowledged = self._network.call_later(UNACKNOWLEDGED_TIMEOUT_S, self._not_acknowledged)

    def _not_acknowledged(self) -> None:
        self._unacknowledged = None
        if not self.closed and not self.reachable:
            self.reset(TimeoutError("bytes stayed unacknowledged"))

    def _send(self, data: bytes | None, extra_delay: float) -> None:
        if self.peer.closed:
            if data is not None:
                self._network.call_later(
                    self._delay(), self.reset, ConnectionResetError("the peer has closed")
                )
            return
        for part in self._network.packets(self.ip, self.peer.ip, data):
            self._send_packet(part, extra_delay)

    def _send_packet(self, data: bytes | None, extra_delay: float) -> None:
        departs_at = self._network.departs_at(self.ip, self.peer.ip, data)
        self._arrives_at = max(self._arrives_at + 1e-7, departs_at + extra_delay + self._delay())
        peer = self.peer
        self._loop.call_at(self._arrives_at, peer.deliver, data, context=peer.execution.context)

    def _delay(self) -> float:
        return self._network.delay(self.ip, self.peer.ip)

    def deliver(self, data: bytes | None) -> None:
        """Bytes have come, or the end of the stream."""
        if self.closed:
            return
        assert self.protocol is not None  # set before anything is delivered, see `Network._accept`
        if data is None:
            self.protocol.eof_received()
            self._end(None)
        else:
            self.protocol.data_received(data)

    def _end(self, error: Exception | None) -> None:
        self.closed = True
        self._network.remove(self)
        if self.protocol is not None:
            context = self.execution.context
            self._loop.call_soon(self.protocol.connection_lost, error, context=context)

    def _notify_peer_of_end(self) -> None:
        peer = self.peer
        if peer.closed:
            return
        if self._network.is_open(self.ip, peer.ip):
            when = max(self._arrives_at + 1e-7, self._loop.time() + self._delay())
            reset = ConnectionResetError("reset by the peer")
            self._loop.call_at(when, peer.reset, reset, context=peer.execution.context)
        else:
            peer.probe()


_SOCKET = _Socket()


@attrs.frozen
class _Listening:
    execution: Execution
    factory: ProtocolFactory


class Server:
    """What `create_server` returns."""

    def __init__(self, network: Network, address: Address, listening: _Listening) -> None:
        self._network = network
        self._address = address
        self._listening = listening

    def close(self) -> None:
        """No more connections are taken."""
        self._network.unlisten(self._address, self._listening)


class Network:
    """All links of a fleet.  `distance(ip, ip)` gives the delay of one way in seconds."""

    def __init__(self, loop: VirtualLoop, seed: int, distance: Callable[[str, str], float]) -> None:
        self.loop = loop
        self.random = random.Random(f"network {seed}")
        self.loss = 0.0
        self._distance = distance
        self._bandwidth: dict[str, float] = {}
        self._free_at: dict[tuple[str, bool], float] = {}  # of a machine's link, and whether outwards
        self._listening: dict[Address, _Listening] = {}
        self._ends: dict[Connection, None] = {}
        self._blocked: set[tuple[str, str]] = set()
        self._isolated: set[str] = set()

    # Paths

    def is_open(self, source: str, target: str) -> bool:
        """Whether packets get from one machine to another."""
        if source in self._isolated or target in self._isolated:
            return False
        return (source, target) not in self._blocked

    def block(self, source: str, target: str) -> None:
        """Packets of this way are dropped from now on."""
        self._blocked.add((source, target))
        self._impaired({source, target})

    def unblock(self, source: str, target: str) -> None:
        """The way is open again."""
        self._blocked.discard((source, target))
        self._flush()

    def isolate(self, ip: str) -> None:
        """Nothing comes from this machine or goes to it."""
        self._isolated.add(ip)
        self._impaired({ip})

    def reconnect(self, ip: str) -> None:
        """The machine answers again."""
        self._isolated.discard(ip)
        self._flush()

    def _impaired(self, ips: set[str]) -> None:
        for end in list(self._ends):
            if end.ip in ips or end.peer.ip in ips:
                end.probe()

    def _flush(self) -> None:
        for end in list(self._ends):
            end.flush()

    def delay(self, source: str, target: str) -> float:
        """Seconds of one way for a packet, with those after which a lost one is sent again."""
        delay = self._distance(source, target) * self.random.uniform(1.0, 1.5)
        if self.loss and self.random.random() < self.loss:
            delay += self.random.uniform(*RETRANSMISSION_S)
        return delay

    def limit_bandwidth(self, ip: str, bytes_a_second: float) -> None:
        """All that a machine sends, and all that it gets, shares a link of this bandwidth from now on."""
        self._bandwidth[ip] = bytes_a_second

    def remove_bandwidth_limit(self, ip: str) -> None:
        """The machine's link has no bound any more."""
        self._bandwidth.pop(ip, None)

    def packets(self, source: str, target: str, data: bytes | None) -> list[bytes | None]:
        """What arrives one after the other; without a bound on the way it is all at once."""
        if not data or not (source in self._bandwidth or target in self._bandwidth):
            return [data]
        return [data[begin : begin + PACKET_BYTES] for begin in range(0, len(data), PACKET_BYTES)]

    def departs_at(self, source: str, target: str, data: bytes | None) -> float:
        """When the links of both machines have taken the bytes, behind all that was sent before."""
        departs_at = self.loop.time()
        for ip, outwards in ((source, True), (target, False)):
            bandwidth = self._bandwidth.get(ip)
            if bandwidth and data and source != target:
                departs_at = max(departs_at, self._free_at.get((ip, outwards), 0.0)) + len(data) / bandwidth
                self._free_at[ip, outwards] = departs_at
        return departs_at

    def call_later(
        self, seconds: float, callback: Callable[[*Arguments], object], *args: *Arguments
    ) -> asyncio.TimerHandle:
        """A timer of the world, which no process can hold."""
        return self.loop.call_later(seconds, callback, *args, context=_WORLD)

    # Connections

    def listen(self, execution: Execution, factory: ProtocolFactory, address: Address) -> Server:
        """Takes connections at an address for a process."""
        listening = _Listening(execution, factory)
        self._listening[address] = listening
        return Server(self, address, listening)

    def unlisten(self, address: Address, listening: _Listening) -> None:
        """Takes no more of them."""
        if self._listening.get(address) is listening:
            del self._listening[address]

    async def connect(
        self, execution: Execution, factory: ProtocolFactory, address: Address
    ) -> tuple[Connection, asyncio.Protocol]:
        """As `create_connection`; machines that do not answer leave the caller waiting.

        Raises `ConnectionRefusedError` where nobody listens.
        """
        ip = address[0]
        while not (self.is_open(execution.ip, ip) and self.is_open(ip, execution.ip)):  # noqa: ASYNC110 -- virtual time
            await asyncio.sleep(CONNECT_RETRY_S)
        await asyncio.sleep(self.delay(execution.ip, ip) + self.delay(ip, execution.ip))
        listening = self._listening.get(address)
        if listening is None or listening.execution.ended:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        near = Connection(self, execution)
        far = Connection(self, listening.execution)
        near.peer = far
        far.peer = near
        self._ends[near] = self._ends[far] = None
        self.loop.call_soon(self._accept, far, listening, context=listening.execution.context)
        protocol = factory()
        near.protocol = protocol
        protocol.connection_made(near)
        return near, protocol

    @staticmethod
    def _accept(end: Connection, listening: _Listening) -> None:
        end.protocol = listening.factory()
        if end.closed:
            return
        end.protocol.connection_made(end)

    def remove(self, end: Connection) -> None:
        """An end is closed."""
        self._ends.pop(end, None)

    def end_execution(self, execution: Execution, notify_peers: bool) -> None:
        """A process is gone; `notify_peers`: its machine goes on and closes its connections."""
        for address, listening in list(self._listening.items()):
            if listening.execution is execution:
                del self._listening[address]
        for end in list(self._ends):
            if end.execution is execution:
                end.vanish(notify_peers)

    def reset_some(self, ip: str, share: float) -> None:
        """Resets this share of a machine's connections."""
        for end in list(self._ends):
            if end.ip == ip and self.random.random() < share:
                end.reset(ConnectionResetError("reset on the way"))
                end.peer.reset(ConnectionResetError("reset on the way"))
