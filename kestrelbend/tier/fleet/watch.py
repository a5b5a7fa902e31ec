"""The rules, looked at throughout a day and at its end."""

from __future__ import annotations

import asyncio

from ..budgets.messages import Verdict
from ..budgets.shards import shard_of
from ..membership.placement import BUDGET_SHARDS
from ..membership.owner_contact import CONTACT_S, in_contact, is_current
from .answers import SLACK_S
from .backends import DRAIN_S, Backends
from .fleet import Fleet
from .machines import Process
from .operator import MARKER, Operator
from .programs import Programs
from .settings import ROLES_SERVE

CHECK_S = 0.05
LAG_S = 1.0  # from an entry's commit until every voter has applied it, in a calm time
CATCH_UP_S = 4.0  # CatchupS
GROUP = 3  # voters where the loss of one machine is to be borne
CONFIG_S = 2.0  # ConfigMs
SETTLED_S = 1.5  # allowed from being in touch to being ready
BACKEND_KNOWN_S = 4.0


class Watch:
    """Looks at every process between any two steps of the world."""

    def __init__(self, fleet: Fleet, operator: Operator, backends: Backends, programs: Programs) -> None:
        self._fleet = fleet
        self._operator = operator
        self._backends = backends
        self._programs = programs
        self._owners: dict[tuple[str, int], str] = {}
        self._in_force: dict[object, int] = {}
        self._told: set[str] = set()
        self._noted_at = 0.0
        self._committed: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._task = asyncio.create_task(self._look_always())

    async def _look_always(self) -> None:
        while True:
            self._look()
            await asyncio.sleep(CHECK_S)

    def stop(self) -> None:
        """The day is over."""
        self._task.cancel()

    def _broken_once(self, key: str, rule: str) -> None:
        if key not in self._told:
            self._told.add(key)
            self._fleet.broken(rule)

    def _look(self) -> None:
        for role in ("control", "store"):
            for process in self._fleet.processes(role):
                self._look_at_owners(process)
        for control in self._fleet.processes("control"):
            self._look_at_standing(control)
        self._look_at_groups()
        self._look_at_laggards()
        draining = self._drained_backends()
        for gateway in self._fleet.processes("gateway"):
            self._look_at_configuration(gateway)
            if self._fleet.contact.in_touch(gateway.machine.name):
                self._look_at_backends(gateway, draining)

    def _look_at_owners(self, process: Process) -> None:
        host = process.instance.host
        for shard in host.shards():
            replica = host.replica(shard)
            if not replica.is_leader:
                continue
            owner = self._owners.setdefault((shard, replica.term), replica.identity)
            if owner != replica.identity:
                key = f"owners {shard} {replica.term}"
                self._broken_once(key, f"{owner} and {replica.identity} own {shard} in epoch {replica.term}")

    def _look_at_groups(self) -> None:
        """After `CatchupS` the next machine may be lost: by then each group is whole again."""
        if self._fleet.now() < self._fleet.contact.core_quiet_since() + CATCH_UP_S:
            return
        live = {process.instance.replica_id for process in self._holders()}
        for process in self._holders():
            host = process.instance.host
            for shard in host.shards():
                replica = host.replica(shard)
                gone = [voter for voter in replica.voters if voter not in live]
                if replica.is_leader and (gone or len(replica.voters) < GROUP):
                    key = f"group {shard} {replica.voters}"
                    self._broken_once(
                        key, f"{shard} is held by {replica.voters} after CatchupS, lost are {gone}"
                    )

    def _look_at_standing(self, control: Process) -> None:
        """Out of contact, no node counts itself in contact; a current one holds what was acknowledged."""
        configuration = control.instance.configuration
        if not configuration.is_open:
            return
        now, replica = self._fleet.now(), configuration.replica
        cut_off = self._fleet.is_cut_off(control.machine.place.ip, now - CONTACT_S - SLACK_S)
        if cut_off and in_contact(replica, now):
            self._broken_once(f"contact {control.name}", f"{control.name} is cut off and claims contact")
        if is_current(replica, now):
            required = self._operator.required_version(now - CONTACT_S)
            version = configuration.state.version
            if version < required:
                key = f"current {control.name} {version}"
                self._broken_once(key, f"{control.name} is current by version {version}, not {required}")

    def _look_at_laggards(self) -> None:
        """After `CatchupS` each voter has applied what was committed a moment ago."""
        now = self._fleet.now()
        if now < self._noted_at + LAG_S:
            return
        quiet = self._fleet.contact.core_quiet_since() + CATCH_UP_S < self._noted_at
        if quiet:
            for process in self._holders():
                self._look_at_lag(process)
        self._noted_at = now
        self._committed = {}
        for process in self._holders():
            host = process.instance.host
            for shard in host.shards():
                replica = host.replica(shard)
                if replica.is_leader:
                    self._committed[shard] = (replica.commit_index, replica.voters)

    def _look_at_lag(self, process: Process) -> None:
        host = process.instance.host
        for shard in host.shards():
            replica = host.replica(shard)
            committed, voters = self._committed.get(shard, (0, ()))
            if replica.identity in voters and replica.applied_index < committed:
                key = f"lag {shard} {replica.identity}"
                rule = f"{process.name} has applied {replica.applied_index} of {committed} entries of {shard}"
                self._broken_once(key, f"{rule} after CatchupS")

    def _holders(self) -> list[Process]:
        return [*self._fleet.processes("control"), *self._fleet.processes("store")]

    def _look_at_configuration(self, gateway: Process) -> None:
        table = gateway.instance.routing.current()
        version = 0 if table is None else table.version
        before = self._in_force.get(gateway.execution, 0)
        if version < before:
            self._fleet.broken(f"{gateway.name} goes back from version {before} to {version}")
        if version != before:
            self._in_force[gateway.execution] = version
            prefix = next(route.path_prefix for route in table.routes if route.name == MARKER)
            number = int(prefix.strip("/").rpartition("-")[2])
            self._operator.check_in_force(version, number, gateway.name)
        name = gateway.machine.name
        now = self._fleet.now()
        since = self._fleet.contact.in_touch_since(name)
        if since > now or not gateway.instance.lifecycle.ready:
            return
        required = self._operator.required_version(now - CONFIG_S)
        if version < required:
            key = f"{gateway.name} {required}"
            self._broken_once(key, f"{gateway.name} serves by version {version}, {required} is acknowledged")

    def _drained_backends(self) -> list:
        latest = self._fleet.now() - DRAIN_S
        told = (backend for backend in self._backends.all.values() if backend.draining_acknowledged_at)
        return [backend for backend in told if backend.draining_acknowledged_at < latest]

    def _look_at_backends(self, gateway: Process, drained: list) -> None:
        for backend in drained:
            chosen = gateway.instance.view.ready(backend.service)
            if any(one.identity == backend.identity for one in chosen):
                key = f"{gateway.name} {backend.identity}"
                self._broken_once(key, f"{gateway.name} still sends to {backend.identity}, which drains")

    # At the end

    async def check_calm(self) -> None:
        """All is served again: gateways are ready and know all backends, an order and turns are taken."""
        now = self._fleet.now()
        for machine in self._fleet.machines.values():
            for process in machine.processes.values():
                if not process.running:
                    self._fleet.broken(f"{process.name} does not run at the end")
        for gateway in self._fleet.processes("gateway"):
            if not gateway.instance.lifecycle.ready:
                self._fleet.broken(f"{gateway.name} is not ready in a calm time")
            for backend in self._backends.ready():
                known = gateway.instance.view.ready(backend.service)
                old = now - backend.began_at > BACKEND_KNOWN_S
                if old and all(one.identity != backend.identity for one in known):
                    self._fleet.broken(f"{gateway.name} does not know {backend.identity}")
        self._check_members()
        order = await self._operator.change()
        if order.acknowledged_at is None and not self._operator._rivals(order):
            self._fleet.broken(f"{order} is not taken in a calm time")
        await self._operator.read_back()
        await self._check_reservations()
        self._check_replicas()
        self._check_counters()

    def _check_members(self) -> None:
        """Every control node knows every process that runs."""
        running = [process for role in ROLES_SERVE for process in self._fleet.processes(role)]
        for control in self._fleet.processes("control"):
            known = {member.address for member in control.instance.members.members(self._fleet.now())}
            for process in running:
                if process.instance.address not in known:
                    self._fleet.broken(f"{control.name} takes {process.name} for gone")

    async def _check_reservations(self) -> None:
        runs = [self._programs.begin(most_turns=2) for _ in range(6)]
        await asyncio.wait(runs)
        for program in list(self._programs.all.values())[-6:]:
            if any(turn.verdict not in (Verdict.ADMITTED, Verdict.SPENT) for turn in program.tries):
                verdicts = [(turn.gateway, turn.verdict) for turn in program.tries]
                self._fleet.broken(f"{program.name} is not served in a calm time: {verdicts}")

    def _owners_now(self) -> dict[str, Process]:
        owners = {}
        for role in ("control", "store"):
            for process in self._fleet.processes(role):
                for shard in process.instance.host.shards():
                    if process.instance.host.replica(shard).is_leader:
                        owners[shard] = process
        return owners

    def _check_replicas(self) -> None:
        """Replicas that have applied the same number of entries hold the same state."""
        states: dict[tuple[str, int], tuple[str, bytes]] = {}
        for role in ("control", "store"):
            for process in self._fleet.processes(role):
                host = process.instance.host
                for shard in host.shards():
                    key = (shard, host.replica(shard).applied_index)
                    state = host.machine(shard).snapshot()
                    other, known = states.setdefault(key, (process.name, state))
                    if known != state:
                        self._fleet.broken(f"{process.name} and {other} differ at {key}")

    def _check_counters(self) -> None:
        """The owners' counters hold all that was handed out, and know each turn that was admitted."""
        owners = self._owners_now()
        if len(owners) != BUDGET_SHARDS + 1:
            self._fleet.broken(f"shards without an owner at the end; owned are {sorted(owners)}")
            return
        for program in self._programs.all.values():
            shard = shard_of(program.name, BUDGET_SHARDS)
            table = owners[shard].instance.host.machine(shard).table
            self._check_program(program, table._use(program.name))

    def _check_program(self, program, counter) -> None:
        if counter.total < program.handed:
            self._fleet.broken(f"{program.name} has got {program.handed}, its counter says {counter.total}")
        for turn in program.tries:
            if turn.verdict != Verdict.ADMITTED:
                continue
            if turn.reservation not in counter.open_turns and turn.reservation not in counter.closed:
                self._fleet.broken(f"{turn.reservation} was admitted and is not recorded")
