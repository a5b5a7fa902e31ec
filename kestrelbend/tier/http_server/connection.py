"""One connection of a client: reads no faster than the application takes, and gives up who does not read.

A request that is answered before its body has been read ends its connection.  What the client still sends is
then read and dropped for a moment, since closing at once would reset the connection, and the client could
lose the response.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed, Event, RawData
from hypercorn.utils import parse_socket_addr

from ..bounded_reads import READ_BYTES
from .connection_table import ConnectionTable
from .http_protocol import HttpProtocol
from .request_tasks import RequestTasks

LINGER_S = 1.0
LINGER_BYTES = 16 << 20
MAX_CHEAP_CHUNKS = 64  # in one read; with more of them, connections take turns
WRITE_HIGH_WATER_BYTES = 64 * 1024


class ClientConnection(TCPServer):
    """A connection from its first byte to its last.

    `turns` is shared by all connections: after a read that held many chunks, a connection waits for its turn.
    """

    def __init__(
        self,
        app: Any,
        config: Any,
        context: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        table: ConnectionTable,
        turns: asyncio.Lock,
    ) -> None:
        super().__init__(app, asyncio.get_running_loop(), config, context, {}, reader, writer)
        self._table = table
        self._turns = turns
        self._lingering = False
        self._lingered_bytes = 0
        self._abort_timer: asyncio.TimerHandle | None = None
        self._http: HttpProtocol
        self._task_group: TaskGroup

    async def run(self) -> None:
        """Serves the connection until it ends."""
        if not self._table.add(self):
            self.abort()
            return
        try:
            await self._serve()
        except OSError:
            pass
        finally:
            self._close_soon()
            await self._close()
            self._table.remove(self)
            if self._abort_timer is not None:
                self._abort_timer.cancel()

    async def _serve(self) -> None:
        socket = self.writer.get_extra_info("socket")
        client = parse_socket_addr(socket.family, self.writer.get_extra_info("peername"))
        server = parse_socket_addr(socket.family, self.writer.get_extra_info("sockname"))
        tasks = RequestTasks(self.loop)
        async with tasks:
            self._task_group = tasks
            self._http = HttpProtocol(
                self.app,
                self.config,
                self.context,
                tasks,
                client,
                server,
                self.protocol_send,
                self._table,
                self,
            )
            self.protocol = self._http  # type: ignore[assignment]
            await self.idle_task.restart(tasks, self._idle_timeout)
            await self._read_data()

    @property
    def is_closing(self) -> bool:
        """Whether the connection is lost or about to be closed."""
        return self.writer.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()

    async def _read_data(self) -> None:
        """Reads until the connection ends."""
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                break
            if self._lingering:
                self._drop(data)
                continue
            await self._http.handle(RawData(data))
            await self._http.wait_until_taken()
            if self._http.parser.chunks > MAX_CHEAP_CHUNKS:
                async with self._turns:
                    await asyncio.sleep(0)
        await self._http.handle(Closed())

    def _drop(self, data: bytes) -> None:
        self._lingered_bytes += len(data)
        if self._lingered_bytes > LINGER_BYTES:
            self.abort()

    async def protocol_send(self, event: Event) -> None:
        """Writes bytes, or ends the connection."""
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            if self._http.parser.request_is_complete:
                self._close_soon()
            else:
                self._linger()
        else:
            await super().protocol_send(event)

    async def _write(self, data: bytes) -> None:
        async with self.send_lock:
            try:
                self.writer.write(data)
                if self.writer.transport.get_write_buffer_size() > WRITE_HIGH_WATER_BYTES:
                    await self._drain()
                else:
                    await self.writer.drain()
            except (ConnectionError, RuntimeError):
                await self._http.handle(Closed())

    async def _drain(self) -> None:
        """Waits for a client that does not read, for as long as a connection may be idle."""
        self._table.stalled(self)
        try:
            async with asyncio.timeout(self.config.keep_alive_timeout):
                await self.writer.drain()
        except TimeoutError:
            self.abort()
            raise ConnectionAbortedError from None
        finally:
            self._table.resumed(self)

    def _linger(self) -> None:
        """Ends the response's side, and reads the rest of the request for a moment."""
        if self._lingering or self.writer.transport.is_closing():
            return
        self._lingering = True
        self._table.lingering(self)
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write_eof()
        self._abort_after(LINGER_S)

    def _close_soon(self) -> None:
        """Closes the connection once the client has read what was written, if it does."""
        if not self.writer.transport.is_closing():
            self._table.closing(self)
            self.writer.close()
            self._abort_after(self.config.keep_alive_timeout)

    def _abort_after(self, delay_s: float) -> None:
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        self._abort_timer = self.loop.call_later(delay_s, self.abort)
