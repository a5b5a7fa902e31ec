"""Paths between machines in memory: delay, loss, partitions, dark machines, narrow links and listeners.

What becomes of the bytes of one connection is in `connection`; a port where nobody listens refuses.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import TypeVarTuple

import attrs

from .connection import Connection
from .loop import Execution, ProtocolFactory, VirtualLoop

CONNECT_RETRY_S = 1.0  # until a connect without an answer is sent again
PACKET_BYTES = 1460  # of what a narrow link takes at once
RETRANSMISSION_S = (0.2, 0.4)  # until a lost packet is sent again

Address = tuple[str, int]  # IP and port, as asyncio gives them
Arguments = TypeVarTuple("Arguments")

_WORLD = contextvars.Context()  # of callbacks that belong to no process


@attrs.frozen
class _Listening:
    """A process that takes connections at an address."""

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
