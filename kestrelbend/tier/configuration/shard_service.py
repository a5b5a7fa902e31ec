"""Orders on the configuration, at whichever control node they arrive.

The shard's owner decides.  A rejection is given only after the owner has confirmed that it still is the
owner, since a former one would reject by an old version; an acceptance is a committed entry.

The life of an order (`ConfigurationService.submit`, `decide`):

    received      at any control node (`operator_api`)
       |          forwarded to the owner that this node's replica knows, again every `ATTEMPT_INTERVAL_S`;
       |          no clear answer within `ANSWER_TIMEOUT_S`: UNDETERMINED, the caller may ask any node again
       v
    checked       by the owner's state (`state.check`), large documents off the event loop
       |          changes nothing: rejected, or accepted before; said once the owner is confirmed
       v
    proposed      as a checked entry of the shard's log, valid on its base version alone
       |          ownership or time lost: UNDETERMINED, since the entry may be committed, now or later
       v
    committed     on a majority's disks, and applied (`state.apply`); another order came first: rejected by
       |          the entry itself
       v
    acknowledged  200 to the caller, once the gateways subscribed here serve by it (`stream`), or their time
                  is over

Invariant: an order is never both rejected and in force, however often it is sent and wherever.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from ..errors import TierError
from ..membership.placement import CONFIGURATION_SHARD, address_of
from ..protocol.codec import decode, encode
from .document_orders import checked_entry
from .messages import UNDETERMINED, ConfigOrder, ConfigOutcome, OrderKind, ReadReply, ReadRequest
from .shard_ports import HostedShards, OwnerConnections, RunOffLoop, run_here
from .state import ConfigurationState
from .statuses import OK

if TYPE_CHECKING:
    from ..replication.replica import Replica

ANSWER_TIMEOUT_S = 0.9  # callers go on to another node after a second
FORWARD_TIMEOUT_S = 0.85  # of the owner for an order that another node forwarded, and of that node
MIN_FORWARD_TIMEOUT_S = 0.01
ATTEMPT_INTERVAL_S = 0.03
NOT_OWNER = ConfigOutcome(UNDETERMINED, 0, "not the owner")
NOT_IN_TIME = ConfigOutcome(UNDETERMINED, 0, "not committed in time")
NOT_READ = ReadReply(False, 0, b"")
OPERATORS_KINDS = (OrderKind.PUT, OrderKind.PATCH)
LARGE_BYTES = 64 * 1024  # of an order and the document that it changes
MAX_EVALUATIONS = 3  # of one order, where other changes come between


class ShardNotOpen(TierError):
    """The configuration's replica has not been opened in this process."""

    code = "configuration.not_open"

    def __init__(self) -> None:
        super().__init__("configuration's shard: no replica here yet: ask `is_open` first")


@attrs.frozen
class SavedState:
    """A snapshot that was made at once."""

    state: bytes

    def advance(self) -> bytes:
        """The complete state."""
        return self.state


class ConfigurationStateMachine:
    """The configuration's state as a shard's state machine."""

    def __init__(self) -> None:
        self.state = ConfigurationState()

    def apply(self, command: bytes) -> ConfigOutcome:
        """Applies one order."""
        order: ConfigOrder = decode(command)
        return self.state.apply(order)

    def begin_snapshot(self) -> SavedState:
        """The state as it is now; it takes milliseconds, since the document is kept as bytes."""
        return SavedState(self.state.snapshot())

    def snapshot(self) -> bytes:
        """The complete state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replaces the state; raises `snapshot.SnapshotError` and leaves it where that can't be read."""
        self.state.restore(state)


class ConfigurationService:
    """Carries orders to the owner and decides them where this process is the owner.

    `now` gives seconds of a steady clock; `acknowledged(version, within)` waits until the gateways subscribed
    here serve by a version, `within` seconds at most.
    """

    def __init__(
        self,
        host: HostedShards,
        connections: OwnerConnections,
        now: Callable[[], float],
        acknowledged: Callable[[int, float], Awaitable[None]],
        run_off_loop: RunOffLoop = run_here,
    ) -> None:
        self._host = host
        self._connections = connections
        self._now = now
        self._acknowledged = acknowledged
        self._run_off_loop = run_off_loop
        self.owner_check: Callable[[ConfigOrder], ConfigOutcome | None] = lambda order: None

    @property
    def is_open(self) -> bool:
        """Whether the shard's replica has been opened here."""
        return self._host.replica(CONFIGURATION_SHARD) is not None

    @property
    def state(self) -> ConfigurationState:
        """The state as far as this replica has applied it; raises `ShardNotOpen`."""
        machine: ConfigurationStateMachine | None = self._host.state_machine(CONFIGURATION_SHARD)
        if machine is None:
            raise ShardNotOpen
        return machine.state

    @property
    def replica(self) -> Replica:
        """The replica here; raises `ShardNotOpen`."""
        replica = self._host.replica(CONFIGURATION_SHARD)
        if replica is None:
            raise ShardNotOpen
        return replica

    async def submit(self, order: ConfigOrder) -> ConfigOutcome:
        """The outcome; `UNDETERMINED` where no owner said anything clear in time."""
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

    async def decide(self, order: ConfigOrder, within: float = float("inf")) -> ConfigOutcome:
        """As the owner: accept by a committed entry, reject after a confirmation or by such an entry.

        An operator's order that is committed is acknowledged once the gateways subscribed here serve by it,
        or the time (`within`, seconds) is over.
        """
        deadline = self._now() + within
        await self._evaluate_off_loop(order)
        rejection = self._rejection(order)
        if rejection is not None:
            if not await self._confirmed(deadline - self._now()):
                return NOT_OWNER
            rejection = self._rejection(order)
        if rejection is not None:
            return rejection
        outcome = await self._propose(checked_entry(order), deadline - self._now())
        if outcome.status == OK and order.kind in OPERATORS_KINDS:
            await self._acknowledged(outcome.version, deadline - self._now())
        return outcome

    async def _evaluate_off_loop(self, order: ConfigOrder) -> None:
        """Has a large order evaluated off the loop: an owner that stands still loses its ownership."""
        state = self.state
        if order.kind not in OPERATORS_KINDS or len(order.body) + len(state.body) < LARGE_BYTES:
            return
        for _ in range(MAX_EVALUATIONS):
            if not state.documents.needs_evaluation(order):
                return
            version = state.version
            result = await self._run_off_loop(state.documents.evaluation(order))
            state.documents.keep_evaluation(order, version, result)

    def _rejection(self, order: ConfigOrder) -> ConfigOutcome | None:
        """The answer to an order that changes nothing, by the state or by what the owner alone can tell."""
        return self.state.check(order) or self.owner_check(order)

    async def _propose(self, order: ConfigOrder, within: float) -> ConfigOutcome:
        """The committed entry's outcome; `UNDETERMINED` where it may be committed, now or later, or not."""
        future: asyncio.Future[ConfigOutcome | None] = asyncio.get_running_loop().create_future()

        def done(outcome: ConfigOutcome | None) -> None:
            if not future.done():
                future.set_result(outcome)

        if not self._host.propose(CONFIGURATION_SHARD, encode(order), done, self._now()):
            return NOT_OWNER
        self._host.flush(CONFIGURATION_SHARD)
        try:
            async with asyncio.timeout(None if within == float("inf") else max(0.0, within)):
                return await future or NOT_OWNER
        except TimeoutError:
            return NOT_IN_TIME

    async def _confirmed(self, within: float) -> bool:
        """Whether a majority has answered this owner since the call, in `within` seconds."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

        def done(is_confirmed: bool) -> None:
            if not future.done():
                future.set_result(is_confirmed)

        if not self._host.confirm_read(CONFIGURATION_SHARD, done, self._now()):
            return False
        try:
            async with asyncio.timeout(max(0.0, min(within, ANSWER_TIMEOUT_S))):
                return await future
        except TimeoutError:
            return False

    async def read(self) -> ReadReply:
        """The newest configuration, as the owner has it."""
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
        return reply if isinstance(reply, ReadReply) else NOT_READ

    async def read_as_owner(self, within: float = ANSWER_TIMEOUT_S) -> ReadReply:
        """As the owner: the state, once confirmed within so many seconds to be the newest."""
        if not await self._confirmed(within):
            return NOT_READ
        return ReadReply(True, self.state.version, self.state.body)

    async def _ask_owner(self, message: ConfigOrder | ReadRequest, deadline: float) -> object | None:
        """What the owner that this replica knows replies; None without an owner, a connection or a reply."""
        owner = self.replica.leader
        connection = self._connections.to(address_of(owner)) if owner else None
        if connection is None:
            return None
        timeout = max(MIN_FORWARD_TIMEOUT_S, min(FORWARD_TIMEOUT_S, deadline - self._now()))
        reply: object | None = await connection.request(message, timeout)
        return reply
