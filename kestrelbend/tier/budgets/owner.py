"""A budget shard at the replica that owns it: requests in, log entries out, replies once they are applied.

Invariant: a reply with outcomes is given only for an entry that the shard's log has committed, and its
outcomes are those that every replica computes.  Where the ownership is lost, what waits is answered as not
owned, its outcome unknown; repeating the same commands at the next owner is safe, as a reservation's name
makes them one.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

import attrs

from kestrelbend.tier.budgets.commands import decode_commands, encode_commands
from kestrelbend.tier.budgets.messages import BudgetReply, BudgetRequest
from kestrelbend.tier.budgets.table import BudgetTable

Propose = Callable[[bytes], int | None]
"""Adds a command to the shard's log; gives its index, or None where this replica does not own the shard."""


@attrs.frozen
class Answer:
    """A reply, and whom it is for: `caller` is what `receive` was given."""

    caller: Hashable
    reply: BudgetReply


@attrs.frozen
class _Waiting:
    caller: Hashable
    data: bytes


class BudgetOwner:
    """Joins a shard's table to its replica; one that does not own the shard applies entries all the same."""

    def __init__(self, shard: str, propose: Propose, table: BudgetTable | None = None) -> None:
        self.shard = shard
        self.table = table or BudgetTable()
        self._propose = propose
        self._waiting: dict[int, _Waiting] = {}

    def receive(self, request: BudgetRequest, caller: Hashable, owner_hint: str = "") -> list[Answer]:
        """Proposes a request's commands; answers at once where this replica does not own the shard."""
        data = encode_commands(request.settles, request.reserves)
        index = self._propose(data)
        if index is None:
            return [self._not_owner(caller, owner_hint)]
        self._waiting[index] = _Waiting(caller, data)
        return []

    def applied(self, index: int, data: bytes) -> list[Answer]:
        """Applies a committed entry, in the order of the log, and answers the request that it came from."""
        settles, reserves = decode_commands(data)
        for settle in settles:
            self.table.apply(settle)
        outcomes = tuple(self.table.apply(reserve) for reserve in reserves)
        waiting = self._waiting.pop(index, None)
        if waiting is None:
            return []
        if waiting.data != data:
            return [self._not_owner(waiting.caller, "")]
        return [Answer(waiting.caller, BudgetReply(self.shard, True, "", outcomes))]

    def lost_ownership(self, owner_hint: str = "") -> list[Answer]:
        """Answers all that wait: whether their commands will be recorded is not known."""
        waiting = self._waiting
        self._waiting = {}
        return [self._not_owner(one.caller, owner_hint) for one in waiting.values()]

    def snapshot(self) -> bytes:
        """The table after the entries applied so far."""
        return self.table.snapshot()

    def restore(self, state: bytes) -> None:
        """The table of a snapshot, in place of this one."""
        self.table.restore(state)

    def _not_owner(self, caller: Hashable, owner_hint: str) -> Answer:
        return Answer(caller, BudgetReply(self.shard, False, owner_hint, ()))
