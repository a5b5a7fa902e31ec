"""The typed errors of the simulator's adapter; each has a `code` that does not change."""

from __future__ import annotations

from ..settings.platform import Malformed


class MalformedLine(Malformed):
    """A line of the simulator that is not in the wire's form, or a stream that ends too early.

    The text names the message and what is wrong with it.  The adapter ends by it: after such a line it can't
    be known where the next message begins.
    """

    code = "simulator_adapter.malformed_line"
