"""An event loop on virtual time that runs many processes and can hold or end each of them.

Time jumps to the next timer, so nothing waits, and a run depends on its seeds alone.  Each callback belongs
to the `Execution` that its context names.  Invariant: no callback of an ended execution runs, and one of a
held execution runs only once it is released; callbacks without an execution are the world's own.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections import deque
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, TypeVar, TypeVarTuple

import attrs

if TYPE_CHECKING:
    from .connection import Connection
    from .network import Network, Server

T = TypeVar("T")
Arguments = TypeVarTuple("Arguments")
ProtocolFactory = Callable[[], asyncio.Protocol]

_CURRENT: contextvars.ContextVar[Execution | None] = contextvars.ContextVar("execution", default=None)


@attrs.define(eq=False)
class Execution:
    """One life of a process: its callbacks run until it ends, except while it is held."""

    name: str
    ip: str
    context: contextvars.Context = attrs.field(init=False)
    suspended: bool = attrs.field(default=False, init=False)
    ended_at: float | None = attrs.field(default=None, init=False)
    _deferred: list[asyncio.Handle] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        self.context = contextvars.copy_context()
        self.context.run(_CURRENT.set, self)

    @property
    def ended(self) -> bool:
        """Whether the process is gone."""
        return self.ended_at is not None

    def admits(self, handle: asyncio.Handle) -> bool:
        """Whether a callback may run now; one of a suspended execution is kept."""
        if self.ended_at is not None:
            return False
        if self.suspended:
            self._deferred.append(handle)
            return False
        return True

    def suspend(self) -> None:
        """The process stands still."""
        self.suspended = True

    def resume(self, loop: VirtualLoop) -> None:
        """The process goes on, with all that came due meanwhile."""
        self.suspended = False
        deferred, self._deferred = self._deferred, []
        loop.requeue(deferred)

    def end(self, now: float) -> None:
        """The process is gone; nothing of it ever runs again."""
        self.ended_at = now
        self._deferred.clear()


def current_execution() -> Execution | None:
    """The execution that the running callback belongs to."""
    return _CURRENT.get()


class _ScopedHandle(asyncio.Handle):
    """Runs only while its execution admits it."""

    __slots__ = ()
    _context: contextvars.Context  # the base's

    def _run(self) -> None:
        execution = self._context.get(_CURRENT)
        if execution is None or execution.admits(self):
            super()._run()


class _ScopedTimer(asyncio.TimerHandle):
    """As `_ScopedHandle`."""

    __slots__ = ()
    _context: contextvars.Context  # the base's
    _scheduled: bool

    def _run(self) -> None:
        execution = self._context.get(_CURRENT)
        if execution is None or execution.admits(self):
            super()._run()


class _Clock:
    """Stands for the selector: takes the time that would be waited as gone."""

    def __init__(self) -> None:
        self.now = 0.0

    def select(self, timeout: float | None) -> list[object]:
        """Moves the clock by the time that would be waited; no file ever becomes ready."""
        if timeout is None:
            raise RuntimeError("nothing can happen any more: no timer and nothing ready")
        self.now += max(0.0, timeout)
        return []

    def close(self) -> None:
        """There is nothing to close."""


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop of a fleet: time goes on only from one timer to the next.

    `network` makes the connections that processes ask for; `network.Network` needs the loop, so it is set
    once that is made.
    """

    network: Network
    _ready: deque[asyncio.Handle]  # the base's
    _scheduled: list[asyncio.TimerHandle]  # the base's, a heap

    def __init__(self) -> None:
        super().__init__()
        self._selector = _Clock()
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Seconds since the world began."""
        return self._selector.now

    def requeue(self, handles: list[asyncio.Handle]) -> None:
        """Runs callbacks that were kept, in their order, before all that comes later."""
        self._ready.extend(handles)

    def _process_events(self, event_list: list[object]) -> None:
        """No files are watched."""

    def _write_to_self(self) -> None:
        """Nobody waits in a system call."""

    def _call_soon(
        self, callback: Callable[..., object], args: tuple[object, ...], context: contextvars.Context | None
    ) -> asyncio.Handle:
        handle = _ScopedHandle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """As the base's, with a handle that heeds its execution; `when` in seconds of this loop."""
        timer = _ScopedTimer(when, callback, args, self, context)
        self._push(timer)
        return timer

    def _push(self, timer: _ScopedTimer) -> None:
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True

    async def create_connection(  # type: ignore[override]  # of the base's options none is heeded
        self, protocol_factory: ProtocolFactory, host: str, port: int, **options: Any
    ) -> tuple[Connection, asyncio.Protocol]:
        """A connection of the running execution, over the network in memory."""
        return await self.network.connect(_running_execution(), protocol_factory, (host, int(port)))

    async def create_server(  # type: ignore[override]  # of the base's options none is heeded
        self, protocol_factory: ProtocolFactory, host: str, port: int, **options: Any
    ) -> Server:
        """A listener of the running execution."""
        return self.network.listen(_running_execution(), protocol_factory, (host, int(port)))


def _running_execution() -> Execution:
    """The current execution; raises `RuntimeError` in callbacks that belong to no process."""
    execution = current_execution()
    if execution is None:
        raise RuntimeError("only processes of the fleet have connections")
    return execution


def run(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Runs `main(loop)` on a loop of its own whose clock starts at 0."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main(loop))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
