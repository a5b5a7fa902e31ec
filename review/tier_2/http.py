"""A small HTTP/1.1 client and server for stand-ins, with nothing but the standard library."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

MAX_HEAD = 64 * 1024


@dataclasses.dataclass
class Message:
    """A request or an answer: its first line, its headers by name in lower case, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """An answer's status."""
        return int(self.first_line.split(" ", 2)[1])

    @property
    def path(self) -> str:
        """A request's path."""
        return self.first_line.split(" ")[1]

    @property
    def method(self) -> str:
        """A request's method."""
        return self.first_line.split(" ")[0]


class Broken(Exception):
    """The connection ended before an answer was complete; `partial` holds what came of it."""

    def __init__(self, partial: bytes) -> None:
        super().__init__(f"the connection ended after {len(partial)} bytes")
        self.partial = partial


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers; raises `Broken`."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken(getattr(error, "partial", b"")) from None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], on_data: Callable[[bytes], None] | None = None
) -> bytes:
    """The body by its length or its chunks; raises `Broken`."""
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return body
                body += data
                if on_data is not None:
                    on_data(data)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken(body + getattr(error, "partial", b"")) from None


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
    on_data: Callable[[bytes], None] | None = None,
    source: str | None = None,
) -> Message:
    """One request on a connection of its own.  Raises `Broken`, `OSError` or `TimeoutError`."""
    async with asyncio.timeout(timeout_s):
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD, local_addr=local)
        try:
            writer.write(request_bytes(method, path, headers or {}, body, address[0]))
            first_line, answer_headers = await read_head(reader)
            return Message(first_line, answer_headers, await read_body(reader, answer_headers, on_data))
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes, host: str) -> bytes:
    """A request as it is sent."""
    named = {"Host": host, **headers}
    if body or method == "POST":
        named["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in named.items())]
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def serve(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serves requests one after the other on each connection; `handle` writes the answer."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(Broken, OSError, asyncio.CancelledError):
            while True:
                first_line, headers = await read_head(reader)
                await handle(Message(first_line, headers, await read_body(reader, headers)), writer)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(connected, host, port, limit=MAX_HEAD)


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """An answer with its length."""
    named = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in named.items())]
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body
