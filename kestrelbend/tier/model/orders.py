"""Orders on top of the model: operators' orders at any node, decided by the real service and state machine.

Rules: of two orders on one version one is acknowledged at most; what was acknowledged is acknowledged again
and in force; what was refused is never in force and never acknowledged; and only a leader that a majority has
answered since the order came refuses.

A run can't be copied, since the service's calls wait in it: runs are played again from their beginning, with
a fault put in at one of their steps.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterator

import attrs

from ..configuration.document_orders import checked_entry
from ..configuration.messages import UNDETERMINED, ConfigOrder, ConfigOutcome, OrderKind
from ..configuration.shard_service import ConfigurationMachine, ConfigurationService
from ..configuration.statuses import OK
from ..fleet.operator import marker_route, route, services
from ..protocol.codec import encode
from ..replication import Effects, Replica
from ..replication.hosted import PendingProposal
from ..replication.interfaces import OutcomeCallback
from ..replication.messages import EntryKind
from .node import Node
from .rules import require
from .scripts import ORDER_SCRIPTS
from .search import FULL_SEARCH, Partition, SearchResult
from .world import Script, Step, World

BASE = 1  # the version that the racing orders are made on
TURNS = 8  # of the event loop, until every call that can go on has gone on


def _put(number: int, base: int, version: int) -> ConfigOrder:
    routes = [route("turns", "/turns/", "model", "streaming"), marker_route(number)]
    document = {"Ver": version, "Routes": routes, "Services": services()}
    return ConfigOrder(OrderKind.PUT, base, json.dumps(document).encode())


ORDERS = {
    "first": _put(1, 0, BASE),
    "late": _put(2, 0, 2),
    "x": _put(3, BASE, 2),
    "y": _put(4, BASE, 2),
    "z": _put(5, BASE, 3),
}


@attrs.define
class Answers:
    """What was answered to the operators of one order."""

    acknowledged: bool = False
    refused: bool = False


class ReplicaCarrier:
    """A node's replica as the service sees it, see `ShardHost`."""

    def __init__(self, world: OrderWorld, node: Node) -> None:
        self._world = world
        self._node = node
        self.table = ConfigurationMachine()
        self.proposals: dict[int, PendingProposal] = {}  # by index
        self.pending_reads: dict[int, Callable[[bool], None]] = {}  # by ticket

    def state_machine(self, shard: str) -> ConfigurationMachine:
        """The state here."""
        return self.table

    def replica(self, shard: str) -> Replica:
        """The replica here."""
        return self._node.replica

    def propose(self, shard: str, command: bytes, outcome: OutcomeCallback, now: float) -> bool:
        """Proposes a command."""
        index = self._node.replica.propose(command, self._node.clock)
        if index is not None:
            self.proposals[index] = PendingProposal(self._node.replica.term, outcome)
        return index is not None

    def confirm_read(self, shard: str, outcome: Callable[[bool], None], now: float) -> bool:
        """Asks for a confirmation."""
        ticket = self._node.replica.confirm_read(self._node.clock)
        if ticket is None:
            return False
        self.pending_reads[ticket] = outcome
        self._node.reads[ticket] = len(self._world.rules.history)
        self._world.work(self._node)
        return True

    def flush(self, shard: str) -> None:
        """Lets go of what a proposal has left to do."""
        self._world.work(self._node)


class NoConnections:
    """No other process can be asked: an order is decided where it comes."""

    def to(self, address: str) -> None:
        """The connection to an address: none."""


class OrderWorld(World):
    """The model's state with a configuration on top."""

    def __init__(self, script: Script, faults: int) -> None:
        self.carriers: dict[str, ReplicaCarrier] = {}
        self.answers = {name: Answers() for name in ORDERS}
        self._calls: set[asyncio.Task[None]] = set()
        super().__init__(script, faults)

    def order(self, name: str, order: str) -> None:
        """An operator's order comes to a node; one that does not lead gives no answer."""
        if self.nodes[name].replica.is_leader:
            call = asyncio.get_running_loop().create_task(self._decide(name, order))
            self._calls.add(call)

    async def _decide(self, name: str, order: str) -> None:
        carrier = self.carriers[name]
        node = self.nodes[name]
        service = ConfigurationService(carrier, NoConnections(), lambda: node.clock, no_gateway_wait)
        requested_at = node.clock
        outcome = await service.decide(ORDERS[order])
        if outcome.status not in (OK, UNDETERMINED):
            self.rules.refuses(node, requested_at)
        if carrier is self.carriers[name] and outcome.status != UNDETERMINED:
            self._answered(order, outcome)

    def _answered(self, order: str, outcome: ConfigOutcome) -> None:
        answers = self.answers[order]
        if outcome.status == OK:
            answers.acknowledged = True
            require(not answers.refused, f"{order} is acknowledged and was refused")
            self._check_rivals(order)
        else:
            answers.refused = True
            require(not answers.acknowledged, f"{order} is refused ({outcome.reason}) and was acknowledged")

    def _check_rivals(self, order: str) -> None:
        for other, answers in self.answers.items():
            same_base = ORDERS[other].base_version == ORDERS[order].base_version
            if other != order and same_base and answers.acknowledged:
                require(False, f"{order} and {other} are both acknowledged")

    async def run_calls(self) -> None:
        """Lets every call go on that can; raises the rule that one has broken."""
        for _ in range(TURNS):
            await asyncio.sleep(0)
        ended = {call for call in self._calls if call.done()}
        self._calls -= ended
        for call in ended:
            call.result()

    def work(self, node: Node) -> None:
        """Does what a replica wants done, and answers its callers."""
        self._work(node)

    def end(self) -> None:
        """No call waits any longer."""
        for call in self._calls:
            call.cancel()

    def check_end(self) -> None:
        """What was acknowledged was taken; what was refused was not."""
        state = ConfigurationMachine()
        taken = set()
        for entry in self.rules.history:
            if entry.kind == EntryKind.COMMAND and entry.data != b"calm":
                outcome = state.apply(entry.data)
                names = [name for name, order in ORDERS.items() if encode(checked_entry(order)) == entry.data]
                taken |= {name for name in names if outcome.status == OK}
        for name, answers in self.answers.items():
            require(not answers.acknowledged or name in taken, f"{name} is acknowledged and lost")
            require(not answers.refused or name not in taken, f"{name} is refused and in force")

    # The model's own steps

    def steps(self) -> Iterator[Step]:
        """As in the model; also another try of an order at any node, after an answer that was lost."""
        yield from super().steps()
        if self.faults:
            for name in self.nodes:
                yield from (("order", name, order) for order in ORDERS)

    def _start(self, name: str) -> None:
        self.carriers[name] = ReplicaCarrier(self, self.nodes[name])
        super()._start(name)

    def compact(self, name: str) -> None:
        """A snapshot of the state takes the place of the entries."""
        node = self.nodes[name]
        node.replica.compact(node.applied_index, self.carriers[name].table.snapshot())
        self._work(node)

    def _work(self, node: Node) -> None:
        super()._work(node)
        carrier = self.carriers[node.name]
        if not node.replica.is_leader:
            pending, carrier.proposals = carrier.proposals, {}
            for proposal in pending.values():
                proposal.outcome(None)

    def _confirmed(self, node: Node, effects: Effects) -> None:
        super()._confirmed(node, effects)
        carrier = self.carriers[node.name]
        for ticket in effects.confirmed_reads:
            carrier.pending_reads.pop(ticket)(True)
        for ticket in effects.failed_reads:
            carrier.pending_reads.pop(ticket)(False)

    def _apply(self, node: Node, effects: Effects) -> None:
        carrier = self.carriers[node.name]
        if effects.restore is not None:
            node.applied_index = effects.restore.index
            carrier.table.restore(effects.restore.state)
        for entry in effects.applied:
            require(entry.index == node.applied_index + 1, f"{node.name} applies {entry} out of order")
            node.applied_index = entry.index
            self._record_applied(node, entry)
            is_order = entry.kind == EntryKind.COMMAND and entry.data != b"calm"
            outcome = carrier.table.apply(entry.data) if is_order else None
            pending = carrier.proposals.pop(entry.index, None)
            if pending is not None:
                pending.outcome(outcome if pending.term == entry.term else None)


async def no_gateway_wait(version: int, within: float) -> None:
    """No gateway is asked."""


@attrs.define
class RunCounters:
    """Counts runs and steps."""

    runs: int = 0
    steps: int = 0
    longest: int = 0


def search_orders(name: str, faults: int, partition: Partition = FULL_SEARCH) -> SearchResult:
    """All runs of a script of orders with up to `faults` faults, each at any step; or a share of them."""
    begun = time.perf_counter()
    counted = RunCounters()
    violation, steps = asyncio.run(_search(ORDER_SCRIPTS[name], faults, counted, partition))
    return SearchResult(
        script=name,
        faults=faults,
        states=counted.steps,
        longest=counted.longest,
        seconds=time.perf_counter() - begun,
        complete=not violation,
        violation=violation,
        steps=steps,
    )


async def _search(
    script: Script, faults: int, counted: RunCounters, partition: Partition
) -> tuple[str, tuple[Step, ...]]:
    waiting: list[tuple[tuple[int, Step], ...]] = [()]
    while waiting:
        chosen = waiting.pop()
        world = OrderWorld(script, faults)
        try:
            alternatives = await _play(world, chosen, counted)
        except AssertionError as fault:
            return str(fault) or repr(fault), tuple(step for _, step in chosen)
        finally:
            world.end()
        if len(chosen) < faults:
            after = chosen[-1][0] if chosen else -1
            runs = [(*chosen, (at, step)) for at, step in alternatives if at > after]
            waiting += runs if chosen else [run for number, run in enumerate(runs) if partition.holds(number)]
    return "", ()


async def _play(
    world: OrderWorld, chosen: tuple[tuple[int, Step], ...], counted: RunCounters
) -> list[tuple[int, Step]]:
    """Plays a run with the chosen faults at their steps; all faults that could have been chosen."""
    faults = dict(chosen)
    alternatives: list[tuple[int, Step]] = []
    at = 0
    while True:
        steps = list(world.steps())
        if not steps or steps[0] != ("proceed",):
            break
        alternatives += [(at, step) for step in steps[1:]]
        world.take(faults.get(at, ("proceed",)))
        await world.run_calls()
        at += 1
    counted.runs += 1
    counted.steps += at
    counted.longest = max(counted.longest, at)
    world.calm()
    await world.run_calls()
    world.check_end()
    return alternatives
