"""Orders on the configuration, at whichever control node they arrive.

The shard's owner decides.  A rejection is given only after the owner has confirmed that it still is the
owner, since a former one would reject by an old version; an acceptance is a committed entry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from ..protocol.codec import decode, encode
from ..membership.placement import CONFIGURATION_SHARD, address_of
from .messages import UNDETERMINED, ConfigOrder, ConfigOutcome, OrderKind, ReadReply, ReadRequest
from .document_orders import checked_entry
from .state import ConfigurationState

ANSWER_TIMEOUT_S = 0.9  # callers go on to another node after a second
FORWARD_TIMEOUT_S = 0.85
ATTEMPT_INTERVAL_S = 0.03
OK = 200
NOT_OWNER = ConfigOutcome(UNDETERMINED, 0, "not the owner")
NOT_IN_TIME = ConfigOutcome(UNDETERMINED, 0, "not committed in time")
NOT_READ = ReadReply(False, 0, b"")
OPERATORS_KINDS = (OrderKind.PUT, OrderKind.PATCH)
LARGE_BYTES = 64 * 1024  # of an order and the document that it changes
MAX_EVALUATIONS = 3  # of one order, where other changes come between

RunAside = Callable[[Callable[[], object]], Awaitable[object]]
"""Runs a function that touches nothing of the caller's beside the event loop."""


async def run_here(function: Callable[[], object]) -> object:
    """Runs a function on the spot."""
    return function()


@attrs.frozen
class SavedState:
    """A snapshot that was made at once."""

    state: bytes

    def advance(self) -> bytes:
        """The whole state."""
        return self.state


class ConfigurationMachine:
    """The configuration's state as a shard's state machine."""

    def __init__(self):
        self.state = ConfigurationState()

    def apply(self, command: bytes) -> ConfigOutcome:
        """Applies one order."""
        return self.state.apply(decode(command))

    def begin_snapshot(self) -> SavedState:
        """The state as it is now; it takes milliseconds, since the document is kept as bytes."""
        return SavedState(self.state.snapshot())

    def snapshot(self) -> bytes:
        """The whole state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replaces the state."""
        self.state.restore(state)


class ConfigurationService:
    """Carries orders to the owner and decides them where this process is the owner."""

    def __init__(
        self,
        host,
        links,
        now: Callable[[], float],
        accepted: Callable[[int, float], Awaitable[None]],
        run_aside: RunAside = run_here,
    ):
        self._host = host
        self._links = links
        self._now = now
        self._accepted = accepted
        self._run_aside = run_aside
        self.owner_check: Callable[[ConfigOrder], ConfigOutcome | None] = lambda order: None

    @property
    def is_open(self) -> bool:
        """Whether the shard's replica has been opened here."""
        return self._host.replica(CONFIGURATION_SHARD) is not None

    @property
    def state(self) -> ConfigurationState:
        """The state as far as this replica has applied it."""
        return self._host.machine(CONFIGURATION_SHARD).state

    @property
    def replica(self):
        """The replica here."""
        return self._host.replica(CONFIGURATION_SHARD)

    async def order(self, order: ConfigOrder) -> ConfigOutcome:
        """The outcome; `UNDETERMINED` where no owner said anything clear in time."""
        ends = self._now() + ANSWER_TIMEOUT_S
        while True:
            outcome = await self._attempt(order, ends)
            if outcome.status != UNDETERMINED or self._now() + ATTEMPT_INTERVAL_S >= ends:
                return outcome
            await asyncio.sleep(ATTEMPT_INTERVAL_S)

    async def _attempt(self, order: ConfigOrder, ends: float) -> ConfigOutcome:
        if self.replica.is_owner:
            return await self.decide(order, ends - self._now())
        reply = await self._ask_owner(order, ends)
        return reply if isinstance(reply, ConfigOutcome) else NOT_OWNER

    async def decide(self, order: ConfigOrder, within: float = float("inf")) -> ConfigOutcome:
        """As the owner: accept by a committed entry, reject after a confirmation or by such an entry.

        An operator's order that is committed is acknowledged once the gateways subscribed here serve by it,
        or the time is over.
        """
        ends = self._now() + within
        await self._evaluate_aside(order)
        rejection = self._rejection(order)
        if rejection is not None:
            if not await self._confirmed():
                return NOT_OWNER
            rejection = self._rejection(order)
        if rejection is not None:
            return rejection
        outcome = await self._propose(checked_entry(order), ends - self._now())
        if outcome.status == OK and order.kind in OPERATORS_KINDS:
            await self._accepted(outcome.version, ends - self._now())
        return outcome

    async def _evaluate_aside(self, order: ConfigOrder) -> None:
        """Has a large order checked beside the loop: an owner that stands still loses its ownership."""
        state = self.state
        if order.kind not in OPERATORS_KINDS or len(order.body) + len(state.body) < LARGE_BYTES:
            return
        for _ in range(MAX_EVALUATIONS):
            if not state.documents.needs_evaluation(order):
                return
            version = state.version
            result = await self._run_aside(state.documents.evaluation(order))
            state.documents.keep_evaluation(order, version, result)

    def _rejection(self, order: ConfigOrder) -> ConfigOutcome | None:
        """The answer to an order that changes nothing, by the state or by what the owner alone can tell."""
        return self.state.check(order) or self.owner_check(order)

    async def _propose(self, order: ConfigOrder, within: float) -> ConfigOutcome:
        """The committed entry's outcome; `UNDETERMINED` where it may be committed, now or later, or not."""
        future = asyncio.get_running_loop().create_future()

        def done(outcome):
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

    async def _confirmed(self) -> bool:
        future = asyncio.get_running_loop().create_future()

        def done(sure):
            if not future.done():
                future.set_result(sure)

        if not self._host.confirm(CONFIGURATION_SHARD, done, self._now()):
            return False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await future
        except TimeoutError:
            return False

    async def read(self) -> ReadReply:
        """The newest configuration, by the owner's word."""
        ends = self._now() + ANSWER_TIMEOUT_S
        while True:
            reply = await self._attempt_read(ends)
            if reply.owner or self._now() + ATTEMPT_INTERVAL_S >= ends:
                return reply
            await asyncio.sleep(ATTEMPT_INTERVAL_S)

    async def _attempt_read(self, ends: float) -> ReadReply:
        if self.replica.is_owner:
            return await self.read_here()
        reply = await self._ask_owner(ReadRequest(CONFIGURATION_SHARD), ends)
        return reply if isinstance(reply, ReadReply) else NOT_READ

    async def read_here(self) -> ReadReply:
        """As the owner: the state, once confirmed to be the newest."""
        if not await self._confirmed():
            return NOT_READ
        return ReadReply(True, self.state.version, self.state.body)

    async def _ask_owner(self, message: ConfigOrder | ReadRequest, ends: float) -> object | None:
        """What the owner that this replica knows replies; None without an owner, a connection or a reply."""
        owner = self.replica.owner
        link = self._links.to(address_of(owner)) if owner else None
        if link is None:
            return None
        return await link.request(message, max(0.01, min(FORWARD_TIMEOUT_S, ends - self._now())))
