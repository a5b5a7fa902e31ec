"""What the operator's API asks of the process that it runs in, and the outcomes that it may get."""

from __future__ import annotations

import enum
from typing import Any, Protocol

from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, ReadReply


class ReportOutcome(enum.Enum):
    """What became of a backend's report of itself."""

    ACCEPTED = "taken"  # a departure: a majority holds it; a plain heartbeat: this node alone, for certain
    MALFORMED = "malformed"  # rejected for good, wherever it is sent
    UNAVAILABLE = "unavailable"  # this node can't vouch for it: ask another


class RetireOutcome(enum.Enum):
    """What became of an order to empty a storage node."""

    ACCEPTED = "taken"
    UNKNOWN_NODE = "unknown node"
    TOO_FEW_LEFT = "too few left"
    UNAVAILABLE = "unavailable"


class RetireState(enum.Enum):
    """How far the emptying of a storage node has come."""

    NOT_ORDERED = "not ordered"
    RUNNING = "running"
    COMPLETE = "complete"
    UNAVAILABLE = "unavailable"


class ControlPort(Protocol):
    """The control node behind the API."""

    async def submit_order(self, order: ConfigOrder) -> ConfigOutcome:
        """Carries an order on the configuration out, here or at the shard's owner."""

    async def read(self) -> ReadReply:
        """The newest configuration, as its shard's owner has it."""

    async def backend_heartbeat(self, identity: str, report: dict[str, Any]) -> ReportOutcome:
        """Takes a backend's heartbeat.

        `ACCEPTED` for one that is ready without waiting for a majority; for one that drains once a majority
        of the configuration's voters holds that.
        """

    async def leave(self, identity: str) -> ReportOutcome:
        """Takes a backend's report that it is gone; `ACCEPTED` once that is known wherever it must be."""

    async def retire_start(self, node: str, deadline_s: float) -> RetireOutcome:
        """Begins to empty a storage node, which should be done `deadline_s` seconds from now."""

    async def retire_state(self, node: str) -> RetireState:
        """How far the emptying of a storage node has come."""

    def status(self) -> dict[str, Any]:
        """What is known here of the tier, see `membership.status`."""

    def heartbeat_url(self) -> str | None:
        """An address for a backend's later heartbeats, or None to leave the choice to the backend."""
