"""The application behind the `Ready` address: the platform asks it whether to send connections here."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from .life import Life

READY_PATH = "/api/readyz"


class ReadyApplication:
    """Answers 200 while the gateway is ready, else 503."""

    def __init__(self, life: Life) -> None:
        self._life = life

    async def __call__(
        self,
        scope: dict,
        receive: Callable[[], Awaitable[dict]],
        send: Callable[[dict], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == READY_PATH:
            status = 200 if self._life.ready else 503
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})
