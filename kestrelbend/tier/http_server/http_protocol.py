"""HTTP/1.1 on one connection: hypercorn's protocol with the parser of `request_parser`.

Only HTTP/1.1 and HTTP/1.0 are served: an offer to upgrade is ignored, as RFC 9110, section 7.8 allows.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import h11
from hypercorn.events import Event, RawData
from hypercorn.protocol.events import Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.typing import ConnectionState

from .connection_table import ConnectionTable, TrackedConnection
from .request_parser import RequestParser
from .request_tasks import RequestTasks


class ConnectionOwner(TrackedConnection, Protocol):
    """The connection that the protocol serves."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection is lost or about to be closed."""


class HttpProtocol(H11Protocol):
    """Reads requests and writes responses; `send` takes what goes to the socket."""

    def __init__(
        self,
        app: Any,
        config: Any,
        context: Any,
        tasks: RequestTasks,
        client: tuple[str, int] | None,
        server: tuple[str, int] | None,
        send: Callable[[Event], Awaitable[None]],
        table: ConnectionTable,
        owner: ConnectionOwner,
    ) -> None:
        super().__init__(app, config, context, tasks, ConnectionState({}), False, client, server, send)
        self._tasks = tasks
        self._table = table
        self._owner = owner
        self.parser = RequestParser(config.h11_max_incomplete_size)
        self.connection = self.parser  # type: ignore[assignment]  # it has the interface

    async def handle(self, event: Event) -> None:
        """Takes input, or the end of the connection."""
        if isinstance(event, RawData) and self.parser.awaits_head:
            self._table.head_received(self._owner, len(event.data))
        await super().handle(event)

    async def wait_until_taken(self) -> None:
        """Returns once the application has taken what has come of its request."""
        if self._tasks.messages is not None:
            await self._tasks.messages.wait_until_taken()

    async def _create_stream(self, request: h11.Request) -> None:
        self._table.request_started(self._owner)
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    async def _check_protocol(self, event: h11.Request) -> None:
        """Nothing but HTTP/1.1 is served."""

    async def _maybe_recycle(self) -> None:
        """Ends a request; the next one follows, if the connection goes on.

        Hypercorn lets a connection that ends here wait for good if the client has sent more requests.
        """
        states = (self.parser.our_state, self.parser.their_state)
        if states != (h11.DONE, h11.DONE) or self.context.terminated.is_set() or self._owner.is_closing:
            self.parser.finish()
        await super()._maybe_recycle()
        if self.parser.awaits_head:
            self._table.request_finished(self._owner)
