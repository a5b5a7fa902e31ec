"""Client for the backends: sends deliveries and probes with aiohttp and reports the result of each.

Invariant: each delivery and each probe ends with exactly one event. A request that the backend may have
processed is never reported as unprocessed (RFC 9110, section 9.2.2: such a request is not retried
automatically unless it is idempotent).
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from yarl import URL

from ..interface import Result
from .answers import CURRENT_ATTEMPT
from .connection_pool import ConnectionPool
from .connection_reuse import REUSE_DELAY_S, ReuseHistory
from .connections import MAX_BODY_BYTES
from .events import BackendProbed, DeliveryEnded
from .headers import RETURNED_HEADERS, forwarded_headers, parse_load_report, parse_reported_number
from .metrics import DescriptorLimits, counters
from .sending import ReuseDelayPending, SendAttempt, SendNotAllowed, StaleConnection

if TYPE_CHECKING:
    from ..decisions import BackendState
    from ..interface import Delivery
    from .requests import Request

MICROSECONDS_PER_SECOND: Final = 1e6
MAX_CHARGE: Final = 1e9  # units, if the settings set no limit
MAX_USED_PERCENT: Final = 1e6
PERCENT: Final = 100
OK: Final = 200
NOT_PROCESSED_STATUSES: Final = (503, 504)  # these may carry `X-Not-Processed: 1`
LOAD_PATH: Final = "/_load"
PING_PATH: Final = "/ping"

BackendResponse = tuple[int, bytes, Mapping[str, str]]
"""Status, body and headers of a response."""


class BackendClient:
    """Connections to all backends, with the deliveries and probes in flight on them.

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

    # Endpoints.

    def set_endpoint(self, backend: BackendState, endpoint: str) -> None:
        """Set a backend's endpoint (host:port); if it differs, the pool for the old endpoint is retired."""
        if self.endpoints.get(backend) != endpoint:
            self.remove_endpoint(backend)
            self.endpoints[backend] = endpoint

    def pool_for(self, backend: BackendState) -> ConnectionPool | None:
        """Return a backend's connection pool, or None if its endpoint is unknown.

        A pool is created on first use: creating one for each of hundreds of backends costs startup time and
        memory.
        """
        pool = self.pools.get(backend)
        if pool is None and backend in self.endpoints:
            pool = self.pools[backend] = ConnectionPool(
                self.endpoints[backend], self.settings, self.reuse_histories[backend]
            )
        return pool

    def remove_endpoint(self, backend: BackendState) -> None:
        """Forget a backend's endpoint; requests in flight on its connections continue."""
        self.endpoints.pop(backend, None)
        self.reuse_histories.pop(backend, None)
        self._retire_pool(backend)

    def _retire_pool(self, backend: BackendState) -> None:
        """Remove a backend's pool; the pool is closed once its last request has ended."""
        pool = self.pools.pop(backend, None)
        if pool is not None:
            pool.retired = True
            self._close_if_unused(pool)

    def _close_if_unused(self, pool: ConnectionPool) -> None:
        """Close a retired pool that no request uses."""
        if pool.retired and not pool.users:
            self._track(asyncio.create_task(pool.session.close()))

    def retire_pools(self, *backends: BackendState) -> None:
        """Retire the pools of these backends, or all pools if none is given."""
        for backend in backends or list(self.pools):
            self._retire_pool(backend)

    def _track(self, task: asyncio.Task[None]) -> None:
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # Deliveries.

    def deliver(self, delivery: Delivery, request: Request) -> None:
        """Start a delivery, which ends with a `DeliveryEnded` event."""
        counters["deliveries"] += 1
        task = asyncio.create_task(self._deliver(delivery, request))
        self.delivery_tasks[delivery] = task
        task.add_done_callback(lambda _: self._report_unstarted(delivery))

    def _report_unstarted(self, delivery: Delivery) -> None:
        """Report a delivery whose task was cancelled before its first step.

        Such a task runs no part of its coroutine, not even `finally`. This happens if the client disconnects
        in the loop iteration in which a further delivery is decided; without this event the credit of that
        delivery was never returned.
        """
        if delivery in self.delivery_tasks:
            self._report_end(delivery, Result.VOID)

    def _report_end(
        self,
        delivery: Delivery,
        result: Result,
        client_response: tuple[bytes, dict[str, str]] | None = None,
        load: dict[str, float] | None = None,
        charged_units: float = 0,
        used_fraction: float | None = None,
        ended_at: int | None = None,
    ) -> None:
        """Report the end of a delivery, with its duration until `ended_at` (by default, until now)."""
        self.delivery_tasks.pop(delivery)
        counters["deliveries_" + result.name.lower()] += 1
        duration = (self.clock() if ended_at is None else ended_at) - delivery.sent_at
        self.queue.put_nowait(
            DeliveryEnded(delivery, result, duration, client_response, load, charged_units, used_fraction)
        )

    def cancel(self, delivery: Delivery) -> None:
        """Cancel a delivery, if it is still in flight; `DeliveryEnded` follows."""
        if delivery in self.delivery_tasks:
            self.delivery_tasks[delivery].cancel()

    async def _deliver(self, delivery: Delivery, request: Request) -> None:
        """Send a delivery and report its end with exactly one event, even after an unexpected error."""
        attempt = SendAttempt(delivery.backend, self, delivery, request)
        client_response: tuple[bytes, dict[str, str]] | None = None
        load: dict[str, float] | None = None
        charged_units: float = 0
        used_fraction: float | None = None
        result = Result.CANCELLED
        try:
            remaining_s = (delivery.deadline - self.clock()) / MICROSECONDS_PER_SECOND
            forwarded = forwarded_headers(request.headers)  # type: ignore[arg-type]  # multidict's type is a Mapping
            headers = [*forwarded, ("X-Timeout", f"{max(0.0, remaining_s):.3f}")]
            status, body, response_headers = await self._exchange(
                attempt,
                request.method,
                request.target,
                remaining_s,
                headers=headers,
                data=request.body or None,
            )
            client_response = (
                body,
                {name: response_headers[name] for name in RETURNED_HEADERS if name in response_headers},
            )
            result = self._result_of_response(status, response_headers)
            load = parse_load_report(response_headers.get("X-Server-Load"))
            charged_units = (
                parse_reported_number(
                    response_headers.get("Api-Charge"), self.settings["most_units"] or MAX_CHARGE
                )
                or 0
            )
            used_fraction = self._used_fraction(response_headers)
        except asyncio.CancelledError:
            pass  # by `cancel`; the result is `CANCELLED` already
        except Exception as error:  # noqa: BLE001  any error ends the delivery with an event
            result = self._result_of_error(error, attempt)
        finally:
            pool = self.pools.get(delivery.backend)
            if (
                client_response is None
                and delivery.overdue
                and pool is not None
                and pool.last_response_at < delivery.sent_at
            ):
                # The backend sent nothing for the whole time: other idle connections may be dead too, and
                # each would cost a delivery.
                self.retire_pools(delivery.backend)
            ended_at = None if client_response is None else attempt.finished_at()
            self._report_end(delivery, result, client_response, load, charged_units, used_fraction, ended_at)

    def _used_fraction(self, headers: Mapping[str, str]) -> float | None:
        """The fraction of its quota that the customer has used, if responses report it."""
        if not self.settings["meter_period"]:
            return None
        percent = parse_reported_number(headers.get("Api-Used"), MAX_USED_PERCENT)
        return None if percent is None else percent / PERCENT

    async def _exchange(
        self, attempt: SendAttempt, method: str, target: str, timeout_s: float, **options: Any
    ) -> BackendResponse:
        """Send one request and return its response; another connection is tried only before the first byte.

        Raises `NothingWritten`, `TimeoutError` after `timeout_s` seconds, or any error of aiohttp's client.
        """
        pool = self.pool_for(attempt.backend)
        if pool is None or timeout_s <= 0:
            raise SendNotAllowed
        pool.users += 1
        attempt.pool = pool
        CURRENT_ATTEMPT.set(attempt)
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    try:
                        return await self._send_request(pool, attempt, method, target, **options)
                    except StaleConnection:  # try another connection, or a new one
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
        """Send a request on one connection and read the complete response.

        The response must state its length or be chunked (RFC 9112, section 6.3): a response that is delimited
        by the end of the connection cannot be told from a truncated one. Raises `ClientPayloadError` if it is
        not delimited, or too long.
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
                raise aiohttp.ClientPayloadError("the response has neither a length nor chunked encoding")
            if (length or 0) > MAX_BODY_BYTES:
                raise aiohttp.ClientPayloadError("the response is longer than the protocol allows")
            body = bytearray()
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > MAX_BODY_BYTES:  # an endless response would exhaust the memory
                    raise aiohttp.ClientPayloadError("the response is longer than the protocol allows")
        now = attempt.backend_client.clock()
        attempt.completed_at = now
        pool.last_response_at = now
        await attempt.response_reader.wait_until_confirmed()
        return response.status, bytes(body), response.headers

    @staticmethod
    def _result_of_response(status: int, headers: Mapping[str, str]) -> Result:
        """The result of a delivery by its response; it is unprocessed only if the backend states so."""
        if status == OK:
            return Result.SUCCEEDED
        if status in NOT_PROCESSED_STATUSES and headers.get("X-Not-Processed") == "1":
            return Result.REJECTED
        return Result.ERRORED

    @staticmethod
    def _result_of_error(error: Exception, attempt: SendAttempt) -> Result:
        """The result of an attempt without a response; after a write it may have been processed."""
        if isinstance(error, SendNotAllowed):
            return Result.VOID
        if not attempt.write_started:
            return Result.UNREACHABLE
        return Result.TIMED_OUT if isinstance(error, TimeoutError) else Result.BROKEN

    # Probes.

    def probe(self, backend: BackendState) -> None:
        """Start a probe of a backend, which ends with a `BackendProbed` event."""
        counters["probes"] += 1
        self._track(asyncio.create_task(self._probe(backend)))

    async def _probe(self, backend: BackendState) -> None:
        """Request a backend's load report, or only a ping; report the end with exactly one event."""
        expects_load = self.settings["load_reports"] != "none"
        attempt = SendAttempt(backend, self)
        result = Result.CANCELLED
        load: dict[str, float] | None = None
        started_at = self.clock()
        timeout_s = self.settings["connect_timeout"] / MICROSECONDS_PER_SECOND
        try:
            path = LOAD_PATH if expects_load else PING_PATH
            status, body, _ = await self._exchange(attempt, "GET", path, timeout_s)
            result = Result.SUCCEEDED if status == OK else Result.ERRORED
            load = parse_load_report(body) if expects_load and status == OK else None
        except Exception as error:  # noqa: BLE001  any error ends the probe with an event
            result = self._result_of_error(error, attempt)
        finally:
            ended_at = attempt.finished_at() if result is Result.SUCCEEDED else self.clock()
            self.queue.put_nowait(BackendProbed(backend, result, ended_at - started_at, load))
