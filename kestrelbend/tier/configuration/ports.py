"""The interface between the operator's API and the control node, and the outcomes of its methods."""

from __future__ import annotations

import enum
from typing import Any, Protocol

from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, ReadReply


class ReportOutcome(enum.Enum):
    """The result of a backend's heartbeat or leave report."""

    ACCEPTED = "taken"  # a departure is stored on a majority; any other heartbeat is stored on this node
    MALFORMED = "malformed"  # every node rejects it
    UNAVAILABLE = "unavailable"  # this node cannot confirm it: retry on another


class RetireOutcome(enum.Enum):
    """The result of an order to retire a storage node."""

    ACCEPTED = "taken"
    UNKNOWN_NODE = "unknown node"
    TOO_FEW_LEFT = "too few left"
    UNAVAILABLE = "unavailable"


class RetireState(enum.Enum):
    """The progress of the retirement of a storage node."""

    NOT_ORDERED = "not ordered"
    RUNNING = "running"
    COMPLETE = "complete"
    UNAVAILABLE = "unavailable"


class ControlPort(Protocol):
    """The control node behind the API."""

    async def submit_order(self, order: ConfigOrder) -> ConfigOutcome:
        """Executes an order on the configuration, here or at the shard's owner."""

    async def read(self) -> ReadReply:
        """Returns the newest configuration, read at the shard's owner."""

    async def backend_heartbeat(self, identity: str, report: dict[str, Any]) -> ReportOutcome:
        """Processes a backend's heartbeat.

        A heartbeat of a ready backend is `ACCEPTED` without waiting for a majority; one of a draining backend
        once a majority of the configuration shard's voters has stored it.
        """

    async def leave(self, identity: str) -> ReportOutcome:
        """Processes a backend's report that it has left; `ACCEPTED` once all nodes that need it know it."""

    async def retire_start(self, node: str, deadline_s: float) -> RetireOutcome:
        """Starts the retirement of a storage node, which should be complete in `deadline_s` seconds."""

    async def retire_state(self, node: str) -> RetireState:
        """Returns the progress of the retirement of a storage node."""

    def status(self) -> dict[str, Any]:
        """Returns this node's view of the tier, see `membership.status`."""

    def heartbeat_url(self) -> str | None:
        """Returns the URL for a backend's later heartbeats, or None to leave the choice to the backend."""
