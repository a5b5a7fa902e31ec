"""Forwards one exchange: selects backends, makes attempts, retries if allowed, and forwards the response.

The delivery loop:

    ┌────> pick a backend ──none──> wait for capacity ──too late, or in vain──> local response
    │         │    ^                       │
    │         │    └─────────woken─────────┘  (saturated backends may be tried again)
    │         v
    │      attempt, hedged (`hedge`, `attempt`, `send`)
    │         │  └──failure──> record it
    │         │                  ├── certainly not run ──────────────────> loop again, at once
    │         v                  ├── may have run, retryable ──backoff───> loop again
    │      opened                └── may have run, not retryable ────────> local response, or break
    │         │
    │         v
    │      forward ──complete──> done
    │         │
    └─resume──┴──broke midway: a failure that may have run, as above

Handling of failures (`exchange.Failure` describes each):

    NOT_EXECUTED, NO_CONNECTION                  not run; the backend is saturated until the next wait is over
    BROKEN_BEFORE_SEND                           not run; the second in an exchange counts as saturated
    REFUSED, UNREACHABLE, BACKEND_REMOVED,
    WRONG_INSTANCE, WRONG_VERSION                not run; the backend is left out of this exchange
    BROKEN, INVALID_RESPONSE                     may have run; retried only if the request is retryable

Invariants: a request that is not retryable is sent again only after a send that certainly did not run; a
retryable one runs at no more than the route's `retries` backends, not counting those that crashed; a started
response is continued only if the route is resumable, after the last event that was forwarded.
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

MAX_SENDS = 64  # per exchange
MAX_RUNS = 3  # attempts of one retryable request that may have run
MAX_BROKEN_CONNECTIONS = 2  # at this number a backend counts as saturated
RETRY_BACKOFFS_S = (0.0, 0.03, 0.1)  # before the first, second and later retries
MAX_WAIT_SHARE = 0.2  # maximum wait for capacity as a share of the latency target
PROGRAM_MAX_WAIT_SHARE = 1.0  # longer for a program's request, whose failure fails the whole program
MISDIRECTED_RETRY_S = 0.2  # a backend may be changing its model weights
# Timeout for the next data of a started stream: the largest of these.  Clients give up after twice that time.
MIN_STREAM_TIMEOUT_S = 1.0
STREAM_TIMEOUT_TARGETS = 2.0  # multiple of the latency target
STREAM_TIMEOUT_GAPS = 4.0  # multiple of the target for the time between tokens


@attrs.define
class _AttemptHistory:
    """The attempts of one exchange so far."""

    rank: Rank
    wait_until: float  # on the loop's clock; limits waits for capacity until a response is started
    position: int | None  # the id of the last event that the client has
    sends: int = 0  # attempts, including hedged ones
    runs: int = 0  # failures after which the request may have run
    broken_connections: int = 0  # connections that broke before the request was sent
    may_have_run_at: set[str] = attrs.field(factory=set)  # backends, except those known to have crashed
    saturated: set[str] = attrs.field(factory=set)  # backends that rejected it since the last wait
    lost: set[str] = attrs.field(factory=set)  # backends that are gone or unreachable
    wrong_version: set[str] = attrs.field(factory=set)  # backends with unexpected model weights


@attrs.define(eq=False)
class Forwarder:
    """Runs the delivery loop of exchanges."""

    _backends: ports.Backends
    _attempt_runner: AttemptRunner
    _load_balancer: LoadBalancer
    _hedger: Hedger
    _waiting: WaitingQueues
    _admission: AdmissionControl

    async def forward(self, delivery: Delivery) -> LocalResponse | None:
        """Returns the local response to send; None if the response is complete or its connection must break.

        A local 503 or 421 guarantees that no send of the exchange has run or will run; a 502 means that one
        may have.  If this is cancelled, `delivery.progress` tells which of the two applies.
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
        """The backend of the next attempt.

        Once the request may have run at `retries` backends, only one of those is eligible.
        """
        if history.sends >= MAX_SENDS:
            return None
        live = self._backends.of(exchange.service.name)
        excluded = history.saturated | history.lost | history.wrong_version
        candidates = [backend for backend in live if backend.identity not in excluded]
        if exchange.expected_instance is not None:
            candidates = _matching_instance(exchange, candidates)
        if len(history.may_have_run_at) >= max(1, exchange.route.retries):
            candidates = [backend for backend in candidates if backend.identity in history.may_have_run_at]
        return self._load_balancer.choose(exchange, candidates, asyncio.get_running_loop().time())

    async def _wait_for_capacity(self, delivery: Delivery, history: _AttemptHistory) -> bool:
        """Waits for capacity; returns whether the saturated backends may be tried again."""
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
        """Makes one hedged attempt and forwards its response; None if that was forwarded completely."""
        exchange = delivery.exchange
        client = delivery.client
        last_event_id = exchange.fields.get(LAST_EVENT_ID)
        if client.events:
            assert history.position is not None, "a stream is resumed only at a known event"
            last_event_id = b"%d" % history.position

        async def attempt(second: bool) -> OpenedResponse | Failure:
            """One of at most two concurrent attempts; the second needs a new connection."""
            history.sends += 1
            send_record = SendRecord(backend, last_event_id, fresh=second or history.runs > 0)
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
        """Whether the response is a failure worth a retry, or cannot continue a started stream."""
        if client.started:
            return not opened.response.events
        return opened.failed and exchange.retryable and history.runs + 1 < MAX_RUNS

    async def _forward_response(
        self, exchange: Exchange, history: _AttemptHistory, opened: OpenedResponse, client: Client
    ) -> Failure | None:
        """Forwards a response to its end; returns BROKEN if it breaks or its stream stalls for too long.

        Hazard: the client may have received part of it, so after a failure only a stream can be continued.
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
            async with asyncio.timeout(None) as timeout:  # armed only while waiting for the backend
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
        """Records what a failure implies for its backend, by the table in the module's docstring."""
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
            history.wrong_version.add(identity)
        elif failure is Failure.WRONG_INSTANCE:
            self._backends.mark_departed(identity)
            history.lost.add(identity)
            history.may_have_run_at.discard(identity)

    def _local_response(self, delivery: Delivery, history: _AttemptHistory) -> LocalResponse | None:
        """The local response when no further attempt is made; None if the connection must break.

        Hazard: only a 502 does not guarantee that nothing ran, so that case is checked first.
        """
        exchange = delivery.exchange
        if delivery.client.started:
            return None
        if delivery.progress.may_have_run:
            return LocalResponse(502, "the backend's answer was lost")
        if history.wrong_version and not history.saturated:
            return LocalResponse(MISDIRECTED, "no backend has the expected version", MISDIRECTED_RETRY_S)
        live = self._backends.of(exchange.service.name)
        if exchange.expected_instance is not None and not _matching_instance(exchange, live):
            return LocalResponse(MISDIRECTED, "the expected instance is not there", MISDIRECTED_RETRY_S)
        return self._admission.rejection()


async def _next_chunk(opened: OpenedResponse) -> tuple[bytes | None, int]:
    """The next data to forward (None at the end) and the number of events in it."""
    data = await opened.response.next()
    if opened.splitter is None:
        return data, 0
    if data is None:
        return opened.splitter.end() or None, 0
    events = opened.splitter.feed(data)
    return events.data, events.count


def _matching_instance(exchange: Exchange, backends: Sequence[Backend]) -> list[Backend]:
    """Those of `backends` that are the instance expected by the client."""
    return [backend for backend in backends if backend.identity.encode() == exchange.expected_instance]


def _stream_timeout_s(exchange: Exchange) -> float | None:
    """Seconds without data after which a stream is resumed, well before its client gives up."""
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
