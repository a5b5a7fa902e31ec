"""Splits a text/event-stream into complete events.

Invariant: only complete events leave the splitter, in the order they came, and their ids rise; so that what a
client has is at any moment a sequence of complete events that a new run can continue.
"""

from __future__ import annotations

import attrs

from .errors import DataPlaneError, ErrorCode


@attrs.frozen
class EventBatch:
    """Complete events, as they came."""

    data: bytes
    count: int


class EventSplitter:
    """`last_id` is the id of the last event that left, or the one the client already had."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._last_event_has_no_id = False  # the last event that left carried no id
        self._buffer = b""

    @property
    def position(self) -> int | None:
        """The id behind which a new run can go on; None where the last event that left told none."""
        return None if self._last_event_has_no_id else self.last_id

    @property
    def partial(self) -> bool:
        """Bytes of an event that is not complete yet are buffered."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> EventBatch:
        """The events that `data` completes; raises DataPlaneError where ids do not rise."""
        text = self._buffer + data
        end = max(_offset_after(text, b"\n\n"), _offset_after(text, b"\r\n\r\n"))
        complete = text[:end]
        self._buffer = text[end:]
        count = 0
        for block in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
            count += self._record_block(block)
        return EventBatch(complete, count)

    def end(self) -> bytes:
        """The run ended properly: the blank lines that remain; raises DataPlaneError for part of an event."""
        if self.partial:
            raise DataPlaneError(ErrorCode.CUT, "the stream ended within an event")
        rest = self._buffer
        self._buffer = b""
        return rest

    def _record_block(self, block: bytes) -> bool:
        """Whether the block is an event; comments and other fields alone are none."""
        identity = None
        has_data = False
        for line in block.split(b"\n"):
            if line.startswith(b"id:"):
                identity = line[3:].strip()
            elif line.startswith(b"data:") or line == b"data":
                has_data = True
        if identity is None and not has_data:
            return False
        if identity is None or not identity.isdigit():
            self._last_event_has_no_id = True
            return True
        self._last_event_has_no_id = False
        self._advance_last_id(int(identity))
        return True

    def _advance_last_id(self, number: int) -> None:
        """Takes the next event's id; raises DataPlaneError where it does not rise."""
        if self.last_id is not None and number <= self.last_id:
            raise DataPlaneError(ErrorCode.EVENT_IDS_FALL, f"event {number} after {self.last_id}")
        self.last_id = number


def _offset_after(text: bytes, separator: bytes) -> int:
    """The offset behind the last separator, 0 where there is none."""
    found = text.rfind(separator)
    return found + len(separator) if found >= 0 else 0
