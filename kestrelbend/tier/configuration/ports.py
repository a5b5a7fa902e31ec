"""What the operator's API asks of the process that it runs in."""

from __future__ import annotations

from typing import Any, Protocol

from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, ReadReply


class ControlPort(Protocol):
    """The control node behind the API.  Statuses are those of the API; 0: can't be said now, ask again."""

    async def order(self, order: ConfigOrder) -> ConfigOutcome:
        """Carries an order on the configuration out, here or at the shard's owner."""

    async def read(self) -> ReadReply:
        """The newest configuration, as its shard's owner has it."""

    async def beat(self, identity: str, report: dict[str, Any]) -> int:
        """Takes a backend's heartbeat; 200 once it is safe to acknowledge it."""

    async def leave(self, identity: str) -> int:
        """Takes a backend's word that it is gone."""

    async def retire_start(self, node: str, deadline_s: float) -> int:
        """Begins to empty a storage node: 200, 404 (unknown), 409 (too few would remain) or 0."""

    async def retire_state(self, node: str) -> str | None:
        """`running` or `complete`; None: nobody asked for it; raises `Unavailable` if it isn't known."""

    def status(self) -> dict[str, Any]:
        """What is known here of the whole tier, see `membership.status`."""

    def beat_url(self) -> str | None:
        """An address for a backend's later heartbeats, or None to leave the choice to the backend."""


class Unavailable(Exception):
    """The answer isn't known here now; the caller may ask again or ask elsewhere."""

    code = "unavailable"
