"""What all gRPC services here share: the server with its limits, health, reflection and drain."""

from __future__ import annotations

import logging

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

log = logging.getLogger(__name__)


class Service:
    """`add` servicers by their generated functions, then `start`."""

    def __init__(self, listen, most_open=10_000, longest=65_536):
        self.listen, self.names = listen, [health.SERVICE_NAME, reflection.SERVICE_NAME]
        self.server = grpc.aio.server(
            maximum_concurrent_rpcs=most_open,
            options=[
                ("grpc.max_receive_message_length", longest),
                ("grpc.max_send_message_length", longest),
                ("grpc.max_metadata_size", min(longest, 32_768)),
                ("grpc.so_reuseport", 0),
                ("grpc.keepalive_time_ms", 30_000),
                ("grpc.keepalive_timeout_ms", 5_000),
                ("grpc.http2.min_ping_interval_without_data_ms", 10_000),
                ("grpc.http2.max_ping_strikes", 3),
                ("grpc.max_concurrent_streams", most_open),
                # By itself it ends calls at random where more than 1,000 wait to be begun: 229 of 2,000 at
                # once.
                ("grpc.server.max_pending_requests", most_open),
                ("grpc.server.max_pending_requests_hard_limit", most_open),
            ],
        )
        self.health = health.aio.HealthServicer()
        health_pb2_grpc.add_HealthServicer_to_server(self.health, self.server)

    def add(self, adder, servicer, name):
        adder(servicer, self.server)
        self.names.append(name)

    async def start(self):
        reflection.enable_server_reflection(self.names, self.server)
        try:
            self.port = self.server.add_insecure_port(self.listen)
        except RuntimeError as trouble:
            raise OSError(f"{self.listen}: {trouble}") from None
        await self.server.start()
        await self.say(health_pb2.HealthCheckResponse.SERVING)

    async def say(self, status):
        for name in ("", *self.names):
            await self.health.set(name, status)

    async def drain(self, seconds):
        """New calls go elsewhere (GOAWAY); open ones end, or are ended after so long."""
        await self.say(health_pb2.HealthCheckResponse.NOT_SERVING)
        await self.server.stop(seconds)
