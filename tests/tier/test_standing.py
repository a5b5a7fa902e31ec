"""Stories of control nodes out of contact: what they say of themselves, and what they may answer meanwhile.

In each, a watch looks at all control nodes and gateways every 20 ms: who says that it is current holds all
that was acknowledged before it asked, and a gateway that takes its configuration for confirmed does, too.
"""

import asyncio
import json

from kestrelbend.tier.fleet.http import Reply
from kestrelbend.tier.fleet.operator import BASE_VERSION
from kestrelbend.tier.fleet.faults import owner_machine
from kestrelbend.tier.membership.owner_contact import CONTACT_S, in_contact, is_current
from tests.tier.fleet_story import FleetStory

LOOK_S = 0.02
CUT_S = 20.0
CALL_S = 1.0
TOLD_S = 0.1  # from a control node's word to a gateway's having it
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
    """Looks at every process's word on itself; `expelled` is a machine that must not vouch for anything."""

    def __init__(self, world):
        self._world = world
        self._fleet = world.fleet
        self._confirmed = set()
        self.expelled = None
        self.current = 0
        self._look()  # a story may begin with a trouble: who serves by now has begun before it
        self._task = asyncio.create_task(self._look_always())

    def stop(self):
        self._task.cancel()

    async def _look_always(self):
        while True:
            self._look()
            await asyncio.sleep(LOOK_S)

    def _look(self):
        for process in self._fleet.processes("control"):
            self._look_at_control(process)
        for process in self._fleet.processes("gateway"):
            self._look_at_gateway(process)

    def _look_at_control(self, process):
        configuration = process.instance.configuration
        if not configuration.is_open:
            return
        now = self._fleet.now()
        replica = configuration.replica
        if process.machine is self.expelled and in_contact(replica, now):
            self._fleet.report_violation(f"{process.name} counts itself in contact while it is cut off")
        if not is_current(replica, now):
            return
        self.current += 1
        required = self._world.operator.required_version(replica.current_at)
        if configuration.state.version < required:
            self._fleet.report_violation(
                f"{process.name} is current by version {configuration.state.version}"
            )

    def _look_at_gateway(self, process):
        if not process.instance.configuration.is_current or process.execution in self._confirmed:
            return
        self._confirmed.add(process.execution)
        required = self._world.operator.required_version(self._fleet.now() - CONTACT_S - TOLD_S)
        version = process.instance.routing.version
        if version < required:
            self._fleet.report_violation(
                f"{process.name} begins to serve by version {version}, not {required}"
            )


class StandingStory(FleetStory):
    """Begins and ends a watch around a story."""

    def tell_watched(self, story, seeds=(1,), size=None):
        async def watched(world):
            watch = CurrencyWatch(world)
            await story(world, watch)
            await asyncio.sleep(2.0)
            watch.stop()
            if not watch.current:
                world.fleet.report_violation("nobody was ever current")

        self.tell(watched, seeds, size)


def control_but(world, *machines):
    """The control machines but for some."""
    return [machine for machine in world.fleet.control_machines() if machine not in machines]


def cut_ways(world, machine, to_others, from_others):
    """Cuts a control machine off from all others, one way or both."""
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
    """The status of one call at a control machine; 0 without an answer."""
    address = machine.spec.control_address
    reply = await world.fleet.http.call(address, method, path, headers, body, CALL_S)
    return reply.status if isinstance(reply, Reply) else 0


def report(**changes):
    return json.dumps(REPORT | changes).encode()


async def ask_everything(world, machine):
    """The statuses of all calls that a node out of contact must leave without a clear answer."""
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


class TestCutOff(StandingStory):
    """A control machine is cut off for 20 s while changes, gateways and backends go on."""

    def cut_off(self, which, to_others, from_others):
        async def story(world, watch):
            machine = owner_machine(world)
            if which == "follower":
                machine = control_but(world, machine)[0]
            others = cut_ways(world, machine, to_others, from_others)
            await asyncio.sleep(CONTACT_S + 0.05)
            watch.expelled = machine
            ends = world.fleet.now() + CUT_S
            changing = asyncio.create_task(self.change_until(world, ends))
            await asyncio.sleep(2.0)
            await self.begin_beside(world, machine)
            while world.fleet.now() < ends - 2.0:
                await self.ask(world, machine)
                await asyncio.sleep(2.0)
            await changing
            watch.expelled = None
            world.fleet.heal(machine, others)

        return story

    async def change_until(self, world, ends):
        while world.fleet.now() < ends:
            await world.operator.change()
            await asyncio.sleep(1.0)

    async def begin_beside(self, world, machine):
        """Gateways start on the machine itself and on another one; backends come and go."""
        plain = [other for other in world.fleet.machines.values() if not other.spec.has_disk][0]
        for beginning in (machine, plain):
            gateway = beginning.processes["gateway"]
            gateway.should_run = False
            gateway.end(notify_peers=True)
            gateway.start()
        backend = world.backends.ready("model")[0]
        world.backends.replace(backend)

    async def ask(self, world, machine):
        statuses = await ask_everything(world, machine)
        if any(status not in (0, 503) for status in statuses):
            world.fleet.report_violation(f"{machine.name} answers {statuses} while it is cut off")
        plain = await call(world, machine, "POST", "/api/Instances.Heartbeat/i-cut-2", report(Seq=1))
        if plain != 200:
            world.fleet.report_violation(f"{machine.name} refuses a plain heartbeat: {plain}")

    def test_a_follower_is_cut_off_both_ways(self):
        self.tell_watched(self.cut_off("follower", True, True), seeds=(1, 2))

    def test_a_follower_hears_and_is_not_heard(self):
        self.tell_watched(self.cut_off("follower", True, False))

    def test_a_follower_is_heard_and_does_not_hear(self):
        self.tell_watched(self.cut_off("follower", False, True))

    def test_the_owner_is_cut_off_both_ways(self):
        self.tell_watched(self.cut_off("owner", True, True), seeds=(1, 2))

    def test_the_owner_hears_and_is_not_heard(self):
        self.tell_watched(self.cut_off("owner", True, False))

    def test_the_owner_is_heard_and_does_not_hear(self):
        self.tell_watched(self.cut_off("owner", False, True))


class TestCatchingUp(StandingStory):
    def away(self, how):
        async def story(world, watch):
            machine = control_but(world, owner_machine(world))[0]
            others = [other for other in world.fleet.machines.values() if other is not machine]
            if how == "power":
                world.fleet.lose_power(machine)
            elif how == "freeze":
                world.fleet.freeze(machine)
            else:
                world.fleet.partition(machine, others)
            for _ in range(30):
                await world.operator.change()
            changing = asyncio.create_task(self.change_on(world))
            if how == "power":
                world.fleet.start(machine)
            elif how == "freeze":
                world.fleet.thaw(machine)
            else:
                world.fleet.heal(machine, others)
            await changing

        return story

    async def change_on(self, world):
        for _ in range(20):
            await world.operator.change()

    def test_a_replica_without_power_for_thirty_changes_is_current_only_with_all_of_them(self):
        self.tell_watched(self.away("power"))

    def test_a_replica_that_stood_still_is_current_only_with_all_changes(self):
        self.tell_watched(self.away("freeze"))

    def test_a_replica_that_was_cut_off_is_current_only_with_all_changes(self):
        self.tell_watched(self.away("cut"))

    def test_new_owners_are_current_only_with_all_changes(self):
        async def story(world, watch):
            for _ in range(4):
                machine = owner_machine(world)
                change = asyncio.create_task(world.operator.change())
                await asyncio.sleep(world.fleet.random.uniform(0.003, 0.02))
                world.fleet.kill(machine)
                await asyncio.sleep(1.0)
                world.fleet.start(machine)
                await change
                await asyncio.sleep(4.0)

        self.tell_watched(story, seeds=(1, 2))

    def test_a_core_that_was_killed_at_once_takes_plain_heartbeats_as_soon_as_it_runs(self):
        async def story(world, watch):
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

        self.tell_watched(story)
