"""One end of a connection in memory, with what TCP does where processes can notice it.

Bytes behind a partition wait and arrive late or never; a connection whose bytes or probes stay unanswered
ends after the times that the processes' sockets set; the peer of a killed process is notified, the peer of a
machine without power is not.  Invariant: a receiver gets a prefix of what its peer wrote, in order.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ..protocol.peer_connection import SILENCE_LIMITS
from .loop import Execution

if TYPE_CHECKING:
    from .network import Network

UNACKNOWLEDGED_TIMEOUT_S = SILENCE_LIMITS.unacknowledged_ms / 1000  # as the sockets' TCP_USER_TIMEOUT
PROBE_INTERVAL_S = 1.0  # between two keepalive probes
MAX_LOST_PROBES = 3  # after so many intervals without an answer a connection at rest ends
AFTER_PARTITION_S = (0.02, 0.4)  # until bytes that a partition held up are sent again


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
        """What a partition holds up."""
        return sum(len(data) for data in self._backlog if data)

    def is_closing(self) -> bool:
        """Whether the process has closed this end, or the connection has ended."""
        return self.closed

    def pause_reading(self) -> None:
        """Bytes come as they come."""

    def resume_reading(self) -> None:
        """See `pause_reading`."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends, or keeps what a partition holds up."""
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
