"""The gateway's side of budgets: asks the owner of a program's shard, and repeats until it has an answer.

Invariant: a turn is admitted only by an owner's reply that came in time.  A reservation that may have been
recorded and that nobody waits for any more is settled as not run, and a settlement is repeated until an owner
has recorded it.  So tokens that no turn uses come back, whichever machine owned the shard meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from kestrelbend.tier.budgets.bounds import bounded_name, bounded_reserve, bounded_settlement
from kestrelbend.tier.budgets.shard_queue import ShardRequestQueue, unanswered
from kestrelbend.tier.budgets.messages import (
    BudgetReply,
    BudgetRequest,
    Reserve,
    ReserveOutcome,
    Settlement,
    Verdict,
)
from kestrelbend.tier.budgets.route import ClientSettings
from kestrelbend.tier.budgets.shards import shard_of

MAX_PROGRAMS_REMEMBERED = 10_000

Send = Callable[[str, BudgetRequest], Awaitable[BudgetReply | None]]
"""Sends a request to an address; None where there was no reply.  Cancelled once its time is over."""

Replicas = Callable[[str], Sequence[str]]
"""The addresses that may own a shard, in the order in which they are to be tried."""


MayWait = Callable[[str], bool]
"""Whether an owner of a shard answers or soon will; where not, a reservation is refused at once."""


class BudgetClient:
    """All of a gateway's budget calls, on the running event loop; does nothing while nobody calls."""

    def __init__(
        self,
        send: Send,
        replicas: Replicas,
        shard_count: int,
        settings: ClientSettings | None = None,
        may_wait: MayWait = lambda shard: True,
    ) -> None:
        self._send = send
        self._replicas = replicas
        self._shard_count = shard_count
        self._settings = settings or ClientSettings()
        self._may_wait = may_wait
        self._lines: dict[str, ShardRequestQueue] = {}
        self._settled_seen: dict[str, int] = {}

    async def reserve(self, reserve: Reserve, within: float | None = None) -> ReserveOutcome:
        """Asks for a turn's tokens; NO_ANSWER where no owner answered within the time in seconds, and at once
        where none can be reached."""
        limit = self._settings.reserve_timeout_s if within is None else within
        reserve = bounded_reserve(reserve)
        if not self._may_wait(shard_of(reserve.program, self._shard_count)):
            return unanswered(reserve)
        outcome = await self._line(reserve.program).reserve(reserve, limit)
        if outcome.verdict != Verdict.NO_ANSWER:
            self._record_settled(reserve.program, outcome.settled)
        return outcome

    def fail_pending(self, shard: str) -> None:
        """No owner of the shard can be reached: whoever waits for one gets NO_ANSWER now."""
        line = self._lines.get(shard)
        if line is not None:
            line.fail_pending()

    def settle(self, settle: Settlement) -> None:
        """Reports how a turn ended; returns at once."""
        settle = bounded_settlement(settle)
        self._line(settle.program).settle(settle)

    def spent_locally(self, program: str, max_tokens: int, budget: int) -> bool:
        """Whether the tokens last seen as handed out leave no room for the turn: these never fall, so the
        owner would say the same."""
        return 0 < budget < self._settled_seen.get(bounded_name(program), 0) + max_tokens

    @property
    def pending_settlements(self) -> int:
        """Settlements that no owner has recorded yet."""
        return sum(line.pending_settlements for line in self._lines.values())

    async def close(self, within: float) -> bool:
        """Brings the settlements that wait to their owners, within a time in seconds; whether all arrived."""
        lines = list(self._lines.values())
        closed = await asyncio.gather(*(line.close(within) for line in lines))
        return all(closed)

    def _line(self, program: str) -> ShardRequestQueue:
        shard = shard_of(program, self._shard_count)
        line = self._lines.get(shard)
        if line is None:
            line = ShardRequestQueue(shard, self._send, self._replicas, self._settings)
            self._lines[shard] = line
        return line

    def _record_settled(self, program: str, settled: int) -> None:
        known = self._settled_seen.pop(program, 0)
        self._settled_seen[program] = max(known, settled)
        if len(self._settled_seen) > MAX_PROGRAMS_REMEMBERED:
            del self._settled_seen[next(iter(self._settled_seen))]
