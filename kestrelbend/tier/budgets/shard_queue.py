"""A gateway's calls to one budget shard: one request at a time, which takes along all that waits.

Invariant: a command leaves this queue only when an owner's reply covers it, or, for a reservation, when its
caller has gone; a reservation that was sent and whose caller has gone leaves a settlement behind.
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

_Key = tuple[str, str]  # a program and one of its reservations


@attrs.define(eq=False)
class _Waiting:
    """A reservation whose caller waits; once sent, it may have been recorded whatever comes back."""

    reserve: Reserve
    outcome: asyncio.Future[ReserveOutcome]
    sent: bool = False


class ShardRequestQueue:
    """The queue of one shard and the task that works through it while there is anything in it."""

    def __init__(
        self,
        shard: str,
        send: Callable[[str, BudgetRequest], Awaitable[BudgetReply | None]],
        replicas: Callable[[str], Sequence[str]],
        settings: ClientSettings,
    ) -> None:
        self._shard = shard
        self._send = send
        self._replicas = replicas
        self._settings = settings
        self._reserves: dict[_Key, _Waiting] = {}
        self._settlements: dict[_Key, Settlement] = {}
        self._urgent = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._route = OwnerRoute(settings)

    @property
    def pending_settlements(self) -> int:
        """Settlements that no owner has recorded yet."""
        return len(self._settlements)

    async def reserve(self, reserve: Reserve, within: float) -> ReserveOutcome:
        """The owner's outcome, or NO_ANSWER."""
        waiting = _Waiting(reserve, asyncio.get_running_loop().create_future())
        self._reserves[_key(reserve)] = waiting
        self._work(urgent=True)
        try:
            async with asyncio.timeout(within):
                return await waiting.outcome
        except TimeoutError:
            self._give_up(waiting)
            return unanswered(reserve)
        except asyncio.CancelledError:
            self._give_up(waiting)
            raise

    def fail_pending(self) -> None:
        """Answers all reservations that wait with NO_ANSWER; those that were sent are settled as not run."""
        for waiting in list(self._reserves.values()):
            if not waiting.outcome.done():
                waiting.outcome.set_result(unanswered(waiting.reserve))
                self._give_up(waiting)

    def settle(self, settle: Settlement) -> None:
        """Queues a settlement."""
        self._settlements[_key(settle)] = settle
        if len(self._settlements) > self._settings.max_pending_settlements:
            del self._settlements[next(iter(self._settlements))]
        self._work(urgent=False)

    async def close(self, within: float) -> bool:
        """Sends what waits; whether all settlements were recorded within the time."""
        self._closing = True
        if self._task is None:
            return True
        self._urgent.set()
        await asyncio.wait([self._task], timeout=within)
        self._task.cancel()
        return not self._settlements

    def _give_up(self, waiting: _Waiting) -> None:
        """Takes back a reservation whose caller has not got the outcome, even if one is there just now."""
        reserve = waiting.reserve
        if self._reserves.get(_key(reserve)) is waiting:
            del self._reserves[_key(reserve)]
        if waiting.sent:
            self.settle(Settlement(reserve.program, reserve.reservation, 0, TurnEnd.NOT_RUN))

    def _work(self, urgent: bool) -> None:
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._reserves or self._settlements:
            if not self._reserves and not self._closing:
                await self._linger()
            await self._send_one()

    async def _linger(self) -> None:
        """Lets settlements gather, until a reservation comes."""
        self._urgent.clear()
        try:
            async with asyncio.timeout(self._settings.settlement_linger_s):
                await self._urgent.wait()
        except TimeoutError:
            pass

    async def _send_one(self) -> None:
        now = asyncio.get_running_loop().time()
        target = self._route.target(self._replicas(self._shard), now)
        if target is None:
            await asyncio.sleep(self._route.pause())
            return
        settlements = tuple(islice(self._settlements.values(), MAX_COMMANDS_PER_REQUEST))
        waiting = list(islice(self._reserves.values(), MAX_COMMANDS_PER_REQUEST))
        for one in waiting:
            one.sent = True
        request = BudgetRequest(self._shard, tuple(one.reserve for one in waiting), settlements)
        reply = await self._ask(target, request)
        if reply is None:
            self._route.no_reply(target, now, asyncio.get_running_loop().time())
        elif not answers(request, reply):
            self._route.not_owner(target, reply.owner_hint, reply.epoch)
        else:
            self._route.owner(target, reply.epoch)
            self._take(reply, waiting, settlements)

    async def _ask(self, target: str, request: BudgetRequest) -> BudgetReply | None:
        try:
            async with asyncio.timeout(self._settings.attempt_timeout_s):
                return await self._send(target, request)
        except (TimeoutError, OSError):
            return None

    def _take(self, reply: BudgetReply, waiting: list[_Waiting], settlements: tuple[Settlement, ...]) -> None:
        for settle in settlements:
            if self._settlements.get(_key(settle)) is settle:
                del self._settlements[_key(settle)]
        for one, outcome in zip(waiting, reply.outcomes, strict=True):
            if not one.outcome.done():  # else its caller has gone, and gives it up in a moment
                del self._reserves[_key(one.reserve)]
                one.outcome.set_result(outcome)


def answers(request: BudgetRequest, reply: BudgetReply) -> bool:
    """Whether an owner replies to this very request: its shard, and its reservations one by one."""
    if not reply.owner or reply.shard != request.shard:
        return False
    requested = [reserve.reservation for reserve in request.reserves]
    return requested == [outcome.reservation for outcome in reply.outcomes]


def unanswered(reserve: Reserve) -> ReserveOutcome:
    """The outcome of a reservation that no owner has answered."""
    return ReserveOutcome(reserve.reservation, Verdict.NO_ANSWER, 0, 0, 0)


def _key(command: Reserve | Settlement) -> _Key:
    return command.program, command.reservation
