"""Backends: carries deliveries and probes on aiohttp's client, and says what came of each.

Invariant: each delivery and each probe ends with exactly one event, and its outcome is never said to be safer
than it was seen (RFC 9110, section 9.2.2: what may have run is not repeated by itself).
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from yarl import URL

from ..interface import Result
from .answers import SENDING
from .connection_pool import ConnectionPool
from .connection_reuse import REUSE_DELAY_S, ReuseHistory
from .connections import LONGEST_BODY
from .events import BackendProbed, DeliveryEnded
from .headers import PASSED_BACK, load_report, passed_on, reported_number
from .metrics import DescriptorLimits, counters
from .sending import ReuseDelayPending, SendAttempt, SendNotAllowed, StaleConnection

if TYPE_CHECKING:
    from ..decisions import BackendState
    from ..interface import Delivery
    from .requests import Request

MICROSECONDS_PER_SECOND: Final = 1e6
MAX_CHARGE: Final = 1e9  # units, where the settings state no limit
MAX_USED_PERCENT: Final = 1e6
PERCENT: Final = 100
OK: Final = 200
NOT_PROCESSED_STATUSES: Final = (503, 504)  # they may say that the request was not processed
LOAD_PATH: Final = "/_load"
PING_PATH: Final = "/ping"

BackendResponse = tuple[int, bytes, Mapping[str, str]]
"""Status, body and headers."""


class BackendClient:
    """The connections to all backends, and what is under way on them.

    `queue`: the owner's events. `clock`: the current time in microseconds. `descriptor_limits`: the limits
    on open file descriptors. `connecting`: how many connections are being established. `endpoints`: host:port
    by backend. `pools`: the connection pools, created when a backend is first used. `delivery_tasks`: the
    task of each delivery in flight. `background_tasks`: other running tasks. `reuse_histories`: by backend;
    discarded when its address changes. `blocked`: backends to which no new request may be written, since a
    received list that is not yet applied removes or moves them, with that list.
    """

    def __init__(
        self,
        queue: asyncio.Queue[Any],
        clock: Callable[[], int],
        settings: Mapping[str, Any],
        descriptor_limits: DescriptorLimits,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.settings = settings
        self.descriptor_limits = descriptor_limits
        self.connecting = 0
        self.endpoints: dict[BackendState, str] = {}
        self.pools: dict[BackendState, ConnectionPool] = {}
        self.delivery_tasks: dict[Delivery, asyncio.Task[None]] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.reuse_histories: defaultdict[BackendState, ReuseHistory] = defaultdict(ReuseHistory)
        self.blocked: dict[BackendState, Any] = {}

    # Addresses.

    def set_endpoint(self, backend: BackendState, endpoint: str) -> None:
        """A backend is at `endpoint` (host:port) from now on."""
        if self.endpoints.get(backend) != endpoint:
            self.remove_endpoint(backend)
            self.endpoints[backend] = endpoint

    def pool_for(self, backend: BackendState) -> ConnectionPool | None:
        """The pool of a backend's connections; None where its address is not known.

        Made when it is first needed: one for each of hundreds costs time at the start, and memory.
        """
        pool = self.pools.get(backend)
        if pool is None and backend in self.endpoints:
            pool = self.pools[backend] = ConnectionPool(
                self.endpoints[backend], self.settings, self.reuse_histories[backend]
            )
        return pool

    def remove_endpoint(self, backend: BackendState) -> None:
        """A backend is no longer at its address; what is under way on its connections goes on."""
        self.endpoints.pop(backend, None)
        self.reuse_histories.pop(backend, None)
        self._retire_pool(backend)

    def _retire_pool(self, backend: BackendState) -> None:
        """Its idle connections go now, those in use with their last user."""
        pool = self.pools.pop(backend, None)
        if pool is not None:
            pool.retired = True
            self._close_if_unused(pool)

    def _close_if_unused(self, pool: ConnectionPool) -> None:
        """Close a retired pool once nobody uses it."""
        if pool.retired and not pool.users:
            self._track(asyncio.create_task(pool.session.close()))

    def retire_pools(self, *backends: BackendState) -> None:
        """Give up the connections kept to these backends, or to all where none is named."""
        for backend in backends or list(self.pools):
            self._retire_pool(backend)

    def _track(self, task: asyncio.Task[None]) -> None:
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # Deliveries.

    def deliver(self, delivery: Delivery, request: Request) -> None:
        """Send a delivery; `DeliveryEnded` follows."""
        counters["deliveries"] += 1
        task = asyncio.create_task(self._deliver(delivery, request))
        self.delivery_tasks[delivery] = task
        task.add_done_callback(lambda _: self._report_unstarted(delivery))

    def _report_unstarted(self, delivery: Delivery) -> None:
        """A task cancelled before its first turn runs nothing of its body, not even its `finally`.

        (Seen in a test: its client left in the turn in which a further delivery was decided, and that
        delivery's credit was never earned back.)
        """
        if delivery in self.delivery_tasks:
            self._report_end(delivery, Result.VOID)

    def _report_end(
        self,
        delivery: Delivery,
        result: Result,
        answer: tuple[bytes, dict[str, str]] | None = None,
        load: dict[str, float] | None = None,
        actual: float = 0,
        used: float | None = None,
        at: int | None = None,
    ) -> None:
        """Put the one event of a delivery, with the time that it took: until `at`, or until now."""
        self.delivery_tasks.pop(delivery)
        counters["deliveries_" + result.name.lower()] += 1
        took = (self.clock() if at is None else at) - delivery.sent_at
        self.queue.put_nowait(DeliveryEnded(delivery, result, took, answer, load, actual, used))

    def cancel(self, delivery: Delivery) -> None:
        """Stop waiting for a delivery; its end follows as an event."""
        if delivery in self.delivery_tasks:
            self.delivery_tasks[delivery].cancel()

    async def _deliver(self, delivery: Delivery, request: Request) -> None:
        """Send it, and end with exactly one event, whatever comes."""
        attempt = SendAttempt(delivery.backend, self, delivery, request)
        answer: tuple[bytes, dict[str, str]] | None = None
        load: dict[str, float] | None = None
        actual: float = 0
        used: float | None = None
        result = Result.CANCELLED
        try:
            remaining_s = (delivery.deadline - self.clock()) / MICROSECONDS_PER_SECOND
            passed = passed_on(request.headers)  # type: ignore[arg-type]  # multidict's, which is a Mapping
            headers = [*passed, ("X-Timeout", f"{max(0.0, remaining_s):.3f}")]
            status, body, got = await self._exchange(
                attempt,
                request.method,
                request.target,
                remaining_s,
                headers=headers,
                data=request.body or None,
            )
            answer = (body, {name: got[name] for name in PASSED_BACK if name in got})
            result = self._result_of_response(status, got)
            load = load_report(got.get("X-Server-Load"))
            actual = reported_number(got.get("Api-Charge"), self.settings["most_units"] or MAX_CHARGE) or 0
            used = self._reported_use(got)
        except asyncio.CancelledError:
            pass  # by `cancel`: the event says so
        except Exception as error:  # noqa: BLE001  whatever it is, the delivery has its end by it
            result = self._result_of_error(error, attempt)
        finally:
            pool = self.pools.get(delivery.backend)
            if (
                answer is None
                and delivery.overdue
                and pool is not None
                and pool.last_response_at < delivery.sent_at
            ):
                # Silent for all that time: other connections kept from before would each cost a delivery.
                self.retire_pools(delivery.backend)
            at = None if answer is None else attempt.finished_at()
            self._report_end(delivery, result, answer, load, actual, used, at)

    def _reported_use(self, headers: Mapping[str, str]) -> float | None:
        """The fraction of its quota that the customer has used, where answers tell it."""
        if not self.settings["meter_period"]:
            return None
        percent = reported_number(headers.get("Api-Used"), MAX_USED_PERCENT)
        return None if percent is None else percent / PERCENT

    async def _exchange(
        self, attempt: SendAttempt, method: str, target: str, timeout_s: float, **options: Any
    ) -> BackendResponse:
        """One request on one connection; another connection is taken only before its first byte.

        Raises `NothingWritten`, `TimeoutError` after `timeout_s` seconds, or what aiohttp's client raises.
        """
        pool = self.pool_for(attempt.backend)
        if pool is None or timeout_s <= 0:
            raise SendNotAllowed
        pool.users += 1
        attempt.pool = pool
        SENDING.set(attempt)
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    try:
                        return await self._send_request(pool, attempt, method, target, **options)
                    except StaleConnection:  # another connection, perhaps a new one
                        attempt.finish_connecting()
                    except ReuseDelayPending:
                        await asyncio.sleep(REUSE_DELAY_S)
        finally:
            attempt.finish_connecting()
            pool.users -= 1
            self._close_if_unused(pool)

    @staticmethod
    async def _send_request(
        pool: ConnectionPool, attempt: SendAttempt, method: str, target: str, **options: Any
    ) -> BackendResponse:
        """One request and its complete answer.

        The answer has to tell where it ends (RFC 9112, section 6.3): one that ends with its connection cannot
        be told from one that was cut off. Raises `ClientPayloadError` where it does not, or is too long.
        """
        async with pool.session.request(
            method,
            URL(f"http://{pool.endpoint}{target}", encoded=True),
            allow_redirects=False,
            trace_request_ctx=attempt,
            **options,
        ) as response:
            length = response.content_length
            if length is None and response.headers.get("Transfer-Encoding") != "chunked":
                raise aiohttp.ClientPayloadError("nothing tells where it ends")
            if (length or 0) > LONGEST_BODY:
                raise aiohttp.ClientPayloadError("longer than the protocol allows")
            body = bytearray()
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > LONGEST_BODY:  # one that never ends would fill the memory
                    raise aiohttp.ClientPayloadError("longer than the protocol allows")
        now = attempt.backend_client.clock()
        attempt.completed_at = now
        pool.last_response_at = now
        await attempt.response_reader.proven()
        return response.status, bytes(body), response.headers

    @staticmethod
    def _result_of_response(status: int, headers: Mapping[str, str]) -> Result:
        """How a delivery ended, by its answer; only a backend that says so has not processed it."""
        if status == OK:
            return Result.SUCCEEDED
        if status in NOT_PROCESSED_STATUSES and headers.get("X-Not-Processed") == "1":
            return Result.REJECTED
        return Result.ERRORED

    @staticmethod
    def _result_of_error(error: Exception, attempt: SendAttempt) -> Result:
        """How an attempt without an answer ended; once a byte may have been written, it may have run."""
        if isinstance(error, SendNotAllowed):
            return Result.VOID
        if not attempt.write_started:
            return Result.UNREACHABLE
        return Result.TIMED_OUT if isinstance(error, TimeoutError) else Result.BROKEN

    # Probes.

    def probe(self, backend: BackendState) -> None:
        """Probe a backend; `BackendProbed` follows."""
        counters["probes"] += 1
        self._track(asyncio.create_task(self._probe(backend)))

    async def _probe(self, backend: BackendState) -> None:
        """Ask a backend for its load, or only whether it is there; end with exactly one event."""
        has_report = self.settings["load_reports"] != "none"
        attempt = SendAttempt(backend, self)
        result = Result.CANCELLED
        load: dict[str, float] | None = None
        sent = self.clock()
        timeout_s = self.settings["connect_timeout"] / MICROSECONDS_PER_SECOND
        try:
            path = LOAD_PATH if has_report else PING_PATH
            status, body, _ = await self._exchange(attempt, "GET", path, timeout_s)
            result = Result.SUCCEEDED if status == OK else Result.ERRORED
            load = load_report(body) if has_report and status == OK else None
        except Exception as error:  # noqa: BLE001  whatever it is, the probe has its end by it
            result = self._result_of_error(error, attempt)
        finally:
            at = attempt.finished_at() if result is Result.SUCCEEDED else self.clock()
            self.queue.put_nowait(BackendProbed(backend, result, at - sent, load))
