"""One gateway's stream of backends, on one connection of a control node.

Invariant: the numbers on a connection rise by one with each update, also where the gateway changes between
all changes and those of backends that leave; an acknowledgement of a number covers all before it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs

from ..protocol.peer_connection import PeerConnection
from .messages import Backend, BackendAck, BackendState, BackendUpdate


@attrs.frozen
class _AckWaiter:
    """Somebody waits until everything up to `number` is acknowledged."""

    number: int
    future: asyncio.Future[None]

    def finish(self) -> None:
        """Ends the waiting, where that has not happened yet."""
        if not self.future.done():
            self.future.set_result(None)


class Subscriber:
    """A gateway's stream of backends, on one connection: all changes, or only of backends that leave."""

    def __init__(self, connection: PeerConnection, sender: str) -> None:
        self.connection = connection
        self.complete = False  # whether it gets all changes
        self._sender = sender
        self._sent_number = 0
        self._acknowledged_number = 0
        self._waiters: list[_AckWaiter] = []

    def send(self, backends: Iterable[Backend], complete: bool) -> int:
        """Streams one update, if there is anything in it for this gateway; the number of the last one."""
        wanted = tuple(
            backend for backend in backends if self.complete or backend.state != BackendState.READY
        )
        if wanted or complete:
            self._sent_number += 1
            self.connection.send(BackendUpdate(self._sender, self._sent_number, complete, wanted))
        return self._sent_number

    def record_ack(self, ack: BackendAck) -> None:
        """The gateway has everything up to a number."""
        self._acknowledged_number = max(self._acknowledged_number, ack.number)
        for waiter in self._waiters:
            if waiter.number <= self._acknowledged_number:
                waiter.finish()
        self._waiters = [waiter for waiter in self._waiters if not waiter.future.done()]

    def ack_future(self, number: int) -> asyncio.Future[None]:
        """Done once the update is acknowledged or the connection has ended."""
        waiter = _AckWaiter(number, asyncio.get_running_loop().create_future())
        if number <= self._acknowledged_number or self.connection.closed:
            waiter.finish()
        else:
            self._waiters.append(waiter)
        return waiter.future

    def close(self) -> None:
        """The connection ended: nobody waits for it any longer."""
        for waiter in self._waiters:
            waiter.finish()
        self._waiters.clear()
