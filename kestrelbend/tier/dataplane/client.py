"""The client's side of an exchange: the answer as it goes out, over ASGI.

Invariant: an answer that was begun either ends complete or the connection breaks; it never looks complete
without being so.  An application that returns without the last part makes the server break the connection.
To a client of HTTP/1.0 an end of the connection is the end of an answer without a length: it gets such an
answer once it is complete, with its length.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from .exchange import Headers


@attrs.frozen
class LocalResponse:
    """An answer of the gateway itself; it carries no backend's stamp."""

    status: int
    reason: str
    retry_after_s: float | None = None
    closes: bool = False  # what follows on the connection cannot be trusted


@attrs.define
class _BufferedAnswer:
    """An answer without a length that is buffered until it is complete."""

    status: int
    headers: Headers
    body: bytearray = attrs.field(factory=bytearray)

    def headers_with_length(self) -> Headers:
        """Its headers, and the length of what was buffered."""
        return [*self.headers, (b"content-length", b"%d" % len(self.body))]


class Client:
    """Sends one answer.  `closing` is asked at its start: the connection ends with it.

    Once the client is `gone`, what it would get is dropped.

    `before_end` is called before the last part: the server ends the exchange within that call, and nothing
    may interrupt it there.
    """

    def __init__(
        self,
        send: Callable[[dict[str, Any]], Awaitable[None]],
        closing: Callable[[], bool],
        http_version: str = "1.1",
        request_id: bytes | None = None,
    ) -> None:
        self._send = send
        self._closing = closing
        self._request_id = request_id
        self._supports_chunked = http_version != "1.0"
        self._buffered: _BufferedAnswer | None = None
        self.started = False  # from here on the client may hold a part of an answer
        self.success = False  # its status is 2xx
        self.finished = False  # the last part was given to the server
        self.disconnected = False  # it closed its connection
        self.events = 0  # complete events handed over
        self.before_end: Callable[[], None] = lambda: None

    async def start(self, status: int, headers: Headers) -> None:
        """The head of the answer; it may be called once."""
        self.started = True
        self.success = 200 <= status < 300
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        if self._supports_chunked or any(name.lower() == b"content-length" for name, _ in headers):
            await self._send_start(status, headers)
        else:
            self._buffered = _BufferedAnswer(status, headers)

    async def body(self, data: bytes, more: bool) -> None:
        """A part of the body; the last one (not `more`) ends the answer, and nothing may follow it.

        Waits while the client reads more slowly than this is called.
        """
        if not more:
            self.finished = True
            self.before_end()
        if self._buffered is not None:
            self._buffered.body += data
            if more:
                return
            await self._send_start(self._buffered.status, self._buffered.headers_with_length())
            data = bytes(self._buffered.body)
        if self.disconnected:
            return
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def _send_start(self, status: int, headers: Headers) -> None:
        if not self.disconnected:
            await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def respond(self, response: LocalResponse) -> None:
        """Sends a complete answer of the gateway's own; nothing where an answer was begun."""
        if self.started:
            return
        text = response.reason.encode()
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(text))]
        if self._request_id is not None:
            headers.append((b"x-kestrelbend-request-id", self._request_id))
        if response.retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % response.retry_after_s))
        if response.closes and not self._closing():
            headers.append((b"connection", b"close"))
        await self.start(response.status, headers)
        await self.body(text, more=False)
