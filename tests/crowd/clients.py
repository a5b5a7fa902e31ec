"""Clients that send too much, too little or never read, many at once.

A crowd sends until everything is sent, its connections are closed or nothing moves any more, and then stays.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator, Sequence

import attrs

from review.common.tier import new_request_id

from .deployment import HOST

PIECE_BYTES = 64 * 1024
STALLED_AFTER_S = 3.0  # without progress of any client, the crowd has sent what it can
SENT_WITHIN_S = 40.0
ANSWER_WAIT_S = 1.0
PROMISING_STATUSES = (402, 408, 413, 421, 429, 431, 503)  # they say that the request did not run


def head(method: str, path: str, identity: str, *fields: str) -> bytes:
    """A request's head with its id; `fields` are header lines."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Kestrelbend-Request-Id: {identity}", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def with_length(path: str, length: int, sent_bytes: int, piece_bytes: int = PIECE_BYTES, make_head=head):
    """A request that announces `length` bytes of body and sends `sent_bytes` of it."""

    def pieces(identity: str) -> Iterator[bytes]:
        yield make_head("POST", path, identity, f"Content-Length: {length}")
        piece = b"x" * piece_bytes
        for start in range(0, sent_bytes, piece_bytes):
            yield piece[: min(piece_bytes, sent_bytes - start)]

    return pieces


def chunked(path: str, sizes: Sequence[int], total_bytes: int, ends: bool = False, make_head=head):
    """A request whose body of `total_bytes` comes in chunks of `sizes`, in turn."""
    cycle = b"".join(b"%x\r\n%b\r\n" % (size, b"x" * size) for size in sizes)
    copies = max(1, PIECE_BYTES // len(cycle))
    repeats = total_bytes // (sum(sizes) * copies)

    def pieces(identity: str) -> Iterator[bytes]:
        yield make_head("POST", path, identity, "Transfer-Encoding: chunked")
        for _ in range(repeats):
            yield cycle * copies
        if ends:
            yield b"0\r\n\r\n"

    return pieces


@attrs.define
class CrowdClient:
    """One connection of a crowd."""

    identity: str = attrs.field(factory=new_request_id)
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    sent_bytes: int = 0
    done: bool = False
    status: int = 0

    async def send(self, address: str, pieces) -> None:
        """Connects and sends all pieces, or until the connection is closed."""
        host, _, port = address.rpartition(":")
        try:
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 12)
            for piece in pieces(self.identity):
                self.writer.write(piece)
                await self.writer.drain()
                self.sent_bytes += len(piece)
        except OSError:
            pass
        self.done = True

    async def read_status(self) -> None:
        """Reads the status of the answer, if one came."""
        if self.reader is None:
            return
        with contextlib.suppress(OSError, ValueError, IndexError, TimeoutError):
            async with asyncio.timeout(ANSWER_WAIT_S):
                self.status = int((await self.reader.readline()).split()[1])

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


class Crowd:
    """Clients that all send the same at once and then keep their connections."""

    def __init__(self, size: int) -> None:
        self.clients = [CrowdClient() for _ in range(size)]
        self._tasks: list[asyncio.Task[None]] = []

    async def send(self, address: str, pieces) -> None:
        """Returns once all has been sent, all connections are closed, or nothing moves any more."""
        loop = asyncio.get_running_loop()
        self._tasks = [asyncio.create_task(client.send(address, pieces)) for client in self.clients]
        end = loop.time() + SENT_WITHIN_S
        progress, moved_at = -1, loop.time()
        while loop.time() < end and not all(client.done for client in self.clients):
            sent = sum(client.sent_bytes + client.done for client in self.clients)
            if sent != progress:
                progress, moved_at = sent, loop.time()
            if loop.time() - moved_at > STALLED_AFTER_S:
                return
            await asyncio.sleep(0.05)

    async def check_promises(self, ids_run: set[str]) -> None:
        """Fails if a request ran that was refused with a status that promises the contrary."""
        await asyncio.gather(*(client.read_status() for client in self.clients))
        refused = [client for client in self.clients if client.status in PROMISING_STATUSES]
        broken = [client.identity for client in refused if client.identity in ids_run]
        assert not broken, f"refused but run: {broken}"

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
