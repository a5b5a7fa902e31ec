"""The model with operators' orders sent to any node; the real service and state machine decide them.

Invariants: of two orders on the same base version, at most one is acknowledged.  An acknowledged order takes
effect and is acknowledged again when repeated.  A refused order never takes effect and is never acknowledged.
Only a leader that a majority has replied to since the order arrived refuses an order.

The state of a run can't be copied, since it includes pending calls of the service.  Each run is replayed from
its beginning instead, with a fault inserted at one of its steps.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterator

import attrs

from ..configuration.document_orders import checked_entry
from ..configuration.messages import UNDETERMINED, ConfigOrder, ConfigOutcome, OrderKind
from ..configuration.shard_service import ConfigurationService
from ..configuration.state_machine import ConfigurationStateMachine
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

BASE_VERSION = 1  # the base version of the competing orders
EVENT_LOOP_PASSES = 8  # enough for all calls that are not blocked to finish


def _put_order(number: int, base: int, version: int) -> ConfigOrder:
    routes = [route("turns", "/turns/", "model", "streaming"), marker_route(number)]
    document = {"Ver": version, "Routes": routes, "Services": services()}
    return ConfigOrder(OrderKind.PUT, base, json.dumps(document).encode())


ORDERS = {
    "first": _put_order(1, 0, BASE_VERSION),
    "late": _put_order(2, 0, 2),
    "x": _put_order(3, BASE_VERSION, 2),
    "y": _put_order(4, BASE_VERSION, 2),
    "z": _put_order(5, BASE_VERSION, 3),
}


@attrs.define
class OrderOutcomes:
    """The outcomes that operators received for one order."""

    acknowledged: bool = False
    refused: bool = False


class ModelShardHost:
    """The shard host through which the service uses a node's replica; implements `ShardHost`."""

    def __init__(self, world: OrderWorld, node: Node) -> None:
        self._world = world
        self._node = node
        self.configuration = ConfigurationStateMachine()
        self.proposals: dict[int, PendingProposal] = {}  # by index
        self.pending_reads: dict[int, Callable[[bool], None]] = {}  # by ticket

    def state_machine(self, shard: str) -> ConfigurationStateMachine:
        """Returns the node's configuration."""
        return self.configuration

    def replica(self, shard: str) -> Replica:
        """Returns the node's replica."""
        return self._node.replica

    def propose(self, shard: str, command: bytes, outcome: OutcomeCallback, now: float) -> bool:
        """Proposes a command; returns whether the replica accepted it."""
        index = self._node.replica.propose(command, self._node.clock)
        if index is not None:
            self.proposals[index] = PendingProposal(self._node.replica.term, outcome)
        return index is not None

    def confirm_read(self, shard: str, outcome: Callable[[bool], None], now: float) -> bool:
        """Requests confirmation of a read; returns whether the replica accepted it."""
        ticket = self._node.replica.confirm_read(self._node.clock)
        if ticket is None:
            return False
        self.pending_reads[ticket] = outcome
        self._node.committed_at_read[ticket] = len(self._world.invariants.history)
        self._world.process_effects(self._node)
        return True

    def flush(self, shard: str) -> None:
        """Processes the effects of proposals."""
        self._world.process_effects(self._node)


class NoConnections:
    """No connections to other processes, so an order is decided by the node that receives it."""

    def to(self, address: str) -> None:
        """Returns no connection."""


class OrderWorld(World):
    """A state of the model with a configuration, changed by orders."""

    def __init__(self, script: Script, faults: int) -> None:
        self.shard_hosts: dict[str, ModelShardHost] = {}
        self.outcomes = {name: OrderOutcomes() for name in ORDERS}
        self._calls: set[asyncio.Task[None]] = set()
        super().__init__(script, faults)

    def order(self, name: str, order: str) -> None:
        """Sends an operator's order to a node; a node that is not the leader does not answer."""
        if self.nodes[name].replica.is_leader:
            call = asyncio.get_running_loop().create_task(self._decide(name, order))
            self._calls.add(call)

    async def _decide(self, name: str, order: str) -> None:
        shard_host = self.shard_hosts[name]
        node = self.nodes[name]
        service = ConfigurationService(shard_host, NoConnections(), lambda: node.clock, no_gateway_wait)
        requested_at = node.clock
        outcome = await service.decide(ORDERS[order])
        if outcome.status not in (OK, UNDETERMINED):
            self.invariants.check_refusal(node, requested_at)
        if shard_host is self.shard_hosts[name] and outcome.status != UNDETERMINED:
            self._record_outcome(order, outcome)

    def _record_outcome(self, order: str, outcome: ConfigOutcome) -> None:
        outcomes = self.outcomes[order]
        if outcome.status == OK:
            outcomes.acknowledged = True
            require(not outcomes.refused, f"{order} is acknowledged after a refusal")
            self._check_conflicts(order)
        else:
            outcomes.refused = True
            require(
                not outcomes.acknowledged, f"{order} is refused ({outcome.reason}) after an acknowledgement"
            )

    def _check_conflicts(self, order: str) -> None:
        for other, outcomes in self.outcomes.items():
            same_base = ORDERS[other].base_version == ORDERS[order].base_version
            if other != order and same_base and outcomes.acknowledged:
                require(False, f"{order} and {other} are both acknowledged")

    async def run_calls(self) -> None:
        """Runs all calls until they finish or block; raises the invariant violation of a failed call."""
        for _ in range(EVENT_LOOP_PASSES):
            await asyncio.sleep(0)
        ended = {call for call in self._calls if call.done()}
        self._calls -= ended
        for call in ended:
            call.result()

    def process_effects(self, node: Node) -> None:
        """Processes a replica's effects and completes its callers' calls."""
        self._process_effects(node)

    def cancel_calls(self) -> None:
        """Cancels all pending calls."""
        for call in self._calls:
            call.cancel()

    def check_final_state(self) -> None:
        """Checks that acknowledged orders took effect and refused orders did not."""
        state = ConfigurationStateMachine()
        accepted_orders = set()
        for entry in self.invariants.history:
            if entry.kind == EntryKind.COMMAND and entry.data != b"calm":
                outcome = state.apply(entry.data)
                names = [name for name, order in ORDERS.items() if encode(checked_entry(order)) == entry.data]
                accepted_orders |= {name for name in names if outcome.status == OK}
        for name, outcomes in self.outcomes.items():
            require(
                not outcomes.acknowledged or name in accepted_orders,
                f"{name} was acknowledged but did not take effect",
            )
            require(
                not outcomes.refused or name not in accepted_orders, f"{name} was refused but took effect"
            )

    # Overridden steps of the model

    def steps(self) -> Iterator[Step]:
        """Adds faults that repeat an order at any node, as an operator does whose answer was lost."""
        yield from super().steps()
        if self.faults_left:
            for name in self.nodes:
                yield from (("order", name, order) for order in ORDERS)

    def _start_node(self, name: str) -> None:
        self.shard_hosts[name] = ModelShardHost(self, self.nodes[name])
        super()._start_node(name)

    def compact(self, name: str) -> None:
        """Replaces the applied entries by a snapshot of the configuration."""
        node = self.nodes[name]
        node.replica.compact(node.applied_index, self.shard_hosts[name].configuration.snapshot())
        self._process_effects(node)

    def _process_effects(self, node: Node) -> None:
        super()._process_effects(node)
        shard_host = self.shard_hosts[node.name]
        if not node.replica.is_leader:
            pending, shard_host.proposals = shard_host.proposals, {}
            for proposal in pending.values():
                proposal.outcome(None)

    def _finish_reads(self, node: Node, effects: Effects) -> None:
        super()._finish_reads(node, effects)
        shard_host = self.shard_hosts[node.name]
        for ticket in effects.confirmed_reads:
            shard_host.pending_reads.pop(ticket)(True)
        for ticket in effects.failed_reads:
            shard_host.pending_reads.pop(ticket)(False)

    def _apply_entries(self, node: Node, effects: Effects) -> None:
        shard_host = self.shard_hosts[node.name]
        if effects.restore is not None:
            node.applied_index = effects.restore.index
            shard_host.configuration.restore(effects.restore.state)
        for entry in effects.applied:
            require(entry.index == node.applied_index + 1, f"{node.name} applies {entry} out of order")
            node.applied_index = entry.index
            self._record_applied(node, entry)
            is_order = entry.kind == EntryKind.COMMAND and entry.data != b"calm"
            outcome = shard_host.configuration.apply(entry.data) if is_order else None
            pending = shard_host.proposals.pop(entry.index, None)
            if pending is not None:
                pending.outcome(outcome if pending.term == entry.term else None)


async def no_gateway_wait(version: int, within: float) -> None:
    """Waits for no gateway."""


@attrs.define
class RunCounters:
    """Counters of a search."""

    runs: int = 0
    steps: int = 0
    longest: int = 0


def search_orders(name: str, faults: int, partition: Partition = FULL_SEARCH) -> SearchResult:
    """Searches all runs of an order script with up to `faults` faults, or one partition of them."""
    started_at = time.perf_counter()
    counters = RunCounters()
    violation, steps = asyncio.run(_search(ORDER_SCRIPTS[name], faults, counters, partition))
    return SearchResult(
        script=name,
        faults=faults,
        states=counters.steps,
        longest=counters.longest,
        seconds=time.perf_counter() - started_at,
        complete=not violation,
        violation=violation,
        steps=steps,
    )


async def _search(
    script: Script, faults: int, counters: RunCounters, partition: Partition
) -> tuple[str, tuple[Step, ...]]:
    pending_runs: list[tuple[tuple[int, Step], ...]] = [()]
    while pending_runs:
        chosen = pending_runs.pop()
        world = OrderWorld(script, faults)
        try:
            possible_faults = await _replay(world, chosen, counters)
        except AssertionError as error:
            return str(error) or repr(error), tuple(step for _, step in chosen)
        finally:
            world.cancel_calls()
        if len(chosen) < faults:
            last_position = chosen[-1][0] if chosen else -1
            extended_runs = [
                (*chosen, (position, step)) for position, step in possible_faults if position > last_position
            ]
            pending_runs += (
                extended_runs
                if chosen
                else [run for number, run in enumerate(extended_runs) if partition.includes(number)]
            )
    return "", ()


async def _replay(
    world: OrderWorld, chosen: tuple[tuple[int, Step], ...], counters: RunCounters
) -> list[tuple[int, Step]]:
    """Replays a run with the chosen faults; returns all faults that were possible, with their positions."""
    faults = dict(chosen)
    possible_faults: list[tuple[int, Step]] = []
    position = 0
    while True:
        steps = list(world.steps())
        if not steps or steps[0] != ("proceed",):
            break
        possible_faults += [(position, step) for step in steps[1:]]
        world.apply_step(faults.get(position, ("proceed",)))
        await world.run_calls()
        position += 1
    counters.runs += 1
    counters.steps += position
    counters.longest = max(counters.longest, position)
    world.converge()
    await world.run_calls()
    world.check_final_state()
    return possible_faults
