"""An event loop whose clock jumps to the next timer, so that tests don't wait."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Reports what is ready and advances the clock by the timeout instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled and no event is ready")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a virtual clock that starts at 0."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)
