"""What a process sends to the control nodes: that it runs, and which of their streams it wants.

Invariant: what a control node was asked for last on a connection is what the process wants of it, or the
connection has ended and the next one begins with a new subscription.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..membership.control_choice import ControlChoice
from ..membership.messages import Heartbeat, HeartbeatAck, Subscribe
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection
from ..protocol.peer_connections import PeerConnections


class ControlReports:
    """Heartbeats and subscriptions of one process, to the nodes that `choice` names.

    `on_unfollowed(address)` is called for a node whose complete streams are not wanted any more.
    """

    def __init__(
        self, choice: ControlChoice, connections: PeerConnections, on_unfollowed: Callable[[str], None]
    ) -> None:
        self._choice = choice
        self._connections = connections
        self._on_unfollowed = on_unfollowed
        self._wants_complete: dict[PeerConnection, bool] = {}

    def answered(self, connection: PeerConnection, answer: HeartbeatAck) -> None:
        """A control node has answered a heartbeat."""
        self._choice.record_reply(connection.address, answer.sequence, answer.stable)

    def lost(self, connection: PeerConnection) -> None:
        """A connection ended."""
        self._wants_complete.pop(connection, None)

    def subscribe(self, order: Sequence[str], wish: Callable[[bool], Subscribe], now: float) -> None:
        """Asks the nearest stable of the control nodes for all of its streams, the others for notices."""
        chosen = self._choice.stream_sources(order, now)
        for address in order:
            connection = self._connections.to(address)
            complete = address in chosen
            if connection is None or self._wants_complete.get(connection) is complete:
                continue
            self._wants_complete[connection] = complete
            connection.send(wish(complete))
            if not complete:
                self._on_unfollowed(address)

    def report(self, order: Sequence[str], heartbeat: Heartbeat, now: float) -> None:
        """Tells the control nodes that are to know it that this process runs."""
        self._choice.record_sent(heartbeat.sequence, now)
        data = encode(heartbeat)
        for address in self._choice.report_targets(order, now):
            connection = self._connections.to(address)
            if connection is not None:
                connection.send_encoded(data)
