"""The tasks that a process begins beside its loop, each kept until it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks:
    """Owns its tasks: the event loop alone holds them weakly, so that one could vanish while it waits."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Runs a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Ends all that still run; nobody waits for them."""
        for task in self._tasks:
            task.cancel()
