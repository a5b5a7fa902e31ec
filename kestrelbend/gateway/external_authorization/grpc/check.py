"""Answering external authorisation: each check is an invocation of the same host and module.

A check only admits.  The module's first delivery is the answer "allowed", and no second one is ever made:
the proxy has its answer.  What it took is given back when the proxy's access log tells of the end, or after
a stated time.  What the five rules mean here is in docs/design/authorisation.md.
"""

from __future__ import annotations

import asyncio
import itertools
import logging

from envoy.config.core.v3 import base_pb2
from envoy.service.accesslog.v3 import als_pb2, als_pb2_grpc
from envoy.service.auth.v3 import external_auth_pb2, external_auth_pb2_grpc
from envoy.type.v3 import http_status_pb2
from google.rpc import code_pb2, status_pb2

from ...interface import Result
from ...net.metrics import counters
from ...net.requests import IncomingRequest
from ..attributes import Bad, Told, read
from .service import Service

log = logging.getLogger(__name__)
MARGIN = 0.005  # seconds before a check's own deadline by which it is answered


class Check(IncomingRequest):
    """A check as the owner sees it: what a `net.requests.Request` has, less its bytes."""

    __slots__ = ("front", "delivery", "timer")

    def __init__(self, front, told, came, wait, number):
        super().__init__(came)
        self.operation, self.plan, self.customer = told.operation, told.plan, told.customer
        self.units, self.spread, self.retry, self.wait = told.units, told.spread, told.retry, wait
        self.front, self.id = front, number
        self.delivery = self.timer = None


class Checks(external_auth_pb2_grpc.AuthorizationServicer):
    """The front: `deliver`, `throttled`, `errored`, `succeeded` and `cancel` are called by the owner."""

    def __init__(self, stated, settings, queue, clock):
        self.stated, self.settings, self.queue, self.clock = stated, settings, queue, clock
        self.operations = {op.name: op for op in settings["operations"]}
        self.plans = {plan.name for plan in settings["plans"]}
        self.numbers, self.out = itertools.count(), {}  # out: admitted and not settled, by request id
        self.service = Service(stated.listen, stated.most_open, stated.longest)
        self.service.add(
            external_auth_pb2_grpc.add_AuthorizationServicer_to_server,
            self,
            "envoy.service.auth.v3.Authorization",
        )
        if stated.reports:
            self.service.add(
                als_pb2_grpc.add_AccessLogServiceServicer_to_server,
                Reports(self),
                "envoy.service.accesslog.v3.AccessLogService",
            )

    # The proxy's side.

    async def Check(self, request, context):  # noqa: N802  (the generated name)
        counters["checks"] += 1
        told = view(request.attributes)
        try:
            asked = read(
                told,
                self.stated.rules,
                self.operations,
                self.plans,
                self.settings["gateways"],
                self.settings["most_units"],
            )
        except Bad as bad:
            counters["checks_unusable"] += 1
            if counters["checks_unusable"] <= 20:
                log.warning("a check cannot be read", extra={"about": bad.about, "why": bad.why})
            return allowed(self.stated) if self.stated.on_bad == "allow" else denied(400, f"{bad}\n")
        deadline, wait = context.time_remaining(), asked.wait
        if wait is None:
            wait = self.operations[asked.operation].timeout / 1e6
        if deadline is not None:
            wait = min(wait, max(0.0, deadline - MARGIN))
        number = (
            told.headers.get("x-request-id") or request.attributes.request.http.id or str(next(self.numbers))
        )
        one = Check(self, asked, self.clock(), wait, number)
        self.queue.put_nowait(("taken", one))
        try:
            return await one.answer
        except asyncio.CancelledError:
            counters["checks_left"] += 1
            self.queue.put_nowait(("left", one))
            raise

    # The owner's side.

    def answer(self, one, response, what):
        if one.answer.done():
            return False
        counters["checks_" + what] += 1
        one.answer.set_result(response)
        return True

    def deliver(self, d, one):
        """The module lets it in: that is the answer.  Its end is told of later."""
        one.delivery = d
        backend = self.backend_name(d.backend) if self.stated.backend_header else ""
        if not self.answer(one, allowed(self.stated, backend), "allowed"):
            self.settle(one, Result.CANCELLED)
            return
        wait = self.stated.settle
        if self.stated.reports:
            wait = self.stated.report_wait
            self.out.setdefault(one.id, []).append(one)
        left = max(0.0, (d.until - self.clock()) / 1e6)
        one.timer = asyncio.get_running_loop().call_later(min(wait, left), self.settle, one, Result.SUCCEEDED)

    def backend_name(self, backend):
        return ""

    def settle(self, one, result, took=None):
        """Its end, once: by a report, by its time, or because nobody waited for the answer."""
        d, one.delivery = one.delivery, None
        if d is None:
            return
        if one.timer is not None:
            one.timer.cancel()
        waiting = self.out.get(one.id)
        if waiting is not None:
            waiting.remove(one)
            if not waiting:
                del self.out[one.id]
        took = self.clock() - d.sent if took is None else took
        self.queue.put_nowait(("ended", d, result, took, None, None, 0))

    def reported(self, number, result, took):
        waiting = self.out.get(number)
        if waiting:
            counters["checks_reported"] += 1
            self.settle(waiting[0], result, took)

    def cancel(self, d):
        """What the proxy was let send cannot be called back; its place counts until it is settled."""

    def throttled(self, one, retry_after):
        headers = [("retry-after", f"{retry_after / 1e6:.3f}")] if retry_after > 0 else []
        self.answer(one, denied(429, "beyond its plan\n", headers), "denied")

    def errored(self, one, status=503):
        self.answer(one, denied(503, "cannot be served now\n"), "errored")

    def succeeded(self, one, *_):
        pass

    async def start(self):
        await self.service.start()

    async def drain(self, seconds):
        await self.service.drain(seconds)


class Reports(als_pb2_grpc.AccessLogServiceServicer):
    """The proxy's access log: how what was let in has ended."""

    def __init__(self, checks):
        self.checks = checks

    async def StreamAccessLogs(self, requests, context):  # noqa: N802
        async for message in requests:
            for entry in message.http_logs.log_entry:
                took = entry.common_properties.time_to_last_downstream_tx_byte
                code = entry.response.response_code.value
                result = Result.SUCCEEDED if 0 < code < 500 else Result.ERRORED
                if not code:
                    result = Result.UNREACHABLE
                self.checks.reported(
                    entry.request.request_id, result, took.seconds * 1_000_000 + took.nanos // 1000 or None
                )
        return als_pb2.StreamAccessLogsResponse()


def view(attributes):
    """The generated message as a plain one."""
    http = attributes.request.http
    headers = {k.lower(): v for k, v in http.headers.items()}
    for header in http.header_map.headers:
        name = header.key.lower()
        text = header.value or header.raw_value.decode("latin-1")
        headers[name] = f"{headers[name]},{text}" if name in headers else text
    metadata = {}
    for namespace, fields in attributes.metadata_context.filter_metadata.items():
        for key, value in fields.fields.items():
            kind = value.WhichOneof("kind")
            if kind in ("string_value", "number_value", "bool_value"):
                got = getattr(value, kind)
                metadata[f"{namespace}.{key}"] = f"{got:g}" if kind == "number_value" else str(got)
    return Told(
        http.method,
        http.path,
        headers,
        attributes.source.principal,
        dict(attributes.context_extensions),
        metadata,
    )


def header(name, value):
    return base_pb2.HeaderValueOption(header=base_pb2.HeaderValue(key=name, value=value))


def allowed(stated, backend=""):
    headers = [header(k, v) for k, v in stated.add.items()]
    if backend:
        headers.append(header(stated.backend_header, backend))
    return external_auth_pb2.CheckResponse(
        status=status_pb2.Status(code=code_pb2.OK),
        ok_response=external_auth_pb2.OkHttpResponse(headers=headers, headers_to_remove=stated.remove),
    )


def denied(status, text, headers=()):
    code = code_pb2.RESOURCE_EXHAUSTED if status == 429 else code_pb2.PERMISSION_DENIED
    return external_auth_pb2.CheckResponse(
        status=status_pb2.Status(code=code, message=text.strip()),
        denied_response=external_auth_pb2.DeniedHttpResponse(
            status=http_status_pb2.HttpStatus(code=status),
            body=text,
            headers=[header(k, v) for k, v in headers],
        ),
    )
