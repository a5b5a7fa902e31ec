"""The counter service: CNT.ADD over RESP2, on as many connections as calls are out beside one another."""

from __future__ import annotations

import asyncio
import math
from collections import deque

import hiredis

from ..interface import Result
from .tally import counters

CONNECTIONS = 8  # at most
TURN = 0.001  # seconds: the loop reads its sockets once before a timer so far off


class Connection(asyncio.Protocol):
    """One connection: the calls written on it and not answered, and those that wait for it to come up."""

    def __init__(self, address):
        self.address = address
        self.transport, self.reader, self.pending, self.waiting = None, hiredis.Reader(), deque(), []
        self.heard, self.over = 0.0, False

    def connection_made(self, transport):
        self.transport = transport
        for call in self.waiting:
            self.write(call)
        self.waiting.clear()

    def write(self, call):
        if self.transport is None:
            self.waiting.append(call)
        elif not call.done:
            call.written()
            self.pending.append(call)
            self.transport.write(call.data)

    def data_received(self, data):
        self.heard = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                # After what is no answer to a call, which answer is whose can no longer be told.
                if not self.pending or not self.pending.popleft().answered(reply):
                    self.transport.abort()
                    return
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, _=None):
        self.over = True
        for call in self.pending:
            call.end(Result.TIMED_OUT)  # written whole: it may have been added
        for call in self.waiting:
            call.end(Result.UNREACHABLE)
        self.pending.clear()
        self.waiting.clear()

    def usable(self, now, patience, address):
        """Not one that ended, nor one that says nothing: a fresh connection may be heard.  One to where the
        service was before stays for the calls out on it."""
        if self.address != address and not self.load():
            if self.transport is not None:
                self.transport.close()
            return False
        if self.over or self.transport is not None and self.transport.is_closing():
            return False
        if self.pending and now - max(self.heard, self.pending[0].since) > patience:
            self.transport.abort()
            return False
        return True

    def load(self):
        return len(self.pending) + len(self.waiting)

    def has(self, name):
        return any(call.name == name and not call.done for call in (*self.pending, *self.waiting))


class Call:
    __slots__ = ("name", "data", "service", "done", "timer", "since")

    def __init__(self, name, data, service):
        loop = asyncio.get_running_loop()
        self.name, self.data, self.service, self.done, self.since = name, data, service, False, loop.time()
        self.timer = loop.call_later(service.wait, self.end, Result.UNREACHABLE)

    def written(self):
        self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_at(self.since + self.service.wait, self.due)

    def due(self):
        """After a stall of this gateway the timer comes before what lies unread: that is read first."""
        self.timer = asyncio.get_running_loop().call_later(TURN, self.end, Result.TIMED_OUT)

    def answered(self, reply):
        if isinstance(reply, hiredis.ReplyError):
            known = {"BUSY": Result.REJECTED, "ERR": Result.UNREACHABLE}.get(str(reply).partition(" ")[0])
            self.end(known or Result.TIMED_OUT)
            return known is not None
        try:
            total = float(reply)
        except (TypeError, ValueError):
            total = math.nan
        # What is no number may have been added.
        readable = math.isfinite(total)
        self.end(Result.SUCCEEDED if readable else Result.TIMED_OUT, total if readable else 0.0)
        return readable

    def end(self, result, total=0.0):
        if not self.done:
            self.done = True
            self.timer.cancel()
            counters["counter_" + result.name.lower()] += 1
            self.service.queue.put_nowait(("counted", self.name, result, total))


class CounterService:
    def __init__(self, queue, address, settings, wait):
        self.queue, self.address, self.connections = queue, address, []
        self.wait, self.connect_wait = wait / 1e6, settings["connect_timeout"] / 1e6
        self.patience, self.opening = max(self.connect_wait, 2 * self.wait), set()

    def add(self, name, amount, life):
        counters["counter_calls"] += 1
        amount, life_ms = f"{round(amount, 6):.10g}", str(max(1, life // 1000))
        call = Call(name, hiredis.pack_command(("CNT.ADD", str(name), amount, life_ms)), self)
        if self.address is not None:
            self.connection(name).write(call)

    def move(self, address):
        """The service is at another address now; what is out ends where it was sent."""
        self.address = address

    def connection(self, name):
        """Answers come in the order of the calls, so that one to a slow part of the service holds up all
        behind it: calls take free connections, but those for one name stay behind one another."""
        now = asyncio.get_running_loop().time()
        self.connections = [one for one in self.connections if one.usable(now, self.patience, self.address)]
        for connection in self.connections:
            if connection.has(name):
                return connection
        here = [one for one in self.connections if one.address == self.address]
        # One whose oldest call is past its time may have fallen silent: what can goes elsewhere.
        ready = [one for one in here if not (one.pending and one.pending[0].done)]
        least = min(ready or here, key=Connection.load, default=None)
        if (not ready or least.load()) and len(here) < CONNECTIONS:
            least = Connection(self.address)
            self.connections.append(least)
            task = asyncio.create_task(self.open(least))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return least

    async def open(self, connection):
        try:
            async with asyncio.timeout(self.connect_wait):
                await asyncio.get_running_loop().create_connection(lambda: connection, *connection.address)
        except (OSError, TimeoutError):
            counters["counter_connects_failed"] += 1
            connection.connection_lost()
