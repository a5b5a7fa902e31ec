"""Reads the answers on one connection to a backend: one for each request, and the request's own."""

from __future__ import annotations

import asyncio
import math
from contextvars import ContextVar

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .accept_queue import age
from .closing import readable
from .counter import LOOP_TURN_S
from .tally import counters
from .trust import REST_S

SENDING = ContextVar("sending")  # of the running task


class Doubtful(Exception):
    """An early answer was not the last one on its connection: it may be another request's."""


class Answers(ResponseHandler):
    """aiohttp's reader of one connection's answers, kept to one answer for each request.  By itself it would
    take what comes behind an answer, or before the request, for the next request's, throw a good answer away
    for noise behind it, and wait until the delivery's time is up for one that began and never ends.

    A connection has settled once it was silent for a moment after an answer.  What begins to come before
    that, on a request written meanwhile, is an early answer: it may be a second one to the request before.
    It counts only if the connection says nothing more for another moment, in which this request's own answer
    would come from a backend that is not slow; with a slow one, requests wait until it has settled."""

    def __init__(self, loop, patience, trust):
        super().__init__(loop)
        self.trust = trust
        self.patience, self.asked, self.final, self.left, self.timer = patience, False, None, None, None
        self.sending = None
        self.settled, self.settles_at = True, -math.inf  # when this request was written; loop time
        self.written_at, self.began = None, False  # loop time; the answer's first byte came
        self.proof = None  # a future from when an early answer comes: whether it was this request's
        self.ends = False  # the present answer says that none follows on its connection

    def set_response_params(self, **more):
        """This connection is chosen for a request."""
        self.sending = SENDING.get()
        self.sending.answers = self
        super().set_response_params(**more)

    def unread(self):
        return readable(self.transport)

    async def settle(self):
        """Returns once the connection was silent for a moment, or says something, which closes it."""
        left = self.settles_at - self._loop.time()
        if left > 0:
            counters["requests_waited_for_silence"] += 1
            await asyncio.sleep(left + LOOP_TURN_S)

    def ask(self):
        """A request is about to be written.  False: it must not be, this connection has ended or said
        something of its own; by the time that this was read, it is closing."""
        if self.transport is None or self.transport.is_closing() or self.unread():
            return False
        self.asked, self.final, self.left = True, None, None
        self.written_at, self.began = self._loop.time(), False
        self.settled = self.written_at >= self.settles_at
        self.proof, self.ends = None, False
        return True

    def begins(self):
        """The first bytes of an answer came.  How long ago is asked of the machine: the gateway may have
        stood still meanwhile."""
        self.began, came_at = True, self._loop.time()
        if self.settled:
            if self.sending.d is not None:
                self.trust.record_latency(came_at - self.written_at)
            return
        came_at -= age(self.transport.get_extra_info("socket")) / 1e6
        if came_at < self.settles_at:
            counters["answers_early"] += 1
            self.proof = self._loop.create_future()

    def prove(self, held):
        """Whether an early answer was this request's; the first word counts."""
        if self.proof is not None and not self.proof.done():
            self.proof.set_result(held)

    def released(self):
        """The connection is given back to be closed: nothing more is heard of an early answer.  One that said
        itself that none follows counts."""
        if not self.ends:
            self.prove(False)

    def more_behind(self):
        """Bytes came that belong to no request."""
        counters["answers_with_more_behind"] += 1
        self.trust.record_noise()
        if not self.settled and self.proof is None:
            self.proof = self._loop.create_future()
        self.prove(False)

    async def proven(self):
        """Returns once the present answer is known to be this request's.  Raises Doubtful: it may not be."""
        if self.proof is not None and not await self.proof:
            counters["answers_doubtful"] += 1
            raise Doubtful

    def feed_data(self, data, size=0):
        """A head was read."""
        message, payload = data
        if not 100 <= message.code < 200 or message.code == 101:
            self.final, length = payload, message.headers.get("Content-Length")
            self.left = None if length is None or message.chunked else int(length)
            self.ends = message.should_close
        super().feed_data(data, size)

    def data_received(self, data):
        if self.asked and self.timer is None:
            self.timer = self._loop.call_later(self.patience, self.due)
        if self.asked and not self.began:
            self.begins()
        while data and self.asked:
            if self.final is not None:
                cut = len(data) if self.left is None else self.left
            else:
                head = data.find(b"\r\n\r\n")
                cut = len(data) if head < 0 else head + 4
            part, data = data[:cut], data[cut:]
            if self.final is not None and self.left is not None:
                self.left -= len(part)
            super().data_received(part)
            spoilt = self._exception is not None or self.transport is None
            if spoilt and self.final is not None and not self.final.is_eof():
                self.final.set_exception(aiohttp.ClientPayloadError("cannot be read"))
            if spoilt or self.final is not None and self.final.is_eof():
                self.asked = False
                self.settles_at = self._loop.time() + REST_S
                self.quiet()
        if data:
            self.more_behind()
            self.force_close()
            if self.transport is not None:
                self.transport.close()
        elif self.ends and not self.asked:
            self.prove(True)

    def due(self):
        """After a stall of this gateway the timer comes before what lies unread: that is read first."""
        self.timer = self._loop.call_later(LOOP_TURN_S, self.stalled)

    def stalled(self):
        if self.transport is not None:
            counters["answers_never_whole"] += 1
            self.transport.abort()

    def quiet(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc):
        self.quiet()
        self.prove(False)
        super().connection_lost(exc)
