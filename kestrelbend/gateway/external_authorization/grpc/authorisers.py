"""Asking external authorisers before the first delivery, over gRPC (Envoy's ext_authz v3).

What an answer, or none, means is decided by `authoriser.AuthoriserState`.

Invariant: a delivery that waits here ends with exactly one event on the owner's queue, "authorised" or
"refused", whatever becomes of its task; a delivery that got none would hold its credit for ever.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, Final

import grpc
from envoy.service.auth.v3 import external_auth_pb2_grpc

from ...interface import Delivery, Result
from ...net.events import DeliveryAuthorised, DeliveryNotSent
from ...net.metrics import counters
from ...net.requests import Request
from ..authoriser import (
    DEFAULT_DENIAL_STATUS,
    NO_ANSWER,
    AuthoriserSettings,
    AuthoriserState,
    Verdict,
)
from .messages import check_request, read_denial, verdict_key

log = logging.getLogger(__name__)
MICROSECONDS_OF_SECOND: Final = 1_000_000
MAX_FAILURES: Final = 8  # failed calls in a row after which a connection is made anew
MIN_CALL_TIMEOUT_S: Final = 0.001
INITIAL_RECONNECT_BACKOFF_MS: Final = 100
MAX_RECONNECT_BACKOFF_MS: Final = 2000
KEEPALIVE_MS: Final = 20_000
KEEPALIVE_TIMEOUT_MS: Final = 2_000

CALL_FAILURES: Final = {
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED,
    grpc.StatusCode.CANCELLED,
    grpc.StatusCode.INTERNAL,
    grpc.StatusCode.UNKNOWN,
    grpc.StatusCode.RESOURCE_EXHAUSTED,
    grpc.StatusCode.UNIMPLEMENTED,
    grpc.StatusCode.DATA_LOSS,
}
"""Statuses of the call itself; any other one is the service's own answer, and no failure of it."""


class AuthoriserConnection:
    """The channel to one authoriser, kept and made anew; and what is known of the authoriser."""

    def __init__(self, settings: AuthoriserSettings) -> None:
        self.settings = settings
        self.state = AuthoriserState(settings)
        self.channel: Any = None
        self._failures = 0  # in a row
        self._stub: Any = None

    def stub(self) -> Any:
        """The generated `AuthorizationStub`; the channel is made when it is first needed."""
        if self.channel is None:
            self.channel = grpc.aio.insecure_channel(
                self.settings.target,
                options=[
                    ("grpc.max_receive_message_length", self.settings.longest),
                    ("grpc.max_metadata_size", self.settings.longest),
                    ("grpc.enable_retries", 0),
                    ("grpc.initial_reconnect_backoff_ms", INITIAL_RECONNECT_BACKOFF_MS),
                    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
                    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
                    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
                    ("grpc.use_local_subchannel_pool", 1),
                ],
            )
            self._stub = external_auth_pb2_grpc.AuthorizationStub(self.channel)
        return self._stub

    def record_call(self, answered: bool) -> Any:
        """A call ended; the channel to close, where too many in a row have failed on it, else None."""
        self._failures = 0 if answered else self._failures + 1
        if self._failures < MAX_FAILURES or self.channel is None:
            return None
        replaced = self.channel
        self.channel = None
        self._failures = 0
        counters["authoriser_links_remade"] += 1
        return replaced


class Authorisers:
    """All authorisers in their order; `deliver` stands before the backends' for first deliveries.

    `running`: by delivery, the task that asks for it.
    """

    def __init__(
        self, settings: Iterable[AuthoriserSettings], queue: asyncio.Queue[Any], clock: Callable[[], int]
    ) -> None:
        self.connections = [AuthoriserConnection(each) for each in settings]
        self.queue = queue  # the owner's events
        self.clock = clock  # microseconds
        self.running: dict[Delivery, asyncio.Task[None]] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def concerned(self, request: Request) -> list[AuthoriserConnection]:
        """The authorisers that are asked for a request."""
        return [
            connection
            for connection in self.connections
            if connection.settings.concerns(request.operation, request.plan)
        ]

    def deliver(self, delivery: Delivery, request: Request) -> bool:
        """Whether this delivery waits for authorisers; if so, an event follows."""
        concerned = self.concerned(request) if delivery.number == 0 else []
        if not concerned:
            return False
        task = asyncio.create_task(self._ask_all(delivery, request, concerned))
        self.running[delivery] = task
        task.add_done_callback(lambda _: self._refuse_unstarted(delivery))
        return True

    def _refuse_unstarted(self, delivery: Delivery) -> None:
        """A task cancelled before its first turn runs nothing of its body, not even its `finally`."""
        if self.running.pop(delivery, None) is not None:
            self.queue.put_nowait(DeliveryNotSent(delivery, Result.VOID, None))

    def cancel(self, delivery: Delivery) -> bool:
        """Whether the delivery waited here; if so it ends, by an event."""
        task = self.running.get(delivery)
        if task is None:
            return False
        task.cancel()
        return True

    async def _ask_all(
        self, delivery: Delivery, request: Request, concerned: list[AuthoriserConnection]
    ) -> None:
        """Asks one after the other until one denies; ends with exactly one event."""
        verdict: Verdict | None = None
        result: Result | None = Result.CANCELLED  # None: every one allows
        try:
            for connection in concerned:
                verdict = await self._ask(connection, delivery, request)
                if not verdict.allowed:
                    break
            result = None if verdict is not None and verdict.allowed else Result.VOID
        except asyncio.CancelledError:
            pass  # by `cancel`: the event says so
        except Exception:
            # A fault of the program must not leave the delivery without its event.
            counters["faults"] += 1
            log.exception("fault", extra={"on": "authoriser"})
            result = Result.VOID
        finally:
            self.running.pop(delivery, None)
            if result is None:
                self.queue.put_nowait(DeliveryAuthorised(delivery))
            else:
                denial = verdict if result is Result.VOID else None
                self.queue.put_nowait(DeliveryNotSent(delivery, result, denial))

    async def _ask(self, connection: AuthoriserConnection, delivery: Delivery, request: Request) -> Verdict:
        """The verdict of one authoriser, within its part of the client's time."""
        state = connection.state
        cached = self._cached_verdict(state, request)
        if cached is not None:
            counters["authoriser_remembered"] += 1
            return cached
        end = self.clock() + state.time_budget(delivery.deadline - self.clock())
        attempts = 0
        while True:
            unavailable = state.unavailable(self.clock())
            if unavailable is not None:
                counters["authoriser_" + unavailable.value] += 1
                return state.verdict_without_answer(unavailable.value)
            attempts += 1
            remaining_s = (end - self.clock()) / MICROSECONDS_OF_SECOND
            # Each attempt leaves some time for the next.
            timeout_s = remaining_s if attempts > state.settings.repeats else remaining_s / 2
            verdict = await self._call(connection, request, timeout_s)
            if verdict is not None:
                return verdict
            if self.clock() >= end or not state.may_retry(attempts):
                return state.verdict_without_answer(NO_ANSWER)

    def _cached_verdict(self, state: AuthoriserState, request: Request) -> Verdict | None:
        """The verdict on the same request, where this one is a marked retry of it."""
        if not state.caches_verdicts or not request.retry:
            return None
        return state.cached_verdict(self.clock(), verdict_key(request))

    async def _call(
        self, connection: AuthoriserConnection, request: Request, timeout_s: float
    ) -> Verdict | None:
        """One attempt: its verdict, or None where the call failed."""
        state = connection.state
        state.call_started()
        answered = False
        abandoned = False  # its client has left
        try:
            response = await connection.stub().Check(
                check_request(request), timeout=max(MIN_CALL_TIMEOUT_S, timeout_s)
            )
            answered = True
            verdict = self._verdict(state, response)
            if state.caches_verdicts:
                state.cache_verdict(self.clock(), verdict_key(request), verdict)
            counters["authoriser_allowed" if verdict.allowed else "authoriser_denied"] += 1
            return verdict
        except grpc.aio.AioRpcError as error:
            answered = error.code() not in CALL_FAILURES
            counters["authoriser_failed"] += 1
            return state.denial(DEFAULT_DENIAL_STATUS, (), b"") if answered else None
        except asyncio.CancelledError:
            abandoned = True
            raise
        finally:
            if abandoned:
                state.call_abandoned()
            else:
                self._record_end(connection, answered)

    def _record_end(self, connection: AuthoriserConnection, answered: bool) -> None:
        """A call ended by its answer, its failure or its time."""
        connection.state.call_ended(self.clock(), answered)
        replaced = connection.record_call(answered)
        if replaced is not None:
            self._close(replaced)

    @staticmethod
    def _verdict(state: AuthoriserState, response: Any) -> Verdict:
        denial = read_denial(response)
        if denial is None:
            return Verdict(True)
        return state.denial(denial.status, denial.headers, denial.body)

    def _close(self, channel: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def end(self) -> None:
        """Closes all channels; calls on them fail."""
        for connection in self.connections:
            if connection.channel is not None:
                await connection.channel.close()
