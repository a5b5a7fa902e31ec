"""The store: holds replicas of the budgets' shards, and owns some of them.

Where there are too few control nodes, it also holds a replica of the configuration's shard, which it doesn't
serve (`configuration_voter`).

Start: the disk is read, the replicas on it are opened, others as the placements name this store.
Stop: every shard owned here is handed over first, so that gateways hardly wait.
"""

from __future__ import annotations

from typing import Any, cast

from ..budgets.messages import BudgetRequest
from ..budgets.shard_service import BudgetShards
from ..configuration.messages import ConfigOrder, ReadRequest
from ..configuration.shard_service import NOT_OWNER, READ_UNAVAILABLE
from ..configuration.state_machine import ConfigurationStateMachine
from ..membership.placement import CONFIGURATION_SHARD
from ..protocol.peer_connection import PeerConnection
from ..replication.host import ShardHost
from ..replication.interfaces import StateMachine
from ..replication.messages import ShardId
from .addresses import STORE_PORT
from .configuration_voter import ConfigurationVoter
from .environment import Environment
from .process import TierProcess
from .settings import Settings

HAND_OVER_TIMEOUT_S = 1.0


class StoreProcess(TierProcess):
    """One storage machine's process."""

    role = "store"
    port_offset = STORE_PORT
    holds_replicas = True

    def __init__(
        self, settings: Settings, settings_path: str, environment: Environment | None = None
    ) -> None:
        self.budgets = BudgetShards()  # before the disk is read: it makes the state machines
        super().__init__(settings, settings_path, environment)
        self.budgets.attach(self.host, self.now)
        self._configuration_voter = ConfigurationVoter(
            cast(ShardHost, self.host), self.directory, lambda: self.settings.tolerance, self.now
        )

    def machine_for(self, shard: ShardId) -> StateMachine:
        """A budget table, or the configuration's state where control nodes are too few."""
        if shard == CONFIGURATION_SHARD:
            return ConfigurationStateMachine()
        return self.budgets.create_state_machine(shard)

    def hosts_shard(self, shard: ShardId) -> bool:
        """Stores may hold the configuration, too."""
        return shard == CONFIGURATION_SHARD or super().hosts_shard(shard)

    def open_replicas(self) -> None:
        """Opens the replicas that the disk holds."""
        self._configuration_voter.open_stored()
        super().open_replicas()

    def on_applied(self, shard: ShardId) -> None:
        """Nothing waits for it but the proposers."""

    def on_message(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        """Requests on budgets come from gateways; orders from control nodes, if a replica here leads."""
        match message:
            case BudgetRequest():
                self.budgets.request(message, lambda reply: connection.reply(sequence, reply))
            case ConfigOrder():
                connection.reply(sequence, NOT_OWNER)
            case ReadRequest():
                connection.reply(sequence, READ_UNAVAILABLE)

    def on_tick(self, now: float) -> None:
        """Passes the configuration on, if its shard is owned here."""
        self._configuration_voter.tick(now)

    async def stop(self) -> None:
        """Hands over what is owned here."""
        await self.shards.hand_over(HAND_OVER_TIMEOUT_S)
