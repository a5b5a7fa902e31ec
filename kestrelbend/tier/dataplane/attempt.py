"""One attempt at an exchange: a send, and its answer up to the first part that can be passed on.

    send ──failure──────────────────────────────> Failure
      └──answer──> buffer ──broke──────────────> BROKEN: may have run
                     ├──complete───────────────> Opened, complete: the connection is free again
                     └──first events, or large─> Opened: the rest follows

A plain answer is buffered until it is complete, as far as it is small, a stream until its first complete
events: an answer that breaks before that has cost its client nothing, and may be attempted anew.

Invariant: each attempt's outcome is recorded once, for the backend's health, the latencies and the limit.
One that is cancelled has none: of it, only that it was overdue and its answer's report of load are recorded.
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
from .send import Answer, Sender, Sending

MAX_BUFFERED_ANSWER_BYTES = 256 * 1024  # a plain answer up to this size is buffered until it is complete
SUSPECT_FACTOR = 1.5  # of the time after which an answer is overdue: a longer one counts against the backend
FAILED_AT = 500  # statuses from here on are failures that a repeat may mend


@attrs.define
class Progress:
    """What became of an exchange's sends so far; true at any moment, also after a cancellation."""

    sendings: list[Sending] = attrs.field(factory=list)

    @property
    def connections(self) -> tuple[Connection, ...]:
        """Those that carried the request so far."""
        return tuple(sending.connection for sending in self.sendings if sending.connection is not None)

    @property
    def offered(self) -> bool:
        """The request left for a backend."""
        return any(sending.sent for sending in self.sendings)

    @property
    def may_have_run(self) -> bool:
        """Nothing excludes that a backend began work on the request."""
        return any(sending.may_have_run for sending in self.sendings)


@attrs.define
class Opened:
    """An answer with its first part; it must be closed."""

    answer: Answer
    data: bytes  # the first part, not yet passed on
    events: int  # complete events in `data`; 0 for a plain answer
    complete: bool  # nothing follows
    splitter: EventSplitter | None  # of a stream

    @property
    def failed(self) -> bool:
        """The backend answered that it failed."""
        return self.answer.status >= FAILED_AT

    def close(self) -> None:
        """Gives back the connection."""
        self.answer.close()


@attrs.define(eq=False)
class Attempter:
    """Makes attempts and keeps what they tell of the backends."""

    _sender: Sender
    _health: Health
    _latency: LatencyRatios
    _admission: AdmissionControl
    _reported: ReportedLoad
    _in_flight: Mapping[str, int]  # this gateway's requests at each backend

    async def attempt(
        self, exchange: Exchange, sending: Sending, last_id: int | None, progress: Progress
    ) -> Opened | Failure:
        """The outcome of one attempt; `last_id` is the id of the last event that the client has.

        An `Opened` (it must be closed) says that the request ran, or runs on while its answer comes.  A
        `Failure` says by `certainly_not_run` whether it may have run.  Where this is cancelled, `progress`
        says so: it holds `sending` from the begin, and a request that left may run on.
        """
        loop = asyncio.get_running_loop()
        begun = loop.time()
        sending.carried = progress.connections
        progress.sendings.append(sending)
        suspect_after_s = self._latency.overdue_after_s(exchange.route) * SUSPECT_FACTOR
        alarm = loop.call_later(suspect_after_s, self._on_overdue, sending)
        try:
            outcome = await self._open(exchange, sending, last_id)
        finally:
            alarm.cancel()
        if sending.suspected:
            self._health.responded(sending.backend.identity, loop.time())
        self._record_outcome(exchange, sending.backend.identity, outcome, begun)
        return outcome

    def broke_midway(self, identity: str) -> None:
        """An answer of the backend `identity` that was opened ended early: its run may go on."""
        self._health.failed(identity, asyncio.get_running_loop().time())

    def _on_overdue(self, sending: Sending) -> None:
        if sending.sent:
            sending.suspected = True
            self._health.unresponsive(sending.backend.identity, asyncio.get_running_loop().time())

    async def _open(self, exchange: Exchange, sending: Sending, last_id: int | None) -> Opened | Failure:
        answer = await self._sender.send(exchange, sending)
        if isinstance(answer, Failure):
            return answer
        self._record_load(sending.backend, answer)
        opened = None
        try:
            opened = await (_open_events(answer, last_id) if answer.events else _open_plain(answer))
        except DataPlaneError:
            return Failure.BROKEN
        finally:
            if opened is None or opened.complete:
                answer.close()
        return opened

    def _record_load(self, backend: Backend, answer: Answer) -> None:
        report = next((value for name, value in answer.headers if name == SERVER_LOAD), None)
        now = asyncio.get_running_loop().time()
        own = self._in_flight.get(backend.identity, 0)
        self._reported.record(backend.service, backend.identity, report, own, now)

    def _record_outcome(
        self, exchange: Exchange, identity: str, outcome: Opened | Failure, begun: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, Opened):
            if outcome.failed:
                self._health.failed(identity, now)
                return
            self._health.answered(identity, now)
            self._admission.record_answer(exchange, now - begun)
            self._latency.record(exchange.route.name, identity, now - begun, now)
        elif outcome is Failure.NOT_EXECUTED:
            self._health.rejected(identity, now)
        elif outcome in (Failure.REFUSED, Failure.UNREACHABLE):
            self._health.connection_refused(identity, now)
        elif not outcome.certainly_not_run:
            self._health.failed(identity, now)


async def _open_plain(answer: Answer) -> Opened:
    """A plain answer, complete unless it is large.  Raises DataPlaneError where it breaks."""
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_ANSWER_BYTES:
        data = await answer.next()
        if data is None:
            return Opened(answer, b"".join(chunks), 0, True, None)
        chunks.append(data)
        size += len(data)
    return Opened(answer, b"".join(chunks), 0, False, None)


async def _open_events(answer: Answer, last_id: int | None) -> Opened:
    """A stream up to its first complete events.  Raises DataPlaneError where it breaks or ids do not rise."""
    splitter = EventSplitter(last_id)
    before = b""  # comments and blank lines
    while True:
        data = await answer.next()
        if data is None:
            return Opened(answer, before + splitter.end(), 0, True, splitter)
        events = splitter.feed(data)
        before += events.data
        if events.count:
            return Opened(answer, before, events.count, False, splitter)
