"""Calls from outside to the listeners of processes, by the operator and by backends.

A call runs the process's own ASGI application; what HTTP adds is not part of the fleet.  The caller sees a
status, a connection that ended, or silence.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import attrs

from .loop import Execution, VirtualLoop
from .network import Network

if TYPE_CHECKING:
    from ..http_server.server import Listener

CALLER_DELAY_S = 0.003  # one way between a caller outside and a listener

Headers = Sequence[tuple[bytes, bytes]]
Scope = dict[str, Any]  # of an ASGI application


class Failure(enum.Enum):
    """A call without an answer."""

    REFUSED = "refused"
    ENDED = "connection ended"
    NO_ANSWER = "no answer"


@attrs.frozen
class Reply:
    """A whole answer."""

    status: int
    body: bytes


@attrs.define(eq=False)
class _Call:
    execution: Execution
    answer: asyncio.Future[Reply | Failure]
    task: asyncio.Task[None] | None = None


@attrs.frozen
class _Served:
    execution: Execution
    application: Any  # an ASGI application


class Http:
    """The listeners of all processes, by address."""

    def __init__(self, loop: VirtualLoop, network: Network) -> None:
        self._loop = loop
        self._network = network
        self._served: dict[str, _Served] = {}
        self._calls: dict[_Call, None] = {}

    async def serve(self, execution: Execution, listeners: Sequence[Listener]) -> None:
        """Serves a process's listeners until all are shut down."""
        for listener in listeners:
            self._served[listener.address] = _Served(execution, listener.application)
        await asyncio.gather(*(self._until_closing(execution, listener) for listener in listeners))

    async def _until_closing(self, execution: Execution, listener: Listener) -> None:
        await listener.until_closing()
        served = self._served.get(listener.address)
        if served is not None and served.execution is execution:
            del self._served[listener.address]

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 1.0,
    ) -> Reply | Failure:
        """Calls the process that serves at an address now, and waits for `timeout` seconds at most."""
        await asyncio.sleep(CALLER_DELAY_S)
        ip = address.partition(":")[0]
        served = self._served.get(address)
        if not self._network.is_open("outside", ip):
            await asyncio.sleep(timeout)
            return Failure.NO_ANSWER
        if served is None or served.execution.ended:
            await asyncio.sleep(CALLER_DELAY_S)
            return Failure.REFUSED
        call = _Call(served.execution, self._loop.create_future())
        self._calls[call] = None
        scope = _scope(method, path, headers)
        context = served.execution.context
        self._loop.call_soon(self._begin, call, served.application, scope, body, context=context)
        try:
            async with asyncio.timeout(timeout):
                return await call.answer
        except TimeoutError:
            return Failure.NO_ANSWER
        finally:
            self._calls.pop(call, None)

    def _begin(self, call: _Call, application: Any, scope: Scope, body: bytes) -> None:
        call.task = self._loop.create_task(self._run(call, application, scope, body))

    async def _run(self, call: _Call, application: Any, scope: Scope, body: bytes) -> None:
        received = False
        status = 0
        chunks: list[bytes] = []

        async def receive() -> dict[str, Any]:
            nonlocal received
            if received:
                await asyncio.get_running_loop().create_future()
            received = True
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event: dict[str, Any]) -> None:
            nonlocal status
            if event["type"] == "http.response.start":
                status = event["status"]
                return
            chunks.append(event.get("body", b""))
            if not event.get("more_body", False):
                self._answer(call, Reply(status, b"".join(chunks)))

        await application(scope, receive, send)

    def _answer(self, call: _Call, reply: Reply | Failure) -> None:
        if self._network.is_open(call.execution.ip, "outside"):
            self._network.call_later(CALLER_DELAY_S, _set, call.answer, reply)

    def end_execution(self, execution: Execution, notify_peers: bool) -> None:
        """A process is gone, and with it the calls that it had not answered."""
        for address, served in list(self._served.items()):
            if served.execution is execution:
                del self._served[address]
        for call in list(self._calls):
            if notify_peers and call.execution is execution:
                self._network.call_later(CALLER_DELAY_S, _set, call.answer, Failure.ENDED)


def _scope(method: str, path: str, headers: Headers) -> Scope:
    return {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "path": path,
        "headers": list(headers),
        "query_string": b"",
        "raw_path": path.encode(),
    }


def _set(answer: asyncio.Future[Reply | Failure], reply: Reply | Failure) -> None:
    if not answer.done():
        answer.set_result(reply)
