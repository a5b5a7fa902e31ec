"""One attempt at an exchange: a send, and its response up to the first part that can be forwarded.

    send ──failure────────────────────────────────> Failure
      └──response──> buffer ──broke──────────────> BROKEN: may have run
                       ├──complete───────────────> OpenedResponse, complete: the connection is free again
                       └──first events, or large─> OpenedResponse: the rest follows

A plain response is buffered until it is complete unless it is large, a stream until its first complete
events.  If the response breaks before that, the client has received nothing and the attempt may be repeated.

Invariant: each attempt's outcome is recorded once, for the backend's health, the latencies and the limit.
A cancelled attempt has no outcome: only an overdue response and a reported load are recorded for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs

from ..discovery.messages import Backend
from .admission_control import AdmissionControl
from .connections import Connection
from .errors import DataPlaneError
from .events import EventSplitter
from .exchange import SERVER_LOAD, Exchange, Failure
from .health import Health
from .latency import LatencyRatios
from .reported_load import ReportedLoad
from .send import BackendResponse, Sender, SendRecord

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024  # larger plain responses are forwarded before they are complete
SUSPECT_FACTOR = 1.5  # multiple of the overdue time after which a wait counts against the backend's health
MIN_FAILURE_STATUS = 500  # from this status on, a retry may succeed


@attrs.define
class Progress:
    """The state of an exchange's sends so far; accurate at any time, also after a cancellation."""

    send_records: list[SendRecord] = attrs.field(factory=list)

    @property
    def connections(self) -> tuple[Connection, ...]:
        """The connections that carried the request so far."""
        return tuple(
            send_record.connection for send_record in self.send_records if send_record.connection is not None
        )

    @property
    def any_sent(self) -> bool:
        """Whether any byte of the request was sent to a backend."""
        return any(send_record.sent for send_record in self.send_records)

    @property
    def may_have_run(self) -> bool:
        """Whether a backend may have started to run the request."""
        return any(send_record.may_have_run for send_record in self.send_records)


@attrs.define
class OpenedResponse:
    """A response and the first part of its body; it must be closed."""

    response: BackendResponse
    data: bytes  # the first part, not yet forwarded
    events: int  # complete events in `data`; 0 for a plain response
    complete: bool  # `data` is the whole body
    splitter: EventSplitter | None  # None for a plain response

    @property
    def failed(self) -> bool:
        """Whether the status reports a failure of the backend."""
        return self.response.status >= MIN_FAILURE_STATUS

    def close(self) -> None:
        """Releases the connection."""
        self.response.close()


@attrs.define(eq=False)
class AttemptRunner:
    """Makes attempts and records their outcomes for the backends' health, latency and load."""

    _sender: Sender
    _health: Health
    _latency: LatencyRatios
    _admission: AdmissionControl
    _reported: ReportedLoad
    _in_flight: Mapping[str, int]  # this gateway's requests at each backend, by identity

    async def attempt(
        self, exchange: Exchange, send_record: SendRecord, last_id: int | None, progress: Progress
    ) -> OpenedResponse | Failure:
        """Makes one attempt; `last_id` is the id of the last event that the client has.

        An `OpenedResponse` (it must be closed) means that the request ran or is still running.  A `Failure`
        tells through `certainly_not_run` whether it may have run.  After a cancellation `progress` tells
        that: it holds `send_record` from the start, and a request that was sent may still be running.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        send_record.earlier_connections = progress.connections
        progress.send_records.append(send_record)
        suspect_after_s = self._latency.overdue_after_s(exchange.route) * SUSPECT_FACTOR
        overdue_timer = loop.call_later(suspect_after_s, self._on_overdue, send_record)
        try:
            outcome = await self._open(exchange, send_record, last_id)
        finally:
            overdue_timer.cancel()
        if send_record.marked_overdue:
            self._health.record_late_response(send_record.backend.identity, loop.time())
        self._record_outcome(exchange, send_record.backend.identity, outcome, started_at)
        return outcome

    def record_broken_response(self, identity: str) -> None:
        """Records that an opened response of the backend `identity` broke off; it may still be running."""
        self._health.record_failure(identity, asyncio.get_running_loop().time())

    def _on_overdue(self, send_record: SendRecord) -> None:
        if send_record.sent:
            send_record.marked_overdue = True
            self._health.record_overdue(send_record.backend.identity, asyncio.get_running_loop().time())

    async def _open(
        self, exchange: Exchange, send_record: SendRecord, last_id: int | None
    ) -> OpenedResponse | Failure:
        response = await self._sender.send(exchange, send_record)
        if isinstance(response, Failure):
            return response
        self._record_load(send_record.backend, response)
        opened = None
        try:
            opened = await (_open_events(response, last_id) if response.events else _open_plain(response))
        except DataPlaneError:
            return Failure.BROKEN
        finally:
            if opened is None or opened.complete:
                response.close()
        return opened

    def _record_load(self, backend: Backend, response: BackendResponse) -> None:
        report = next((value for name, value in response.headers if name == SERVER_LOAD), None)
        now = asyncio.get_running_loop().time()
        own = self._in_flight.get(backend.identity, 0)
        self._reported.record(backend.service, backend.identity, report, own, now)

    def _record_outcome(
        self, exchange: Exchange, identity: str, outcome: OpenedResponse | Failure, started_at: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, OpenedResponse):
            if outcome.failed:
                self._health.record_failure(identity, now)
                return
            self._health.record_success(identity, now)
            self._admission.record_response(exchange, now - started_at)
            self._latency.record(exchange.route.name, identity, now - started_at, now)
        elif outcome is Failure.NOT_EXECUTED:
            self._health.record_rejection(identity, now)
        elif outcome in (Failure.REFUSED, Failure.UNREACHABLE):
            self._health.record_connection_failure(identity, now)
        elif not outcome.certainly_not_run:
            self._health.record_failure(identity, now)


async def _open_plain(response: BackendResponse) -> OpenedResponse:
    """Buffers a plain response, completely unless it is large.  Raises DataPlaneError if it breaks."""
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_RESPONSE_BYTES:
        data = await response.next()
        if data is None:
            return OpenedResponse(response, b"".join(chunks), 0, True, None)
        chunks.append(data)
        size += len(data)
    return OpenedResponse(response, b"".join(chunks), 0, False, None)


async def _open_events(response: BackendResponse, last_id: int | None) -> OpenedResponse:
    """Buffers a stream up to its first complete events.

    Raises DataPlaneError if it breaks or event ids do not increase.
    """
    splitter = EventSplitter(last_id)
    prefix = b""  # comments and blank lines before the first event
    while True:
        data = await response.next()
        if data is None:
            return OpenedResponse(response, prefix + splitter.end(), 0, True, splitter)
        events = splitter.feed(data)
        prefix += events.data
        if events.count:
            return OpenedResponse(response, prefix, events.count, False, splitter)
