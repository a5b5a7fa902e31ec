"""Processing of orders on the configuration at any control node.

The shard's owner decides on each order.  It rejects an order only after a majority has confirmed that it is
still the owner, because a former owner would reject orders based on an old version.  An order is accepted by
a committed log entry.

States of an order (`ConfigurationService.submit`, `decide`):

    received      at any control node (`operator_api`)
       |          forwarded to the owner that this node's replica knows, retried every `ATTEMPT_INTERVAL_S`;
       |          no final outcome within `ANSWER_TIMEOUT_S`: UNDETERMINED, the caller may retry on any node
       v
    checked       against the owner's state (`state.check`), large documents off the event loop
       |          changes nothing: rejected or already accepted; replied once the owner is confirmed
       v
    proposed      as a checked entry of the shard's log, valid only on its base version
       |          ownership lost or timeout: UNDETERMINED, since the entry may be committed, now or later
       v
    committed     on a majority's disks, and applied (`state.apply`); if another order was committed first,
       |          applying the entry rejects the order
       v
    acknowledged  200 to the caller, once the gateways subscribed here use the version (`stream`), or their
                  timeout has expired

Invariant: an order is never both rejected and applied, however often and at whichever nodes it is sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ..errors import TierError
from ..membership.placement import CONFIGURATION_SHARD, address_of
from ..protocol.codec import encode
from .document_orders import checked_entry
from .messages import UNDETERMINED, ConfigOrder, ConfigOutcome, OrderKind, ReadReply, ReadRequest
from .shard_ports import HostedShards, OwnerConnections, RunOffLoop, run_inline
from .state import ConfigurationState
from .state_machine import ConfigurationStateMachine
from .statuses import OK

if TYPE_CHECKING:
    from ..replication.replica import Replica

ANSWER_TIMEOUT_S = 0.9  # callers try another node after a second
FORWARD_TIMEOUT_S = 0.85  # for a forwarded order, both at the owner and at the forwarding node
MIN_FORWARD_TIMEOUT_S = 0.01
ATTEMPT_INTERVAL_S = 0.03
NOT_OWNER = ConfigOutcome(UNDETERMINED, 0, "not the owner")
NOT_COMMITTED_IN_TIME = ConfigOutcome(UNDETERMINED, 0, "not committed in time")
READ_UNAVAILABLE = ReadReply(False, 0, b"")
OPERATOR_KINDS = (OrderKind.PUT, OrderKind.PATCH)
LARGE_ORDER_BYTES = 64 * 1024  # total size of an order and the document that it changes
MAX_EVALUATIONS = 3  # of one order, if other changes are applied in between


class ShardNotOpen(TierError):
    """The replica of the configuration shard has not been opened in this process."""

    code = "configuration.not_open"

    def __init__(self) -> None:
        super().__init__("configuration shard: no replica is open in this process: check `is_open` first")


class ConfigurationService:
    """Forwards orders to the owner, and decides on them if this process is the owner.

    `now` returns seconds of a monotonic clock; `wait_for_acks(version, timeout_s)` waits until the gateways
    subscribed here use a version, for at most `timeout_s` seconds.
    """

    def __init__(
        self,
        host: HostedShards,
        connections: OwnerConnections,
        now: Callable[[], float],
        wait_for_acks: Callable[[int, float], Awaitable[None]],
        run_off_loop: RunOffLoop = run_inline,
    ) -> None:
        self._host = host
        self._connections = connections
        self._now = now
        self._wait_for_acks = wait_for_acks
        self._run_off_loop = run_off_loop
        self.owner_check: Callable[[ConfigOrder], ConfigOutcome | None] = lambda order: None

    @property
    def is_open(self) -> bool:
        """Whether the shard's replica is open in this process."""
        return self._host.replica(CONFIGURATION_SHARD) is not None

    @property
    def state(self) -> ConfigurationState:
        """The state that the local replica has applied; raises `ShardNotOpen`."""
        machine: ConfigurationStateMachine | None = self._host.state_machine(CONFIGURATION_SHARD)
        if machine is None:
            raise ShardNotOpen
        return machine.state

    @property
    def replica(self) -> Replica:
        """The local replica; raises `ShardNotOpen`."""
        replica = self._host.replica(CONFIGURATION_SHARD)
        if replica is None:
            raise ShardNotOpen
        return replica

    async def submit(self, order: ConfigOrder) -> ConfigOutcome:
        """Returns the order's outcome; `UNDETERMINED` if no owner returned a final one in time."""
        deadline = self._now() + ANSWER_TIMEOUT_S
        while True:
            outcome = await self._attempt(order, deadline)
            if outcome.status != UNDETERMINED or self._now() + ATTEMPT_INTERVAL_S >= deadline:
                return outcome
            await asyncio.sleep(ATTEMPT_INTERVAL_S)

    async def _attempt(self, order: ConfigOrder, deadline: float) -> ConfigOutcome:
        if self.replica.is_leader:
            return await self.decide(order, deadline - self._now())
        reply = await self._ask_owner(order, deadline)
        return reply if isinstance(reply, ConfigOutcome) else NOT_OWNER

    async def decide(self, order: ConfigOrder, timeout_s: float = float("inf")) -> ConfigOutcome:
        """Decides on an order as the owner.

        An acceptance needs a committed entry; a rejection needs a confirmation of the ownership or such an
        entry.  An operator's committed order is acknowledged once the gateways subscribed here use it, or
        after `timeout_s` seconds.
        """
        deadline = self._now() + timeout_s
        await self._evaluate_off_loop(order)
        final_outcome = self._final_outcome(order)
        if final_outcome is not None:
            if not await self._confirmed(deadline - self._now()):
                return NOT_OWNER
            final_outcome = self._final_outcome(order)
        if final_outcome is not None:
            return final_outcome
        outcome = await self._propose(checked_entry(order), deadline - self._now())
        if outcome.status == OK and order.kind in OPERATOR_KINDS:
            await self._wait_for_acks(outcome.version, deadline - self._now())
        return outcome

    async def _evaluate_off_loop(self, order: ConfigOrder) -> None:
        """Evaluates a large order off the event loop: an owner whose loop is blocked loses its ownership."""
        state = self.state
        if order.kind not in OPERATOR_KINDS or len(order.body) + len(state.body) < LARGE_ORDER_BYTES:
            return
        for _ in range(MAX_EVALUATIONS):
            if not state.documents.needs_evaluation(order):
                return
            version = state.version
            result = await self._run_off_loop(state.documents.evaluation(order))
            state.documents.cache_evaluation(order, version, result)

    def _final_outcome(self, order: ConfigOrder) -> ConfigOutcome | None:
        """Returns the outcome of an order that changes nothing, from the state or the owner's own check."""
        return self.state.check(order) or self.owner_check(order)

    async def _propose(self, order: ConfigOrder, timeout_s: float) -> ConfigOutcome:
        """Returns the outcome of the committed entry; `UNDETERMINED` if it may be committed now or later."""
        future: asyncio.Future[ConfigOutcome | None] = asyncio.get_running_loop().create_future()

        def set_result(outcome: ConfigOutcome | None) -> None:
            if not future.done():
                future.set_result(outcome)

        if not self._host.propose(CONFIGURATION_SHARD, encode(order), set_result, self._now()):
            return NOT_OWNER
        self._host.flush(CONFIGURATION_SHARD)
        try:
            async with asyncio.timeout(None if timeout_s == float("inf") else max(0.0, timeout_s)):
                return await future or NOT_OWNER
        except TimeoutError:
            return NOT_COMMITTED_IN_TIME

    async def _confirmed(self, timeout_s: float) -> bool:
        """Whether a majority confirms this owner after the call, within `timeout_s` seconds."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

        def set_result(is_confirmed: bool) -> None:
            if not future.done():
                future.set_result(is_confirmed)

        if not self._host.confirm_read(CONFIGURATION_SHARD, set_result, self._now()):
            return False
        try:
            async with asyncio.timeout(max(0.0, min(timeout_s, ANSWER_TIMEOUT_S))):
                return await future
        except TimeoutError:
            return False

    async def read(self) -> ReadReply:
        """Returns the newest configuration, read at the owner."""
        deadline = self._now() + ANSWER_TIMEOUT_S
        while True:
            reply = await self._attempt_read(deadline)
            if reply.owner or self._now() + ATTEMPT_INTERVAL_S >= deadline:
                return reply
            await asyncio.sleep(ATTEMPT_INTERVAL_S)

    async def _attempt_read(self, deadline: float) -> ReadReply:
        if self.replica.is_leader:
            return await self.read_as_owner(deadline - self._now())
        reply = await self._ask_owner(ReadRequest(CONFIGURATION_SHARD), deadline)
        return reply if isinstance(reply, ReadReply) else READ_UNAVAILABLE

    async def read_as_owner(self, timeout_s: float = ANSWER_TIMEOUT_S) -> ReadReply:
        """Returns the local state if it is confirmed within `timeout_s` seconds to be the newest."""
        if not await self._confirmed(timeout_s):
            return READ_UNAVAILABLE
        return ReadReply(True, self.state.version, self.state.body)

    async def _ask_owner(self, message: ConfigOrder | ReadRequest, deadline: float) -> object | None:
        """Returns the reply of the owner that this replica knows; None without owner, connection or reply."""
        owner = self.replica.leader
        connection = self._connections.to(address_of(owner)) if owner else None
        if connection is None:
            return None
        timeout = max(MIN_FORWARD_TIMEOUT_S, min(FORWARD_TIMEOUT_S, deadline - self._now()))
        reply: object | None = await connection.request(message, timeout)
        return reply
