"""A gateway's queue of commands to one budget shard.

One request is in flight at a time; each carries all queued commands, up to a limit.  Invariant: a command
leaves the queue only when an owner's reply covers it, or, for a reservation, when its caller stops waiting.
If such a reservation was sent, a settlement that releases its tokens is queued instead.  As the only
exception, the oldest settlement is dropped when there are too many.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from itertools import islice

import attrs

from kestrelbend.tier.budgets.messages import (
    BudgetReply,
    BudgetRequest,
    Reserve,
    ReserveOutcome,
    Settlement,
    TurnEnd,
    Verdict,
)
from kestrelbend.tier.budgets.route import ClientSettings, OwnerRoute

MAX_COMMANDS_PER_REQUEST = 256

SendRequest = Callable[[str, BudgetRequest], Awaitable[BudgetReply | None]]
"""Sends a request to an address; returns None if there was no reply.  Cancelled on timeout."""

ReplicaAddresses = Callable[[str], Sequence[str]]
"""Returns the addresses of a shard's replicas, in the order in which to try them."""

_CommandKey = tuple[str, str]  # the names of a program and of one of its reservations


@attrs.define(eq=False)
class _PendingReservation:
    """A reservation whose caller is waiting; once `sent`, it may have been recorded, whatever the reply."""

    reserve: Reserve
    outcome: asyncio.Future[ReserveOutcome]
    sent: bool = False


class ShardRequestQueue:
    """The queue of one shard, and the task that processes it until it is empty."""

    def __init__(
        self, shard: str, send: SendRequest, replicas: ReplicaAddresses, settings: ClientSettings
    ) -> None:
        self._shard = shard
        self._send = send
        self._replicas = replicas
        self._settings = settings
        self._reservations: dict[_CommandKey, _PendingReservation] = {}
        self._settlements: dict[_CommandKey, Settlement] = {}
        self._urgent = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._route = OwnerRoute(settings)

    @property
    def pending_settlements(self) -> int:
        """The number of settlements that no owner has recorded yet."""
        return len(self._settlements)

    async def reserve(self, reserve: Reserve, max_wait_s: float) -> ReserveOutcome:
        """Returns the owner's outcome, or OWNER_UNAVAILABLE if there was none within `max_wait_s` seconds."""
        pending = _PendingReservation(reserve, asyncio.get_running_loop().create_future())
        self._reservations[_command_key(reserve)] = pending
        self._wake(urgent=True)
        try:
            async with asyncio.timeout(max_wait_s):
                return await pending.outcome
        except TimeoutError:
            self._abandon(pending)
            return unavailable_outcome(reserve)
        except asyncio.CancelledError:
            self._abandon(pending)
            raise

    def fail_pending(self) -> None:
        """Completes all pending reservations with OWNER_UNAVAILABLE; settles those sent as NOT_EXECUTED."""
        for pending in list(self._reservations.values()):
            if not pending.outcome.done():
                pending.outcome.set_result(unavailable_outcome(pending.reserve))
                self._abandon(pending)

    def settle(self, settlement: Settlement) -> None:
        """Queues a settlement; drops the oldest one beyond `max_pending_settlements`."""
        self._settlements[_command_key(settlement)] = settlement
        if len(self._settlements) > self._settings.max_pending_settlements:
            del self._settlements[next(iter(self._settlements))]
        self._wake(urgent=False)

    async def close(self, max_wait_s: float) -> bool:
        """Sends what is pending, for up to `max_wait_s` seconds; whether all settlements were recorded."""
        self._closing = True
        if self._task is None:
            return True
        self._urgent.set()
        await asyncio.wait([self._task], timeout=max_wait_s)
        self._task.cancel()
        return not self._settlements

    def _abandon(self, pending: _PendingReservation) -> None:
        """Withdraws a reservation whose caller did not get the outcome, even if it has just arrived."""
        reserve = pending.reserve
        if self._reservations.get(_command_key(reserve)) is pending:
            del self._reservations[_command_key(reserve)]
        if pending.sent:
            self.settle(Settlement(reserve.program, reserve.reservation, 0, TurnEnd.NOT_EXECUTED))

    def _wake(self, urgent: bool) -> None:
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._reservations or self._settlements:
            if not self._reservations and not self._closing:
                await self._wait_for_batch()
            await self._send_next()

    async def _wait_for_batch(self) -> None:
        """Waits for further settlements to send together, or until a reservation is queued."""
        self._urgent.clear()
        try:
            async with asyncio.timeout(self._settings.settlement_linger_s):
                await self._urgent.wait()
        except TimeoutError:
            pass

    async def _send_next(self) -> None:
        """Sends one request, or backs off if the search for the owner starts a new round."""
        now = asyncio.get_running_loop().time()
        target = self._route.target(self._replicas(self._shard), now)
        if target is None:
            await asyncio.sleep(self._route.backoff_s())
            return
        settlements = tuple(islice(self._settlements.values(), MAX_COMMANDS_PER_REQUEST))
        reservations = list(islice(self._reservations.values(), MAX_COMMANDS_PER_REQUEST))
        for pending in reservations:
            pending.sent = True
        request = BudgetRequest(self._shard, tuple(pending.reserve for pending in reservations), settlements)
        reply = await self._request(target, request)
        if reply is None:
            self._route.record_no_reply(target, now, asyncio.get_running_loop().time())
        elif not reply_matches(request, reply):
            self._route.record_not_owner(target, reply.owner_hint, reply.epoch)
        else:
            self._route.record_owner(target, reply.epoch)
            self._complete(reply, reservations, settlements)

    async def _request(self, target: str, request: BudgetRequest) -> BudgetReply | None:
        try:
            async with asyncio.timeout(self._settings.attempt_timeout_s):
                return await self._send(target, request)
        except (TimeoutError, OSError):
            return None

    def _complete(
        self,
        reply: BudgetReply,
        reservations: list[_PendingReservation],
        settlements: tuple[Settlement, ...],
    ) -> None:
        for settlement in settlements:
            if self._settlements.get(_command_key(settlement)) is settlement:
                del self._settlements[_command_key(settlement)]
        for pending, outcome in zip(reservations, reply.outcomes, strict=True):
            if not pending.outcome.done():  # else its caller stopped waiting and is about to abandon it
                del self._reservations[_command_key(pending.reserve)]
                pending.outcome.set_result(outcome)


def reply_matches(request: BudgetRequest, reply: BudgetReply) -> bool:
    """Whether the reply is an owner's reply to this request: same shard, same reservations in order."""
    if not reply.owner or reply.shard != request.shard:
        return False
    requested = [reserve.reservation for reserve in request.reserves]
    return requested == [outcome.reservation for outcome in reply.outcomes]


def unavailable_outcome(reserve: Reserve) -> ReserveOutcome:
    """Returns the outcome of a reservation that no owner replied to."""
    return ReserveOutcome(reserve.reservation, Verdict.OWNER_UNAVAILABLE, 0, 0, 0)


def _command_key(command: Reserve | Settlement) -> _CommandKey:
    return command.program, command.reservation
