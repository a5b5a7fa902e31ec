"""Stand-ins that speak external authorisation: a scripted authoriser, and a proxy that asks."""

from __future__ import annotations

import asyncio

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.data.accesslog.v3 import accesslog_pb2
from envoy.service.accesslog.v3 import als_pb2, als_pb2_grpc
from envoy.service.auth.v3 import external_auth_pb2, external_auth_pb2_grpc
from envoy.type.v3 import http_status_pb2
from google.rpc import status_pb2


def option(name, value):
    return base_pb2.HeaderValueOption(header=base_pb2.HeaderValue(key=name, value=value))


class StandAuthoriser(external_auth_pb2_grpc.AuthorizationServicer):
    """`play` is what the next calls get, then `usual`: "allow", "deny", "stall", "slow", "broken" (the call
    fails), "own" (a denial whose own code is UNAVAILABLE), "flood" (headers beyond any limit), "forbidden"
    (a gRPC status of the service's own)."""

    def __init__(self, usual="allow"):
        self.usual, self.play, self.seen, self.port, self.open, self.most_open = usual, [], [], 0, 0, 0
        self.server = None

    async def start(self):
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        external_auth_pb2_grpc.add_AuthorizationServicer_to_server(self, self.server)
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()
        return self

    async def stop(self):
        await self.server.stop(0)

    async def Check(self, request, context):  # noqa: N802  (the generated name)
        self.seen.append(request)
        what = self.play.pop(0) if self.play else self.usual
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            if what == "stall":
                await asyncio.sleep(30)
            if what == "slow":
                await asyncio.sleep(0.05)
            if what == "broken":
                await context.abort(grpc.StatusCode.UNAVAILABLE, "no")
            if what == "forbidden":
                await context.abort(grpc.StatusCode.PERMISSION_DENIED, "no")
        finally:
            self.open -= 1
        if what in ("deny", "own", "flood"):
            headers = [
                option("x-reason", "closed account"),
                option("x-inner", "10.0.0.1"),
                option("x-split", "a\r\nset-cookie: b"),
            ]
            if what == "flood":
                headers = [option(f"x-{n}", "y" * 1000) for n in range(1000)]
            return external_auth_pb2.CheckResponse(
                status=status_pb2.Status(code=14 if what == "own" else 7),
                denied_response=external_auth_pb2.DeniedHttpResponse(
                    status=http_status_pb2.HttpStatus(code=402), headers=headers, body="not this one"
                ),
            )
        return external_auth_pb2.CheckResponse(
            status=status_pb2.Status(code=0), ok_response=external_auth_pb2.OkHttpResponse()
        )


class StandProxy:
    """Asks before it passes a call on, and tells of the end by its access log."""

    def __init__(self, port):
        self.channel = grpc.aio.insecure_channel(
            f"127.0.0.1:{port}",
            options=[("grpc.use_local_subchannel_pool", 1), ("grpc.max_send_message_length", 1 << 24)],
        )
        self.stub = external_auth_pb2_grpc.AuthorizationStub(self.channel)
        self.reports = als_pb2_grpc.AccessLogServiceStub(self.channel)

    def ask(self, path, number="", timeout=2.0, **headers):
        message = external_auth_pb2.CheckRequest()
        http = message.attributes.request.http
        http.method, http.path, http.id = "GET", path, number
        http.headers.update({name.replace("_", "-"): value for name, value in headers.items()})
        return self.stub.Check(message, timeout=timeout)

    async def report(self, *ends):
        """(request id, status, seconds) of calls that ended."""
        message = als_pb2.StreamAccessLogsMessage()
        for number, code, took in ends:
            entry = message.http_logs.log_entry.add()
            entry.request.request_id = number
            entry.response.response_code.value = code
            spent = entry.common_properties.time_to_last_downstream_tx_byte
            spent.seconds, spent.nanos = int(took), int(took % 1 * 1e9)
        assert isinstance(entry, accesslog_pb2.HTTPAccessLogEntry)

        async def one():
            yield message

        await self.reports.StreamAccessLogs(one())

    async def close(self):
        await self.channel.close()
