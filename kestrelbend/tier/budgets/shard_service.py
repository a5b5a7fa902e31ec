"""The budget shards that a process holds replicas of: gateways' requests in, replies out.

Invariant: a reply with outcomes is given only for a committed entry, and its outcomes are those that every
replica computes.  Where it is not known whether an entry counts, the reply says that nobody owns the shard
here; repeating the same commands at the next owner is safe, since a reservation's name makes them one.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import cast

from ..membership.placement import address_of
from ..replication.host import ShardHost
from .commands import encode_commands
from .messages import BudgetReply, BudgetRequest, ReserveOutcome
from .owner_clock import OwnerClock
from .state_machine import BudgetStateMachine

Reply = Callable[[BudgetReply], None]


class BudgetShards:
    """Answers gateways' requests for the shards that are owned here."""

    def __init__(self) -> None:
        self._host: ShardHost | None = None
        self._now: Callable[[], float] = time.monotonic
        self._clock = OwnerClock()

    def attach(self, host: ShardHost | None, now: Callable[[], float]) -> None:
        """`host` has the process's replicas, None without a disk; `now` gives seconds of a steady clock."""
        self._host = host
        self._now = now

    @staticmethod
    def create_state_machine(shard: str) -> BudgetStateMachine:
        """An empty state machine."""
        return BudgetStateMachine()

    def request(self, request: BudgetRequest, reply: Reply) -> None:
        """Proposes a request's commands; replies once they are committed, at once where this is no owner."""
        shard = request.shard
        if self._host is None:
            reply(self._not_owner(shard))
            return

        def done(outcome: object | None) -> None:
            if outcome is None:
                reply(self._not_owner(shard))
                return
            outcomes = cast(tuple[ReserveOutcome, ...], outcome)  # of `BudgetStateMachine.apply`
            reply(BudgetReply(shard, True, "", outcomes, self._epoch(shard)))

        now = self._now()
        epoch = self._epoch(shard)
        elapsed_ms = self._clock.elapsed_ms(shard, epoch, now)
        data = encode_commands(request.settlements, request.reserves, elapsed_ms)
        if not self._host.propose(shard, data, done, now):
            reply(self._not_owner(shard))
            return
        self._clock.record_entry(shard, epoch, elapsed_ms, now)
        self._host.flush(shard)

    def _epoch(self, shard: str) -> int:
        """The epoch of the replica here, 0 where there is none."""
        replica = None if self._host is None else self._host.replica(shard)
        return 0 if replica is None else replica.term

    def _not_owner(self, shard: str) -> BudgetReply:
        replica = None if self._host is None else self._host.replica(shard)
        if replica is None:
            return BudgetReply(shard, False, "", (), 0)
        hint = "" if replica.is_leader else address_of(replica.leader)
        return BudgetReply(shard, False, hint, (), replica.term)
