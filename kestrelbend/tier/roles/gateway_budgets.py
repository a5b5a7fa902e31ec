"""A gateway's side of the budgets: which store is asked, and what the data plane gets (`ports.Budget`)."""

from __future__ import annotations

from collections.abc import Callable

from ..budgets.client import BudgetClient
from ..budgets.messages import BudgetReply, BudgetRequest, Reserve, ReserveOutcome, Settlement, Verdict
from ..budgets.names import ReservationNameGenerator
from ..errors import TierError
from ..membership.directory import DirectoryView
from ..membership.placement import BUDGET_SHARD_COUNT, address_of, budget_shards
from ..protocol.peer_connections import PeerConnections
from .gateway_contact import GatewayContact, Standing

REPLY_TIMEOUT_S = 0.35  # longer than `ClientSettings.attempt_timeout_s`, which ends the wait first
SETTLEMENTS_TIMEOUT_S = 0.8  # at the stop, for pending settlements


class BudgetsNotPlacedError(TierError):
    """A settlement before budgets could be asked for: a fault of this process, not of a request."""

    code = "roles.budgets_not_placed"


class GatewayBudgets:
    """The budgets as the directory places them; `client` is None until every shard is placed."""

    def __init__(
        self,
        names: ReservationNameGenerator,
        directory: DirectoryView,
        connections: PeerConnections,
        contact: GatewayContact,
        now: Callable[[], float],
    ) -> None:
        self._names = names
        self._directory = directory
        self._connections = connections
        self._contact = contact
        self._now = now
        self.client: BudgetClient | None = None

    # Owners

    def follow_directory(self) -> None:
        """Begins once every shard is placed: a program always meets the same shard."""
        placed = self._directory.placements
        if self.client is None and all(shard in placed for shard in budget_shards()):
            self.client = BudgetClient(
                self._send, self.addresses, BUDGET_SHARD_COUNT, owner_reachable=self._may_wait
            )

    def addresses(self, shard: str) -> list[str]:
        """Who may own the shard: the owner last known first, then the voters in the order of ownership."""
        owner = self._directory.owner_of(shard)
        voters = self._directory.voters_of(shard)
        ordered = ([owner] if owner else []) + [voter for voter in voters if voter != owner]
        return [address_of(voter) for voter in ordered]

    async def _send(self, address: str, request: BudgetRequest) -> BudgetReply | None:
        connection = self._connections.to(address)
        if connection is None:
            return None
        requested_at = self._now()
        reply = await connection.request(request, REPLY_TIMEOUT_S)
        if not isinstance(reply, BudgetReply):
            return None
        self._contact.replied(address, request.shard, reply.owner, requested_at)
        return reply

    def _may_wait(self, shard: str) -> bool:
        """Whether an owner of the shard answers, or soon will."""
        return self._contact.shard(shard, self._now()) is not Standing.LOST

    def fail_unreachable(self, now: float) -> None:
        """Nobody waits for a shard whose owners can't be waited for."""
        if self.client is not None:
            for shard in self._contact.lost_shards(now):
                self.client.fail_pending(shard)

    async def close(self) -> None:
        """Brings the pending settlements to their owners, for a bounded time."""
        if self.client is not None:
            await self.client.close(SETTLEMENTS_TIMEOUT_S)

    # The data plane's port, see `dataplane.ports.Budget`

    def reservation_name(self, request_id: str) -> str:
        """A name that no other attempt has, even where a client gives two requests one id."""
        return self._names.next()

    async def reserve(self, service: str, command: Reserve) -> ReserveOutcome:
        """A turn's tokens at the owner of its program's shard."""
        if self.client is None:
            return ReserveOutcome(command.reservation, Verdict.OWNER_UNAVAILABLE, 0, 0, 0)
        return await self.client.reserve(command)

    def settle(self, service: str, command: Settlement) -> None:
        """How a turn ended; raises `BudgetsNotPlacedError` where none can have begun."""
        if self.client is None:
            raise BudgetsNotPlacedError(f"{command.reservation}: settled before any shard was placed")
        self.client.settle(command)

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        """Whether the last total seen already refuses the turn."""
        return self.client is not None and self.client.spent_locally(program, max_tokens, budget)
