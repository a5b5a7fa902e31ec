"""The client's side of an exchange: sends the response over ASGI.

Invariant: a started response either completes or its connection breaks; an incomplete response never looks
complete.  If the application returns without sending the last part, the server breaks the connection.  An
HTTP/1.0 client takes the end of the connection for the end of a response without a length, so such a
response is buffered until it is complete and sent with its length.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from .exchange import Headers


@attrs.frozen
class LocalResponse:
    """A response that the gateway generates itself; it carries no backend's stamp."""

    status: int
    reason: str
    retry_after_s: float | None = None
    closes: bool = False  # the connection's further input cannot be trusted


@attrs.define
class _BufferedAnswer:
    """A response without a length that is buffered until it is complete."""

    status: int
    headers: Headers
    body: bytearray = attrs.field(factory=bytearray)

    def headers_with_length(self) -> Headers:
        """The headers plus the length of the buffered body."""
        return [*self.headers, (b"content-length", b"%d" % len(self.body))]


class Client:
    """Sends one response.  `closing` is called at its start: if True, the connection is closed afterwards.

    Once the client is `disconnected`, all output is dropped.

    `before_end` is called before the last part is sent: the server finishes the exchange while sending it,
    and that must not be interrupted.
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
        self.started = False  # the client may have received part of a response
        self.success = False  # the response's status is 2xx
        self.finished = False  # the last part was passed to the server
        self.disconnected = False  # the client closed its connection
        self.events = 0  # complete events passed to the server
        self.before_end: Callable[[], None] = lambda: None

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status and headers; may be called only once."""
        self.started = True
        self.success = 200 <= status < 300
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        if self._supports_chunked or any(name.lower() == b"content-length" for name, _ in headers):
            await self._send_start(status, headers)
        else:
            self._buffered = _BufferedAnswer(status, headers)

    async def body(self, data: bytes, more: bool) -> None:
        """Sends a part of the body; the last one (`more` is False) ends the response.

        Waits while the client reads too slowly.
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
        """Sends a complete local response; does nothing if a response was already started."""
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
