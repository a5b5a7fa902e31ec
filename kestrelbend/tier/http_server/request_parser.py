"""Parses the requests of one connection: h11 for the heads and the responses, `ChunkedDecoder` for bodies.

It has the interface of `h11.Connection` that hypercorn uses.
"""

from __future__ import annotations

from typing import Any

import h11

from .chunked_decoder import ChunkedDecoder, ChunkedFramingError

MAX_HEADER_LINES = 256  # a header line takes many times its length once it is parsed
SERVED_VERSIONS = (b"1.0", b"1.1")
HEADERS_TOO_LARGE = 431
VERSION_NOT_SUPPORTED = 505


class _ChunkedBody:
    """The chunked body of one request, given out as events of h11."""

    def __init__(self, max_line_bytes: int) -> None:
        self.decoder = ChunkedDecoder(max_line_bytes)
        self.received = False
        self.end_given = False
        self._decoded = b""
        self._fault: ChunkedFramingError | None = None

    def receive(self, data: bytes) -> None:
        """Takes input, whose faults `next_event` reports."""
        self.received = self.received or bool(data)
        try:
            self._decoded += self.decoder.feed(data)
        except ChunkedFramingError as fault:
            self._fault = fault

    def next_event(self) -> Any:
        """The next event of the request; raises h11.RemoteProtocolError."""
        if self._decoded:
            event = h11.Data(data=self._decoded)
            self._decoded = b""
            return event
        if self._fault is not None:
            raise h11.RemoteProtocolError(str(self._fault))
        if not self.decoder.ended:
            return h11.NEED_DATA
        if not self.end_given:
            self.end_given = True
            return h11.EndOfMessage()
        return h11.PAUSED if self.decoder.trailing_data else h11.NEED_DATA


class RequestParser:
    """The requests of one connection, one after the other."""

    def __init__(self, max_incomplete_bytes: int) -> None:
        self._max_incomplete_bytes = max_incomplete_bytes
        self._h11 = self._new_connection()
        self._chunked: _ChunkedBody | None = None  # until the next request, if its body is chunked
        self._finished = False

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._max_incomplete_bytes)

    # The interface of h11.Connection

    @property
    def our_state(self) -> Any:
        """The state of the response."""
        return self._h11.our_state

    @property
    def their_state(self) -> Any:
        """The state of the request."""
        if self._chunked is None:
            return self._h11.their_state
        return h11.DONE if self._chunked.end_given else h11.SEND_BODY

    @property
    def they_are_waiting_for_100_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        received = self._chunked is not None and self._chunked.received
        return self._h11.they_are_waiting_for_100_continue and not received

    def receive_data(self, data: bytes) -> None:
        """Takes input, whose faults `next_event` reports."""
        if self._finished:
            return
        if self._chunked is None:
            self._h11.receive_data(data)
        else:
            self._chunked.receive(data)

    def next_event(self) -> Any:
        """The next event of the request; raises h11.RemoteProtocolError."""
        if self._finished:
            return h11.NEED_DATA
        if self._chunked is not None:
            return self._chunked.next_event()
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._begin_body(event)
        return event

    def send(self, event: Any) -> bytes | None:
        """The bytes of an event of the response."""
        data: bytes | None = self._h11.send(event)
        return data

    def start_next_cycle(self) -> None:
        """Continues with the next request; raises h11.LocalProtocolError if there is none."""
        if self._chunked is None:
            self._h11.start_next_cycle()
            return
        following = self._chunked.decoder.trailing_data
        self._chunked = None
        self._h11 = self._new_connection()
        if following:
            self._h11.receive_data(following)

    # Beyond it

    @property
    def awaits_head(self) -> bool:
        """Whether no request has begun or its head is not complete."""
        return self._h11.their_state is h11.IDLE

    @property
    def request_is_complete(self) -> bool:
        """Whether the current request has been read to its end."""
        return self.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def chunks(self) -> int:
        """The number of chunks in the input that was received last."""
        return 0 if self._chunked is None else self._chunked.decoder.chunks

    def finish(self) -> None:
        """Serves no more requests: input that is left or still comes is dropped."""
        self._finished = True

    def _begin_body(self, request: h11.Request) -> None:
        if request.http_version not in SERVED_VERSIONS:
            raise h11.RemoteProtocolError("not HTTP/1.1", error_status_hint=VERSION_NOT_SUPPORTED)
        if len(request.headers) > MAX_HEADER_LINES:
            raise h11.RemoteProtocolError("too many header lines", error_status_hint=HEADERS_TOO_LARGE)
        if any(name == b"transfer-encoding" for name, _ in request.headers):
            self._chunked = _ChunkedBody(self._max_incomplete_bytes)
            self._chunked.receive(self._h11.trailing_data[0])
