"""What all gRPC services here share: the server with its limits, health, reflection and drain."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

MAX_METADATA_BYTES: Final = 32_768
KEEPALIVE_MS: Final = 30_000
KEEPALIVE_TIMEOUT_MS: Final = 5_000
MIN_PING_INTERVAL_MS: Final = 10_000
MAX_PING_STRIKES: Final = 3


class Service:
    """`add` servicers by their generated functions, then `start`.

    `listen`: host:port.  `max_open`: calls at once.  `max_bytes`: of one message.  `port`: the one that it
    listens on, from `start` on.
    """

    port: int

    def __init__(self, listen: str, max_open: int = 10_000, max_bytes: int = 65_536) -> None:
        self.listen = listen
        self.names: list[str] = [health.SERVICE_NAME, reflection.SERVICE_NAME]
        self.server: Any = grpc.aio.server(
            maximum_concurrent_rpcs=max_open,
            options=[
                ("grpc.max_receive_message_length", max_bytes),
                ("grpc.max_send_message_length", max_bytes),
                ("grpc.max_metadata_size", min(max_bytes, MAX_METADATA_BYTES)),
                ("grpc.so_reuseport", 0),
                ("grpc.keepalive_time_ms", KEEPALIVE_MS),
                ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
                ("grpc.http2.min_ping_interval_without_data_ms", MIN_PING_INTERVAL_MS),
                ("grpc.http2.max_ping_strikes", MAX_PING_STRIKES),
                ("grpc.max_concurrent_streams", max_open),
                # By itself it ends calls at random where more than 1,000 wait to be begun: 229 of 2,000 at
                # once.
                ("grpc.server.max_pending_requests", max_open),
                ("grpc.server.max_pending_requests_hard_limit", max_open),
            ],
        )
        self.health = health.aio.HealthServicer()
        health_pb2_grpc.add_HealthServicer_to_server(self.health, self.server)

    def add(self, add_to_server: Callable[[Any, Any], None], servicer: object, name: str) -> None:
        """Adds a servicer by the function that was generated for it, under its service's full name."""
        add_to_server(servicer, self.server)
        self.names.append(name)

    async def start(self) -> None:
        """Listen, and report health as serving; raises `OSError` where the address cannot be had."""
        reflection.enable_server_reflection(self.names, self.server)
        try:
            self.port = self.server.add_insecure_port(self.listen)
        except RuntimeError as error:
            raise OSError(f"{self.listen}: {error}") from None
        await self.server.start()
        await self.report_health(health_pb2.HealthCheckResponse.SERVING)

    async def report_health(self, status: int) -> None:
        """Gives all services, and the server as a whole (""), this status of grpc.health.v1."""
        for name in ("", *self.names):
            await self.health.set(name, status)

    async def drain(self, seconds: float) -> None:
        """New calls go elsewhere (GOAWAY); open ones end, or are ended after so long."""
        await self.report_health(health_pb2.HealthCheckResponse.NOT_SERVING)
        await self.server.stop(seconds)
