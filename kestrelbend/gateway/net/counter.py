"""Client of the counter service: `CNT.ADD name amount lifetime_ms` over RESP2, version 2 of Redis's protocol.

The service replies to each call with the new total of the counter `name`, as text, or with an error. Replies
arrive in the order of the calls on a connection, and nothing else matches a reply to its call: after a reply
that cannot be parsed the connection is aborted. A call that was written may have been added, whatever its
result; only a call that was never written, or that the service rejects, certainly was not added.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Any, Final, cast

import hiredis

from ..interface import Result
from .events import CounterReplied
from .metrics import counters

MAX_CONNECTIONS: Final = 8
LOOP_ITERATION_S: Final = 0.001  # the loop reads its sockets once before a timer this far ahead fires
MICROSECONDS_PER_SECOND: Final = 1e6
MICROSECONDS_PER_MS: Final = 1000
AMOUNT_DECIMALS: Final = 6

Address = tuple[str, int]
"""Host and port, as asyncio takes them."""

# By the first word of an error reply; after any other error it is unknown whether the call was added.
RESULT_BY_ERROR: Final = {"BUSY": Result.REJECTED, "ERR": Result.UNREACHABLE}


class CounterConnection(asyncio.Protocol):
    """One connection, with its unanswered calls and the calls that wait until it is established."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.pending: deque[CounterCall] = deque()
        self.waiting: list[CounterCall] = []
        self.last_received_at = 0.0  # loop time
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the calls that were waiting for the connection."""
        self.transport = cast(asyncio.Transport, transport)
        for call in self.waiting:
            self.write(call)
        self.waiting.clear()

    def write(self, call: CounterCall) -> None:
        """Write a call once the connection is established, unless the call has ended by then."""
        if self.transport is None:
            self.waiting.append(call)
        elif not call.done:
            call.mark_written()
            self.pending.append(call)
            self.transport.write(call.request)

    def data_received(self, data: bytes) -> None:
        """Match replies with the pending calls, oldest first; abort if a reply is unexpected or invalid."""
        assert self.transport is not None
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                # After an unexpected reply, later replies can no longer be matched with their calls.
                if not self.pending or not self.pending.popleft().handle_reply(reply):
                    self.transport.abort()
                    return
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, _: Exception | None = None) -> None:
        """End all calls: those that were written as timed out, the others as unreachable."""
        self.closed = True
        for call in self.pending:
            call.end(Result.TIMED_OUT)  # it was written and may have been added
        for call in self.waiting:
            call.end(Result.UNREACHABLE)
        self.pending.clear()
        self.waiting.clear()

    def is_usable(self, now: float, silence_timeout: float, address: Address | None) -> bool:
        """Whether new calls may use this connection; one that is no longer needed is closed.

        A connection is unusable if it is closed, or if it received nothing for `silence_timeout` seconds
        while calls were pending: a new connection may get replies. A connection to a former address of the
        service stays open for its unfinished calls.
        """
        if self.address != address and not self.unfinished_calls():
            if self.transport is not None:
                self.transport.close()
            return False
        if self.closed or self.transport is not None and self.transport.is_closing():
            return False
        if self.pending and now - max(self.last_received_at, self.pending[0].started_at) > silence_timeout:
            assert self.transport is not None  # only written calls are pending
            self.transport.abort()
            return False
        return True

    def unfinished_calls(self) -> int:
        """How many calls await a reply or wait for the connection."""
        return len(self.pending) + len(self.waiting)

    def has_call_for(self, name: object) -> bool:
        """Whether a call for this counter is unfinished on this connection."""
        return any(call.name == name and not call.done for call in (*self.pending, *self.waiting))


class CounterCall:
    """One `CNT.ADD` call, which ends exactly once: by its reply, its timeout or the loss of its connection.

    The end is reported to the owner's queue as a `CounterReplied` event.
    """

    __slots__ = ("done", "name", "request", "client", "started_at", "timer")

    def __init__(self, name: object, request: bytes, client: CounterClient) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.request = request
        self.client = client
        self.done = False
        self.started_at = loop.time()
        self.timer = loop.call_later(client.call_timeout, self.end, Result.UNREACHABLE)

    def mark_written(self) -> None:
        """Note that the call is being written: after a timeout it may have been added."""
        self.timer.cancel()
        deadline = self.started_at + self.client.call_timeout
        self.timer = asyncio.get_running_loop().call_at(deadline, self.on_deadline)

    def on_deadline(self) -> None:
        """Time out after one more iteration of the loop.

        After a stall of this process the timer fires before pending input is read; that input is read first.
        """
        self.timer = asyncio.get_running_loop().call_later(LOOP_ITERATION_S, self.end, Result.TIMED_OUT)

    def handle_reply(self, reply: object) -> bool:
        """End the call by its reply; return False if the reply is invalid, so that the order is in doubt."""
        if isinstance(reply, hiredis.ReplyError):
            known = RESULT_BY_ERROR.get(str(reply).partition(" ")[0])
            self.end(known or Result.TIMED_OUT)
            return known is not None
        try:
            total = float(reply)  # type: ignore[arg-type]  # any object; a conversion error is caught
        except (TypeError, ValueError):
            total = math.nan
        # After a reply that is not a number the call may have been added.
        readable = math.isfinite(total)
        self.end(Result.SUCCEEDED if readable else Result.TIMED_OUT, total if readable else 0.0)
        return readable

    def end(self, result: Result, total: float = 0.0) -> None:
        """Report the result, unless one was reported before. `total`: the counter's value after the call."""
        if not self.done:
            self.done = True
            self.timer.cancel()
            counters["counter_" + result.name.lower()] += 1
            self.client.queue.put_nowait(CounterReplied(self.name, result, total))


class CounterClient:
    """One gateway's client of the counter service; the result of each call is an event on `queue`.

    `address`: of the service; if None, calls end as unreachable. `settings`: the gateway's; only
    `connect_timeout` is read. `call_timeout`: in microseconds, from the start of a call.
    """

    def __init__(
        self,
        queue: asyncio.Queue[Any],
        address: Address | None,
        settings: dict[str, Any],
        call_timeout: int,
    ) -> None:
        self.queue = queue
        self.address = address
        self.connections: list[CounterConnection] = []
        # Timeouts in seconds.
        self.call_timeout = call_timeout / MICROSECONDS_PER_SECOND
        self.connect_timeout = settings["connect_timeout"] / MICROSECONDS_PER_SECOND
        self.silence_timeout = max(self.connect_timeout, 2 * self.call_timeout)
        self.connect_tasks: set[asyncio.Task[None]] = set()

    def add(self, name: object, amount: float, lifetime: int) -> None:
        """Add `amount` to a counter, which the service keeps for `lifetime` microseconds from creation."""
        counters["counter_calls"] += 1
        amount_text = f"{round(amount, AMOUNT_DECIMALS):.10g}"
        lifetime_ms = str(max(1, lifetime // MICROSECONDS_PER_MS))
        # hiredis's type stub declares a tuple of one item.
        arguments: tuple[Any, ...] = ("CNT.ADD", str(name), amount_text, lifetime_ms)
        call = CounterCall(name, hiredis.pack_command(arguments), self)
        if self.address is not None:
            self._connection_for(name, self.address).write(call)

    def set_address(self, address: Address | None) -> None:
        """Use another address of the service from now on; unfinished calls stay on their connections."""
        self.address = address

    def _connection_for(self, name: object, address: Address) -> CounterConnection:
        """Choose the connection for a call; open a new one if all are busy and the limit allows it.

        Replies arrive in the order of the calls, so a call to a slow part of the service delays all calls
        behind it. Calls therefore use idle connections, but calls for one counter stay on one connection.
        """
        now = asyncio.get_running_loop().time()
        self.connections = [
            candidate
            for candidate in self.connections
            if candidate.is_usable(now, self.silence_timeout, address)
        ]
        for connection in self.connections:
            if connection.has_call_for(name):
                return connection
        current = [candidate for candidate in self.connections if candidate.address == address]
        # A connection whose oldest call has timed out may be dead: other connections are preferred.
        ready = [candidate for candidate in current if not (candidate.pending and candidate.pending[0].done)]
        chosen = min(ready or current, key=CounterConnection.unfinished_calls, default=None)
        if chosen is None or (not ready or chosen.unfinished_calls()) and len(current) < MAX_CONNECTIONS:
            chosen = CounterConnection(address)
            self.connections.append(chosen)
            task = asyncio.create_task(self._connect(chosen))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)
        return chosen

    async def _connect(self, connection: CounterConnection) -> None:
        """Establish a connection; if that fails, end the calls that wait for it as unreachable."""
        try:
            async with asyncio.timeout(self.connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *connection.address)
        except (OSError, TimeoutError):
            counters["counter_connects_failed"] += 1
            connection.connection_lost()
