"""What a control node does for the operator's API, see `configuration.ports.ControlPort`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from ..configuration.messages import ConfigOrder, ConfigOutcome, ReadReply
from ..configuration.ports import ReportOutcome, RetireOutcome, RetireState
from ..configuration.shard_service import ConfigurationService
from ..control.backend_reports import BackendReports
from ..control.retirement import Retirement
from ..control.shard_placer import ShardPlacer
from ..discovery.registry import BackendRegistry
from ..membership.messages import Member
from ..membership.owner_contact import in_contact
from ..membership.status import DesiredShards, status
from ..membership.table import MemberTable


@attrs.define(eq=False)
class ControlOperations:
    """The calls of the API, carried out by the parts of one control node."""

    member: Member
    configuration: ConfigurationService
    members: MemberTable
    registry: BackendRegistry
    backend_reports: BackendReports
    retirement: Retirement
    placer: ShardPlacer
    now: Callable[[], float]

    async def submit_order(self, order: ConfigOrder) -> ConfigOutcome:
        """An order on the configuration, here or at the shard's owner."""
        return await self.configuration.submit(order)

    async def read(self) -> ReadReply:
        """The newest configuration."""
        return await self.configuration.read()

    async def backend_heartbeat(self, identity: str, report: dict[str, Any]) -> ReportOutcome:
        """A backend's heartbeat."""
        return await self.backend_reports.heartbeat(identity, report)

    async def leave(self, identity: str) -> ReportOutcome:
        """A backend has ended."""
        return await self.backend_reports.leave(identity)

    async def retire_start(self, node: str, deadline_s: float) -> RetireOutcome:
        """Begins to empty a store."""
        return await self.retirement.start(node)

    async def retire_state(self, node: str) -> RetireState:
        """How far the emptying of a store has come."""
        return await self.retirement.state(node)

    def status(self) -> dict[str, Any]:
        """What is known here of the whole tier."""
        now = self.now()
        state = self.configuration.state
        return status(
            self.member,
            in_contact(self.configuration.replica, now),
            state.version,
            self.members,
            DesiredShards(
                state.placements, state.retiring, self.placer.group_size(now), self.placer.spread(now)
            ),
            self.registry.all(),
            now,
        )

    def heartbeat_url(self) -> str | None:
        """Backends go on calling whom they called."""
        return None
