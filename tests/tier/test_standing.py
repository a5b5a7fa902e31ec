"""Control nodes that lose contact: when they may consider themselves current, which calls they may answer.

In each test, a watch checks all control nodes and gateways every 20 ms.  A control node that considers itself
current must hold every change that was acknowledged before it confirmed that with the others, and so must a
gateway that considers its configuration confirmed.
"""

import asyncio
import json

from kestrelbend.tier.fleet.http import Reply
from kestrelbend.tier.fleet.operator import BASE_VERSION
from kestrelbend.tier.fleet.faults import owner_machine
from kestrelbend.tier.membership.owner_contact import CONTACT_S, in_contact, is_current
from tests.tier.fleet_story import FleetStory

CHECK_INTERVAL_S = 0.02
PARTITION_S = 20.0
CALL_TIMEOUT_S = 1.0
NOTIFICATION_S = 0.1  # from a control node's confirmation until a gateway has received it
REPORT = {
    "Upstream": "tools",
    "Address": "10.9.9.9:80",
    "Zone": "zone-1",
    "Ver": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdLeftMs": 0,
}


class CurrencyWatch:
    """Checks each process's view of itself; the machine `isolated` must not consider itself in contact."""

    def __init__(self, world):
        self._world = world
        self._fleet = world.fleet
        self._confirmed = set()
        self.isolated = None
        self.current = 0
        self._check()  # gateways that serve already are not checked: a scenario may start with a fault
        self._task = asyncio.create_task(self._check_repeatedly())

    def stop(self):
        self._task.cancel()

    async def _check_repeatedly(self):
        while True:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self):
        for process in self._fleet.processes("control"):
            self._check_control_node(process)
        for process in self._fleet.processes("gateway"):
            self._check_gateway(process)

    def _check_control_node(self, process):
        configuration = process.instance.configuration
        if not configuration.is_open:
            return
        now = self._fleet.now()
        replica = configuration.replica
        if process.machine is self.isolated and in_contact(replica, now):
            self._fleet.report_violation(f"{process.name} considers itself in contact while it is cut off")
        if not is_current(replica, now):
            return
        self.current += 1
        required = self._world.operator.required_version(replica.current_at)
        if configuration.state.version < required:
            self._fleet.report_violation(
                f"{process.name} is current with version {configuration.state.version}"
            )

    def _check_gateway(self, process):
        if not process.instance.configuration.is_current or process.execution in self._confirmed:
            return
        self._confirmed.add(process.execution)
        required = self._world.operator.required_version(self._fleet.now() - CONTACT_S - NOTIFICATION_S)
        version = process.instance.routing.version
        if version < required:
            self._fleet.report_violation(
                f"{process.name} starts to serve with version {version}, required: {required}"
            )


class CurrencyStory(FleetStory):
    """Runs scenarios under a watch."""

    def run_watched(self, scenario, seeds=(1,), size=None):
        async def watched(world):
            watch = CurrencyWatch(world)
            await scenario(world, watch)
            await asyncio.sleep(2.0)
            watch.stop()
            if not watch.current:
                world.fleet.report_violation("no control node was ever current")

        self.tell(watched, seeds, size)


def other_control_machines(world, *machines):
    """The control machines except `machines`."""
    return [machine for machine in world.fleet.control_machines() if machine not in machines]


def block_traffic(world, machine, to_others, from_others):
    """Blocks a control machine's traffic with all others, in one direction or both."""
    others = [other for other in world.fleet.machines.values() if other is not machine]
    world.fleet.log(f"{machine.name} is cut off: to others {to_others}, from others {from_others}")
    world.fleet.contact.fault_began(machine.name)
    for other in others:
        if to_others:
            world.fleet.network.block(machine.spec.ip, other.spec.ip)
        if from_others:
            world.fleet.network.block(other.spec.ip, machine.spec.ip)
    return others


async def call(world, machine, method, path, body=b"", headers=()):
    """The status of one call at a control machine; 0 without a response."""
    address = machine.spec.control_address
    reply = await world.fleet.http.call(address, method, path, headers, body, CALL_TIMEOUT_S)
    return reply.status if isinstance(reply, Reply) else 0


def report(**changes):
    return json.dumps(REPORT | changes).encode()


async def call_every_operation(world, machine):
    """The statuses of all calls that a node out of contact must neither accept nor reject."""
    order = world.operator.put()
    valid = [(BASE_VERSION, str(order.base).encode())]
    stale = [(BASE_VERSION, str(max(0, order.base - 1)).encode())]
    draining = report(State="draining", Seq=5)
    deadline = b'{"DeadlineS":10}'
    return await asyncio.gather(
        call(world, machine, "POST", "/api/Config.Put", order.body, valid),
        call(world, machine, "POST", "/api/Config.Put", order.body, stale),
        call(world, machine, "POST", "/api/Config.Put", b"{", valid),
        call(world, machine, "GET", "/api/Config.Get"),
        call(world, machine, "POST", "/api/Instances.Heartbeat/i-cut", draining),
        call(world, machine, "POST", "/api/Instances.Leave/i-gone"),
        call(world, machine, "POST", "/api/Retire.Start/storage-1", deadline),
        call(world, machine, "POST", "/api/Retire.Start/nobody", deadline),
        call(world, machine, "GET", "/api/Retire.Get/storage-1"),
    )


class TestCutOff(CurrencyStory):
    """A control machine is cut off for 20 s while configuration, gateways and backends keep changing."""

    def cut_off(self, role, to_others, from_others):
        async def scenario(world, watch):
            machine = owner_machine(world)
            if role == "follower":
                machine = other_control_machines(world, machine)[0]
            others = block_traffic(world, machine, to_others, from_others)
            await asyncio.sleep(CONTACT_S + 0.05)
            watch.isolated = machine
            ends = world.fleet.now() + PARTITION_S
            changing = asyncio.create_task(self.change_until(world, ends))
            await asyncio.sleep(2.0)
            await self.restart_gateways_and_replace_a_backend(world, machine)
            while world.fleet.now() < ends - 2.0:
                await self.check_calls(world, machine)
                await asyncio.sleep(2.0)
            await changing
            watch.isolated = None
            world.fleet.heal(machine, others)

        return scenario

    async def change_until(self, world, ends):
        while world.fleet.now() < ends:
            await world.operator.change()
            await asyncio.sleep(1.0)

    async def restart_gateways_and_replace_a_backend(self, world, machine):
        """Restarts a gateway on the machine and one on another machine, and replaces a backend."""
        plain = [other for other in world.fleet.machines.values() if not other.spec.has_disk][0]
        for restarted in (machine, plain):
            gateway = restarted.processes["gateway"]
            gateway.should_run = False
            gateway.end(notify_peers=True)
            gateway.start()
        backend = world.backends.ready("model")[0]
        world.backends.replace(backend)

    async def check_calls(self, world, machine):
        statuses = await call_every_operation(world, machine)
        if any(status not in (0, 503) for status in statuses):
            world.fleet.report_violation(f"{machine.name} responds with {statuses} while it is cut off")
        plain = await call(world, machine, "POST", "/api/Instances.Heartbeat/i-cut-2", report(Seq=1))
        if plain != 200:
            world.fleet.report_violation(f"{machine.name} rejects a plain heartbeat: {plain}")

    def test_follower_cut_off_both_ways_is_never_wrongly_current(self):
        self.run_watched(self.cut_off("follower", True, True), seeds=(1, 2))

    def test_follower_that_only_receives_is_never_wrongly_current(self):
        self.run_watched(self.cut_off("follower", True, False))

    def test_follower_that_only_sends_is_never_wrongly_current(self):
        self.run_watched(self.cut_off("follower", False, True))

    def test_owner_cut_off_both_ways_is_never_wrongly_current(self):
        self.run_watched(self.cut_off("owner", True, True), seeds=(1, 2))

    def test_owner_that_only_receives_is_never_wrongly_current(self):
        self.run_watched(self.cut_off("owner", True, False))

    def test_owner_that_only_sends_is_never_wrongly_current(self):
        self.run_watched(self.cut_off("owner", False, True))


class TestCatchUp(CurrencyStory):
    def outage(self, outage_kind):
        async def scenario(world, watch):
            machine = other_control_machines(world, owner_machine(world))[0]
            others = [other for other in world.fleet.machines.values() if other is not machine]
            if outage_kind == "power":
                world.fleet.lose_power(machine)
            elif outage_kind == "freeze":
                world.fleet.freeze(machine)
            else:
                world.fleet.partition(machine, others)
            for _ in range(30):
                await world.operator.change()
            changing = asyncio.create_task(self.change_on(world))
            if outage_kind == "power":
                world.fleet.start(machine)
            elif outage_kind == "freeze":
                world.fleet.thaw(machine)
            else:
                world.fleet.heal(machine, others)
            await changing

        return scenario

    async def change_on(self, world):
        for _ in range(20):
            await world.operator.change()

    def test_replica_powered_off_for_thirty_changes_is_current_only_with_all_of_them(self):
        self.run_watched(self.outage("power"))

    def test_suspended_replica_is_current_only_with_all_changes(self):
        self.run_watched(self.outage("freeze"))

    def test_partitioned_replica_is_current_only_with_all_changes(self):
        self.run_watched(self.outage("cut"))

    def test_new_owner_is_current_only_with_all_changes(self):
        async def scenario(world, watch):
            for _ in range(4):
                machine = owner_machine(world)
                change = asyncio.create_task(world.operator.change())
                await asyncio.sleep(world.fleet.random.uniform(0.003, 0.02))
                world.fleet.kill(machine)
                await asyncio.sleep(1.0)
                world.fleet.start(machine)
                await change
                await asyncio.sleep(4.0)

        self.run_watched(scenario, seeds=(1, 2))

    def test_first_control_node_after_a_full_crash_accepts_plain_heartbeats(self):
        async def scenario(world, watch):
            machines = world.fleet.control_machines()
            for machine in machines:
                world.fleet.kill(machine)
            await asyncio.sleep(0.5)
            world.fleet.start(machines[0])
            answered = 0
            while not answered:
                answered = await call(
                    world, machines[0], "POST", "/api/Instances.Heartbeat/i-first", report(Seq=1)
                )
                await asyncio.sleep(0.05)
            self.assertEqual(200, answered)
            self.assertFalse(
                is_current(machines[0].processes["control"].instance.configuration.replica, world.fleet.now())
            )
            for machine in machines[1:]:
                world.fleet.start(machine)

        self.run_watched(scenario)
