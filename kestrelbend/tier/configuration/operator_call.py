"""A call of the operator's API and the description of its handler."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs

from kestrelbend.tier.configuration.http_answers import ApiResponse


@attrs.frozen(eq=False)
class Call:
    """A call: the name in its path, the raw base version header, and the complete body."""

    name: str  # of a backend or a node; empty if the call takes no name
    base_version_header: bytes | None
    body: bytes


@attrs.frozen
class Handler:
    """The form of a call and its handler; `max_bytes` limits the body, 0: the body is read and ignored."""

    call_name: str
    method: str
    takes_name: bool
    max_bytes: int
    run: Callable[[Call], Awaitable[ApiResponse]]
