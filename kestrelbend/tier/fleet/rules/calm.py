"""What must hold at the end of a day, when nothing is at fault any more."""

from __future__ import annotations

import asyncio
from typing import cast

from ...budgets.messages import Verdict
from ...budgets.program import ProgramBudget
from ...budgets.shards import shard_of
from ...budgets.state_machine import BudgetStateMachine
from ...membership.placement import BUDGET_SHARD_COUNT
from ..backends import Backends
from ..fleet import Fleet
from ..machines import Process
from ..operator import Operator
from ..programs import Program, Programs
from ..settings import ROLES_SERVE
from .groups import replica_processes

BACKEND_KNOWN_S = 4.0  # from a backend's start until every gateway knows it
LAST_PROGRAMS = 6  # begun at the end, to see that turns are served


class CalmCheck:
    """All is served again, and what was acknowledged and handed out is recorded."""

    def __init__(self, fleet: Fleet, operator: Operator, backends: Backends, programs: Programs) -> None:
        self._fleet = fleet
        self._operator = operator
        self._backends = backends
        self._programs = programs

    async def check(self) -> None:
        """Gateways are ready and know all backends, an order and turns are accepted, replicas agree."""
        started_at = self._fleet.now()
        self._check_running()
        for process in self._fleet.processes("gateway"):
            self._check_gateway(process, started_at)
        self._check_members()
        order = await self._operator.change()
        if order.acknowledged_at is None and not self._operator.rivals_of(order):
            self._fleet.report_violation(f"{order} is not taken in a calm time")
        await self._operator.read_back()
        await self._check_reservations()
        self._check_replicas()
        self._check_counters()

    def _check_running(self) -> None:
        for machine in self._fleet.machines.values():
            for process in machine.processes.values():
                if not process.running:
                    self._fleet.report_violation(f"{process.name} does not run at the end")

    def _check_gateway(self, process: Process, now: float) -> None:
        if not process.gateway.lifecycle.ready:
            self._fleet.report_violation(f"{process.name} is not ready in a calm time")
        for backend in self._backends.ready():
            known = process.gateway.view.ready(backend.service)
            old = now - backend.started_at > BACKEND_KNOWN_S
            if old and all(one.identity != backend.identity for one in known):
                self._fleet.report_violation(f"{process.name} does not know {backend.identity}")

    def _check_members(self) -> None:
        """Every control node knows every process that runs."""
        running = [process for role in ROLES_SERVE for process in self._fleet.processes(role)]
        for process in self._fleet.processes("control"):
            known = {member.address for member in process.control.members.members(self._fleet.now())}
            for other in running:
                if other.address not in known:
                    self._fleet.report_violation(f"{process.name} takes {other.name} for gone")

    async def _check_reservations(self) -> None:
        """The turns of new programs get a verdict."""
        runs = [self._programs.begin(max_turns=2) for _ in range(LAST_PROGRAMS)]
        await asyncio.wait(runs)
        for program in list(self._programs.all.values())[-LAST_PROGRAMS:]:
            if any(
                turn.verdict not in (Verdict.ADMITTED, Verdict.BUDGET_EXCEEDED) for turn in program.attempts
            ):
                verdicts = [(turn.gateway, turn.verdict) for turn in program.attempts]
                self._fleet.report_violation(f"{program.name} is not served in a calm time: {verdicts}")

    def _check_replicas(self) -> None:
        """Replicas that have applied the same number of entries hold the same state."""
        states: dict[tuple[str, int], tuple[str, bytes]] = {}
        for process in replica_processes(self._fleet):
            for replica in process.replicas():
                key = (replica.shard, replica.applied_index)
                state = process.state_machine(replica.shard).snapshot()
                other, known = states.setdefault(key, (process.name, state))
                if known != state:
                    self._fleet.report_violation(f"{process.name} and {other} differ at {key}")

    def _check_counters(self) -> None:
        """The owners' counters hold all that was handed out, and know each turn that was admitted."""
        owners = self._owners()
        if len(owners) != BUDGET_SHARD_COUNT + 1:
            self._fleet.report_violation(f"shards without an owner at the end; owned are {sorted(owners)}")
            return
        for program in self._programs.all.values():
            shard = shard_of(program.name, BUDGET_SHARD_COUNT)
            machine = cast(BudgetStateMachine, owners[shard].state_machine(shard))
            self._check_program(program, machine.table._counter_for_update(program.name))

    def _owners(self) -> dict[str, Process]:
        owners = {}
        for process in replica_processes(self._fleet):
            for replica in process.replicas():
                if replica.is_leader:
                    owners[replica.shard] = process
        return owners

    def _check_program(self, program: Program, counter: ProgramBudget) -> None:
        if counter.total < program.delivered_tokens:
            self._fleet.report_violation(
                f"{program.name} has got {program.delivered_tokens}, its counter says {counter.total}"
            )
        for turn in program.attempts:
            if turn.verdict != Verdict.ADMITTED:
                continue
            if turn.reservation not in counter.open_turns and turn.reservation not in counter.closed:
                self._fleet.report_violation(f"{turn.reservation} was admitted and is not recorded")
