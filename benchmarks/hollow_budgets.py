"""Three stores with six budget shards against hollow gateways that reserve and settle turns.

The stores are real `ShardHost`s and `BudgetShards`; messages are encoded and decoded.  A disk writes all that
waits as one group in each step of `STEP_S`, as a disk does whose sync takes that long.
"""

from __future__ import annotations

import random
from collections import Counter, deque

from benchmarks.hollow_meter import Meter, Wire, Wires, connect
from kestrelbend.tier.budgets.messages import BudgetReply, BudgetRequest, Reserve, Settle
from kestrelbend.tier.budgets.shard_service import BudgetShards
from kestrelbend.tier.budgets.shards import shard_of
from kestrelbend.tier.membership.placement import address_of, budget_shards
from kestrelbend.tier.protocol.codec import encode
from kestrelbend.tier.replication.host import ShardHost
from kestrelbend.tier.replication.timing import Timing

STEP_S = 0.005
TICK_STEPS = 4
STORES = ("10.0.1.1:7002#first", "10.0.1.2:7002#first", "10.0.1.3:7002#first")
TURN_S = 0.4  # from a reservation's reply to its settlement; its length has no effect on the cost
TURNS_PER_GATEWAY_S = 2200 / 390
PROGRAMS_PER_GATEWAY = 64_000 // 390


class GroupJournal:
    """A disk in memory: a group a step."""

    wants_checkpoint = False

    def __init__(self) -> None:
        self._waiting: list[int] = []
        self.bytes = 0
        self.records = 0
        self.groups = 0

    def append(self, ticket: int, record: bytes) -> None:
        """Takes a record."""
        self._waiting.append(ticket)
        self.bytes += len(record)
        self.records += 1

    def write(self) -> list[int]:
        """The tickets of the group that lasts now."""
        done, self._waiting = self._waiting, []
        self.groups += bool(done)
        return done


class HollowStore:
    """A store's replicas; `now` is the world's."""

    party = "store"

    def __init__(self, identity: str, send) -> None:
        self.now = 0.0
        self.journal = GroupJournal()
        self.shards = BudgetShards()
        self.host = ShardHost(
            identity=identity,
            first_ticket=1,
            timing=Timing(),
            journal=self.journal,
            encode=encode,
            send=lambda receiver, message: send(identity, receiver, message),
            machine_for=self.shards.machine_for,
            hosts=lambda shard: True,
        )
        self.shards.attach(self.host, lambda: self.now)

    def on_message(self, link: Wire, message, sequence: int) -> None:
        """As the store's process takes it."""
        if isinstance(message, BudgetRequest):
            self.shards.request(message, lambda reply: link.reply(sequence, reply))
        else:
            self.host.receive(message, self.now)

    def step(self, ticks: bool) -> None:
        """The disk's group, and a tick where it is due."""
        tickets = self.journal.write()
        if tickets:
            self.host.written(tickets, self.now)
        if ticks:
            self.host.tick(self.now)


class HollowGateway:
    """A gateway's lines to the shards: one request under way on each, which takes all that waits."""

    party = "gateway"

    def __init__(self, number: int, seed: int) -> None:
        self.links: dict[str, Wire] = {}  # by shard, to its owner
        self.now = 0.0
        self.admitted = 0
        self.refused = 0
        self._random = random.Random(seed * 1000 + number)
        self._programs = [f"{number:03d}{program:05x}" for program in range(PROGRAMS_PER_GATEWAY)]
        self._turns = 0
        self._due = self._random.random() / TURNS_PER_GATEWAY_S
        self._waiting: dict[str, list] = {shard: [] for shard in budget_shards()}
        self._under_way: dict[str, tuple[Reserve, ...]] = {}
        self._ends: deque[tuple[float, str, Settle]] = deque()

    def step(self) -> None:
        """Begins and ends turns, and sends what waits."""
        while self._due <= self.now:
            self._due += self._random.expovariate(TURNS_PER_GATEWAY_S)
            program = self._random.choice(self._programs)
            self._turns += 1
            reserve = Reserve(
                program, program[-6:], f"{program}-{self._turns}", self._turns, 600, 680_000, False
            )
            self._waiting[shard_of(program, len(self._waiting))].append(reserve)
        while self._ends and self._ends[0][0] <= self.now:
            _, shard, settle = self._ends.popleft()
            self._waiting[shard].append(settle)
        for shard, waiting in self._waiting.items():
            if waiting and shard not in self._under_way:
                self._ask(shard, waiting)

    def _ask(self, shard: str, waiting: list) -> None:
        reserves = tuple(command for command in waiting if isinstance(command, Reserve))
        settles = tuple(command for command in waiting if isinstance(command, Settle))
        waiting.clear()
        self._under_way[shard] = reserves
        self.links[shard].send(BudgetRequest(shard, reserves, settles), 1)

    def on_message(self, link: Wire, reply: BudgetReply, sequence: int) -> None:
        """Outcomes: admitted turns end in a while."""
        reserves = self._under_way.pop(reply.shard)
        if not reply.owner:
            self.refused += 1
            return
        for reserve in reserves:
            self.admitted += 1
            settle = Settle(reserve.program, reserve.reservation, 236, 0)
            self._ends.append((self.now + TURN_S, reply.shard, settle))


class BudgetWorld:
    """Stores, gateways and the time that they share."""

    def __init__(self, gateways: int, seed: int = 1) -> None:
        self.meter = Meter()
        self.wires = Wires(self.meter)
        self.now = 0.0
        self.requests = Counter()
        self._steps = 0
        self.stores = {name: HollowStore(name, self._send) for name in STORES}
        self._between = self._links_between_stores()
        for place, shard in enumerate(budget_shards()):
            turn = place % len(STORES)
            founders = STORES[turn:] + STORES[:turn]
            for store in self.stores.values():
                store.host.open(shard, founders, 0.0)
        self.gateways = [HollowGateway(number, seed) for number in range(gateways)]
        while not all(self._owner(shard) for shard in budget_shards()):
            self._step_stores()
        for gateway in self.gateways:
            self._connect(gateway)

    def run(self, seconds: float) -> None:
        """Lets time go on."""
        for _ in range(round(seconds / STEP_S)):
            self._step_stores()
            for gateway in self.gateways:
                gateway.now = self.now
                self.meter.run("gateway.turns", gateway.step)
            self.wires.deliver()

    def owners(self) -> dict[str, int]:
        """How many shards each store owns."""
        return dict(Counter(self._owner(shard) for shard in budget_shards()))

    def _step_stores(self) -> None:
        self._steps += 1
        self.now += STEP_S
        ticks = self._steps % TICK_STEPS == 0
        for store in self.stores.values():
            store.now = self.now
            self.meter.run("store.disk_and_tick", store.step, ticks)
        self.wires.deliver()

    def _owner(self, shard: str) -> str:
        owners = [name for name, store in self.stores.items() if store.host.replica(shard).is_owner]
        return owners[0] if owners else ""

    def _connect(self, gateway: HollowGateway) -> None:
        by_store = {name: connect(self.wires, gateway, store)[0] for name, store in self.stores.items()}
        gateway.links = {shard: by_store[self._owner(shard)] for shard in budget_shards()}

    def _links_between_stores(self) -> dict[tuple[str, str], Wire]:
        links = {}
        for one in STORES:
            for other in STORES:
                if one < other:
                    near, far = connect(self.wires, self.stores[one], self.stores[other])
                    links[one, other], links[other, one] = near, far
        return links

    def _send(self, sender: str, receiver: str, message) -> None:
        assert address_of(receiver) != address_of(sender)
        self._between[sender, receiver].send(message)
