"""One exchange on its way to an end, as the application, the budget check and the forwarder share it."""

from __future__ import annotations

import attrs

from .attempt import Progress
from .client import Client
from .exchange import Exchange


@attrs.define(eq=False)
class Delivery:
    """A request, the client's side of its answer, and what became of its sends.

    `client` and `progress` are true at any moment, also after a cancellation: what the gateway may still
    answer, and what it settles, is decided by them.
    """

    exchange: Exchange
    client: Client
    progress: Progress
