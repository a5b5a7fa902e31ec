"""The store: holds replicas of the budgets' shards, and owns some of them."""

from __future__ import annotations

from ..budgets.messages import BudgetRequest
from ..budgets.shard_service import BudgetShards
from .process import STORE_PORT, TierProcess

HAND_OVER_S = 1.0


class StoreProcess(TierProcess):
    """One storage machine's process."""

    role = "store"
    port_offset = STORE_PORT
    holds_replicas = True

    def __init__(self, settings, settings_path, environment=None):
        self.budgets = BudgetShards()
        super().__init__(settings, settings_path, environment)
        self.budgets.attach(self.host, self.now)

    def machine_for(self, shard):
        """Budget tables are all that a store holds."""
        return self.budgets.machine_for(shard)

    def on_applied(self, shard):
        """Nothing waits for it but the proposers."""

    def on_message(self, connection, message, sequence):
        """Requests on budgets come from gateways."""
        if isinstance(message, BudgetRequest):
            self.budgets.request(message, lambda reply: connection.reply(sequence, reply))

    async def stop(self):
        """Hands over what is owned here."""
        await self.hand_over(HAND_OVER_S)
