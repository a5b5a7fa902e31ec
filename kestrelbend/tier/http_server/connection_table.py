"""The connections of a listener: how many there may be, and which are closed to make room.

The first to go is one whose request was refused, then the one that has waited longest for its first request,
then the one that has been idle longest, then one that only waits for its client to read its last response.
A connection whose request is in progress is never closed for another one, unless its client does not read
the response.
"""

from __future__ import annotations

from typing import Protocol

import attrs


class TrackedConnection(Protocol):
    """What the table needs of a connection."""

    def abort(self) -> None:
        """Closes the connection at once."""


@attrs.frozen
class ConnectionLimits:
    """How much the connections of a listener may hold together."""

    max_connections: int
    max_head_bytes: int  # of all incomplete heads
    max_stalled: int  # connections whose clients do not read a response that is being sent


UNLIMITED = ConnectionLimits(1 << 30, 1 << 62, 1 << 30)


class ConnectionTable:
    """The open connections of a listener."""

    def __init__(self, limits: ConnectionLimits = UNLIMITED) -> None:
        self.limits = limits
        self._open: dict[TrackedConnection, None] = {}
        self._unused: dict[TrackedConnection, None] = {}  # without a complete head so far, oldest first
        self._lingering: dict[TrackedConnection, None] = {}
        self._closing: dict[TrackedConnection, None] = {}
        self._idle: dict[TrackedConnection, None] = {}  # between two requests, longest idle first
        self._stalled: dict[TrackedConnection, None] = {}  # longest stalled first
        self._head_bytes: dict[TrackedConnection, int] = {}
        self._all_head_bytes = 0

    def add(self, connection: TrackedConnection) -> bool:
        """Adds a new connection; False if there is no room for it."""
        if len(self._open) >= self.limits.max_connections and not self._make_room():
            return False
        self._open[connection] = None
        self._unused[connection] = None
        return True

    def remove(self, connection: TrackedConnection) -> None:
        """Forgets a closed connection."""
        self._open.pop(connection, None)
        self._forget_waiting(connection)
        self._stalled.pop(connection, None)
        self._lingering.pop(connection, None)
        self._closing.pop(connection, None)

    def request_started(self, connection: TrackedConnection) -> None:
        """The head of a request is complete."""
        self._forget_waiting(connection)

    def request_finished(self, connection: TrackedConnection) -> None:
        """The connection waits for its next request."""
        if connection in self._open:
            self._idle[connection] = None

    def lingering(self, connection: TrackedConnection) -> None:
        """The connection drops the rest of a refused request, and then ends."""
        self._keep_until_closed(connection, self._lingering)

    def closing(self, connection: TrackedConnection) -> None:
        """The connection ends as soon as its client has read the last response."""
        self._keep_until_closed(connection, self._closing)

    def _keep_until_closed(
        self, connection: TrackedConnection, ending: dict[TrackedConnection, None]
    ) -> None:
        if connection in self._open:
            self._forget_waiting(connection)
            self._lingering.pop(connection, None)
            ending[connection] = None

    def head_received(self, connection: TrackedConnection, count: int) -> None:
        """`count` more bytes of an incomplete head are held."""
        if connection not in self._unused and connection not in self._idle:
            return
        self._head_bytes[connection] = self._head_bytes.get(connection, 0) + count
        self._all_head_bytes += count
        while self._all_head_bytes > self.limits.max_head_bytes:
            self._close(next(iter(self._head_bytes)))

    def stalled(self, connection: TrackedConnection) -> None:
        """The client does not read: a write waits for it."""
        self._stalled[connection] = None
        if len(self._stalled) > self.limits.max_stalled:
            self._close(next(iter(self._stalled)))

    def resumed(self, connection: TrackedConnection) -> None:
        """The client has read."""
        self._stalled.pop(connection, None)

    def _make_room(self) -> bool:
        for candidates in (self._lingering, self._unused, self._idle, self._closing):
            if candidates:
                self._close(next(iter(candidates)))
                return True
        return False

    def _close(self, connection: TrackedConnection) -> None:
        self.remove(connection)
        connection.abort()

    def _forget_waiting(self, connection: TrackedConnection) -> None:
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)
        self._all_head_bytes -= self._head_bytes.pop(connection, 0)
