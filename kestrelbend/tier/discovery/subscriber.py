"""One gateway's stream of backend updates, on its connection to a control node.

Invariant: update numbers on a connection rise by one with each update, even when the gateway switches between
receiving all changes and only those of draining and departed backends.  An acknowledgement of a number covers
all earlier numbers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs

from ..protocol.peer_connection import PeerConnection
from .messages import Backend, BackendAck, BackendState, BackendUpdate


@attrs.frozen
class _AckWaiter:
    """A future that is done once all updates up to `number` are acknowledged."""

    number: int
    future: asyncio.Future[None]

    def finish(self) -> None:
        """Completes the future, unless it is done already."""
        if not self.future.done():
            self.future.set_result(None)


class Subscriber:
    """Sends a gateway all changes, or only those of draining and departed backends."""

    def __init__(self, connection: PeerConnection, sender: str) -> None:
        self.connection = connection
        self.receives_all = False  # otherwise only draining and departed backends
        self._sender = sender
        self._sent_number = 0
        self._acknowledged_number = 0
        self._waiters: list[_AckWaiter] = []

    def send(self, backends: Iterable[Backend], complete: bool) -> int:
        """Sends an update unless it is empty for this gateway; returns the number of the last update sent."""
        selected = tuple(
            backend for backend in backends if self.receives_all or backend.state != BackendState.READY
        )
        if selected or complete:
            self._sent_number += 1
            self.connection.send(BackendUpdate(self._sender, self._sent_number, complete, selected))
        return self._sent_number

    def record_ack(self, ack: BackendAck) -> None:
        """Records that the gateway has all updates up to a number."""
        self._acknowledged_number = max(self._acknowledged_number, ack.number)
        for waiter in self._waiters:
            if waiter.number <= self._acknowledged_number:
                waiter.finish()
        self._waiters = [waiter for waiter in self._waiters if not waiter.future.done()]

    def ack_future(self, number: int) -> asyncio.Future[None]:
        """Returns a future that is done once the update is acknowledged or the connection has ended."""
        waiter = _AckWaiter(number, asyncio.get_running_loop().create_future())
        if number <= self._acknowledged_number or self.connection.closed:
            waiter.finish()
        else:
            self._waiters.append(waiter)
        return waiter.future

    def close(self) -> None:
        """Completes all pending futures, as the connection has ended."""
        for waiter in self._waiters:
            waiter.finish()
        self._waiters.clear()
