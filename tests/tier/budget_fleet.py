"""One budget shard's replicas in memory, behind a network that loses, doubles and delays requests."""

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
    """Chances from 0 to 1, and the longest delay of a request in seconds."""

    lost: float = 0.0
    reply_lost: float = 0.0
    duplicated: float = 0.0
    refused: float = 0.0
    delay_s: float = 0.0


@attrs.define(eq=False)
class _Host:
    """The shard's replica at one address, as the budget service sees it."""

    fleet: BudgetFleet
    address: str
    machine: BudgetStateMachine = attrs.field(factory=BudgetStateMachine)
    waiting: dict[int, Callable[[object], None]] = attrs.field(factory=dict)

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
            self.waiting[self.fleet.propose(command)] = done
        return self.is_leader

    def apply(self, index: int, command: bytes) -> None:
        outcomes = self.machine.apply(command)
        self.waiting.pop(index, _ignore)(outcomes)

    def lose_ownership(self) -> None:
        for done in self.waiting.values():
            done(None)
        self.waiting.clear()


def _ignore(answer: object) -> None:
    pass


class BudgetFleet:
    """Replicas that share a log; entries are committed in order, a little after they were proposed."""

    def __init__(self, chance: random.Random, faults: Faults | None = None) -> None:
        self.chance = chance
        self.faults = faults or Faults()
        self.owner = "a"
        self.epoch = 1
        self.requests: list[tuple[str, BudgetRequest]] = []
        self.hosts = {address: _Host(self, address) for address in ADDRESSES}
        self._services = {address: self._service(address) for address in ADDRESSES}
        self._committed = 0
        self._proposed: list[bytes] = []  # behind the committed ones

    async def send(self, address: str, request: BudgetRequest) -> BudgetReply | None:
        """What a gateway's client calls."""
        self.requests.append((address, request))
        if self._happens(self.faults.refused):
            raise ConnectionResetError
        if self._happens(self.faults.duplicated):
            later = self.chance.uniform(0, 2)
            asyncio.get_running_loop().call_later(later, self._arrive, address, request, None)
        await asyncio.sleep(self.chance.uniform(0, self.faults.delay_s))
        reply = asyncio.get_running_loop().create_future()
        if not self._happens(self.faults.lost):
            self._arrive(address, request, None if self._happens(self.faults.reply_lost) else reply)
        return await reply

    def move(self, address: str) -> None:
        """Another replica takes the shard; some of the entries under way are lost, from the last on."""
        self.hosts[self.owner].lose_ownership()
        kept = self.chance.randint(0, len(self._proposed))
        del self._proposed[kept:]
        self._commit(self._committed + kept)
        self.owner = address
        self.epoch += 1

    def renew(self, address: str) -> None:
        """A replica that does not own the shard starts anew from another's snapshot."""
        if address != self.owner:
            self.hosts[address].machine = BudgetStateMachine()
            self.hosts[address].machine.restore(self.hosts[self.owner].machine.snapshot())

    def propose(self, data: bytes) -> int:
        """Adds an entry to the log; gives its index."""
        self._proposed.append(data)
        index = self._committed + len(self._proposed)
        asyncio.get_running_loop().call_later(0.005, self._commit, index)
        return index

    def _commit(self, until: int) -> None:
        while self._proposed and self._committed < until:
            data = self._proposed.pop(0)
            self._committed += 1
            for host in self.hosts.values():
                host.apply(self._committed, data)

    def _service(self, address: str) -> BudgetShards:
        service = BudgetShards()
        service.attach(self.hosts[address], lambda: asyncio.get_running_loop().time())
        return service

    def _arrive(self, address: str, request: BudgetRequest, answer: asyncio.Future | None) -> None:
        def reply(message: BudgetReply) -> None:
            if answer is not None and not answer.done():
                answer.set_result(message)

        self._services[address].request(request, reply)

    def _happens(self, probability: float) -> bool:
        return self.chance.random() < probability
