"""Handles gateways' requests to the budget shards that this process holds replicas of.

Invariant: a reply with outcomes is sent only for a committed entry, and every replica computes the same
outcomes.  If it is unknown whether an entry was committed, the reply says that this process is not the owner.
Sending the same commands to the next owner is safe, because reservations are deduplicated by name.
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

ReplyCallback = Callable[[BudgetReply], None]


class BudgetShards:
    """Serves gateways' requests for the shards that this process owns."""

    def __init__(self) -> None:
        self._host: ShardHost | None = None
        self._now: Callable[[], float] = time.monotonic
        self._owner_clock = OwnerClock()

    def attach(self, host: ShardHost | None, now: Callable[[], float]) -> None:
        """Sets the host of the process's replicas (None without a disk) and a monotonic clock in seconds."""
        self._host = host
        self._now = now

    @staticmethod
    def create_state_machine(shard: str) -> BudgetStateMachine:
        """Returns an empty state machine for the shard."""
        return BudgetStateMachine()

    def request(self, request: BudgetRequest, reply: ReplyCallback) -> None:
        """Proposes a request's commands; replies once they are committed, at once if not the owner."""
        shard = request.shard
        if self._host is None:
            reply(self._not_owner_reply(shard))
            return

        def on_result(outcome: object | None) -> None:
            if outcome is None:
                reply(self._not_owner_reply(shard))
                return
            outcomes = cast(tuple[ReserveOutcome, ...], outcome)  # returned by `BudgetStateMachine.apply`
            reply(BudgetReply(shard, True, "", outcomes, self._epoch(shard)))

        now = self._now()
        epoch = self._epoch(shard)
        elapsed_ms = self._owner_clock.elapsed_ms(shard, epoch, now)
        data = encode_commands(request.settlements, request.reserves, elapsed_ms)
        if not self._host.propose(shard, data, on_result, now):
            reply(self._not_owner_reply(shard))
            return
        self._owner_clock.record_entry(shard, epoch, elapsed_ms, now)
        self._host.flush(shard)

    def _epoch(self, shard: str) -> int:
        """Returns the epoch known to the local replica, 0 if there is none."""
        replica = None if self._host is None else self._host.replica(shard)
        return 0 if replica is None else replica.term

    def _not_owner_reply(self, shard: str) -> BudgetReply:
        replica = None if self._host is None else self._host.replica(shard)
        if replica is None:
            return BudgetReply(shard, False, "", (), 0)
        hint = "" if replica.is_leader else address_of(replica.leader)
        return BudgetReply(shard, False, hint, (), replica.term)
