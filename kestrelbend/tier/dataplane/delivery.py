"""The state of one exchange, shared by the application, the budget check and the forwarder."""

from __future__ import annotations

import attrs

from .attempt import Progress
from .client import Client
from .exchange import Exchange


@attrs.define(eq=False)
class Delivery:
    """A request, the response to its client, and the state of its sends to backends.

    `client` and `progress` are accurate at any time, also after a cancellation.  They determine which
    response the gateway may still give and what it settles with the budget.
    """

    exchange: Exchange
    client: Client
    progress: Progress
