"""The store: holds replicas of the budgets' shards, and owns some of them.

Start: the disk is read, the replicas on it are opened, others as the placements name this store.
Stop: every shard owned here is handed over first, so that gateways hardly wait.
"""

from __future__ import annotations

from typing import Any

from ..budgets.messages import BudgetRequest
from ..budgets.shard_service import BudgetShards
from ..protocol.peer_connection import PeerConnection
from ..replication.interfaces import StateMachine
from ..replication.messages import ShardId
from .addresses import STORE_PORT
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

    def machine_for(self, shard: ShardId) -> StateMachine:
        """Budget tables are all that a store holds."""
        return self.budgets.create_state_machine(shard)

    def on_applied(self, shard: ShardId) -> None:
        """Nothing waits for it but the proposers."""

    def on_message(self, connection: PeerConnection, message: Any, sequence: int) -> None:
        """Requests on budgets come from gateways."""
        if isinstance(message, BudgetRequest):
            self.budgets.request(message, lambda reply: connection.reply(sequence, reply))

    async def stop(self) -> None:
        """Hands over what is owned here."""
        await self.shards.hand_over(HAND_OVER_TIMEOUT_S)
