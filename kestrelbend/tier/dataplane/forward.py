"""Forwards one exchange: chooses backends, attempts, repeats where that is allowed, passes the answer on.

The delivery loop:

    ┌────> pick a backend ──none──> wait for capacity ──too late, or in vain──> own answer
    │         │    ^                       │
    │         │    └─────────woken─────────┘  (those that were saturated may be tried again)
    │         v
    │      attempt, hedged (`hedge`, `attempt`, `send`)
    │         │  └──failure──> record it
    │         │                  ├── certainly not run ─────────────────────> the loop again, at once
    │         v                  ├── may have run, may be repeated ─backoff─> the loop again
    │      opened                └── may have run, may not ─────────────────> own answer, or a break
    │         │
    │         v
    │      pass on ──complete──> done
    │         │
    └─resume──┴──broke midway: a failure that may have run, as above

What a failure leads to (`exchange.Failure` says what each one is):

    NOT_EXECUTED, NO_CONNECTION                  not run; the backend is saturated until the next wait is over
    BROKEN_BEFORE_SEND                           not run; the second in an exchange counts as saturated
    REFUSED, UNREACHABLE, WITHDRAWN,
    OTHER_INSTANCE, OTHER_VERSION                not run; the backend is left out of this exchange
    BROKEN, GARBLED                              may have run; repeated only where the request is repeatable

Invariants: a request that is not repeatable is sent again only after a send that certainly did not run; a
repeatable one runs at no more than the route's `retries` backends that live on; an answer that was begun is
continued only where the route may be resumed, at the event after the last one passed on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend
from . import ports
from .admission_control import AdmissionControl
from .attempt import AttemptRunner, OpenedResponse
from .choice import LoadBalancer
from .client import Client, LocalResponse
from .delivery import Delivery
from .errors import DataPlaneError
from .exchange import LAST_EVENT_ID, PROGRAM, Exchange, Failure
from .hedge import Hedger
from .send import MISDIRECTED, SendRecord
from .waiting_queue import Rank, WaitingQueues

MAX_SENDS = 64  # of one exchange
MAX_RUNS = 3  # attempts of one repeatable request that may have run
MAX_BROKEN_CONNECTIONS = 2  # before a backend counts as saturated
RETRY_BACKOFFS_S = (0.0, 0.03, 0.1)  # before the first, second and later retries
MAX_WAIT_SHARE = 0.2  # of its latency target that a request waits for capacity before it is rejected
PROGRAM_MAX_WAIT_SHARE = 1.0  # a program's call costs all of the program when it fails
MISDIRECTED_RETRY_S = 0.2  # a backend's weights may be changing
MIN_STREAM_TIMEOUT_S = 1.0  # of a begun stream; clients give up at twice this, or at twice the next two
STREAM_TIMEOUT_TARGETS = 2.0  # in relation to the latency target
STREAM_TIMEOUT_GAPS = 4.0  # in relation to the longest gap between tokens that is in time


@attrs.define
class _AttemptHistory:
    """What is known of one exchange's attempts."""

    rank: Rank
    wait_until: float  # on the loop's clock; for capacity, before an answer is begun
    position: int | None  # the id of the last event that the client has
    sends: int = 0  # attempts, hedged ones among them
    runs: int = 0  # failures after which the request may have run
    broken_connections: int = 0  # connections that broke before the request left
    may_have_run_at: set[str] = attrs.field(factory=set)  # may have run there, and it was not seen to crash
    saturated: set[str] = attrs.field(factory=set)  # rejected it in this round
    lost: set[str] = attrs.field(factory=set)  # gone or out of reach
    other_version: set[str] = attrs.field(factory=set)  # their weights are not those that the client expects


@attrs.define(eq=False)
class Forwarder:
    """Carries exchanges to an end."""

    _backends: ports.Backends
    _attempt_runner: AttemptRunner
    _load_balancer: LoadBalancer
    _hedger: Hedger
    _waiting: WaitingQueues
    _admission: AdmissionControl

    async def forward(self, delivery: Delivery) -> LocalResponse | None:
        """The own answer to give; None when the client has its answer, or must see its connection break.

        A 503 or 421 of ours promises that no send of the exchange has run or will run; a 502 says that one
        may have.  Where this is cancelled, `delivery.progress` tells which of both holds.
        """
        exchange = delivery.exchange
        client = delivery.client
        history = _new_history(exchange, self._admission.rank(exchange))
        while not client.disconnected:
            backend = self._pick_backend(exchange, history)
            if backend is None:
                if await self._wait_for_capacity(delivery, history):
                    continue
                return self._local_response(delivery, history)
            self._load_balancer.begin(backend.identity)
            try:
                failure = await self._attempt(delivery, history, backend)
            finally:
                self._load_balancer.end(backend.identity)
            if failure is None:
                return None
            self._record_failure(history, backend, failure)
            if not failure.certainly_not_run:
                if not _may_retry(exchange, history, client):
                    return self._local_response(delivery, history)
                await asyncio.sleep(RETRY_BACKOFFS_S[min(history.runs, len(RETRY_BACKOFFS_S)) - 1])
        return None

    def _pick_backend(self, exchange: Exchange, history: _AttemptHistory) -> Backend | None:
        """The backend of the next attempt; once the request may have run at `retries`, only one of those."""
        if history.sends >= MAX_SENDS:
            return None
        live = self._backends.of(exchange.service.name)
        left_out = history.saturated | history.lost | history.other_version
        candidates = [backend for backend in live if backend.identity not in left_out]
        if exchange.expected_instance is not None:
            candidates = _matching_instance(exchange, candidates)
        if len(history.may_have_run_at) >= max(1, exchange.route.retries):
            candidates = [backend for backend in candidates if backend.identity in history.may_have_run_at]
        return self._load_balancer.choose(exchange, candidates, asyncio.get_running_loop().time())

    async def _wait_for_capacity(self, delivery: Delivery, history: _AttemptHistory) -> bool:
        """Waits; whether the backends that were saturated may be tried again."""
        exchange = delivery.exchange
        if not history.saturated or history.sends >= MAX_SENDS:
            return False
        self._admission.record_saturation(exchange)
        until = exchange.deadline if delivery.client.started else history.wait_until
        if not await self._waiting.wait(exchange.service.name, history.rank, until):
            return False
        history.saturated.clear()
        return True

    async def _attempt(
        self, delivery: Delivery, history: _AttemptHistory, backend: Backend
    ) -> Failure | None:
        """One attempt, hedged, and the passing on of its answer; None when the client has it completely."""
        exchange = delivery.exchange
        client = delivery.client
        last = exchange.fields.get(LAST_EVENT_ID)
        if client.events:
            assert history.position is not None, "a stream is resumed only at a known event"
            last = b"%d" % history.position

        async def attempt(second: bool) -> OpenedResponse | Failure:
            """One of at most two attempts side by side; the second needs a connection of its own."""
            history.sends += 1
            send_record = SendRecord(backend, last, fresh=second or history.runs > 0)
            return await self._attempt_runner.attempt(
                exchange, send_record, history.position, delivery.progress
            )

        opened = await self._hedger.run(exchange, attempt)
        if isinstance(opened, Failure):
            return opened
        try:
            if self._should_retry(exchange, history, opened, client):
                return Failure.BROKEN
            failure = await self._forward_response(exchange, history, opened, client)
        finally:
            opened.close()
        if failure is not None:
            self._attempt_runner.record_broken_response(backend.identity)
        return failure

    def _should_retry(
        self, exchange: Exchange, history: _AttemptHistory, opened: OpenedResponse, client: Client
    ) -> bool:
        """A failure of the backend's own that a repeat may mend, or no continuation of what was begun."""
        if client.started:
            return not opened.response.events
        return opened.failed and exchange.retryable and history.runs + 1 < MAX_RUNS

    async def _forward_response(
        self, exchange: Exchange, history: _AttemptHistory, opened: OpenedResponse, client: Client
    ) -> Failure | None:
        """Passes an answer on to its end; BROKEN where it breaks or its stream stops for too long.

        Hazard: the client may get a part of it either way, so after a failure only a stream is gone on with.
        """
        response = opened.response
        if not client.started:
            await client.start(response.status, response.headers)
        if opened.complete:
            await client.body(opened.data, more=False)
            return None
        timeout_s = _stream_timeout_s(exchange)
        loop = asyncio.get_running_loop()
        data: bytes | None = opened.data
        events = opened.events
        try:
            async with asyncio.timeout(None) as timeout:  # set while the backend is waited for, alone
                while data is not None:
                    if opened.splitter is not None:
                        history.position = opened.splitter.position
                        client.events += events
                    if data:
                        await client.body(data, more=True)
                    if timeout_s is not None:
                        timeout.reschedule(loop.time() + timeout_s)
                    data, events = await _next_chunk(opened)
                    timeout.reschedule(None)
        except (DataPlaneError, TimeoutError):
            return Failure.BROKEN
        await client.body(b"", more=False)
        return None

    def _record_failure(self, history: _AttemptHistory, backend: Backend, failure: Failure) -> None:
        """Takes in what a failure says of its backend, by the table of the module's doc comment."""
        identity = backend.identity
        if not failure.certainly_not_run:
            history.runs += 1
            history.may_have_run_at.add(identity)
        elif failure is Failure.BROKEN_BEFORE_SEND:
            history.broken_connections += 1
            if history.broken_connections >= MAX_BROKEN_CONNECTIONS:
                history.saturated.add(identity)  # it resets connections beyond its limit
        elif failure in (Failure.NOT_EXECUTED, Failure.NO_CONNECTION):
            history.saturated.add(identity)
        elif failure is Failure.REFUSED:
            history.lost.add(identity)
            history.may_have_run_at.discard(identity)  # it crashed: it does not count against `retries`
        elif failure in (Failure.UNREACHABLE, Failure.BACKEND_REMOVED):
            history.lost.add(identity)
        elif failure is Failure.WRONG_VERSION:
            history.other_version.add(identity)
        elif failure is Failure.WRONG_INSTANCE:
            self._backends.mark_departed(identity)
            history.lost.add(identity)
            history.may_have_run_at.discard(identity)

    def _local_response(self, delivery: Delivery, history: _AttemptHistory) -> LocalResponse | None:
        """The answer of our own when nothing more is attempted; None where the connection must break.

        Hazard: a 502 is the only one that doesn't promise that nothing ran, so it is decided on first.
        """
        exchange = delivery.exchange
        if delivery.client.started:
            return None
        if delivery.progress.may_have_run:
            return LocalResponse(502, "the backend's answer was lost")
        if history.other_version and not history.saturated:
            return LocalResponse(MISDIRECTED, "no backend has the expected version", MISDIRECTED_RETRY_S)
        live = self._backends.of(exchange.service.name)
        if exchange.expected_instance is not None and not _matching_instance(exchange, live):
            return LocalResponse(MISDIRECTED, "the expected instance is not there", MISDIRECTED_RETRY_S)
        return self._admission.rejection()


async def _next_chunk(opened: OpenedResponse) -> tuple[bytes | None, int]:
    """What to pass on next, None at the end, and how many events are in it."""
    data = await opened.response.next()
    if opened.splitter is None:
        return data, 0
    if data is None:
        return opened.splitter.end() or None, 0
    events = opened.splitter.feed(data)
    return events.data, events.count


def _matching_instance(exchange: Exchange, backends: Sequence[Backend]) -> list[Backend]:
    """Those of `backends` that the client allows by naming an instance."""
    return [backend for backend in backends if backend.identity.encode() == exchange.expected_instance]


def _stream_timeout_s(exchange: Exchange) -> float | None:
    """Seconds without data after which a stream is resumed: well before its client gives it up."""
    if not (exchange.streaming and exchange.route.resumable):
        return None
    route = exchange.route
    of_target = route.slo_ms / 1000 * STREAM_TIMEOUT_TARGETS
    of_gap = route.inter_token_target_ms / 1000 * STREAM_TIMEOUT_GAPS
    return max(MIN_STREAM_TIMEOUT_S, of_target, of_gap)


def _new_history(exchange: Exchange, rank: Rank) -> _AttemptHistory:
    fields = exchange.fields
    share = PROGRAM_MAX_WAIT_SHARE if PROGRAM in fields else MAX_WAIT_SHARE
    wait_until = min(exchange.deadline, exchange.received_at + exchange.route.slo_ms / 1000 * share)
    return _AttemptHistory(rank, wait_until, _event_id(fields.get(LAST_EVENT_ID)))


def _may_retry(exchange: Exchange, history: _AttemptHistory, client: Client) -> bool:
    """Whether a retry is allowed after an attempt that may have run."""
    if not exchange.retryable or history.runs >= MAX_RUNS:
        return False
    if not client.started:
        return True
    return exchange.streaming and client.events > 0 and history.position is not None


def _event_id(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
