"""Splits a text/event-stream into whole events.

Invariant: only whole events leave the splitter, in the order they came, and their ids rise; so that what a
client holds is at any moment a whole number of events that a new run can continue.
"""

from __future__ import annotations

import attrs

from .errors import DataPlaneError, ErrorCode


@attrs.frozen
class Events:
    """Whole events, as they came."""

    data: bytes
    count: int


class EventSplitter:
    """`last_id` is the id of the last event that left, or the one the client already had."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Bytes of an event that is not whole yet are held."""
        return bool(self._rest.strip(b"\r\n"))

    def feed(self, data: bytes) -> Events:
        """The events that `data` makes whole; raises DataPlaneError where ids do not rise."""
        text = self._rest + data
        end = max(_end_of(text, b"\n\n"), _end_of(text, b"\r\n\r\n"))
        whole, self._rest = text[:end], text[end:]
        count = 0
        for event in whole.replace(b"\r\n", b"\n").split(b"\n\n"):
            if event.strip(b"\n"):
                count += 1
                self._note(event)
        return Events(whole, count)

    def restart(self) -> None:
        """A new run continues after `last_id`; what was held of the old one is dropped."""
        self._rest = b""

    def end(self) -> None:
        """The run ended properly; raises DataPlaneError where part of an event is left."""
        if self.partial:
            raise DataPlaneError(ErrorCode.CUT, "the stream ended within an event")

    def _note(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._rise(line[3:].strip())

    def _rise(self, value: bytes) -> None:
        if not value.isdigit():
            return
        number = int(value)
        if self.last_id is not None and number <= self.last_id:
            raise DataPlaneError(ErrorCode.EVENT_IDS_FALL, f"event {number} after {self.last_id}")
        self.last_id = number


def _end_of(text: bytes, mark: bytes) -> int:
    found = text.rfind(mark)
    return found + len(mark) if found >= 0 else 0
