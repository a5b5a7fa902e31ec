"""Splits a text/event-stream into complete events.

Invariant: the splitter returns only complete events, in order of arrival and with increasing ids.  What a
client has received is therefore always a sequence of complete events that a new run can continue.
"""

from __future__ import annotations

import attrs

from .errors import DataPlaneError, ErrorCode


@attrs.frozen
class EventBatch:
    """Complete events, byte for byte as the backend sent them."""

    data: bytes
    count: int


class EventSplitter:
    """Buffers incomplete events; `last_id` is the id of the last event returned, or the client's last one."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._last_event_has_no_id = False  # applies to the last event returned
        self._buffer = b""

    @property
    def position(self) -> int | None:
        """The id after which a new run can resume; None if the last event returned carried no usable id."""
        return None if self._last_event_has_no_id else self.last_id

    @property
    def partial(self) -> bool:
        """Whether the buffer holds part of an incomplete event."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> EventBatch:
        """Returns the events that `data` completes; raises DataPlaneError if ids do not increase."""
        text = self._buffer + data
        end = max(_offset_after(text, b"\n\n"), _offset_after(text, b"\r\n\r\n"))
        complete = text[:end]
        self._buffer = text[end:]
        count = 0
        for block in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
            count += self._record_block(block)
        return EventBatch(complete, count)

    def end(self) -> bytes:
        """Call when the stream has ended without an error.

        Returns the remaining blank lines; raises DataPlaneError if an incomplete event is buffered.
        """
        if self.partial:
            raise DataPlaneError(ErrorCode.CUT, "the stream ended within an event")
        rest = self._buffer
        self._buffer = b""
        return rest

    def _record_block(self, block: bytes) -> bool:
        """Returns whether the block is an event, which a block of comments and other fields alone is not."""
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
        """Records the next event's id; raises DataPlaneError if it is not greater than the last one."""
        if self.last_id is not None and number <= self.last_id:
            raise DataPlaneError(ErrorCode.EVENT_IDS_FALL, f"event {number} after {self.last_id}")
        self.last_id = number


def _offset_after(text: bytes, separator: bytes) -> int:
    """The offset after the last separator, 0 if there is none."""
    found = text.rfind(separator)
    return found + len(separator) if found >= 0 else 0
