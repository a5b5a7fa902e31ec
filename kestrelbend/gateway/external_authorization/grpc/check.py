"""Answering external authorisation: each check is an invocation of the same host and decisions.

Source: Envoy's ext_authz v3, `envoy.service.auth.v3.Authorization/Check`, and its access log service v3,
`envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs`.

A check only admits.  The decisions' first delivery is the answer "allowed", and no second one is ever made:
the proxy has its answer.  What it took is given back when the proxy's access log tells of the end, or after
a stated time.  What the five rules mean here is in docs/design/authorisation.md.

Invariant: a delivery ends exactly once (`Checks.settle`), so that its credit is given back once.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import AsyncIterable, Callable, Iterable, Mapping
from typing import Any, Final

from envoy.service.accesslog.v3 import als_pb2, als_pb2_grpc
from envoy.service.auth.v3 import external_auth_pb2_grpc

from ...interface import Backend, Delivery, Result
from ...net.events import ClientLeft, DeliveryEnded, RequestTaken
from ...net.metrics import counters
from ...net.requests import IncomingRequest
from ..attributes import CheckSettings, RequestedInvocation, read_invocation
from ..errors import UnusableAttribute
from .messages import (
    TOO_MANY_REQUESTS,
    allowed_response,
    denied_response,
    reported_ends,
    request_attributes,
)
from .service import Service

log = logging.getLogger(__name__)
MICROSECONDS_OF_SECOND: Final = 1_000_000
DEADLINE_MARGIN_S: Final = 0.005  # before a check's own deadline by which it is answered
UNUSABLE_LOGGED: Final = 20  # lines about checks that can't be read
BAD_REQUEST: Final = 400
UNAVAILABLE: Final = 503


class PendingCheck(IncomingRequest):
    """A check as the owner sees it: what a `net.requests.Request` has, less its bytes.

    `front`: who answers it.  `delivery`: the one that admitted it, until it is settled.  `timer`: settles it
    where no report comes.
    """

    __slots__ = ("front", "delivery", "timer")

    def __init__(
        self, front: Checks, requested: RequestedInvocation, came: int, wait: float, request_id: str
    ) -> None:
        super().__init__(came)
        self.operation = requested.operation
        self.plan = requested.plan
        self.customer = requested.customer
        self.units = requested.units
        self.spread = requested.spread
        self.retry = requested.retry
        self.timeout_s = wait
        self.front = front
        self.id = request_id
        self.delivery: Delivery | None = None
        self.timer: asyncio.TimerHandle | None = None


class Checks(external_auth_pb2_grpc.AuthorizationServicer):  # type: ignore[misc]  # generated, without types
    """The front; the owner calls `deliver`, `cancel` and the methods `respond_*`.

    `admitted`: checks that were let in and are not settled, by the proxy's request id.
    """

    def __init__(
        self,
        check_settings: CheckSettings,
        settings: Mapping[str, Any],
        queue: asyncio.Queue[Any],
        clock: Callable[[], int],
    ) -> None:
        self.check_settings = check_settings
        self.settings = settings
        self.queue = queue  # the owner's events
        self.clock = clock  # microseconds
        self.operations = {operation.name: operation for operation in settings["operations"]}
        self.plans = {plan.name for plan in settings["plans"]}
        self.admitted: dict[str, list[PendingCheck]] = {}
        self._numbers = itertools.count()  # ids of checks that have none
        self.service = Service(check_settings.listen, check_settings.most_open, check_settings.longest)
        self.service.add(
            external_auth_pb2_grpc.add_AuthorizationServicer_to_server,
            self,
            "envoy.service.auth.v3.Authorization",
        )
        if check_settings.reports:
            self.service.add(
                als_pb2_grpc.add_AccessLogServiceServicer_to_server,
                Reports(self),
                "envoy.service.accesslog.v3.AccessLogService",
            )

    # The proxy's side.

    async def Check(self, request: Any, context: Any) -> Any:  # noqa: N802  (the generated name)
        """Answers one `CheckRequest`; where the proxy cancels, the owner is told that its client left."""
        counters["checks"] += 1
        attributes = request_attributes(request.attributes)
        try:
            requested = read_invocation(
                attributes,
                self.check_settings.rules,
                self.operations,
                self.plans,
                self.settings["gateways"],
                self.settings["most_units"],
            )
        except UnusableAttribute as unusable:
            return self._unusable_response(unusable)
        wait_s = self._wait_s(requested, context.time_remaining())
        request_id = (
            attributes.headers.get("x-request-id")
            or request.attributes.request.http.id
            or str(next(self._numbers))
        )
        check = PendingCheck(self, requested, self.clock(), wait_s, request_id)
        self.queue.put_nowait(RequestTaken(check))
        try:
            return await check.response_future
        except asyncio.CancelledError:
            counters["checks_left"] += 1
            self.queue.put_nowait(ClientLeft(check))
            raise

    def _unusable_response(self, unusable: UnusableAttribute) -> Any:
        counters["checks_unusable"] += 1
        if counters["checks_unusable"] <= UNUSABLE_LOGGED:
            log.warning("a check cannot be read", extra={"about": unusable.field, "why": unusable.reason})
        if self.check_settings.on_bad == "allow":
            return allowed_response(self.check_settings)
        return denied_response(BAD_REQUEST, f"{unusable}\n")

    def _wait_s(self, requested: RequestedInvocation, deadline_s: float | None) -> float:
        """Seconds that a check may take: its client's or its operation's, within the call's deadline."""
        wait_s = requested.wait
        if wait_s is None:
            wait_s = self.operations[requested.operation].timeout / MICROSECONDS_OF_SECOND
        if deadline_s is not None:
            wait_s = min(wait_s, max(0.0, deadline_s - DEADLINE_MARGIN_S))
        return wait_s

    # The owner's side.

    def answer(self, check: PendingCheck, response: Any, outcome: str) -> bool:
        """Answers a check; False where nobody waits for it any more.  `outcome` ends a counter's name."""
        if check.response_future.done():
            return False
        counters["checks_" + outcome] += 1
        check.response_future.set_result(response)
        return True

    def deliver(self, delivery: Delivery, check: PendingCheck) -> None:
        """The decisions admit it: that is the answer.  Its end is settled later."""
        check.delivery = delivery
        backend = self.backend_name(delivery.backend) if self.check_settings.backend_header else ""
        if not self.answer(check, allowed_response(self.check_settings, backend), "allowed"):
            self.settle(check, Result.CANCELLED)
            return
        wait_s = self.check_settings.settle
        if self.check_settings.reports:
            wait_s = self.check_settings.report_wait
            self.admitted.setdefault(check.id, []).append(check)
        remaining_s = max(0.0, (delivery.deadline - self.clock()) / MICROSECONDS_OF_SECOND)
        check.timer = asyncio.get_running_loop().call_later(
            min(wait_s, remaining_s), self.settle, check, Result.SUCCEEDED
        )

    def backend_name(self, backend: Backend) -> str:
        """What `backend_header` says of a backend; the gateway puts its own function in place of this one."""
        return ""

    def settle(self, check: PendingCheck, result: Result, took: int | None = None) -> None:
        """Its end, once: by a report, by its time, or because nobody waited for the answer.

        `took`: microseconds; None: until now.
        """
        delivery = check.delivery
        check.delivery = None
        if delivery is None:
            return
        if check.timer is not None:
            check.timer.cancel()
        same_id = self.admitted.get(check.id)
        if same_id is not None:
            same_id.remove(check)
            if not same_id:
                del self.admitted[check.id]
        if took is None:
            took = self.clock() - delivery.sent_at
        self.queue.put_nowait(DeliveryEnded(delivery, result, took))

    def reported(self, request_id: str, result: Result, took: int | None) -> None:
        """The proxy's access log tells of an end; reports on requests of other ids are passed over."""
        same_id = self.admitted.get(request_id)
        if same_id:
            counters["checks_reported"] += 1
            self.settle(same_id[0], result, took)

    def cancel(self, delivery: Delivery) -> None:
        """What the proxy was let send cannot be called back; its place counts until it is settled."""

    def respond_throttled(self, check: PendingCheck, retry_after: int) -> None:
        """The decisions reject it; `retry_after`: microseconds, 0: no advice."""
        headers: Iterable[tuple[str, str]] = ()
        if retry_after > 0:
            headers = [("retry-after", f"{retry_after / MICROSECONDS_OF_SECOND:.3f}")]
        self.answer(check, denied_response(TOO_MANY_REQUESTS, "beyond its plan\n", headers), "denied")

    def respond_error(self, check: PendingCheck, status: int = UNAVAILABLE) -> None:
        """It cannot be served; the answer is 503, whatever a listener for HTTP would say."""
        self.answer(check, denied_response(UNAVAILABLE, "cannot be served now\n"), "errored")

    def respond_success(self, check: PendingCheck, *_: object) -> None:
        """Its answer was that it is admitted: there is no other."""

    async def start(self) -> None:
        """Listen; raises `OSError` where the address cannot be had."""
        await self.service.start()

    async def drain(self, seconds: float) -> None:
        """End, within so many seconds."""
        await self.service.drain(seconds)


class Reports(als_pb2_grpc.AccessLogServiceServicer):  # type: ignore[misc]  # generated, without types
    """The proxy's access log: how what was admitted has ended."""

    def __init__(self, checks: Checks) -> None:
        self.checks = checks

    async def StreamAccessLogs(  # noqa: N802  (the generated name)
        self, requests: AsyncIterable[Any], context: Any
    ) -> Any:
        """Takes in reports until the proxy ends the stream."""
        async for message in requests:
            for end in reported_ends(message):
                self.checks.reported(end.request_id, end.result, end.took)
        return als_pb2.StreamAccessLogsResponse()
