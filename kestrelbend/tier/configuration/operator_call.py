"""One call of the operator's API, as its handler needs it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs

from kestrelbend.tier.configuration.http_answers import ApiResponse


@attrs.frozen(eq=False)
class Call:
    """One call: the name in its path, its base version's header as it came, and its complete body."""

    name: str  # of a backend or a node; empty where the call takes none
    base: bytes | None
    body: bytes


@attrs.frozen
class Handler:
    """How one call is made, and what answers it; `max_bytes` is for the body, 0: it is read and ignored."""

    call: str
    method: str
    takes_name: bool
    max_bytes: int
    run: Callable[[Call], Awaitable[ApiResponse]]
