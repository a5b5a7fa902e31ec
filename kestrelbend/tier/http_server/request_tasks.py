"""Runs the application for the requests of a connection, and tells when it has taken what has come."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.config import Config

Message = dict[str, Any]


class RequestMessages:
    """What the application has not received yet of its request."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Message] = asyncio.Queue()
        self._abandoned = False
        self._taken = asyncio.Event()
        self._taken.set()

    async def put(self, message: Message) -> None:
        """Adds a message of the request."""
        self._queue.put_nowait(message)
        if message["type"] == "http.disconnect" or self._abandoned:
            self._taken.set()
        else:
            self._taken.clear()

    async def get(self) -> Message:
        """Returns the next message."""
        message = await self._queue.get()
        if self._queue.empty():
            self._taken.set()
        return message

    def abandon(self) -> None:
        """The application has ended and takes nothing more."""
        self._abandoned = True
        self._taken.set()

    async def wait_until_taken(self) -> None:
        """Returns once the application has received everything, or has ended."""
        await self._taken.wait()


class RequestTasks(TaskGroup):
    """The tasks of one connection; `messages` are those of its current request."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.messages: RequestMessages | None = None

    async def spawn_app(
        self, app: Any, config: Config, scope: Any, send: Callable[[Any], Awaitable[None]]
    ) -> Callable[[Any], Awaitable[None]]:
        """Starts the application for a request; returns what hands it the request's messages."""
        messages = RequestMessages()
        self.messages = messages
        self.spawn(_run, app, config, scope, messages, send)
        return messages.put


async def _run(
    app: Any,
    config: Config,
    scope: Any,
    messages: RequestMessages,
    send: Callable[[Any], Awaitable[None]],
) -> None:
    try:
        await app(scope, messages.get, send)
    except asyncio.CancelledError:
        raise
    except Exception:  # noqa: BLE001  an application's fault ends its request alone
        await config.log.exception("Error in ASGI Framework")
    finally:
        messages.abandon()
        await send(None)
