"""Stories of gateways that lose contact, in the fleet in memory: readiness, and what turns are answered.

The rules are watched throughout, see `kestrelbend/tier/fleet/watch.py`.
"""

from __future__ import annotations

import asyncio

import attrs

from kestrelbend.tier.budgets.messages import Reserve, Settlement, TurnEnd, Verdict
from kestrelbend.tier.fleet.fleet import Size
from kestrelbend.tier.fleet.faults import owner_machine
from tests.tier.fleet_story import FleetStory

CUT_S = 20.0
UNREADY_WITHIN_S = 2.0
ANSWER_S = 0.3
READY_AGAIN_S = 3.0
LOOK_S = 0.05
MOST = 16


@attrs.define
class Answer:
    """A turn's answer by one gateway."""

    requested_at: float
    seconds: float
    verdict: Verdict


class Observer:
    """Notes the readiness of every gateway, and asks one of them for turns."""

    def __init__(self, world, asked) -> None:
        self.world = world
        self.asked = asked  # a gateway's process
        self.answers: list[Answer] = []
        self.ready: list[tuple[float, dict[str, bool]]] = []
        self.may_refuse: list[tuple[float, bool]] = []
        self._tasks = [asyncio.create_task(self._look()), asyncio.create_task(self._ask())]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def ready_times(self, name: str, value: bool) -> list[float]:
        return [now for now, ready in self.ready if ready.get(name) is value]

    async def _look(self) -> None:
        while True:
            now = self.world.fleet.now()
            gateways = self.world.fleet.processes("gateway")
            self.ready.append((now, {one.name: one.instance.lifecycle.ready for one in gateways}))
            if self.asked.instance is not None:
                self.may_refuse.append((now, self.asked.instance.may_refuse()))
            await asyncio.sleep(LOOK_S)

    async def _ask(self) -> None:
        number = 0
        loop = self.world.fleet.loop
        while True:
            number += 1
            if self.asked.instance is not None:
                coroutine = self._turn(self.asked.instance, number)
                loop.call_soon(_begin, loop, coroutine, context=self.asked.execution.context)
            await asyncio.sleep(0.1)

    async def _turn(self, gateway, number: int) -> None:
        program, name = f"observed-{number}", f"observed-turn-{number}"
        requested_at = self.world.fleet.now()
        outcome = await gateway.budgets.reserve("model", Reserve(program, "s", name, 1, MOST, 1000, True))
        verdict = Verdict(outcome.verdict)
        self.answers.append(Answer(requested_at, self.world.fleet.now() - requested_at, verdict))
        if verdict is Verdict.ADMITTED:
            gateway.budgets.settle("model", Settlement(program, name, MOST, int(TurnEnd.COMPLETE)))


def _begin(loop, coroutine) -> None:
    loop.create_task(coroutine)


class ContactStory(FleetStory):
    """Given a running tier, when a machine is cut off, then its gateway says so, and comes back."""

    def cut_off(self, one_way, size=None, seeds=(1, 2), machine_of=owner_machine):
        async def story(world):
            fleet = world.fleet
            machine = machine_of(world)
            others = [other for other in fleet.machines.values() if other is not machine]
            gateway = machine.processes["gateway"]
            observer = Observer(world, gateway)
            await asyncio.sleep(1.0)
            cut_at = fleet.now()
            fleet.partition(machine, others, one_way)
            await asyncio.sleep(CUT_S)
            joined_at = fleet.now()
            fleet.heal(machine, others)
            await asyncio.sleep(READY_AGAIN_S + 1.0)
            observer.stop()
            self.check_unready(observer, gateway.name, cut_at, joined_at)
            self.check_answers(observer, cut_at, joined_at)
            self.check_others(observer, gateway.name, cut_at)

        self.tell(story, seeds, size)

    def check_unready(self, observer, name, cut_at, joined_at):
        ready = observer.ready_times(name, True)
        held = [now for now in ready if cut_at + UNREADY_WITHIN_S <= now <= joined_at]
        self.assertEqual([], held, "ready while cut off")
        self.assertTrue(any(cut_at - 0.2 <= now < cut_at for now in ready), "ready before the cut")
        late = [now for now in observer.ready_times(name, False) if now > joined_at + READY_AGAIN_S]
        self.assertEqual([], late, "not ready again")
        refusing = [now for now, may in observer.may_refuse if may]
        self.assertEqual([], [now for now in refusing if cut_at + UNREADY_WITHIN_S <= now <= joined_at])
        self.assertTrue(any(now > joined_at + READY_AGAIN_S for now in refusing), "never confirmed again")

    def check_answers(self, observer, cut_at, joined_at):
        cut = [
            one for one in observer.answers if cut_at + UNREADY_WITHIN_S <= one.requested_at <= joined_at - 2
        ]
        self.assertGreater(len(cut), 100)
        self.assertEqual({Verdict.NO_ANSWER}, {one.verdict for one in cut})
        self.assertLess(max(one.seconds for one in cut), ANSWER_S)
        after = [one for one in observer.answers if one.requested_at > joined_at + READY_AGAIN_S]
        self.assertEqual({Verdict.ADMITTED}, {one.verdict for one in after})

    def check_others(self, observer, name, cut_at):
        """An owner's loss alone makes no other gateway unready."""
        for now, ready in observer.ready:
            if now > cut_at:
                unready = [one for one, is_ready in ready.items() if one != name and not is_ready]
                self.assertEqual([], unready, f"at {now}, cut at {cut_at}")


class TestCutOff(ContactStory):
    def test_a_core_machine_is_cut_off_both_ways(self):
        self.cut_off(one_way=False)

    def test_a_core_machine_hears_the_others_and_is_not_heard(self):
        self.cut_off(one_way=True)

    def test_a_core_machine_that_keeps_budgets_is_cut_off(self):
        self.cut_off(one_way=False, size=Size(control=3, stores=0, gateways=2))

    def test_a_gateway_without_a_disk_is_cut_off(self):
        def plain(world):
            return next(m for m in world.fleet.machines.values() if set(m.processes) == {"gateway"})

        self.cut_off(one_way=False, machine_of=plain, seeds=(1,))


class TestRefusals(FleetStory):
    """What requests on no route are answered: 404 only where the configuration was confirmed lately."""

    def refused(self, one_way):
        async def story(world):
            fleet = world.fleet
            machine = owner_machine(world)
            others = [other for other in fleet.machines.values() if other is not machine]
            front = machine.processes["gateway"].instance.settings.listen_clients

            async def ask():
                reply = await fleet.http.call(front, "GET", "/no/such/route/")
                return reply.status

            before = await ask()
            fleet.partition(machine, others, one_way)
            await asyncio.sleep(UNREADY_WITHIN_S)
            during = [await ask() for _ in range(50)]
            fleet.heal(machine, others)
            await asyncio.sleep(READY_AGAIN_S)
            self.assertEqual((404, {503}, 404), (before, set(during), await ask()))

        return story

    def test_a_cut_off_gateway_refuses_no_route(self):
        self.tell(self.refused(one_way=False), seeds=(1, 2))

    def test_a_gateway_that_hears_and_is_not_heard_refuses_no_route(self):
        self.tell(self.refused(one_way=True), seeds=(1, 2))

    def test_a_gateway_started_beside_a_cut_off_control_node_refuses_no_route_and_is_not_ready(self):
        async def story(world):
            fleet = world.fleet
            machine = owner_machine(world)
            others = [other for other in fleet.machines.values() if other is not machine]
            fleet.partition(machine, others)
            await asyncio.sleep(UNREADY_WITHIN_S)
            fleet.kill(machine, "gateway")
            await asyncio.sleep(0.5)
            machine.start()
            fleet.contact.fault_ended(machine.name)
            for _ in range(20):
                await asyncio.sleep(0.3)
                gateway = machine.processes["gateway"].instance
                if gateway is None:
                    continue
                self.assertFalse(gateway.lifecycle.ready)
                reply = await fleet.http.call(
                    gateway.settings.listen_clients, "GET", "/no/such/route/", timeout=2.0
                )
                self.assertNotEqual(404, getattr(reply, "status", None))
            fleet.heal(machine, others)

        self.tell(story, seeds=(1, 2))


class TestElections(FleetStory):
    def lose_owner(self, shard):
        async def story(world):
            fleet = world.fleet
            machine = owner_machine(world, shard)
            asked = next(g for g in fleet.processes("gateway") if g.machine is not machine)
            observer = Observer(world, asked)
            await asyncio.sleep(1.0)
            lost_at = fleet.now()
            fleet.lose_power(machine)
            await asyncio.sleep(3.0)
            observer.stop()
            fleet.start(machine)
            unready = [now for now in observer.ready_times(asked.name, False) if now > lost_at]
            self.assertEqual([], unready)
            silent = [one for one in observer.answers if one.verdict is Verdict.NO_ANSWER]
            self.assertEqual([], silent, "refused, though an owner came")

        return story

    def test_an_owner_of_budgets_loses_power_and_turns_wait_for_the_next(self):
        self.tell(self.lose_owner("budget-1"), seeds=(1, 2, 3))

    def test_the_owner_of_the_configuration_loses_power_and_gateways_stay_ready(self):
        self.tell(self.lose_owner("configuration"), seeds=(1, 2, 3))
