"""The replicas of one budget shard in memory, behind a network that drops, duplicates and delays requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from kestrelbend.tier.budgets.messages import BudgetReply, BudgetRequest
from kestrelbend.tier.budgets.shard_service import BudgetShards
from kestrelbend.tier.budgets.state_machine import BudgetStateMachine

ADDRESSES = ("a", "b", "c")


@attrs.frozen
class Faults:
    """Probabilities of the faults, from 0 to 1, and the maximum delay of a request in seconds."""

    lost: float = 0.0
    reply_lost: float = 0.0
    duplicated: float = 0.0
    connection_reset: float = 0.0
    delay_s: float = 0.0


@attrs.define(eq=False)
class _Host:
    """The host of the shard's replica at one address; stands in for `ShardHost` and the replica."""

    fleet: BudgetFleet
    address: str
    shard_state: BudgetStateMachine = attrs.field(factory=BudgetStateMachine)
    pending_results: dict[int, Callable[[object], None]] = attrs.field(factory=dict)

    @property
    def leader(self) -> str:
        return f"{self.fleet.owner}#first"

    @property
    def is_leader(self) -> bool:
        return self.fleet.owner == self.address

    @property
    def term(self) -> int:
        return self.fleet.epoch

    def replica(self, shard: str) -> _Host:
        return self

    def flush(self, shard: str) -> None:
        pass

    def propose(self, shard: str, command: bytes, done: Callable[[object], None], now: float) -> bool:
        if self.is_leader:
            self.pending_results[self.fleet.propose(command)] = done
        return self.is_leader

    def apply(self, index: int, command: bytes) -> None:
        outcomes = self.shard_state.apply(command)
        self.pending_results.pop(index, _ignore_result)(outcomes)

    def drop_pending(self) -> None:
        for done in self.pending_results.values():
            done(None)
        self.pending_results.clear()


def _ignore_result(result: object) -> None:
    pass


class BudgetFleet:
    """Replicas that share one log; entries are committed in order, 5 ms after they were proposed."""

    def __init__(self, rng: random.Random, faults: Faults | None = None) -> None:
        self.rng = rng
        self.faults = faults or Faults()
        self.owner = "a"
        self.epoch = 1
        self.requests: list[tuple[str, BudgetRequest]] = []
        self.hosts = {address: _Host(self, address) for address in ADDRESSES}
        self._services = {address: self._service(address) for address in ADDRESSES}
        self._committed = 0
        self._proposed: list[bytes] = []  # not committed yet

    async def send(self, address: str, request: BudgetRequest) -> BudgetReply | None:
        """Sends a gateway's request; passed to its `BudgetClient`."""
        self.requests.append((address, request))
        if self._draw(self.faults.connection_reset):
            raise ConnectionResetError
        if self._draw(self.faults.duplicated):
            delay = self.rng.uniform(0, 2)
            asyncio.get_running_loop().call_later(delay, self._deliver, address, request, None)
        await asyncio.sleep(self.rng.uniform(0, self.faults.delay_s))
        reply = asyncio.get_running_loop().create_future()
        if not self._draw(self.faults.lost):
            self._deliver(address, request, None if self._draw(self.faults.reply_lost) else reply)
        return await reply

    def change_owner(self, address: str) -> None:
        """Makes another replica the owner; a random number of the last proposed entries is lost."""
        self.hosts[self.owner].drop_pending()
        kept_count = self.rng.randint(0, len(self._proposed))
        del self._proposed[kept_count:]
        self._commit(self._committed + kept_count)
        self.owner = address
        self.epoch += 1

    def restore_replica(self, address: str) -> None:
        """Replaces a replica's state by the owner's snapshot, unless the replica is the owner."""
        if address != self.owner:
            self.hosts[address].shard_state = BudgetStateMachine()
            self.hosts[address].shard_state.restore(self.hosts[self.owner].shard_state.snapshot())

    def propose(self, data: bytes) -> int:
        """Appends an entry to the log and returns its index."""
        self._proposed.append(data)
        index = self._committed + len(self._proposed)
        asyncio.get_running_loop().call_later(0.005, self._commit, index)
        return index

    def _commit(self, last_index: int) -> None:
        while self._proposed and self._committed < last_index:
            data = self._proposed.pop(0)
            self._committed += 1
            for host in self.hosts.values():
                host.apply(self._committed, data)

    def _service(self, address: str) -> BudgetShards:
        service = BudgetShards()
        service.attach(self.hosts[address], lambda: asyncio.get_running_loop().time())
        return service

    def _deliver(self, address: str, request: BudgetRequest, reply_future: asyncio.Future | None) -> None:
        def reply(message: BudgetReply) -> None:
            if reply_future is not None and not reply_future.done():
                reply_future.set_result(message)

        self._services[address].request(request, reply)

    def _draw(self, probability: float) -> bool:
        return self.rng.random() < probability
