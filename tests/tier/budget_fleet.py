"""One budget shard's replicas in memory, behind a network that loses, doubles and delays requests."""

from __future__ import annotations

import asyncio
import random

import attrs

from kestrelbend.tier.budgets.messages import BudgetReply, BudgetRequest
from kestrelbend.tier.budgets.owner import Answer, BudgetOwner

SHARD = "budget-0"
ADDRESSES = ("a", "b", "c")


@attrs.frozen
class Faults:
    """Chances from 0 to 1, and the longest delay of a request in seconds."""

    lost: float = 0.0
    reply_lost: float = 0.0
    doubled: float = 0.0
    refused: float = 0.0
    delay_s: float = 0.0


class BudgetFleet:
    """Replicas that share a log; entries are committed in order, a little after they were proposed."""

    def __init__(self, chance: random.Random, faults: Faults | None = None) -> None:
        self.chance = chance
        self.faults = faults or Faults()
        self.owner = "a"
        self.requests: list[tuple[str, BudgetRequest]] = []
        self.replicas = {address: self._replica(address) for address in ADDRESSES}
        self._committed = 0
        self._proposed: list[bytes] = []  # behind the committed ones

    async def send(self, address: str, request: BudgetRequest) -> BudgetReply | None:
        """What a gateway's client calls."""
        self.requests.append((address, request))
        if self._happens(self.faults.refused):
            raise ConnectionResetError
        if self._happens(self.faults.doubled):
            later = self.chance.uniform(0, 2)
            asyncio.get_running_loop().call_later(later, self._arrive, address, request, None)
        await asyncio.sleep(self.chance.uniform(0, self.faults.delay_s))
        reply = asyncio.get_running_loop().create_future()
        if not self._happens(self.faults.lost):
            self._arrive(address, request, None if self._happens(self.faults.reply_lost) else reply)
        return await reply

    def move(self, address: str) -> None:
        """Another replica takes the shard; some of the entries under way are lost, from the last on."""
        self._give(self.replicas[self.owner].lost_ownership(address))
        kept = self.chance.randint(0, len(self._proposed))
        del self._proposed[kept:]
        self._commit(self._committed + kept)
        self.owner = address

    def renew(self, address: str) -> None:
        """A replica that does not own the shard starts anew from another's snapshot."""
        if address != self.owner:
            state = self.replicas[self.owner].snapshot()
            self.replicas[address] = self._replica(address)
            self.replicas[address].restore(state)

    def _replica(self, address: str) -> BudgetOwner:
        return BudgetOwner(SHARD, lambda data: self._propose(address, data))

    def _arrive(self, address: str, request: BudgetRequest, reply: asyncio.Future | None) -> None:
        self._give(self.replicas[address].receive(request, reply, self.owner))

    def _propose(self, address: str, data: bytes) -> int | None:
        if address != self.owner:
            return None
        self._proposed.append(data)
        index = self._committed + len(self._proposed)
        asyncio.get_running_loop().call_later(0.005, self._commit, index)
        return index

    def _commit(self, until: int) -> None:
        while self._proposed and self._committed < until:
            data = self._proposed.pop(0)
            self._committed += 1
            for replica in self.replicas.values():
                self._give(replica.applied(self._committed, data))

    def _give(self, answers: list[Answer]) -> None:
        for answer in answers:
            if answer.caller is not None and not answer.caller.done():
                answer.caller.set_result(answer.reply)

    def _happens(self, probability: float) -> bool:
        return self.chance.random() < probability
