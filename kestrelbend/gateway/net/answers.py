"""Reads the responses on one connection to a backend and matches each to its request.

Invariant: a response is accepted only if it certainly belongs to its request (RFC 9112, section 9.2:
responses arrive in the order of the requests); any other data closes the connection.
"""

from __future__ import annotations

import asyncio
import math
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..errors import GatewayError
from .accept_queue import microseconds_since_last_data
from .closing import readable
from .connection_reuse import REUSE_DELAY_S, ReuseHistory
from .counter import LOOP_ITERATION_S
from .metrics import counters

if TYPE_CHECKING:
    from .sending import SendAttempt

CURRENT_ATTEMPT: Final[ContextVar[SendAttempt]] = ContextVar("sending")  # set in the task that sends
HEAD_END: Final = b"\r\n\r\n"
MICROSECONDS_PER_SECOND: Final = 1e6
SWITCHING_PROTOCOLS: Final = 101  # the only final status among 100 to 199


class AmbiguousResponse(GatewayError):
    """An early response was not the last one on its connection: it may belong to another request."""

    code = "net.doubtful"


class ResponseReader(ResponseHandler):
    """aiohttp's response reader for one connection, restricted to one response for each request.

    aiohttp's own reader takes data that follows a response, or precedes the request, as the next request's
    response. It discards a valid response if invalid data follows, and it waits for an incomplete response
    until the delivery's deadline.

    A connection has settled once it was silent for `REUSE_DELAY_S` after a response. A response that starts
    before that, to a request written meanwhile, is early: it may be a second response to the previous
    request. It is accepted only if the connection stays silent for another `REUSE_DELAY_S`, in which a
    backend that is not slow would send this request's own response. For a slow backend, requests wait until
    the connection settles.

    `response_timeout_s`: time from the first byte of a response until it must be complete.
    `awaiting_response`: a request was written and its response is not complete. `body`: the body of the
    final response, once its head was read. `body_bytes_left`: bytes of it still to come, None if unknown.
    `was_settled`: the connection had settled when the present request was written. `settled_at`: loop time
    from which the connection has settled. `confirmed`: a future, made when an early response arrives, that
    says whether it belongs to this request. `is_last_response`: the present response says that no other
    follows on its connection.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, response_timeout_s: float, reuse_history: ReuseHistory
    ) -> None:
        super().__init__(loop)
        self.reuse_history = reuse_history
        self.response_timeout_s = response_timeout_s
        self.awaiting_response = False
        self.body: aiohttp.StreamReader | None = None
        self.body_bytes_left: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.attempt: SendAttempt | None = None
        self.was_settled = True
        self.settled_at = -math.inf
        self.written_at = -math.inf  # loop time; valid only once a request was written
        self.response_started = False
        self.confirmed: asyncio.Future[bool] | None = None
        self.is_last_response = False

    def set_response_params(self, **options: Any) -> None:
        """Assign the connection to a request; overrides aiohttp's."""
        self.attempt = CURRENT_ATTEMPT.get()
        self.attempt.response_reader = self
        super().set_response_params(**options)

    def has_unread_data(self) -> bool:
        """Whether data, an end of file or a reset waits to be read."""
        return readable(self.transport)

    async def wait_until_settled(self) -> None:
        """Wait until the connection has settled; data that arrives meanwhile closes it."""
        left = self.settled_at - self._loop.time()
        if left > 0:
            counters["requests_waited_for_silence"] += 1
            await asyncio.sleep(left + LOOP_ITERATION_S)

    def begin_request(self) -> bool:
        """Prepare for a request; return False if it must not be written on this connection.

        That is so if the connection is closed or closing, or if data waits to be read on it.
        """
        if self.transport is None or self.transport.is_closing() or self.has_unread_data():
            return False
        self.awaiting_response = True
        self.body = None
        self.body_bytes_left = None
        self.written_at = self._loop.time()
        self.response_started = False
        self.was_settled = self.written_at >= self.settled_at
        self.confirmed = None
        self.is_last_response = False
        return True

    def on_response_started(self) -> None:
        """Handle the first bytes of a response: detect whether it is early.

        The system reports when they arrived, as the gateway may have been stalled since.
        """
        self.response_started = True
        received_at = self._loop.time()
        if self.was_settled:
            assert self.attempt is not None  # because a request was written
            if self.attempt.delivery is not None:
                self.reuse_history.record_latency(received_at - self.written_at)
            return
        assert self.transport is not None  # because data arrived
        received_at -= (
            microseconds_since_last_data(self.transport.get_extra_info("socket")) / MICROSECONDS_PER_SECOND
        )
        if received_at < self.settled_at:
            counters["answers_early"] += 1
            self.confirmed = self._loop.create_future()

    def confirm(self, is_confirmed: bool) -> None:
        """Record whether an early response belongs to this request; only the first call counts."""
        if self.confirmed is not None and not self.confirmed.done():
            self.confirmed.set_result(is_confirmed)

    def on_released(self) -> None:
        """Handle the return of the connection to be closed: an early response cannot be confirmed any more.

        A response that announced itself as the last one on its connection is still accepted.
        """
        if not self.is_last_response:
            self.confirm(False)

    def on_unexpected_data(self) -> None:
        """Handle data that belongs to no request."""
        counters["answers_with_more_behind"] += 1
        self.reuse_history.record_unsolicited_data()
        if not self.was_settled and self.confirmed is None:
            self.confirmed = self._loop.create_future()
        self.confirm(False)

    async def wait_until_confirmed(self) -> None:
        """Wait until the response is confirmed as this request's; raises `AmbiguousResponse` if it is not."""
        if self.confirmed is not None and not await self.confirmed:
            counters["answers_doubtful"] += 1
            raise AmbiguousResponse

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Handle a parsed response head; `data` holds the message and the reader of its body."""
        message, payload = data
        if not 100 <= message.code < 200 or message.code == SWITCHING_PROTOCOLS:
            self.body = payload
            length = message.headers.get("Content-Length")
            self.body_bytes_left = None if length is None or message.chunked else int(length)
            self.is_last_response = message.should_close
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Read the data of the present response; any data left over closes the connection."""
        if self.awaiting_response and self.timer is None:
            self.timer = self._loop.call_later(self.response_timeout_s, self.on_overdue)
        if self.awaiting_response and not self.response_started:
            self.on_response_started()
        while data and self.awaiting_response:  # not split into functions: runs for each received chunk
            if self.body is not None:
                cut = len(data) if self.body_bytes_left is None else self.body_bytes_left
            else:
                head = data.find(HEAD_END)
                cut = len(data) if head < 0 else head + len(HEAD_END)
            part = data[:cut]
            data = data[cut:]
            if self.body is not None and self.body_bytes_left is not None:
                self.body_bytes_left -= len(part)
            super().data_received(part)
            is_broken = self._exception is not None or self.transport is None
            if is_broken and self.body is not None and not self.body.is_eof():
                self.body.set_exception(aiohttp.ClientPayloadError("response body is malformed"))
            if is_broken or self.body is not None and self.body.is_eof():
                self.awaiting_response = False
                self.settled_at = self._loop.time() + REUSE_DELAY_S
                self.cancel_timer()
        if data:
            self.on_unexpected_data()
            self.force_close()
            if self.transport is not None:
                self.transport.close()
        elif self.is_last_response and not self.awaiting_response:
            self.confirm(True)

    def on_overdue(self) -> None:
        """Give data that waits to be read one more loop turn before an overdue response is aborted.

        After a stall of the gateway, the loop runs the timer before it reads the data.
        """
        self.timer = self._loop.call_later(LOOP_ITERATION_S, self.abort_incomplete)

    def abort_incomplete(self) -> None:
        """Abort the connection, as its response started but was not completed in time."""
        if self.transport is not None:
            counters["answers_never_whole"] += 1
            self.transport.abort()

    def cancel_timer(self) -> None:
        """Cancel the timeout of the response."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what waits for a response; overrides aiohttp's."""
        self.cancel_timer()
        self.confirm(False)
        super().connection_lost(exc)
