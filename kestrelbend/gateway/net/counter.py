"""Client of the counter service: `CNT.ADD name amount lifetime_ms` over RESP2, version 2 of Redis's protocol.

The service answers each call with the total of the counter that `name` names, as text, or with an error.
Answers come in the order of the calls on their connection, and nothing else ties an answer to its call: after
an answer that cannot be read the connection is aborted. A call that was written may have been added, whatever
comes of it; only one that was never written, or that the service rejects, certainly was not.
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
LOOP_ITERATION_S: Final = 0.001  # the loop reads its sockets once before a timer so far off
MICROSECONDS_PER_SECOND: Final = 1e6
MICROSECONDS_PER_MS: Final = 1000
AMOUNT_DECIMALS: Final = 6

Address = tuple[str, int]
"""Host and port, as asyncio takes them."""

# By the first word of an error reply; after any other one it is unknown whether the call was added.
RESULT_BY_ERROR: Final = {"BUSY": Result.REJECTED, "ERR": Result.UNREACHABLE}


class CounterConnection(asyncio.Protocol):
    """One connection: the calls written on it and not answered, and those that wait for it to come up."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.pending: deque[CounterCall] = deque()
        self.waiting: list[CounterCall] = []
        self.last_received_at = 0.0  # loop time
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the calls that waited for the connection."""
        self.transport = cast(asyncio.Transport, transport)
        for call in self.waiting:
            self.write(call)
        self.waiting.clear()

    def write(self, call: CounterCall) -> None:
        """Send a call, once the connection is established; a call that ended meanwhile is not sent."""
        if self.transport is None:
            self.waiting.append(call)
        elif not call.done:
            call.mark_written()
            self.pending.append(call)
            self.transport.write(call.request)

    def data_received(self, data: bytes) -> None:
        """Match replies with the pending calls, oldest first; abort at one that cannot be matched or read."""
        assert self.transport is not None
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                # After what is no answer to a call, which answer is whose can no longer be told.
                if not self.pending or not self.pending.popleft().handle_reply(reply):
                    self.transport.abort()
                    return
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, _: Exception | None = None) -> None:
        """End all calls: as timed out those that were written, as unreachable the others."""
        self.closed = True
        for call in self.pending:
            call.end(Result.TIMED_OUT)  # written completely: it may have been added
        for call in self.waiting:
            call.end(Result.UNREACHABLE)
        self.pending.clear()
        self.waiting.clear()

    def is_usable(self, now: float, silence_timeout: float, address: Address | None) -> bool:
        """Whether new calls may go on it; one that is of no use any more is closed.

        Not one that ended, nor one that has been silent for `silence_timeout` seconds with calls out: a fresh
        connection may be answered. One to a former address of the service stays for the calls out on it.
        """
        if self.address != address and not self.unfinished_calls():
            if self.transport is not None:
                self.transport.close()
            return False
        if self.closed or self.transport is not None and self.transport.is_closing():
            return False
        if self.pending and now - max(self.last_received_at, self.pending[0].started_at) > silence_timeout:
            assert self.transport is not None  # calls are pending once they are written
            self.transport.abort()
            return False
        return True

    def unfinished_calls(self) -> int:
        """How many calls are out on it or wait for it."""
        return len(self.pending) + len(self.waiting)

    def has_call_for(self, name: object) -> bool:
        """Whether a call for this counter has not ended on it."""
        return any(call.name == name and not call.done for call in (*self.pending, *self.waiting))


class CounterCall:
    """One `CNT.ADD`: it ends once, by its answer, its timeout or the end of its connection.

    Its end goes to the owner's queue as the event `("counted", name, result, total)`.
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
        """From now on a timeout leaves open whether the call was added."""
        self.timer.cancel()
        deadline = self.started_at + self.client.call_timeout
        self.timer = asyncio.get_running_loop().call_at(deadline, self.on_deadline)

    def on_deadline(self) -> None:
        """Time out, but after one more turn of the loop.

        After a stall of this gateway the timer comes before what lies unread: that is read first.
        """
        self.timer = asyncio.get_running_loop().call_later(LOOP_ITERATION_S, self.end, Result.TIMED_OUT)

    def handle_reply(self, reply: object) -> bool:
        """End by this reply; False: it cannot be read, and the connection's order of answers is in doubt."""
        if isinstance(reply, hiredis.ReplyError):
            known = RESULT_BY_ERROR.get(str(reply).partition(" ")[0])
            self.end(known or Result.TIMED_OUT)
            return known is not None
        try:
            total = float(reply)  # type: ignore[arg-type]  # anything: what is no number is caught
        except (TypeError, ValueError):
            total = math.nan
        # What is no number may have been added.
        readable = math.isfinite(total)
        self.end(Result.SUCCEEDED if readable else Result.TIMED_OUT, total if readable else 0.0)
        return readable

    def end(self, result: Result, total: float = 0.0) -> None:
        """Report the outcome; only the first one counts. `total`: the counter's value after this call."""
        if not self.done:
            self.done = True
            self.timer.cancel()
            counters["counter_" + result.name.lower()] += 1
            self.client.queue.put_nowait(CounterReplied(self.name, result, total))


class CounterClient:
    """The counter service as one gateway reaches it; the outcome of each call comes as an event of `queue`.

    `address`: where it is, None where there is none: its calls end as unreachable. `settings`: the gateway's;
    `connect_timeout` is read. `call_timeout`: microseconds, from the call on.
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
        # In seconds.
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
        """The service is at another address now; what is out ends where it was sent."""
        self.address = address

    def _connection_for(self, name: object, address: Address) -> CounterConnection:
        """The connection for a call; a new one where all are busy and there may be one more.

        Answers come in the order of the calls, so that one to a slow part of the service holds up all behind
        it: calls take free connections, but those for one name stay behind one another.
        """
        now = asyncio.get_running_loop().time()
        self.connections = [
            one for one in self.connections if one.is_usable(now, self.silence_timeout, address)
        ]
        for connection in self.connections:
            if connection.has_call_for(name):
                return connection
        current = [one for one in self.connections if one.address == address]
        # One whose oldest call is past its time may have fallen silent: what can goes elsewhere.
        ready = [one for one in current if not (one.pending and one.pending[0].done)]
        chosen = min(ready or current, key=CounterConnection.unfinished_calls, default=None)
        if chosen is None or (not ready or chosen.unfinished_calls()) and len(current) < MAX_CONNECTIONS:
            chosen = CounterConnection(address)
            self.connections.append(chosen)
            task = asyncio.create_task(self._connect(chosen))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)
        return chosen

    async def _connect(self, connection: CounterConnection) -> None:
        """Establish a connection, or end the calls that wait for it as unreachable."""
        try:
            async with asyncio.timeout(self.connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *connection.address)
        except (OSError, TimeoutError):
            counters["counter_connects_failed"] += 1
            connection.connection_lost()
