"""The readiness endpoint on the `Ready` address: tells the platform whether to route connections here."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from .lifecycle import Lifecycle

READY_PATH = "/api/readyz"


class ReadyApplication:
    """Answers 200 while the gateway is ready, else 503."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Handles one ASGI request; 404 for any other path."""
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == READY_PATH:
            status = 200 if self._lifecycle.ready else 503
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})
