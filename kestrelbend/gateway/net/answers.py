"""Reads the answers on one connection to a backend: one for each request, and the request's own.

Invariant: an answer counts only if it is certainly its request's (RFC 9112, section 9.2: answers come in the
order of the requests); what comes besides closes the connection.
"""

from __future__ import annotations

import asyncio
import math
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..errors import GatewayError
from .accept_queue import age
from .closing import readable
from .connection_reuse import REUSE_DELAY_S, ReuseHistory
from .counter import LOOP_ITERATION_S
from .metrics import counters

if TYPE_CHECKING:
    from .sending import SendAttempt

SENDING: Final[ContextVar[SendAttempt]] = ContextVar("sending")  # of the running task
HEAD_END: Final = b"\r\n\r\n"
MICROSECONDS_OF_SECOND: Final = 1e6
SWITCHING_PROTOCOLS: Final = 101  # the one final status among those of 100 to 199


class Doubtful(GatewayError):
    """An early answer was not the last one on its connection: it may be another request's."""

    code = "net.doubtful"


class Answers(ResponseHandler):
    """aiohttp's reader of one connection's answers, kept to one answer for each request.

    By itself it would take what comes behind an answer, or before the request, for the next request's, throw
    a good answer away for noise behind it, and wait until the delivery's time is up for one that began and
    never ends.

    A connection has settled once it was silent for a moment after an answer. What begins to come before that,
    on a request written meanwhile, is an early answer: it may be a second one to the request before. It
    counts only if the connection says nothing more for another moment, in which this request's own answer
    would come from a backend that is not slow; with a slow one, requests wait until it has settled.

    `patience`: seconds from an answer's first byte until it has to be complete. `asked`: a request is written
    and its answer not complete. `final`: the body of its answer, once the head was read, `left`: bytes of it
    to come, None where that is not known. `proof`: a future from when an early answer comes: whether it was
    this request's. `ends`: the present answer says that none follows on its connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, patience: float, reuse_history: ReuseHistory) -> None:
        super().__init__(loop)
        self.reuse_history = reuse_history
        self.patience = patience
        self.asked = False
        self.final: aiohttp.StreamReader | None = None
        self.left: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.sending: SendAttempt | None = None
        self.settled = True  # when this request was written
        self.settles_at = -math.inf  # loop time
        self.written_at = -math.inf  # loop time; read only once a request was written
        self.began = False  # the answer's first byte came
        self.proof: asyncio.Future[bool] | None = None
        self.ends = False

    def set_response_params(self, **options: Any) -> None:
        """This connection is chosen for a request."""
        self.sending = SENDING.get()
        self.sending.response_reader = self
        super().set_response_params(**options)

    def unread(self) -> bool:
        """Whether bytes, an end or a reset wait to be read."""
        return readable(self.transport)

    async def settle(self) -> None:
        """Return once the connection was silent for a moment, or says something, which closes it."""
        left = self.settles_at - self._loop.time()
        if left > 0:
            counters["requests_waited_for_silence"] += 1
            await asyncio.sleep(left + LOOP_ITERATION_S)

    def ask(self) -> bool:
        """A request is about to be written; False: it must not be.

        This connection has ended or said something of its own; by the time that this was read, it is closing.
        """
        if self.transport is None or self.transport.is_closing() or self.unread():
            return False
        self.asked = True
        self.final = None
        self.left = None
        self.written_at = self._loop.time()
        self.began = False
        self.settled = self.written_at >= self.settles_at
        self.proof = None
        self.ends = False
        return True

    def begins(self) -> None:
        """The first bytes of an answer came.

        How long ago is asked of the machine: the gateway may have stood still meanwhile.
        """
        self.began = True
        came_at = self._loop.time()
        if self.settled:
            assert self.sending is not None  # a request was written
            if self.sending.delivery is not None:
                self.reuse_history.record_latency(came_at - self.written_at)
            return
        assert self.transport is not None  # bytes come by it
        came_at -= age(self.transport.get_extra_info("socket")) / MICROSECONDS_OF_SECOND
        if came_at < self.settles_at:
            counters["answers_early"] += 1
            self.proof = self._loop.create_future()

    def prove(self, held: bool) -> None:
        """Whether an early answer was this request's; only the first call counts."""
        if self.proof is not None and not self.proof.done():
            self.proof.set_result(held)

    def released(self) -> None:
        """The connection is given back to be closed: nothing more is heard of an early answer.

        One that said itself that none follows counts.
        """
        if not self.ends:
            self.prove(False)

    def more_behind(self) -> None:
        """Bytes came that belong to no request."""
        counters["answers_with_more_behind"] += 1
        self.reuse_history.record_unsolicited_data()
        if not self.settled and self.proof is None:
            self.proof = self._loop.create_future()
        self.prove(False)

    async def proven(self) -> None:
        """Return once the present answer is known to be this request's; raises `Doubtful` if it may not."""
        if self.proof is not None and not await self.proof:
            counters["answers_doubtful"] += 1
            raise Doubtful

    def feed_data(self, data: Any, size: int = 0) -> None:
        """A head was read: `data` is its message and the body's reader."""
        message, payload = data
        if not 100 <= message.code < 200 or message.code == SWITCHING_PROTOCOLS:
            self.final = payload
            length = message.headers.get("Content-Length")
            self.left = None if length is None or message.chunked else int(length)
            self.ends = message.should_close
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Read what belongs to the present answer; what is left over closes the connection."""
        if self.asked and self.timer is None:
            self.timer = self._loop.call_later(self.patience, self.due)
        if self.asked and not self.began:
            self.begins()
        while data and self.asked:  # in one function: it runs for each part of each answer
            if self.final is not None:
                cut = len(data) if self.left is None else self.left
            else:
                head = data.find(HEAD_END)
                cut = len(data) if head < 0 else head + len(HEAD_END)
            part = data[:cut]
            data = data[cut:]
            if self.final is not None and self.left is not None:
                self.left -= len(part)
            super().data_received(part)
            is_spoilt = self._exception is not None or self.transport is None
            if is_spoilt and self.final is not None and not self.final.is_eof():
                self.final.set_exception(aiohttp.ClientPayloadError("cannot be read"))
            if is_spoilt or self.final is not None and self.final.is_eof():
                self.asked = False
                self.settles_at = self._loop.time() + REUSE_DELAY_S
                self.quiet()
        if data:
            self.more_behind()
            self.force_close()
            if self.transport is not None:
                self.transport.close()
        elif self.ends and not self.asked:
            self.prove(True)

    def due(self) -> None:
        """The answer is overdue, but what lies unread is read first.

        After a stall of this gateway the timer comes before it.
        """
        self.timer = self._loop.call_later(LOOP_ITERATION_S, self.stalled)

    def stalled(self) -> None:
        """Abort the connection: its answer began and does not end."""
        if self.transport is not None:
            counters["answers_never_whole"] += 1
            self.transport.abort()

    def quiet(self) -> None:
        """Wait no longer for the answer's end."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """It has ended, and with it what was awaited on it."""
        self.quiet()
        self.prove(False)
        super().connection_lost(exc)
