"""Exceptions of the simulator adapter, each with a stable `code`."""

from __future__ import annotations

from ..settings.platform import Malformed


class MalformedLine(Malformed):
    """A line from the simulator that violates the protocol, or a stream that ends too early.

    The text names the message and the violation.  The adapter exits on it, because after such a line the
    start of the next message is unknown.
    """

    code = "simulator_adapter.malformed_line"
