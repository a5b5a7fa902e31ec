"""The counter service: CNT.ADD over RESP2, calls written one behind another on a few connections."""
from __future__ import annotations

import asyncio
import logging
from collections import deque

import hiredis

from ..interface import Result
from .tally import counters

log = logging.getLogger(__name__)
CONNECTIONS = 4     # a name keeps to one of them, so that its answers come in the order of its calls
TURN = 0.001        # seconds: the loop reads its sockets once before a timer so far off


class Line(asyncio.Protocol):
    """One connection: what was written on it and not answered."""

    def __init__(self):
        self.transport, self.reader, self.pending, self.heard = None, hiredis.Reader(), deque(), 0.0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.heard = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                if self.pending:
                    self.pending.popleft().answered(reply)
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, _):
        self.transport = None
        for call in self.pending:
            call.over(Result.TIMED_OUT)     # written whole: it may have been added
        self.pending.clear()


class Call:
    __slots__ = ("name", "counter", "done", "timer", "since")

    def __init__(self, name, counter):
        self.name, self.counter, self.done, self.timer = name, counter, False, None
        self.since = asyncio.get_running_loop().time()

    def answered(self, reply):
        if isinstance(reply, hiredis.ReplyError):
            self.over(Result.REJECTED if str(reply).startswith("BUSY") else Result.UNREACHABLE)
            return
        try:
            total = float(reply)
        except (TypeError, ValueError):
            self.over(Result.TIMED_OUT)
            return
        self.over(Result.SUCCEEDED, total)

    def due(self):
        """After a stall of this gateway the timer comes before what lies unread: that is read first."""
        self.timer = asyncio.get_running_loop().call_later(TURN, self.over, Result.TIMED_OUT)

    def over(self, result, total=0.0):
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        counters["counter_" + result.name.lower()] += 1
        self.counter.queue.put_nowait(("counted", self.name, result, total))


class CounterService:
    def __init__(self, queue, address, settings):
        self.queue, self.address = queue, address
        self.wait, self.connect_wait = settings["counter_timeout"] / 1e6, settings["connect_timeout"] / 1e6
        self.lines, self.opening = [None] * CONNECTIONS, [None] * CONNECTIONS

    def add(self, name, amount, life):
        call = Call(name, self)
        loop = asyncio.get_running_loop()
        counters["counter_calls"] += 1
        if self.address is None:
            call.timer = loop.call_later(0, call.over, Result.UNREACHABLE)
            return
        call.timer = loop.call_later(self.wait, call.over, Result.UNREACHABLE)
        place = name % CONNECTIONS
        amount, life_ms = f"{round(amount, 6):.10g}", str(max(1, life // 1000))
        data = hiredis.pack_command(("CNT.ADD", str(name), amount, life_ms))
        line = self.lines[place]
        if line is not None and line.pending and loop.time() - max(line.heard, line.pending[0].since) \
                > self.connect_wait:
            line.transport and line.transport.abort()      # silent: a fresh connection may be heard
            line = None
        if line is not None and line.transport is not None and not line.transport.is_closing():
            self.write(line, call, data)
            return
        if self.opening[place] is None:
            self.opening[place] = []
            asyncio.create_task(self.open(place))
        self.opening[place].append((call, data))

    def write(self, line, call, data):
        if call.done:
            return
        call.timer.cancel()
        loop = asyncio.get_running_loop()
        call.timer = loop.call_at(call.since + self.wait, call.due)
        line.pending.append(call)
        line.transport.write(data)

    async def open(self, place):
        loop, line = asyncio.get_running_loop(), None
        try:
            async with asyncio.timeout(self.connect_wait):
                _, line = await loop.create_connection(Line, *self.address)
        except (OSError, TimeoutError):
            counters["counter_connects_failed"] += 1
        waiting, self.opening[place], self.lines[place] = self.opening[place], None, line
        for call, data in waiting:
            if line is not None and line.transport is not None:
                self.write(line, call, data)
            else:
                call.over(Result.UNREACHABLE)
