"""The budget shards that a process holds replicas of, joined to its replicas.

Invariant: a reply with outcomes is given only for a committed entry, and its outcomes are those that every
replica computes.  Where it is not known whether an entry counts, the reply says that nobody owns the shard
here; repeating the same commands at the next owner is safe, since a reservation's name makes them one.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..membership.placement import address_of
from .commands import decode_commands, elapsed_ms_of, encode_commands
from .messages import BudgetReply, BudgetRequest, ReserveOutcome
from .table import BudgetTable
from .table_snapshot import TableSnapshot

Reply = Callable[[BudgetReply], None]


class BudgetMachine:
    """A budget table as a shard's state machine; an entry holds the commands of one request."""

    def __init__(self):
        self.table = BudgetTable()

    def apply(self, command: bytes) -> tuple[ReserveOutcome, ...]:
        """Applies one request's commands, settlements first."""
        self.table.advance(elapsed_ms_of(command))
        settlements, reserves = decode_commands(command)
        for settle in settlements:
            self.table.apply(settle)
        return tuple(self.table.apply(reserve) for reserve in reserves)

    def begin_snapshot(self) -> TableSnapshot:
        """The table as it is now, to be saved in steps."""
        return self.table.begin_snapshot()

    def snapshot(self) -> bytes:
        """The whole table."""
        return self.table.snapshot()

    def restore(self, state: bytes) -> None:
        """Replaces the table."""
        self.table.restore(state)


@attrs.frozen
class _Proposed:
    """An owner's last entry."""

    epoch: int
    at: float


class BudgetShards:
    """Answers gateways' requests for the shards that are owned here."""

    def __init__(self):
        self._host = None
        self._now = None
        self._proposed: dict[str, _Proposed] = {}

    def attach(self, host, now: Callable[[], float]) -> None:
        """The process's replicas; None for a process without a disk."""
        self._host = host
        self._now = now

    @staticmethod
    def machine_for(shard: str) -> BudgetMachine:
        """An empty state machine."""
        return BudgetMachine()

    def request(self, request: BudgetRequest, reply: Reply) -> None:
        """Proposes a request's commands and replies once they are committed, or at once where it can't."""
        shard = request.shard

        def done(outcomes: tuple[ReserveOutcome, ...] | None) -> None:
            if outcomes is None:
                reply(self._not_owner(shard))
            else:
                reply(BudgetReply(shard, True, "", outcomes, self._host.replica(shard).term))

        now = 0.0 if self._host is None else self._now()
        elapsed_ms = self._elapsed_ms(shard, now)
        data = encode_commands(request.settlements, request.reserves, elapsed_ms)
        if self._host is None or not self._host.propose(shard, data, done, now):
            reply(self._not_owner(shard))
            return
        self._record_proposed(shard, elapsed_ms, now)
        self._host.flush(shard)

    def _elapsed_ms(self, shard: str, now: float) -> int:
        """Milliseconds since this owner's last entry, by its steady clock; 0 for the first of its epoch.

        What lies between two owners is left out, and so is what an entry carried that did not count: the
        table's time may fall behind the true one, and is never ahead of it.
        """
        last = self._last_proposed(shard)
        return 0 if last is None else max(0, int((now - last.at) * 1000))

    def _record_proposed(self, shard: str, elapsed_ms: int, now: float) -> None:
        """The rest of a millisecond goes to the next entry."""
        last = self._last_proposed(shard)
        at = now if last is None else last.at + elapsed_ms / 1000
        self._proposed[shard] = _Proposed(self._host.replica(shard).term, at)

    def _last_proposed(self, shard: str) -> _Proposed | None:
        last = self._proposed.get(shard)
        replica = None if self._host is None else self._host.replica(shard)
        if last is None or replica is None or replica.term != last.epoch:
            return None
        return last

    def _not_owner(self, shard: str) -> BudgetReply:
        replica = self._host.replica(shard) if self._host is not None else None
        hint = address_of(replica.leader) if replica is not None and not replica.is_leader else ""
        epoch = 0 if replica is None else replica.term
        return BudgetReply(shard, False, hint, (), epoch)
